"""Responses: as an endpoint or discovery sends them, and as they are sent to a client."""

from __future__ import annotations

from typing import NamedTuple

from cressrail.buffers.pipe import StreamingBody
from cressrail.buffers.pool import BufferChain
from cressrail.http1.body import BodyReader, ChunkedReader, ContentLengthReader, Sink, UntilCloseReader
from cressrail.http1.errors import AmbiguousMessageError, IncompleteMessageError, MalformedMessageError
from cressrail.http1.headers import Headers, list_items, parse_content_length, parse_head

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}
SWITCHING_PROTOCOLS, NO_CONTENT, NOT_MODIFIED = 101, 204, 304
FIRST_INTERIM_STATUS, FIRST_FINAL_STATUS = 100, 200
STATUS_DIGITS = 3
US_PER_S = 1e6


class Response(NamedTuple):
    """A response to a client.

    Attributes:
        status: Three digits.
        body: Of an endpoint's response, if it succeeded.
        content_type: Of the body; empty where none is named.
        retry_after_us: After which the client may try again; zero where nothing is said about it.
        content_length: In bytes, of a body that is still being received, where its endpoint has stated it.
    """

    status: int
    body: BufferChain | None = None
    content_type: bytes = b""
    retry_after_us: int = 0
    content_length: int | None = None

    @property
    def is_streaming(self) -> bool:
        """Whether a part of the body goes through a pipe."""
        return isinstance(self.body, StreamingBody) and self.body.pipe is not None

    def is_chunked(self, is_http11: bool) -> bool:
        """Returns whether the body is sent in chunks.

        Args:
            is_http11: The client reads HTTP/1.1; for another, the end of the connection ends such a body.
        """
        return self.is_streaming and self.content_length is None and is_http11

    def encode_head(self, keep_alive: bool, is_http11: bool = True) -> bytes:
        """Returns status line and header section; `keep_alive`: the connection is used further."""
        size = (self.content_length if self.is_streaming else self.body.size) if self.body else 0
        lines = [b"HTTP/1.1 %d %s" % (self.status, REASON_PHRASES.get(self.status, b"-"))]
        if size is not None:
            lines.append(b"content-length: %d" % size)
        elif is_http11:
            lines.append(b"transfer-encoding: chunked")
        if self.content_type:
            lines.append(b"content-type: " + self.content_type)
        if self.retry_after_us:
            lines.append(b"retry-after: %.3f" % (self.retry_after_us / US_PER_S))
        if not keep_alive:
            lines.append(b"connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n"


class ResponseReader:
    """Parses one response from the bytes received on a connection.

    States: before the head is whole (`has_head` is False); in the body; complete (`is_complete`). Interim
    responses are passed over.

    Attributes:
        status: Of the final response; zero before its head is whole.
        headers: Its fields.
        keep_alive: The connection may be used again after it.
        content_length: Stated for the body, in bytes, if any.
    """

    def __init__(self, sink: Sink, max_body_bytes: int, answers_head: bool = False) -> None:
        """Makes a reader that passes the body to a sink.

        Args:
            sink: Takes the body.
            max_body_bytes: A longer body is refused.
            answers_head: The request was a HEAD, whose response has no body.
        """
        self.sink = sink
        self.max_body_bytes = max_body_bytes
        self.answers_head = answers_head
        self.status = 0
        self.headers = Headers()
        self.keep_alive = False
        self.content_length: int | None = None
        self._body: BodyReader | None = None

    @property
    def is_complete(self) -> bool:
        """Whether the response is whole."""
        return self._body is not None and self._body.is_complete

    @property
    def has_head(self) -> bool:
        """Whether the head of the final response is whole."""
        return self._body is not None

    def header(self, name: bytes) -> bytes:
        """Returns the first value of a field; empty where there is none."""
        return self.headers.first_values.get(name, b"")

    def feed(self, data: memoryview) -> int:
        """Takes received bytes.

        Returns:
            How many of them were consumed; the others come again with the next call.

        Raises:
            MalformedMessageError: They are no response.
        """
        used = 0
        while self._body is None:
            found = parse_head(data[used:])
            if found is None:
                return used
            used += found[0]
            self._start_body(found[1], found[2])
        if not self._body.is_complete:
            used += self._body.feed(data[used:])
        return used

    def on_connection_closed(self) -> None:
        """Says that no more will come; ends a body that nothing else bounds.

        Raises:
            IncompleteMessageError: The response is cut.
        """
        if self._body is None:
            raise IncompleteMessageError("ends before a whole answer")
        if not self._body.is_complete:
            self._body.on_connection_closed()
        self.keep_alive = False

    def _start_body(self, status_line: bytes, headers: Headers) -> None:
        """Reads a head and, unless it is of an interim response, chooses the body's framing."""
        version, status = _parse_status_line(status_line)
        if FIRST_INTERIM_STATUS <= status < FIRST_FINAL_STATUS and status != SWITCHING_PROTOCOLS:
            return
        self.status, self.headers = status, headers
        options = list_items(headers, b"connection")
        is_kept_by_default = version == b"HTTP/1.1"
        self.keep_alive = b"close" not in options and (is_kept_by_default or b"keep-alive" in options)
        content_length, codings = parse_content_length(headers), list_items(headers, b"transfer-encoding")
        if codings and (content_length is not None or codings != [b"chunked"]):
            raise AmbiguousMessageError("framing that may be read in two ways")
        if self.answers_head or status in (NO_CONTENT, NOT_MODIFIED):
            self._body = ContentLengthReader(self.sink, self.max_body_bytes, 0)
        elif codings:
            self._body = ChunkedReader(self.sink, self.max_body_bytes)
        elif content_length is not None:
            self.content_length = content_length
            self._body = ContentLengthReader(self.sink, self.max_body_bytes, content_length)
        else:
            self._body = UntilCloseReader(self.sink, self.max_body_bytes)


def _parse_status_line(line: bytes) -> tuple[bytes, int]:
    """Returns version and status."""
    version, _, rest = line.partition(b" ")
    status = rest.partition(b" ")[0]
    if version not in (b"HTTP/1.1", b"HTTP/1.0") or len(status) != STATUS_DIGITS or not status.isdigit():
        raise MalformedMessageError("first line that is none")
    return version, int(status)
