"""Streaming of large bodies through a bounded queue between the receiving and the sending task."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from cressrail.buffers.pool import BUFFER_BYTES, BufferChain, BufferPool

KEPT_BODY_BYTES = 65536  # a body up to this size is kept, so that its request can be sent again
FIELDS_PER_BUFFER = 32  # a parsed field takes 256 bytes, with its name, value and look-up entry
MAX_PIPE_BUFFERS = 8  # the writer checks `has_room` against this limit before it receives more data
WIDE_PIPE_BUFFERS = 32  # the same for a pipe that was widened


class Pipe:
    """A bounded queue of bytes between two tasks.

    The writer calls `append`, and finally `close` or `fail`. The reader calls `views` and `consume`, or
    `discard`. None of these calls blocks: a task that has to wait for the other one sets `on_data` or
    `on_room`, which is called once and then cleared. Buffers return to the pool when their bytes are
    consumed, or all at once by `discard`.

    Attributes:
        is_closed: Whether the writer has appended the whole body.
        has_failed: Whether the writer has reported that it can't provide the rest of the body.
        is_discarded: Whether the reader has stopped reading; appended data is then dropped.
        has_been_consumed: Whether some bytes have been consumed and can't be read again.
        max_buffers: Number of buffers from which the writer waits.
        on_data: Callback for the reader, called when more data is available or none will follow.
        on_room: Callback for the writer, called when more data may be appended.
    """

    __slots__ = (
        "buffers",
        "end",
        "has_been_consumed",
        "has_failed",
        "is_closed",
        "is_discarded",
        "max_buffers",
        "on_data",
        "on_room",
        "pool",
        "start",
    )

    def __init__(self, pool: BufferPool) -> None:
        self.pool = pool
        self.buffers: deque[bytearray] = deque()
        # Offsets of the first unconsumed byte in the first buffer and of the end of the data in the last one.
        self.start = self.end = 0
        self.is_closed = self.has_failed = self.is_discarded = False
        self.has_been_consumed = False
        self.max_buffers = MAX_PIPE_BUFFERS
        self.on_data: Callable[[], None] | None = None
        self.on_room: Callable[[], None] | None = None

    def has_room(self) -> bool:
        """Returns whether the writer may receive more data.

        This is always true for a discarded pipe, because its data is dropped.
        """
        return self.is_discarded or (
            len(self.buffers) < self.max_buffers and self.pool.lent < self.pool.max_lent
        )

    def is_full(self) -> bool:
        """Returns whether the pipe holds its maximum number of buffers, so that its reader must free some.

        Unlike `has_room`, this does not depend on whether the pool has buffers left.
        """
        return len(self.buffers) >= self.max_buffers

    def widen(self) -> None:
        """Lets the writer append up to `WIDE_PIPE_BUFFERS`, as far as the pool has them."""
        self.max_buffers = WIDE_PIPE_BUFFERS
        self._wake_writer()

    def append(self, data: memoryview) -> None:
        """Copies data to the end of the queue and calls `on_data`.

        Data that has been received must be stored, so the pool's limit is exceeded if necessary. The excess
        is at most one buffer, because the writer checks `has_room` before it receives.
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
        """Marks the body as completely appended and calls `on_data`."""
        self.is_closed = True
        self._wake_reader()

    def fail(self) -> None:
        """Marks the rest of the body as unavailable and calls `on_data`."""
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
        """Ends reading: returns all buffers to the pool and calls `on_room`."""
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
    """A body whose first `KEPT_BODY_BYTES` bytes are kept; any further bytes are passed through a pipe.

    Attributes:
        pipe: Pipe for the bytes that are not kept; None as long as the whole body is kept.
        reserved: Buffers for which the fields of the body's message count.
    """

    __slots__ = ("pipe", "reserved")

    def __init__(self, pool: BufferPool) -> None:
        super().__init__(pool)
        self.pipe: Pipe | None = None
        self.reserved = 0

    def reserve_fields(self, count: int) -> None:
        """Counts the fields of the body's message as memory that is lent out, until `release`.

        Raises:
            BufferPoolExhaustedError: The pool has too little left.
        """
        buffers = count // FIELDS_PER_BUFFER
        if buffers:
            self.pool.reserve(buffers)
            self.reserved += buffers

    def append(self, data: memoryview) -> None:
        """Copies data to the kept part, and any data beyond its limit to the pipe.

        Raises:
            BufferPoolExhaustedError: The pool has no buffer left for the kept part.
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
        """Creates the pipe, through which all data appended from now on is passed."""
        if self.pipe is None:
            self.pipe = Pipe(self.pool)

    def release_kept(self) -> None:
        """Returns the buffers of the kept part to the pool; the body can't be sent again afterwards."""
        super().release()

    def release(self) -> None:
        """Returns all buffers to the pool and discards the pipe."""
        self.release_kept()
        if self.reserved:
            self.pool.end_reservation(self.reserved)
            self.reserved = 0
        if self.pipe is not None:
            self.pipe.discard()

    @property
    def is_partly_consumed(self) -> bool:
        """Whether part of the body has been consumed from the pipe, so that it can't be sent again."""
        return self.pipe is not None and self.pipe.has_been_consumed
