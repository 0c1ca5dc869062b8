"""The body of a message, of any framing, received in pieces of any size."""

from __future__ import annotations

from typing import Protocol

from cressrail.http1.errors import (
    ContentTooLargeError,
    HeaderSectionTooLargeError,
    IncompleteMessageError,
    MalformedMessageError,
)

MAX_BODY_BYTES = 1 << 30
MAX_CHUNK_LINE_BYTES = 1024  # of a line between chunks, or of a trailer
MAX_CHUNK_SIZE_DIGITS = 8
MAX_TRAILER_LINES = 64
HEX_DIGITS = b"0123456789abcdefABCDEF"

# States of `ChunkedReader`: what comes next. The last chunk, of no bytes, leads to the trailer section.
CHUNK_SIZE, CHUNK_DATA, CHUNK_END, TRAILER = "chunk size", "chunk data", "chunk end", "trailer"


class Sink(Protocol):
    """Where the bytes of a body go."""

    def append(self, data: memoryview, /) -> None:
        """Takes bytes; the view is valid during the call."""


class BodyReader:
    """Takes what belongs to a body and passes its bytes to a sink.

    Attributes:
        is_complete: The body is whole.
        received_bytes: Passed to the sink so far.
    """

    is_complete = False

    def __init__(self, sink: Sink, max_bytes: int) -> None:
        """Makes a reader that refuses a body of more than `max_bytes`."""
        self.sink = sink
        self.max_bytes = max_bytes
        self.received_bytes = 0

    def feed(self, data: memoryview) -> int:
        """Takes received bytes.

        Returns:
            How many of them were consumed; the others come again with the next call.

        Raises:
            MalformedMessageError: They are no body.
        """
        raise NotImplementedError

    def on_connection_closed(self) -> None:
        """Says that no more will come, before the body is complete.

        Raises:
            IncompleteMessageError: The end of the connection does not end this body.
        """
        raise IncompleteMessageError("ends inside a body")

    def _append(self, data: memoryview) -> None:
        self.received_bytes += len(data)
        if self.received_bytes > self.max_bytes:
            raise ContentTooLargeError("body too large")
        self.sink.append(data)


class ContentLengthReader(BodyReader):
    """A body of a stated length."""

    def __init__(self, sink: Sink, max_bytes: int, content_length: int) -> None:
        """Makes a reader of `content_length` bytes.

        Raises:
            ContentTooLargeError: More are stated than may be taken.
        """
        super().__init__(sink, max_bytes)
        if content_length > max_bytes:
            raise ContentTooLargeError("body too large")
        self.remaining_bytes = content_length
        self.is_complete = content_length == 0

    def feed(self, data: memoryview) -> int:
        """Takes the bytes that the body still lacks."""
        count = min(self.remaining_bytes, len(data))
        self._append(data[:count])
        self.remaining_bytes -= count
        self.is_complete = self.remaining_bytes == 0
        return count


class UntilCloseReader(BodyReader):
    """A body that ends with the connection."""

    def feed(self, data: memoryview) -> int:
        """Takes all bytes."""
        self._append(data)
        return len(data)

    def on_connection_closed(self) -> None:
        """Ends the body."""
        self.is_complete = True


class ChunkedReader(BodyReader):
    """A body in chunked transfer coding (RFC 9112, section 7.1); extensions and trailers are dropped."""

    def __init__(self, sink: Sink, max_bytes: int) -> None:
        """Makes a reader that refuses more than `max_bytes` of content."""
        super().__init__(sink, max_bytes)
        self.remaining_bytes = 0  # of the chunk
        self.state = CHUNK_SIZE
        self.trailer_lines = 0

    def feed(self, data: memoryview) -> int:
        """Takes whole lines and the content between them."""
        used = 0
        while used < len(data) and not self.is_complete:
            if self.state == CHUNK_DATA:
                count = min(self.remaining_bytes, len(data) - used)
                self._append(data[used : used + count])
                used += count
                self.remaining_bytes -= count
                if self.remaining_bytes == 0:
                    self.state = CHUNK_END
                continue
            text = bytes(data[used : used + MAX_CHUNK_LINE_BYTES + 2])
            end = text.find(b"\r\n")
            if end < 0:
                if len(text) > MAX_CHUNK_LINE_BYTES:
                    raise MalformedMessageError("chunk that is none")
                return used
            used += end + 2
            self._take_line(text[:end])
        return used

    def _take_line(self, line: bytes) -> None:
        if self.state == CHUNK_END:
            if line:
                raise MalformedMessageError("chunk that is none")
            self.state = CHUNK_SIZE
        elif self.state == TRAILER:
            self.trailer_lines += 1
            if self.trailer_lines > MAX_TRAILER_LINES:
                raise HeaderSectionTooLargeError("too many trailers")
            self.is_complete = not line
        else:
            self.remaining_bytes = _parse_chunk_size(line)
            self.state = CHUNK_DATA if self.remaining_bytes else TRAILER


def _parse_chunk_size(line: bytes) -> int:
    size = line.partition(b";")[0].strip()
    if not 0 < len(size) <= MAX_CHUNK_SIZE_DIGITS or any(digit not in HEX_DIGITS for digit in size):
        raise MalformedMessageError("chunk that is none")
    return int(size, 16)


def encode_chunk(parts: list[memoryview], size: int) -> list[memoryview]:
    """Returns `size` bytes of content as one chunk; no chunk for no bytes, which would end the body."""
    return [memoryview(b"%x\r\n" % size), *parts, memoryview(b"\r\n")] if size else []
