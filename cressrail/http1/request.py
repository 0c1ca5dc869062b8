"""Requests as they come in, and as they go on to an endpoint."""

from __future__ import annotations

import re
from dataclasses import dataclass

from cressrail.buffers.pipe import StreamingBody
from cressrail.buffers.pool import BufferChain
from cressrail.http1 import body as bodies
from cressrail.http1.headers import (
    HOP_BY_HOP_FIELDS,
    TOKEN_PATTERN,
    Headers,
    MalformedMessageError,
    list_items,
    parse_content_length,
    parse_head,
)

UNREPEATABLE_FIELDS = (b"req-", b"idempotency-key", b"host")  # fields that say which request it is, and so on
NOT_FORWARDED = frozenset(HOP_BY_HOP_FIELDS | {b"host", b"req-deadline"})
TARGET_PATTERN = re.compile(rb"[\x21-\x7e]+\Z")


@dataclass(slots=True)
class Request:
    method: bytes
    target: bytes
    headers: Headers
    body: BufferChain
    keep_alive: bool  # the connection, afterwards
    content_length: int | None = None  # of the body, where it is stated
    is_http11: bool = True  # its client reads HTTP/1.1

    @property
    def is_streaming(self) -> bool:
        return isinstance(self.body, StreamingBody) and self.body.pipe is not None

    @property
    def is_chunked(self) -> bool:
        return self.is_streaming and self.content_length is None

    @property
    def is_partly_consumed(self) -> bool:
        """It can't be sent anew."""
        return isinstance(self.body, StreamingBody) and self.body.is_partly_consumed

    @property
    def path(self) -> bytes:
        return self.target.partition(b"?")[0]

    def header_text(self, name: bytes) -> str | None:
        """As UTF-8, in which settings word the same names; what is none goes byte by byte."""
        value = self.headers.first_values.get(name)
        if value is None:
            return None
        try:
            return value.decode()
        except UnicodeDecodeError:
            return value.decode("latin-1")

    def encode_head(self, host: str, remaining_us: int) -> bytes:
        """The head for an endpoint: all that is meant for it, and how long its answer is waited for."""
        dropped = NOT_FORWARDED
        if named := list_items(self.headers, b"connection"):
            dropped = dropped.union(named)
        lines = [
            self.method + b" " + self.target + b" HTTP/1.1",
            b"host: " + host.encode(),
            b"req-deadline: %du" % remaining_us,
        ]
        lines += [name + b": " + value for name, value in self.headers if name not in dropped]
        if self.is_chunked:
            lines.append(b"transfer-encoding: chunked")
        elif self.is_streaming:
            lines.append(b"content-length: %d" % (self.content_length or 0))
        elif self.body.size or self.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            lines.append(b"content-length: %d" % self.body.size)
        return b"\r\n".join(lines) + b"\r\n\r\n"


def parse_request_line(first: bytes) -> tuple[bytes, bytes]:
    """Method and target of a request's first line."""
    parts = first.split(b" ")
    if len(parts) != 3 or not TOKEN_PATTERN.match(parts[0]) or not TARGET_PATTERN.match(parts[1]):
        raise MalformedMessageError(400, "first line that is none")
    if parts[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
        raise MalformedMessageError(400, "neither HTTP/1.1 nor HTTP/1.0")
    return parts[0], parts[1]


class RequestReader:
    """Fed with what comes; `whole` is the request once it is."""

    def __init__(self, body: BufferChain) -> None:
        self.chain = body
        self.request: Request | None = None
        self.incomplete_request: Request | None = None  # its head is whole
        self.expects_continue = False  # the client waits to be told before it sends the body
        self._body: bodies.BodyReader | None = None

    def feed(self, data: memoryview) -> int:
        used = 0
        if self.incomplete_request is None:
            found = parse_head(data, False)
            if found is None:
                return 0
            used = found[0]
            self._begin(found[1], found[2])
        assert self._body is not None
        if not self._body.is_complete:
            used += self._body.feed(data[used:])
        if self._body.is_complete:
            self.request = self.incomplete_request
        return used

    def _begin(self, first: bytes, fields: Headers) -> None:
        method, target = parse_request_line(first)
        named = (
            [name for name, _ in fields if name.startswith(UNREPEATABLE_FIELDS)]
            if fields.has_repeated_name
            else []
        )
        options = list_items(fields, b"connection")
        # Guards against an endpoint that reads another request than the one decided on.
        if len(named) > len(set(named)) or any(word.startswith(UNREPEATABLE_FIELDS) for word in options):
            raise MalformedMessageError(400, "fields that may be read in two ways")
        keep = b"close" not in options and (first.endswith(b"1") or b"keep-alive" in options)
        size, codings = parse_content_length(fields), list_items(fields, b"transfer-encoding")
        if codings and (size is not None or codings != [b"chunked"]):
            raise MalformedMessageError(400, "framing that may be read in two ways")
        self.incomplete_request = Request(
            method, target, fields, self.chain, keep, size, first.endswith(b"1")
        )
        self._body = (
            bodies.ChunkedReader(self.chain, bodies.MAX_BODY_BYTES)
            if codings
            else bodies.ContentLengthReader(self.chain, bodies.MAX_BODY_BYTES, size or 0)
        )
        self.expects_continue = not self._body.done and b"100-continue" in list_items(fields, b"expect")
