"""The pool that owns every buffer, and chains of buffers that hold a body."""

from __future__ import annotations

SIZE = 8192


class BufferPoolExhaustedError(Exception):
    """All that the memory limit allows is lent out."""


class Pool:
    def __init__(self, most: int) -> None:
        self.most = most
        self.lent = 0
        self.free: list[bytearray] = []

    def take(self, over: bool = False) -> bytearray:
        """`over`: also beyond the bound, for what has been read already."""
        if self.lent >= self.most and not over:
            raise BufferPoolExhaustedError
        self.lent += 1
        return self.free.pop() if self.free else bytearray(SIZE)

    def trim(self) -> None:
        """Gives what is free beyond the bound back to the system."""
        del self.free[max(0, self.most - self.lent) :]

    def give(self, buffer: bytearray) -> None:
        self.lent -= 1
        self.free.append(buffer)


class Chain:
    """Bytes in buffers; `give_back` is the one place where they return."""

    __slots__ = ("parts", "pool", "size")

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.parts: list[bytearray] = []
        self.size = 0

    def add(self, data: memoryview) -> None:
        while data:
            at = self.size % SIZE
            if at == 0:
                self.parts.append(self.pool.take())
            n = min(len(data), SIZE - at)
            self.parts[-1][at : at + n] = data[:n]
            self.size += n
            data = data[n:]

    def views(self) -> list[memoryview]:
        return [memoryview(part)[: min(SIZE, self.size - k * SIZE)] for k, part in enumerate(self.parts)]

    def give_back(self) -> None:
        parts, self.parts, self.size = self.parts, [], 0
        for part in parts:
            self.pool.give(part)


class Inlet:
    """What has been read of a connection and not yet used; its buffer is held only while it is needed."""

    __slots__ = ("buffer", "hi", "lo", "pool")

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.buffer: bytearray | None = None
        self.lo = self.hi = 0

    def room(self) -> memoryview:
        """Where to read to; empty when the buffer is full of what nobody has used."""
        if self.buffer is None:
            self.buffer = self.pool.take()
        if self.lo:
            self.buffer[: self.hi - self.lo] = self.buffer[self.lo : self.hi]
            self.lo, self.hi = 0, self.hi - self.lo
        return memoryview(self.buffer)[self.hi :]

    def came(self, n: int) -> None:
        self.hi += n

    def unread(self) -> memoryview:
        return memoryview(self.buffer)[self.lo : self.hi] if self.buffer is not None else memoryview(b"")

    def use(self, n: int) -> None:
        self.lo += n
        if self.lo == self.hi:
            self.give_back()

    def give_back(self) -> None:
        if self.buffer is not None:
            self.pool.give(self.buffer)
        self.buffer, self.lo, self.hi = None, 0, 0
