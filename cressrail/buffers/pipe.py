"""Bodies too large to keep: a bounded row of buffers between the receiving and the sending task."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from cressrail.buffers.pool import BUFFER_BYTES, BufferChain, BufferPool

KEPT_BODY_BYTES = 65536  # of a body are kept whole, so that a request can be sent again
MAX_PIPE_BUFFERS = 8  # the writing side checks `has_room` before it receives more


class Pipe:
    """A bounded queue of bytes between two tasks.

    One side calls `append`, then `close` or `fail`; the other `views` and `consume`, or `discard`. Neither
    call blocks: a side that has to wait for the other sets `on_data` or `on_room`, which is called once and
    then cleared. Buffers return to the pool when their bytes are consumed, or all at once by `discard`.

    Attributes:
        is_closed: All of the body has been appended.
        has_failed: The writing side can't provide the rest.
        is_discarded: Nobody reads any more; what is appended is dropped.
        has_been_consumed: Some bytes are gone for good.
        on_data: Called when there is more to read, or no more to come.
        on_room: Called when more may be appended.
    """

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
        self.start = self.end = 0  # offsets in the first buffer and in the last
        self.is_closed = self.has_failed = self.is_discarded = False
        self.has_been_consumed = False
        self.on_data: Callable[[], None] | None = None
        self.on_room: Callable[[], None] | None = None

    def has_room(self) -> bool:
        """Returns whether more may be received for it; always so where what comes is dropped."""
        return self.is_discarded or (
            len(self.buffers) < MAX_PIPE_BUFFERS and self.pool.lent < self.pool.max_lent
        )

    def is_full(self) -> bool:
        """Returns whether its own buffers are in use, which its reader ends; an empty pool does not count."""
        return len(self.buffers) >= MAX_PIPE_BUFFERS

    def append(self, data: memoryview) -> None:
        """Copies data to the end, and calls `on_data`.

        Data that was received has to be stored: the pool's bound is exceeded where necessary, by at most one
        buffer, as the writing side checks `has_room` before it receives.
        """
        if self.is_discarded:
            return
        while data:
            if not self.buffers or self.end == BUFFER_BYTES:
                self.buffers.append(self.pool.borrow(may_exceed=True))
                self.end = 0
                self.start = self.start if len(self.buffers) > 1 else 0
            count = min(len(data), BUFFER_BYTES - self.end)
            self.buffers[-1][self.end : self.end + count] = data[:count]
            self.end += count
            data = data[count:]
        self._wake_reader()

    def close(self) -> None:
        """Says that all has been appended, and calls `on_data`."""
        self.is_closed = True
        self._wake_reader()

    def fail(self) -> None:
        """Says that the rest will not come, and calls `on_data`."""
        self.has_failed = True
        self._wake_reader()

    def views(self) -> list[memoryview]:
        """Returns the unconsumed bytes as views, valid until the next `consume` or `discard`."""
        last = len(self.buffers) - 1
        return [
            memoryview(buffer)[self.start if index == 0 else 0 : self.end if index == last else BUFFER_BYTES]
            for index, buffer in enumerate(self.buffers)
        ]

    def consume(self, count: int) -> None:
        """Drops the first `count` bytes, returns emptied buffers, and calls `on_room` if there is room."""
        self.has_been_consumed = self.has_been_consumed or count > 0
        while count:
            available = (self.end if len(self.buffers) == 1 else BUFFER_BYTES) - self.start
            if count < available:
                self.start += count
                break
            count -= available
            self.pool.return_buffer(self.buffers.popleft())
            self.start = 0
        if self.on_room is not None and self.has_room():
            self._wake_writer()

    def discard(self) -> None:
        """Says that nobody reads any more: returns all buffers and calls `on_room`."""
        self.is_discarded = True
        while self.buffers:
            self.pool.return_buffer(self.buffers.popleft())
        self._wake_writer()

    def _wake_reader(self) -> None:
        if self.on_data is not None:
            call, self.on_data = self.on_data, None
            call()

    def _wake_writer(self) -> None:
        if self.on_room is not None:
            call, self.on_room = self.on_room, None
            call()


class StreamingBody(BufferChain):
    """A body whose first `KEPT_BODY_BYTES` are kept; the rest, if there is any, goes through a pipe.

    Attributes:
        pipe: Of the rest; None while the whole body is kept.
    """

    __slots__ = ("pipe",)

    def __init__(self, pool: BufferPool) -> None:
        super().__init__(pool)
        self.pipe: Pipe | None = None

    def append(self, data: memoryview) -> None:
        """Copies data to the kept part, and what exceeds it to the pipe.

        Raises:
            BufferPoolExhaustedError: No buffer is left for the kept part.
        """
        if self.pipe is None:
            kept = data[: KEPT_BODY_BYTES - self.size]
            super().append(kept)
            data = data[len(kept) :]
            if not data:
                return
            self.start_streaming()
        assert self.pipe is not None
        self.pipe.append(data)

    def start_streaming(self) -> None:
        """Makes what is appended from here on go through the pipe."""
        if self.pipe is None:
            self.pipe = Pipe(self.pool)

    def release_kept(self) -> None:
        """Returns the buffers of the kept part, which is not sent again."""
        super().release()

    def release(self) -> None:
        """Returns all buffers, and discards the pipe."""
        self.release_kept()
        if self.pipe is not None:
            self.pipe.discard()

    @property
    def is_partly_consumed(self) -> bool:
        """Whether some of it is gone for good, so that it can't be sent again."""
        return self.pipe is not None and self.pipe.has_been_consumed
