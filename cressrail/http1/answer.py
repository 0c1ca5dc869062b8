"""Answers as they come from an endpoint or from discovery, and as they go out to a client."""

from __future__ import annotations

from dataclasses import dataclass

from cressrail.buffers.pipe import StreamingBody
from cressrail.buffers.pool import BufferChain
from cressrail.http1 import body as bodies
from cressrail.http1.head import Fields, MalformedMessageError, length, split_head, words

REASONS = {
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
    length: int | None = None  # of a body that still comes, where its endpoint has stated it

    @property
    def streams(self) -> bool:
        return isinstance(self.body, StreamingBody) and self.body.pipe is not None

    def chunked(self, modern: bool) -> bool:
        """`modern`: the client reads HTTP/1.1. To one that does not, only the end of the connection tells."""
        return self.streams and self.length is None and modern

    def head(self, keep: bool, modern: bool = True) -> bytes:
        size = (self.length if self.streams else self.body.size) if self.body else 0
        lines = [b"HTTP/1.1 %d %s" % (self.status, REASONS.get(self.status, b"-"))]
        if size is not None:
            lines.append(b"content-length: %d" % size)
        elif modern:
            lines.append(b"transfer-encoding: chunked")
        if self.content_type:
            lines.append(b"content-type: " + self.content_type)
        if self.retry_after_us:
            lines.append(b"retry-after: %.3f" % (self.retry_after_us / 1e6))
        if not keep:
            lines.append(b"connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n"


class ResponseReader:
    """Fed with what comes; `done` once the answer is whole."""

    def __init__(self, sink: bodies.Sink, most: int, bodiless: bool = False) -> None:
        self.sink = sink
        self.most = most
        self.bodiless = bodiless  # the answer to a HEAD
        self.status = 0
        self.fields = Fields()
        self.keep = False  # the connection, afterwards
        self.length: int | None = None  # of the body, where it is stated
        self._body: bodies.Body | None = None

    @property
    def done(self) -> bool:
        return self._body is not None and self._body.done

    @property
    def begun(self) -> bool:
        """Its head is there."""
        return self._body is not None

    def get(self, name: bytes) -> bytes:
        return self.fields.first.get(name, b"")

    def feed(self, data: memoryview) -> int:
        used = 0
        while self._body is None:
            found = split_head(data[used:], False)
            if found is None:
                return used
            used += found[0]
            self._begin(found[1], found[2])
        if not self._body.done:
            used += self._body.take(data[used:])
        return used

    def ended(self) -> None:
        """The connection has ended; so has a body that nothing else bounds. Any other is cut."""
        if self._body is None:
            raise MalformedMessageError(400, "ends before a whole answer")
        if not self._body.done:
            self._body.ended()
        self.keep = False

    def _begin(self, first: bytes, fields: Fields) -> None:
        version, _, rest = first.partition(b" ")
        code = rest.partition(b" ")[0]
        if version not in (b"HTTP/1.1", b"HTTP/1.0") or len(code) != 3 or not code.isdigit():
            raise MalformedMessageError(400, "first line that is none")
        status = int(code)
        if 100 <= status < 200 and status != 101:
            return  # a word on the way; the answer is still to come
        self.status, self.fields = status, fields
        options = words(fields, b"connection")
        self.keep = b"close" not in options and (version == b"HTTP/1.1" or b"keep-alive" in options)
        size, codings = length(fields), words(fields, b"transfer-encoding")
        if codings and (size is not None or codings != [b"chunked"]):
            raise MalformedMessageError(400, "framing that may be read in two ways")
        if self.bodiless or status in (204, 304):
            self._body = bodies.Counted(self.sink, self.most, 0)
        elif codings:
            self._body = bodies.Chunked(self.sink, self.most)
        elif size is not None:
            self.length = size
            self._body = bodies.Counted(self.sink, self.most, size)
        else:
            self._body = bodies.UntilEnd(self.sink, self.most)
