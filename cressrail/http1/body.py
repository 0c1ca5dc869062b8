"""The body of a message, of any framing, split at any byte."""

from __future__ import annotations

from typing import Protocol

from cressrail.http1.head import MalformedMessageError

MOST = 1 << 30  # bytes of a body
LINE = 1024  # bytes of a line between chunks


class Sink(Protocol):
    def append(self, data: memoryview, /) -> None: ...


class Body:
    """Takes what belongs to the body; `done` once it is whole."""

    done = False

    def __init__(self, sink: Sink, most: int) -> None:
        self.sink = sink
        self.most = most
        self.seen = 0

    def take(self, data: memoryview) -> int:
        raise NotImplementedError

    def ended(self) -> None:
        raise MalformedMessageError(400, "ends inside a body")

    def _add(self, data: memoryview) -> None:
        self.seen += len(data)
        if self.seen > self.most:
            raise MalformedMessageError(413, "body too large")
        self.sink.append(data)


class Counted(Body):
    def __init__(self, sink: Sink, most: int, size: int) -> None:
        super().__init__(sink, most)
        if size > most:
            raise MalformedMessageError(413, "body too large")
        self.left = size
        self.done = size == 0

    def take(self, data: memoryview) -> int:
        n = min(self.left, len(data))
        self._add(data[:n])
        self.left -= n
        self.done = self.left == 0
        return n


class UntilEnd(Body):
    def take(self, data: memoryview) -> int:
        self._add(data)
        return len(data)

    def ended(self) -> None:
        self.done = True


class Chunked(Body):
    def __init__(self, sink: Sink, most: int) -> None:
        super().__init__(sink, most)
        self.left = 0  # of the chunk
        self.at = "size"
        self.trailers = 0

    def take(self, data: memoryview) -> int:
        used = 0
        while used < len(data) and not self.done:
            if self.at == "data":
                n = min(self.left, len(data) - used)
                self._add(data[used : used + n])
                used += n
                self.left -= n
                if self.left == 0:
                    self.at = "after"
                continue
            head = bytes(data[used : used + LINE + 2])
            end = head.find(b"\r\n")
            if end < 0:
                if len(head) > LINE:
                    raise MalformedMessageError(400, "chunk that is none")
                return used
            used += end + 2
            self._line(head[:end])
        return used

    def _line(self, line: bytes) -> None:
        if self.at == "after":
            if line:
                raise MalformedMessageError(400, "chunk that is none")
            self.at = "size"
        elif self.at == "trailer":
            self.trailers += 1
            if self.trailers > 64:
                raise MalformedMessageError(431, "too many trailers")
            self.done = not line
        else:
            size = line.partition(b";")[0].strip()
            if not 0 < len(size) <= 8 or any(c not in b"0123456789abcdefABCDEF" for c in size):
                raise MalformedMessageError(400, "chunk that is none")
            self.left = int(size, 16)
            self.at = "data" if self.left else "trailer"


def chunk(parts: list[memoryview], size: int) -> list[memoryview]:
    """These bytes as one chunk; nothing of none, which would end the body."""
    return [memoryview(b"%x\r\n" % size), *parts, memoryview(b"\r\n")] if size else []
