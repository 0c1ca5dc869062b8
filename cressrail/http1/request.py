"""Requests: as a client sends them, and as they are sent to an endpoint."""

from __future__ import annotations

import re
from typing import NamedTuple

from cressrail.buffers.pipe import StreamingBody
from cressrail.buffers.pool import BufferChain
from cressrail.http1.body import MAX_BODY_BYTES, BodyReader, ChunkedReader, ContentLengthReader
from cressrail.http1.errors import AmbiguousMessageError, MalformedMessageError
from cressrail.http1.headers import (
    HOP_BY_HOP_FIELDS,
    TOKEN_PATTERN,
    Headers,
    list_items,
    parse_content_length,
    parse_head,
)

# Beginnings of the names of fields that identify a request: repeated, they could be read differently.
UNREPEATABLE_FIELDS = (b"req-", b"idempotency-key", b"host")
NOT_FORWARDED = frozenset(HOP_BY_HOP_FIELDS | {b"host", b"req-deadline"})
METHODS_WITHOUT_CONTENT = (b"GET", b"HEAD", b"DELETE", b"OPTIONS")
TARGET_PATTERN = re.compile(rb"[\x21-\x7e]+\Z")
REQUEST_LINE_PARTS = 3


class Request(NamedTuple):
    """A request of a client.

    Attributes:
        method: As it came.
        target: Path and query as they came.
        headers: All fields that came.
        body: The body, or what has been received of it.
        keep_alive: The client may use its connection further.
        content_length: Stated for the body, in bytes, if any.
        is_http11: The client reads HTTP/1.1.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: BufferChain
    keep_alive: bool
    content_length: int | None = None
    is_http11: bool = True

    @property
    def is_streaming(self) -> bool:
        """Whether a part of the body goes through a pipe."""
        return isinstance(self.body, StreamingBody) and self.body.pipe is not None

    @property
    def is_chunked(self) -> bool:
        """Whether the body is sent to the endpoint in chunks."""
        return self.is_streaming and self.content_length is None

    @property
    def is_partly_consumed(self) -> bool:
        """Whether a part of the body is gone for good, so that the request can't be sent again."""
        return isinstance(self.body, StreamingBody) and self.body.is_partly_consumed

    @property
    def path(self) -> bytes:
        """The target without its query."""
        return self.target.partition(b"?")[0]

    def header_text(self, name: bytes) -> str | None:
        """Returns the first value of a field as text; None where there is none.

        Values are read as UTF-8, in which the settings write the same names; what is no UTF-8 is read byte
        by byte, as Latin-1.
        """
        value = self.headers.first_values.get(name)
        if value is None:
            return None
        try:
            return value.decode()
        except UnicodeDecodeError:
            return value.decode("latin-1")

    def encode_head(self, host: str, remaining_us: int) -> bytes:
        """Returns request line and header section for an endpoint.

        Args:
            host: The endpoint's host and port.
            remaining_us: How long its response is waited for.
        """
        dropped = NOT_FORWARDED
        if options := list_items(self.headers, b"connection"):
            dropped = dropped.union(options)
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
        elif self.body.size or self.method not in METHODS_WITHOUT_CONTENT:
            lines.append(b"content-length: %d" % self.body.size)
        return b"\r\n".join(lines) + b"\r\n\r\n"


def parse_request_line(line: bytes) -> tuple[bytes, bytes]:
    """Returns method and target of a request line.

    Raises:
        MalformedMessageError: It is none, or of a version other than 1.0 and 1.1.
    """
    parts = line.split(b" ")
    if (
        len(parts) != REQUEST_LINE_PARTS
        or not TOKEN_PATTERN.match(parts[0])
        or not TARGET_PATTERN.match(parts[1])
    ):
        raise MalformedMessageError("first line that is none")
    if parts[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
        raise MalformedMessageError("neither HTTP/1.1 nor HTTP/1.0")
    return parts[0], parts[1]


class RequestReader:
    """Parses one request from the bytes received on a connection.

    States: before the head is whole (`incomplete_request` is None); in the body (`request` is None);
    complete.

    Attributes:
        request: The request, once it is whole.
        incomplete_request: The same as soon as its head is whole.
        expects_continue: The client waits for an interim response before it sends the body.
    """

    def __init__(self, body: BufferChain) -> None:
        """Makes a reader that collects the body in `body`, which stays the caller's to release."""
        self.chain = body
        self.request: Request | None = None
        self.incomplete_request: Request | None = None
        self.expects_continue = False
        self._body: BodyReader | None = None

    def feed(self, data: memoryview) -> int:
        """Takes received bytes.

        Returns:
            How many of them were consumed; the others come again with the next call.

        Raises:
            MalformedMessageError: They are no request that may be taken.
        """
        used = 0
        if self.incomplete_request is None:
            found = parse_head(data)
            if found is None:
                return 0
            used = found[0]
            self._start_body(found[1], found[2])
        assert self._body is not None
        if not self._body.is_complete:
            used += self._body.feed(data[used:])
        if self._body.is_complete:
            self.request = self.incomplete_request
        return used

    def _start_body(self, request_line: bytes, headers: Headers) -> None:
        method, target = parse_request_line(request_line)
        is_http11 = request_line.endswith(b"1")
        options = list_items(headers, b"connection")
        _check_unambiguous(headers, options)
        keep_alive = b"close" not in options and (is_http11 or b"keep-alive" in options)
        content_length, codings = parse_content_length(headers), list_items(headers, b"transfer-encoding")
        if codings and (content_length is not None or codings != [b"chunked"]):
            raise AmbiguousMessageError("framing that may be read in two ways")
        self.incomplete_request = Request(
            method, target, headers, self.chain, keep_alive, content_length, is_http11
        )
        if codings:
            self._body = ChunkedReader(self.chain, MAX_BODY_BYTES)
        else:
            self._body = ContentLengthReader(self.chain, MAX_BODY_BYTES, content_length or 0)
        self.expects_continue = not self._body.is_complete and b"100-continue" in list_items(
            headers, b"expect"
        )


def _check_unambiguous(headers: Headers, connection_options: list[bytes]) -> None:
    """Refuses a request that an endpoint could read as another than the one decided on."""
    is_repeated = False
    if headers.has_repeated_name:
        identifying = [name for name, _ in headers if name.startswith(UNREPEATABLE_FIELDS)]
        is_repeated = len(identifying) > len(set(identifying))
    if is_repeated or any(option.startswith(UNREPEATABLE_FIELDS) for option in connection_options):
        raise AmbiguousMessageError("fields that may be read in two ways")
