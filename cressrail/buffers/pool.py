"""The buffer pool, and containers of borrowed buffers for received data and for bodies."""

from __future__ import annotations

BUFFER_BYTES = 8192


class BufferPoolExhaustedError(Exception):
    """All buffers that the memory limit permits are lent out."""


class BufferPool:
    """Lends buffers of `BUFFER_BYTES` and keeps returned ones for reuse.

    Attributes:
        max_lent: Maximum number of buffers lent out at the same time.
        lent: Number of buffers currently lent out.
        free: Returned buffers that are kept for reuse.
    """

    def __init__(self, max_lent: int) -> None:
        self.max_lent = max_lent
        self.lent = 0
        self.free: list[bytearray] = []

    def borrow(self, may_exceed: bool = False) -> bytearray:
        """Lends a buffer, whose contents are undefined.

        Args:
            may_exceed: Whether to lend a buffer even if `max_lent` is reached, for data that has already
                been received.

        Raises:
            BufferPoolExhaustedError: `max_lent` is reached and `may_exceed` is false.
        """
        if self.lent >= self.max_lent and not may_exceed:
            raise BufferPoolExhaustedError
        self.lent += 1
        return self.free.pop() if self.free else bytearray(BUFFER_BYTES)

    def reserve(self, count: int) -> None:
        """Counts memory of another kind as `count` buffers that are lent out.

        Raises:
            BufferPoolExhaustedError: The limit would be exceeded.
        """
        if self.lent + count > self.max_lent:
            raise BufferPoolExhaustedError
        self.lent += count
        self.release_excess()

    def end_reservation(self, count: int) -> None:
        """Ends what `reserve` has begun."""
        self.lent -= count

    def release_excess(self) -> None:
        """Frees returned buffers that exceed what may still be lent."""
        del self.free[max(0, self.max_lent - self.lent) :]

    def return_buffer(self, buffer: bytearray) -> None:
        """Takes back a lent buffer; the caller must not keep a reference to it."""
        self.lent -= 1
        self.free.append(buffer)


class BufferChain:
    """A byte sequence, such as a body, stored in borrowed buffers that only `release` returns to the pool.

    Attributes:
        buffers: The buffers in order; all but the last are full.
        size: Number of bytes stored.
    """

    __slots__ = ("buffers", "pool", "size")

    def __init__(self, pool: BufferPool) -> None:
        self.pool = pool
        self.buffers: list[bytearray] = []
        self.size = 0

    def append(self, data: memoryview) -> None:
        """Copies data to the end.

        Raises:
            BufferPoolExhaustedError: The pool has no buffer left; the data copied up to then stays stored.
        """
        while data:
            offset = self.size % BUFFER_BYTES
            if offset == 0:
                self.buffers.append(self.pool.borrow())
            count = min(len(data), BUFFER_BYTES - offset)
            self.buffers[-1][offset : offset + count] = data[:count]
            self.size += count
            data = data[count:]

    def views(self) -> list[memoryview]:
        """Returns the stored bytes as views of the buffers, valid until `release`."""
        return [
            memoryview(buffer)[: min(BUFFER_BYTES, self.size - index * BUFFER_BYTES)]
            for index, buffer in enumerate(self.buffers)
        ]

    def release(self) -> None:
        """Returns all buffers to the pool; the chain is empty afterwards and may be released again."""
        buffers, self.buffers, self.size = self.buffers, [], 0
        for buffer in buffers:
            self.pool.return_buffer(buffer)


class ReceiveBuffer:
    """Bytes that have been received on a connection and not yet consumed.

    The buffer is borrowed when data is to be received and returned once all bytes are consumed, so that an
    idle connection holds no buffer.

    Attributes:
        buffer: The borrowed buffer; None once all bytes are consumed.
        start: Offset of the first unconsumed byte.
        end: Offset after the last received byte.
    """

    __slots__ = ("buffer", "end", "pool", "start")

    def __init__(self, pool: BufferPool) -> None:
        self.pool = pool
        self.buffer: bytearray | None = None
        self.start = self.end = 0

    def free_space(self) -> memoryview:
        """Returns the memory to receive into; it is empty if the buffer is full of unconsumed bytes.

        Raises:
            BufferPoolExhaustedError: A buffer has to be borrowed and the pool has none left.
        """
        if self.buffer is None:
            self.buffer = self.pool.borrow()
        if self.start:
            self.buffer[: self.end - self.start] = self.buffer[self.start : self.end]
            self.start, self.end = 0, self.end - self.start
        return memoryview(self.buffer)[self.end :]

    def add_received(self, count: int) -> None:
        """Records that `count` bytes were received into the memory returned by `free_space`."""
        self.end += count

    def unread(self) -> memoryview:
        """Returns a view of the unconsumed bytes, valid until the next call of another method."""
        if self.buffer is None:
            return memoryview(b"")
        return memoryview(self.buffer)[self.start : self.end]

    def consume(self, count: int) -> None:
        """Drops the first `count` unconsumed bytes; returns the buffer to the pool when none is left."""
        self.start += count
        if self.start == self.end:
            self.release()

    def release(self) -> None:
        """Drops all unconsumed bytes and returns the buffer to the pool."""
        if self.buffer is not None:
            self.pool.return_buffer(self.buffer)
        self.buffer, self.start, self.end = None, 0, 0
