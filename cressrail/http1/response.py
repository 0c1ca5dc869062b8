"""HTTP responses: a parser for those of endpoints and discovery, and an encoder for those to clients."""

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
        status: Three-digit status code.
        body: Body of the endpoint's response if the request succeeded, otherwise None.
        content_type: Value of the Content-Type field; empty if the endpoint did not send the field.
        retry_after_us: Time in microseconds after which the client may retry; zero omits the Retry-After
            field.
        content_length: Length in bytes of a body that is still being received; None if the endpoint did not
            state it.
    """

    status: int
    body: BufferChain | None = None
    content_type: bytes = b""
    retry_after_us: int = 0
    content_length: int | None = None

    @property
    def is_streaming(self) -> bool:
        """Whether part of the body is passed through a pipe."""
        return isinstance(self.body, StreamingBody) and self.body.pipe is not None

    def is_chunked(self, is_http11: bool) -> bool:
        """Returns whether the body is sent in chunks.

        Args:
            is_http11: Whether the client uses HTTP/1.1. For an HTTP/1.0 client a body of unknown length ends
                when the connection is closed.
        """
        return self.is_streaming and self.content_length is None and is_http11

    def encode_head(self, keep_alive: bool, is_http11: bool = True) -> bytes:
        """Returns the status line and header section.

        Args:
            keep_alive: Whether the connection stays open after the response.
            is_http11: Whether the client uses HTTP/1.1, as opposed to HTTP/1.0.
        """
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

    The reader is in one of three states: the head is incomplete (`has_head` is False), the body is
    incomplete, or the response is complete (`is_complete`). Interim (1xx) responses are skipped.

    Attributes:
        status: Status code of the final response; zero until its head has been received.
        headers: Header fields of the final response.
        keep_alive: Whether the connection may be reused after the response.
        content_length: Length of the body in bytes as stated by Content-Length, or None.
    """

    def __init__(self, sink: Sink, max_body_bytes: int, answers_head: bool = False) -> None:
        """Creates a reader that passes the body to a sink.

        Args:
            sink: Destination for the content of the body.
            max_body_bytes: Maximum length of the body in bytes; a longer one is refused.
            answers_head: Whether the request's method was HEAD, whose response has no body.
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
        """Whether the whole response has been received."""
        return self._body is not None and self._body.is_complete

    @property
    def has_head(self) -> bool:
        """Whether the head of the final response has been received."""
        return self._body is not None

    def header(self, name: bytes) -> bytes:
        """Returns the first value of a field, or an empty value if the field is absent."""
        return self.headers.first_values.get(name, b"")

    def feed(self, data: memoryview) -> int:
        """Parses received bytes.

        Returns:
            The number of bytes consumed; the caller must pass the remaining ones again in the next call, at
            once if any were consumed and the response is incomplete.

        Raises:
            MalformedMessageError: The bytes are not a valid response, or the body is too large.
        """
        used = 0
        if self._body is None:
            found = parse_head(data)
            if found is None:
                return 0
            used = found[0]
            self._start_body(found[1], found[2])
        if self._body is not None and not self._body.is_complete:
            used += self._body.feed(data[used:])
        return used

    def on_connection_closed(self) -> None:
        """Handles the end of the connection, which completes a body that has no other mark of its end.

        Raises:
            IncompleteMessageError: The response is incomplete.
        """
        if self._body is None:
            raise IncompleteMessageError("connection closed before the end of the response head")
        if not self._body.is_complete:
            self._body.on_connection_closed()
        self.keep_alive = False

    def _start_body(self, status_line: bytes, headers: Headers) -> None:
        """Skips the head of an interim response; stores a final one and creates the reader for its body.

        Raises:
            MalformedMessageError: The status line or the framing of the body is invalid.
        """
        version, status = _parse_status_line(status_line)
        if FIRST_INTERIM_STATUS <= status < FIRST_FINAL_STATUS and status != SWITCHING_PROTOCOLS:
            return
        self.status, self.headers = status, headers
        options = list_items(headers, b"connection")
        is_persistent_by_default = version == b"HTTP/1.1"
        self.keep_alive = b"close" not in options and (is_persistent_by_default or b"keep-alive" in options)
        content_length, codings = parse_content_length(headers), list_items(headers, b"transfer-encoding")
        if codings and (content_length is not None or codings != [b"chunked"]):
            raise AmbiguousMessageError(
                "ambiguous response framing: transfer-encoding is not just chunked, or content-length is set"
            )
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
    """Returns the HTTP version and the status code of a status line.

    Raises:
        MalformedMessageError: The line is not a status line of HTTP/1.1 or HTTP/1.0.
    """
    version, _, rest = line.partition(b" ")
    status = rest.partition(b" ")[0]
    if version not in (b"HTTP/1.1", b"HTTP/1.0") or len(status) != STATUS_DIGITS or not status.isdigit():
        raise MalformedMessageError(
            f"status line needs HTTP/1.1 or HTTP/1.0 and a status code of {STATUS_DIGITS} digits"
        )
    return version, int(status)
