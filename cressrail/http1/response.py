"""Answers as they come from an endpoint or from discovery, and as they go out to a client."""

from __future__ import annotations

from dataclasses import dataclass

from cressrail.buffers.pipe import StreamingBody
from cressrail.buffers.pool import BufferChain
from cressrail.http1 import body as bodies
from cressrail.http1.headers import (
    Headers,
    MalformedMessageError,
    list_items,
    parse_content_length,
    parse_head,
)

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


@dataclass(slots=True)
class Response:
    """What a client is told. A committed one carries an endpoint's whole body."""

    status: int
    body: BufferChain | None = None
    content_type: bytes = b""  # content-type
    retry_after_us: int = 0
    content_length: int | None = None  # of a body that still comes, where its endpoint has stated it

    @property
    def is_streaming(self) -> bool:
        return isinstance(self.body, StreamingBody) and self.body.pipe is not None

    def is_chunked(self, is_http11: bool) -> bool:
        """`modern`: the client reads HTTP/1.1. To one that does not, only the end of the connection tells."""
        return self.is_streaming and self.content_length is None and is_http11

    def encode_head(self, keep_alive: bool, is_http11: bool = True) -> bytes:
        size = (self.content_length if self.is_streaming else self.body.size) if self.body else 0
        lines = [b"HTTP/1.1 %d %s" % (self.status, REASON_PHRASES.get(self.status, b"-"))]
        if size is not None:
            lines.append(b"content-length: %d" % size)
        elif is_http11:
            lines.append(b"transfer-encoding: chunked")
        if self.content_type:
            lines.append(b"content-type: " + self.content_type)
        if self.retry_after_us:
            lines.append(b"retry-after: %.3f" % (self.retry_after_us / 1e6))
        if not keep_alive:
            lines.append(b"connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n"


class ResponseReader:
    """Fed with what comes; `done` once the answer is whole."""

    def __init__(self, sink: bodies.Sink, max_body_bytes: int, answers_head: bool = False) -> None:
        self.sink = sink
        self.max_body_bytes = max_body_bytes
        self.answers_head = answers_head  # the answer to a HEAD
        self.status = 0
        self.headers = Headers()
        self.keep_alive = False  # the connection, afterwards
        self.content_length: int | None = None  # of the body, where it is stated
        self._body: bodies.BodyReader | None = None

    @property
    def is_complete(self) -> bool:
        return self._body is not None and self._body.is_complete

    @property
    def has_head(self) -> bool:
        """Its head is there."""
        return self._body is not None

    def header(self, name: bytes) -> bytes:
        return self.headers.first_values.get(name, b"")

    def feed(self, data: memoryview) -> int:
        used = 0
        while self._body is None:
            found = parse_head(data[used:], False)
            if found is None:
                return used
            used += found[0]
            self._begin(found[1], found[2])
        if not self._body.is_complete:
            used += self._body.feed(data[used:])
        return used

    def on_connection_closed(self) -> None:
        """The connection has ended; so has a body that nothing else bounds. Any other is cut."""
        if self._body is None:
            raise MalformedMessageError(400, "ends before a whole answer")
        if not self._body.is_complete:
            self._body.on_connection_closed()
        self.keep_alive = False

    def _begin(self, first: bytes, fields: Headers) -> None:
        version, _, rest = first.partition(b" ")
        code = rest.partition(b" ")[0]
        if version not in (b"HTTP/1.1", b"HTTP/1.0") or len(code) != 3 or not code.isdigit():
            raise MalformedMessageError(400, "first line that is none")
        status = int(code)
        if 100 <= status < 200 and status != 101:
            return  # a word on the way; the answer is still to come
        self.status, self.headers = status, fields
        options = list_items(fields, b"connection")
        self.keep_alive = b"close" not in options and (version == b"HTTP/1.1" or b"keep-alive" in options)
        size, codings = parse_content_length(fields), list_items(fields, b"transfer-encoding")
        if codings and (size is not None or codings != [b"chunked"]):
            raise MalformedMessageError(400, "framing that may be read in two ways")
        if self.answers_head or status in (204, 304):
            self._body = bodies.ContentLengthReader(self.sink, self.max_body_bytes, 0)
        elif codings:
            self._body = bodies.ChunkedReader(self.sink, self.max_body_bytes)
        elif size is not None:
            self.content_length = size
            self._body = bodies.ContentLengthReader(self.sink, self.max_body_bytes, size)
        else:
            self._body = bodies.UntilCloseReader(self.sink, self.max_body_bytes)
