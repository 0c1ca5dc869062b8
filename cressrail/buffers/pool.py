"""The pool that owns every buffer, and chains of buffers that hold a body."""

from __future__ import annotations

BUFFER_BYTES = 8192


class BufferPoolExhaustedError(Exception):
    """All that the memory limit allows is lent out."""


class BufferPool:
    def __init__(self, most: int) -> None:
        self.max_lent = most
        self.lent = 0
        self.free: list[bytearray] = []

    def borrow(self, may_exceed: bool = False) -> bytearray:
        """`over`: also beyond the bound, for what has been read already."""
        if self.lent >= self.max_lent and not may_exceed:
            raise BufferPoolExhaustedError
        self.lent += 1
        return self.free.pop() if self.free else bytearray(BUFFER_BYTES)

    def release_excess(self) -> None:
        """Gives what is free beyond the bound back to the system."""
        del self.free[max(0, self.max_lent - self.lent) :]

    def return_buffer(self, buffer: bytearray) -> None:
        self.lent -= 1
        self.free.append(buffer)


class BufferChain:
    """Bytes in buffers; `give_back` is the one place where they return."""

    __slots__ = ("buffers", "pool", "size")

    def __init__(self, pool: BufferPool) -> None:
        self.pool = pool
        self.buffers: list[bytearray] = []
        self.size = 0

    def append(self, data: memoryview) -> None:
        while data:
            at = self.size % BUFFER_BYTES
            if at == 0:
                self.buffers.append(self.pool.borrow())
            n = min(len(data), BUFFER_BYTES - at)
            self.buffers[-1][at : at + n] = data[:n]
            self.size += n
            data = data[n:]

    def views(self) -> list[memoryview]:
        return [
            memoryview(part)[: min(BUFFER_BYTES, self.size - k * BUFFER_BYTES)]
            for k, part in enumerate(self.buffers)
        ]

    def release(self) -> None:
        parts, self.buffers, self.size = self.buffers, [], 0
        for part in parts:
            self.pool.return_buffer(part)


class ReceiveBuffer:
    """What has been read of a connection and not yet used; its buffer is held only while it is needed."""

    __slots__ = ("buffer", "end", "pool", "start")

    def __init__(self, pool: BufferPool) -> None:
        self.pool = pool
        self.buffer: bytearray | None = None
        self.start = self.end = 0

    def free_space(self) -> memoryview:
        """Where to read to; empty when the buffer is full of what nobody has used."""
        if self.buffer is None:
            self.buffer = self.pool.borrow()
        if self.start:
            self.buffer[: self.end - self.start] = self.buffer[self.start : self.end]
            self.start, self.end = 0, self.end - self.start
        return memoryview(self.buffer)[self.end :]

    def add_received(self, n: int) -> None:
        self.end += n

    def unread(self) -> memoryview:
        return memoryview(self.buffer)[self.start : self.end] if self.buffer is not None else memoryview(b"")

    def consume(self, n: int) -> None:
        self.start += n
        if self.start == self.end:
            self.release()

    def release(self) -> None:
        if self.buffer is not None:
            self.pool.return_buffer(self.buffer)
        self.buffer, self.start, self.end = None, 0, 0
