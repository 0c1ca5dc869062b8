"""Incremental readers for message bodies, one for each kind of framing."""

from __future__ import annotations

from typing import Protocol

from cressrail.http1.errors import (
    ContentTooLargeError,
    HeaderSectionTooLargeError,
    IncompleteMessageError,
    MalformedMessageError,
)

MAX_BODY_BYTES = 1 << 30
MAX_CHUNK_LINE_BYTES = 1024  # length of a chunk size line, with its extensions, or of a trailer line
MAX_CHUNK_SIZE_DIGITS = 8
MAX_TRAILER_LINES = 64
MAX_LINES_PER_FEED = 64  # chunk size, chunk end and trailer lines
HEX_DIGITS = b"0123456789abcdefABCDEF"

# States of `ChunkedReader`, named after the element that it expects next. The last chunk, whose size is
# zero, is followed by the trailer section.
CHUNK_SIZE, CHUNK_DATA, CHUNK_END, TRAILER = "chunk size", "chunk data", "chunk end", "trailer"


class Sink(Protocol):
    """Destination for the content of a body."""

    def append(self, data: memoryview, /) -> None:
        """Stores the bytes; the view is valid only during the call."""


class BodyReader:
    """Base class of the readers: decodes the framing of one body and passes its content to a sink.

    Attributes:
        is_complete: Whether the whole body has been received.
        received_bytes: Number of content bytes passed to the sink so far.
    """

    is_complete = False

    def __init__(self, sink: Sink, max_bytes: int) -> None:
        """Creates a reader that refuses a body whose content exceeds `max_bytes`."""
        self.sink = sink
        self.max_bytes = max_bytes
        self.received_bytes = 0

    def feed(self, data: memoryview) -> int:
        """Parses received bytes.

        Returns:
            The number of bytes consumed; the caller must pass the remaining ones again in the next call, at
            once if any were consumed: the work of a call is bounded.

        Raises:
            MalformedMessageError: The framing of the body is malformed, or the body is too large.
        """
        raise NotImplementedError

    def on_connection_closed(self) -> None:
        """Handles the end of the connection while the body is incomplete.

        Raises:
            IncompleteMessageError: The framing of this body marks its end, which has not been received.
        """
        raise IncompleteMessageError("connection closed before the end of the body")

    def _append(self, data: memoryview) -> None:
        self.received_bytes += len(data)
        if self.received_bytes > self.max_bytes:
            raise ContentTooLargeError(f"body exceeds {self.max_bytes} bytes")
        self.sink.append(data)


class ContentLengthReader(BodyReader):
    """Reads a body whose length is given by Content-Length."""

    def __init__(self, sink: Sink, max_bytes: int, content_length: int) -> None:
        """Creates a reader of `content_length` bytes.

        Raises:
            ContentTooLargeError: `content_length` exceeds `max_bytes`.
        """
        super().__init__(sink, max_bytes)
        if content_length > max_bytes:
            raise ContentTooLargeError(f"content-length {content_length} exceeds {max_bytes} bytes")
        self.remaining_bytes = content_length
        self.is_complete = content_length == 0

    def feed(self, data: memoryview) -> int:
        """Consumes bytes up to the end of the body."""
        count = min(self.remaining_bytes, len(data))
        self._append(data[:count])
        self.remaining_bytes -= count
        self.is_complete = self.remaining_bytes == 0
        return count


class UntilCloseReader(BodyReader):
    """Reads a body that ends when the connection is closed."""

    def feed(self, data: memoryview) -> int:
        """Consumes all bytes."""
        self._append(data)
        return len(data)

    def on_connection_closed(self) -> None:
        """Marks the body as complete."""
        self.is_complete = True


class ChunkedReader(BodyReader):
    """Reads a body in the chunked transfer coding (RFC 9112, section 7.1).

    Chunk extensions and trailer fields are discarded.
    """

    def __init__(self, sink: Sink, max_bytes: int) -> None:
        """Creates a reader that refuses more than `max_bytes` of content."""
        super().__init__(sink, max_bytes)
        self.remaining_bytes = 0  # bytes of the current chunk that have not been received yet
        self.state = CHUNK_SIZE
        self.trailer_lines = 0

    def feed(self, data: memoryview) -> int:
        """Consumes chunk data and at most `MAX_LINES_PER_FEED` lines; an incomplete line stays unconsumed."""
        used = lines = 0
        while used < len(data) and lines < MAX_LINES_PER_FEED and not self.is_complete:
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
                    raise MalformedMessageError(f"chunk or trailer line exceeds {MAX_CHUNK_LINE_BYTES} bytes")
                return used
            used += end + 2
            lines += 1
            self._parse_line(text[:end])
        return used

    def _parse_line(self, line: bytes) -> None:
        if self.state == CHUNK_END:
            if line:
                raise MalformedMessageError("chunk data is longer than the chunk size")
            self.state = CHUNK_SIZE
        elif self.state == TRAILER:
            self.trailer_lines += 1
            if self.trailer_lines > MAX_TRAILER_LINES:
                raise HeaderSectionTooLargeError(f"trailer section exceeds {MAX_TRAILER_LINES} lines")
            self.is_complete = not line
        else:
            self.remaining_bytes = _parse_chunk_size(line)
            self.state = CHUNK_DATA if self.remaining_bytes else TRAILER


def _parse_chunk_size(line: bytes) -> int:
    size = line.partition(b";")[0].strip()
    if not 0 < len(size) <= MAX_CHUNK_SIZE_DIGITS or any(digit not in HEX_DIGITS for digit in size):
        raise MalformedMessageError(f"chunk size is not 1 to {MAX_CHUNK_SIZE_DIGITS} hexadecimal digits")
    return int(size, 16)


def encode_chunk(parts: list[memoryview], size: int) -> list[memoryview]:
    """Encodes content as one chunk.

    Args:
        parts: The content, in order.
        size: Total length of `parts` in bytes.

    Returns:
        The views to send. The list is empty when `size` is zero, because a chunk of size zero would end the
        body.
    """
    return [memoryview(b"%x\r\n" % size), *parts, memoryview(b"\r\n")] if size else []
