"""Bodies too large to keep: a bounded run of buffers between the task that reads and the one that writes."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from cressrail.buffers.pool import BUFFER_BYTES, BufferChain, BufferPool

KEPT_BODY_BYTES = 65536  # bytes of a body that are held whole
MAX_PIPE_BUFFERS = 8  # buffers of a pipe; its writer looks for room before it reads more


class Pipe:
    """`add` and `close` or `fail` on one side, `peek` and `used` or `drop` on the other. Whoever waits for
    the other side leaves a call, made once."""

    __slots__ = (
        "buffers",
        "end",
        "has_been_consumed",
        "has_failed",
        "is_closed",
        "is_discarded",
        "on_data",
        "on_room",
        "pool",
        "start",
    )

    def __init__(self, pool: BufferPool) -> None:
        self.pool = pool
        self.buffers: deque[bytearray] = deque()
        self.start = self.end = 0  # in the first of the buffers, and in the last
        self.is_closed = self.has_failed = self.is_discarded = False
        self.has_been_consumed = False  # something of it is gone for good
        self.on_data: Callable[[], None] | None = None
        self.on_room: Callable[[], None] | None = None

    def has_room(self) -> bool:
        """Whether more may be read for it; nothing is kept of what nobody wants."""
        return self.is_discarded or (
            len(self.buffers) < MAX_PIPE_BUFFERS and self.pool.lent < self.pool.max_lent
        )

    def is_full(self) -> bool:
        """By its own fill, which its reader ends; not by a pool that others have emptied."""
        return len(self.buffers) >= MAX_PIPE_BUFFERS

    def append(self, data: memoryview) -> None:
        if self.is_discarded:
            return
        while data:
            if not self.buffers or self.end == BUFFER_BYTES:
                # What has been read has to go somewhere: one buffer over the pool's bound, at most.
                self.buffers.append(self.pool.borrow(may_exceed=True))
                self.end = 0
                self.start = self.start if len(self.buffers) > 1 else 0
            n = min(len(data), BUFFER_BYTES - self.end)
            self.buffers[-1][self.end : self.end + n] = data[:n]
            self.end += n
            data = data[n:]
        self._wake_reader()

    def close(self) -> None:
        self.is_closed = True
        self._wake_reader()

    def fail(self) -> None:
        self.has_failed = True
        self._wake_reader()

    def views(self) -> list[memoryview]:
        last = len(self.buffers) - 1
        return [
            memoryview(part)[self.start if k == 0 else 0 : self.end if k == last else BUFFER_BYTES]
            for k, part in enumerate(self.buffers)
        ]

    def consume(self, n: int) -> None:
        self.has_been_consumed = self.has_been_consumed or n > 0
        while n:
            have = (self.end if len(self.buffers) == 1 else BUFFER_BYTES) - self.start
            if n < have:
                self.start += n
                break
            n -= have
            self.pool.return_buffer(self.buffers.popleft())
            self.start = 0
        if self.on_room is not None and self.has_room():
            call, self.on_room = self.on_room, None
            call()

    def discard(self) -> None:
        """Nobody reads it any more."""
        self.is_discarded = True
        while self.buffers:
            self.pool.return_buffer(self.buffers.popleft())
        if self.on_room is not None:
            call, self.on_room = self.on_room, None
            call()

    def _wake_reader(self) -> None:
        if self.on_data is not None:
            call, self.on_data = self.on_data, None
            call()


class StreamingBody(BufferChain):
    """A body of which so much is kept; the rest, if there is any, goes through a pipe."""

    __slots__ = ("pipe",)

    def __init__(self, pool: BufferPool) -> None:
        super().__init__(pool)
        self.pipe: Pipe | None = None

    def append(self, data: memoryview) -> None:
        if self.pipe is None:
            fits = data[: KEPT_BODY_BYTES - self.size]
            super().append(fits)
            data = data[len(fits) :]
            if not data:
                return
            self.start_streaming()
        assert self.pipe is not None
        self.pipe.append(data)

    def start_streaming(self) -> None:
        """What comes from here on goes through the pipe."""
        if self.pipe is None:
            self.pipe = Pipe(self.pool)

    def release_kept(self) -> None:
        super().release()

    def release(self) -> None:
        self.release_kept()
        if self.pipe is not None:
            self.pipe.discard()

    @property
    def is_partly_consumed(self) -> bool:
        """It can't be sent anew."""
        return self.pipe is not None and self.pipe.has_been_consumed
