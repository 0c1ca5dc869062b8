"""The body of a message, of any framing, split at any byte."""

from __future__ import annotations

from typing import Protocol

from cressrail.http1.headers import MalformedMessageError

MAX_BODY_BYTES = 1 << 30  # bytes of a body
MAX_CHUNK_LINE_BYTES = 1024  # bytes of a line between chunks


class Sink(Protocol):
    def append(self, data: memoryview, /) -> None: ...


class BodyReader:
    """Takes what belongs to the body; `done` once it is whole."""

    is_complete = False

    def __init__(self, sink: Sink, most: int) -> None:
        self.sink = sink
        self.max_bytes = most
        self.received_bytes = 0

    def feed(self, data: memoryview) -> int:
        raise NotImplementedError

    def on_connection_closed(self) -> None:
        raise MalformedMessageError(400, "ends inside a body")

    def _append(self, data: memoryview) -> None:
        self.received_bytes += len(data)
        if self.received_bytes > self.max_bytes:
            raise MalformedMessageError(413, "body too large")
        self.sink.append(data)


class ContentLengthReader(BodyReader):
    def __init__(self, sink: Sink, most: int, size: int) -> None:
        super().__init__(sink, most)
        if size > most:
            raise MalformedMessageError(413, "body too large")
        self.remaining_bytes = size
        self.done = size == 0

    def take(self, data: memoryview) -> int:
        n = min(self.remaining_bytes, len(data))
        self._append(data[:n])
        self.remaining_bytes -= n
        self.done = self.remaining_bytes == 0
        return n


class UntilCloseReader(BodyReader):
    def take(self, data: memoryview) -> int:
        self._append(data)
        return len(data)

    def ended(self) -> None:
        self.done = True


class ChunkedReader(BodyReader):
    def __init__(self, sink: Sink, most: int) -> None:
        super().__init__(sink, most)
        self.remaining_bytes = 0  # of the chunk
        self.state = "size"
        self.trailer_lines = 0

    def take(self, data: memoryview) -> int:
        used = 0
        while used < len(data) and not self.done:
            if self.state == "data":
                n = min(self.remaining_bytes, len(data) - used)
                self._append(data[used : used + n])
                used += n
                self.remaining_bytes -= n
                if self.remaining_bytes == 0:
                    self.state = "after"
                continue
            head = bytes(data[used : used + MAX_CHUNK_LINE_BYTES + 2])
            end = head.find(b"\r\n")
            if end < 0:
                if len(head) > MAX_CHUNK_LINE_BYTES:
                    raise MalformedMessageError(400, "chunk that is none")
                return used
            used += end + 2
            self._line(head[:end])
        return used

    def _line(self, line: bytes) -> None:
        if self.state == "after":
            if line:
                raise MalformedMessageError(400, "chunk that is none")
            self.state = "size"
        elif self.state == "trailer":
            self.trailer_lines += 1
            if self.trailer_lines > 64:
                raise MalformedMessageError(431, "too many trailers")
            self.done = not line
        else:
            size = line.partition(b";")[0].strip()
            if not 0 < len(size) <= 8 or any(c not in b"0123456789abcdefABCDEF" for c in size):
                raise MalformedMessageError(400, "chunk that is none")
            self.remaining_bytes = int(size, 16)
            self.state = "data" if self.remaining_bytes else "trailer"


def encode_chunk(parts: list[memoryview], size: int) -> list[memoryview]:
    """These bytes as one chunk; nothing of none, which would end the body."""
    return [memoryview(b"%x\r\n" % size), *parts, memoryview(b"\r\n")] if size else []
