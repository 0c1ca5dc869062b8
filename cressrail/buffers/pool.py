"""The pool that owns every buffer, and the holders of borrowed buffers for received data and for bodies."""

from __future__ import annotations

BUFFER_BYTES = 8192


class BufferPoolExhaustedError(Exception):
    """All buffers that the memory limit allows are lent out."""


class BufferPool:
    """Lends buffers of `BUFFER_BYTES` and keeps returned ones for reuse.

    Attributes:
        max_lent: Buffers that may be lent out at a time.
        lent: Buffers lent out now.
        free: Returned buffers.
    """

    def __init__(self, max_lent: int) -> None:
        self.max_lent = max_lent
        self.lent = 0
        self.free: list[bytearray] = []

    def borrow(self, may_exceed: bool = False) -> bytearray:
        """Lends a buffer; its contents are undefined.

        Args:
            may_exceed: Lend one beyond the bound too, for data that has been received already.

        Raises:
            BufferPoolExhaustedError: The bound is reached.
        """
        if self.lent >= self.max_lent and not may_exceed:
            raise BufferPoolExhaustedError
        self.lent += 1
        return self.free.pop() if self.free else bytearray(BUFFER_BYTES)

    def release_excess(self) -> None:
        """Frees the memory of returned buffers beyond the bound, after `max_lent` was lowered."""
        del self.free[max(0, self.max_lent - self.lent) :]

    def return_buffer(self, buffer: bytearray) -> None:
        """Takes back a lent buffer, to which the caller keeps no reference."""
        self.lent -= 1
        self.free.append(buffer)


class BufferChain:
    """Bytes in a row of borrowed buffers, such as a body; `release` is the one place where they return.

    Attributes:
        buffers: All full but the last.
        size: Bytes held.
    """

    __slots__ = ("buffers", "pool", "size")

    def __init__(self, pool: BufferPool) -> None:
        self.pool = pool
        self.buffers: list[bytearray] = []
        self.size = 0

    def append(self, data: memoryview) -> None:
        """Copies data to the end.

        Raises:
            BufferPoolExhaustedError: No buffer is left; what was copied before stays.
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
        """Returns the bytes as views of the buffers, valid until `release`."""
        return [
            memoryview(buffer)[: min(BUFFER_BYTES, self.size - index * BUFFER_BYTES)]
            for index, buffer in enumerate(self.buffers)
        ]

    def release(self) -> None:
        """Returns all buffers; the chain is empty afterwards and may be released again."""
        buffers, self.buffers, self.size = self.buffers, [], 0
        for buffer in buffers:
            self.pool.return_buffer(buffer)


class ReceiveBuffer:
    """What has been received on a connection and not yet consumed.

    Its buffer is borrowed for reading and returned as soon as all is consumed, so that an idle connection
    holds none.

    Attributes:
        buffer: The borrowed buffer, if any.
        start: Offset of the first unconsumed byte.
        end: Offset after the last received byte.
    """

    __slots__ = ("buffer", "end", "pool", "start")

    def __init__(self, pool: BufferPool) -> None:
        self.pool = pool
        self.buffer: bytearray | None = None
        self.start = self.end = 0

    def free_space(self) -> memoryview:
        """Returns where to receive to; empty when the buffer is full of unconsumed bytes.

        Raises:
            BufferPoolExhaustedError: A buffer is needed and none is left.
        """
        if self.buffer is None:
            self.buffer = self.pool.borrow()
        if self.start:
            self.buffer[: self.end - self.start] = self.buffer[self.start : self.end]
            self.start, self.end = 0, self.end - self.start
        return memoryview(self.buffer)[self.end :]

    def add_received(self, count: int) -> None:
        """Counts bytes that were received into `free_space`."""
        self.end += count

    def unread(self) -> memoryview:
        """Returns the unconsumed bytes, valid until the next call of another method."""
        if self.buffer is None:
            return memoryview(b"")
        return memoryview(self.buffer)[self.start : self.end]

    def consume(self, count: int) -> None:
        """Drops the first `count` unconsumed bytes; returns the buffer when none is left."""
        self.start += count
        if self.start == self.end:
            self.release()

    def release(self) -> None:
        """Drops all and returns the buffer."""
        if self.buffer is not None:
            self.pool.return_buffer(self.buffer)
        self.buffer, self.start, self.end = None, 0, 0
