"""Requests as they come in, and as they go on to an endpoint."""

from __future__ import annotations

import re
from dataclasses import dataclass

from cressrail.buffers.pipe import StreamingBody
from cressrail.buffers.pool import BufferChain
from cressrail.http1 import body as bodies
from cressrail.http1.head import BY_HOP, TOKEN, Fields, MalformedMessageError, length, split_head, words

ONCE = (b"req-", b"idempotency-key", b"host")  # fields that say which request it is, and so on
NOT_ONWARD = frozenset(BY_HOP | {b"host", b"req-deadline"})
TARGET = re.compile(rb"[\x21-\x7e]+\Z")


@dataclass(slots=True)
class Request:
    method: bytes
    target: bytes
    fields: Fields
    body: BufferChain
    keep: bool  # the connection, afterwards
    length: int | None = None  # of the body, where it is stated
    modern: bool = True  # its client reads HTTP/1.1

    @property
    def streams(self) -> bool:
        return isinstance(self.body, StreamingBody) and self.body.pipe is not None

    @property
    def chunked(self) -> bool:
        return self.streams and self.length is None

    @property
    def spent(self) -> bool:
        """It can't be sent anew."""
        return isinstance(self.body, StreamingBody) and self.body.is_partly_consumed

    @property
    def path(self) -> bytes:
        return self.target.partition(b"?")[0]

    def get(self, name: bytes) -> str | None:
        """As UTF-8, in which settings word the same names; what is none goes byte by byte."""
        value = self.fields.first.get(name)
        if value is None:
            return None
        try:
            return value.decode()
        except UnicodeDecodeError:
            return value.decode("latin-1")

    def onward(self, host: str, remaining_us: int) -> bytes:
        """The head for an endpoint: all that is meant for it, and how long its answer is waited for."""
        dropped = NOT_ONWARD
        if named := words(self.fields, b"connection"):
            dropped = dropped.union(named)
        lines = [
            self.method + b" " + self.target + b" HTTP/1.1",
            b"host: " + host.encode(),
            b"req-deadline: %du" % remaining_us,
        ]
        lines += [name + b": " + value for name, value in self.fields if name not in dropped]
        if self.chunked:
            lines.append(b"transfer-encoding: chunked")
        elif self.streams:
            lines.append(b"content-length: %d" % (self.length or 0))
        elif self.body.size or self.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            lines.append(b"content-length: %d" % self.body.size)
        return b"\r\n".join(lines) + b"\r\n\r\n"


def parts_of(first: bytes) -> tuple[bytes, bytes]:
    """Method and target of a request's first line."""
    parts = first.split(b" ")
    if len(parts) != 3 or not TOKEN.match(parts[0]) or not TARGET.match(parts[1]):
        raise MalformedMessageError(400, "first line that is none")
    if parts[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
        raise MalformedMessageError(400, "neither HTTP/1.1 nor HTTP/1.0")
    return parts[0], parts[1]


class RequestReader:
    """Fed with what comes; `whole` is the request once it is."""

    def __init__(self, body: BufferChain) -> None:
        self.chain = body
        self.whole: Request | None = None
        self.begun: Request | None = None  # its head is whole
        self.wants_go_on = False  # the client waits to be told before it sends the body
        self._body: bodies.Body | None = None

    def feed(self, data: memoryview) -> int:
        used = 0
        if self.begun is None:
            found = split_head(data, False)
            if found is None:
                return 0
            used = found[0]
            self._begin(found[1], found[2])
        assert self._body is not None
        if not self._body.done:
            used += self._body.take(data[used:])
        if self._body.done:
            self.whole = self.begun
        return used

    def _begin(self, first: bytes, fields: Fields) -> None:
        method, target = parts_of(first)
        named = [name for name, _ in fields if name.startswith(ONCE)] if fields.twice else []
        options = words(fields, b"connection")
        # Guards against an endpoint that reads another request than the one decided on.
        if len(named) > len(set(named)) or any(word.startswith(ONCE) for word in options):
            raise MalformedMessageError(400, "fields that may be read in two ways")
        keep = b"close" not in options and (first.endswith(b"1") or b"keep-alive" in options)
        size, codings = length(fields), words(fields, b"transfer-encoding")
        if codings and (size is not None or codings != [b"chunked"]):
            raise MalformedMessageError(400, "framing that may be read in two ways")
        self.begun = Request(method, target, fields, self.chain, keep, size, first.endswith(b"1"))
        self._body = (
            bodies.Chunked(self.chain, bodies.MOST)
            if codings
            else bodies.Counted(self.chain, bodies.MOST, size or 0)
        )
        self.wants_go_on = not self._body.done and b"100-continue" in words(fields, b"expect")
