"""Bodies too large to keep: a bounded run of buffers between the task that reads and the one that writes."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from cressrail.buffers.pool import SIZE, Chain, Pool

KEPT = 65536  # bytes of a body that are held whole
MOST = 8  # buffers of a pipe; its writer looks for room before it reads more


class Pipe:
    """`add` and `close` or `fail` on one side, `peek` and `used` or `drop` on the other. Whoever waits for
    the other side leaves a call, made once."""

    __slots__ = ("closed", "dropped", "failed", "hi", "lo", "on_data", "on_room", "parts", "pool", "taken")

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.parts: deque[bytearray] = deque()
        self.lo = self.hi = 0  # in the first of the buffers, and in the last
        self.closed = self.failed = self.dropped = False
        self.taken = False  # something of it is gone for good
        self.on_data: Callable[[], None] | None = None
        self.on_room: Callable[[], None] | None = None

    def roomy(self) -> bool:
        """Whether more may be read for it; nothing is kept of what nobody wants."""
        return self.dropped or (len(self.parts) < MOST and self.pool.lent < self.pool.most)

    def crowded(self) -> bool:
        """By its own fill, which its reader ends; not by a pool that others have emptied."""
        return len(self.parts) >= MOST

    def add(self, data: memoryview) -> None:
        if self.dropped:
            return
        while data:
            if not self.parts or self.hi == SIZE:
                # What has been read has to go somewhere: one buffer over the pool's bound, at most.
                self.parts.append(self.pool.take(over=True))
                self.hi = 0
                self.lo = self.lo if len(self.parts) > 1 else 0
            n = min(len(data), SIZE - self.hi)
            self.parts[-1][self.hi : self.hi + n] = data[:n]
            self.hi += n
            data = data[n:]
        self._stir_reader()

    def close(self) -> None:
        self.closed = True
        self._stir_reader()

    def fail(self) -> None:
        self.failed = True
        self._stir_reader()

    def peek(self) -> list[memoryview]:
        last = len(self.parts) - 1
        return [
            memoryview(part)[self.lo if k == 0 else 0 : self.hi if k == last else SIZE]
            for k, part in enumerate(self.parts)
        ]

    def used(self, n: int) -> None:
        self.taken = self.taken or n > 0
        while n:
            have = (self.hi if len(self.parts) == 1 else SIZE) - self.lo
            if n < have:
                self.lo += n
                break
            n -= have
            self.pool.give(self.parts.popleft())
            self.lo = 0
        if self.on_room is not None and self.roomy():
            call, self.on_room = self.on_room, None
            call()

    def drop(self) -> None:
        """Nobody reads it any more."""
        self.dropped = True
        while self.parts:
            self.pool.give(self.parts.popleft())
        if self.on_room is not None:
            call, self.on_room = self.on_room, None
            call()

    def _stir_reader(self) -> None:
        if self.on_data is not None:
            call, self.on_data = self.on_data, None
            call()


class Kept(Chain):
    """A body of which so much is kept; the rest, if there is any, goes through a pipe."""

    __slots__ = ("rest",)

    def __init__(self, pool: Pool) -> None:
        super().__init__(pool)
        self.rest: Pipe | None = None

    def add(self, data: memoryview) -> None:
        if self.rest is None:
            fits = data[: KEPT - self.size]
            super().add(fits)
            data = data[len(fits) :]
            if not data:
                return
            self.open()
        assert self.rest is not None
        self.rest.add(data)

    def open(self) -> None:
        """What comes from here on goes through the pipe."""
        if self.rest is None:
            self.rest = Pipe(self.pool)

    def give_kept_back(self) -> None:
        super().give_back()

    def give_back(self) -> None:
        self.give_kept_back()
        if self.rest is not None:
            self.rest.drop()

    @property
    def spent(self) -> bool:
        """It can't be sent anew."""
        return self.rest is not None and self.rest.taken
