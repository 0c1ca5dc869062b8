"""HTTP requests: parsing of what a client sends, and encoding for an endpoint."""

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

# Name prefixes of the fields that identify a request. If such a field were repeated, the sidecar and the
# endpoint could each use a different one of its values.
UNREPEATABLE_FIELDS = (b"req-", b"idempotency-key", b"host")
NOT_FORWARDED = frozenset(HOP_BY_HOP_FIELDS | {b"host", b"req-deadline"})
METHODS_WITHOUT_CONTENT = (b"GET", b"HEAD", b"DELETE", b"OPTIONS")
TARGET_PATTERN = re.compile(rb"[\x21-\x7e]+\Z")
REQUEST_LINE_PARTS = 3
# Error messages that the admin API returns as the body of a 400 response, so their texts must not change.
MALFORMED_REQUEST_LINE = "first line that is none"
UNSUPPORTED_HTTP_VERSION = "neither HTTP/1.1 nor HTTP/1.0"


class Request(NamedTuple):
    """A client's request.

    Attributes:
        method: Request method, as received.
        target: Path and query, as received.
        headers: All received header fields.
        body: The body, or the part of it that has been received so far.
        keep_alive: Whether the client's connection stays open after the response.
        content_length: Value of the Content-Length field in bytes, or None if the field is absent.
        is_http11: Whether the client uses HTTP/1.1, as opposed to HTTP/1.0.
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
        """Whether part of the body is passed through a pipe."""
        return isinstance(self.body, StreamingBody) and self.body.pipe is not None

    @property
    def is_chunked(self) -> bool:
        """Whether the body is sent to the endpoint in chunks."""
        return self.is_streaming and self.content_length is None

    @property
    def is_partly_consumed(self) -> bool:
        """Whether part of the body has been discarded after sending, so that the request can't be retried."""
        return isinstance(self.body, StreamingBody) and self.body.is_partly_consumed

    @property
    def path(self) -> bytes:
        """The target without the query."""
        return self.target.partition(b"?")[0]

    def header_text(self, name: bytes) -> str | None:
        """Returns the first value of a field as text, or None if the field is absent.

        Values are decoded as UTF-8, because the names that they are compared with are UTF-8 in the settings.
        A value that is not valid UTF-8 is decoded as Latin-1.
        """
        value = self.headers.first_values.get(name)
        if value is None:
            return None
        try:
            return value.decode()
        except UnicodeDecodeError:
            return value.decode("latin-1")

    def encode_head(self, host: str, remaining_us: int) -> bytes:
        """Returns the request line and header section to send to an endpoint.

        Args:
            host: Host and port of the endpoint.
            remaining_us: Time in microseconds that the sidecar waits for the endpoint's response.
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
    """Returns the method and the target of a request line.

    Raises:
        MalformedMessageError: The line is not a valid request line, or its HTTP version is neither 1.0 nor
            1.1.
    """
    parts = line.split(b" ")
    if (
        len(parts) != REQUEST_LINE_PARTS
        or not TOKEN_PATTERN.match(parts[0])
        or not TARGET_PATTERN.match(parts[1])
    ):
        raise MalformedMessageError(MALFORMED_REQUEST_LINE)
    if parts[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
        raise MalformedMessageError(UNSUPPORTED_HTTP_VERSION)
    return parts[0], parts[1]


class RequestReader:
    """Parses one request from the bytes received on a connection.

    The reader is in one of three states: the head is incomplete (`incomplete_request` is None), the body is
    incomplete (only `request` is None), or the request is complete.

    Attributes:
        request: The request once all of it has been received, otherwise None.
        incomplete_request: The request once its head has been received, otherwise None.
        expects_continue: Whether the client waits for a 100 (Continue) response before it sends the body.
    """

    def __init__(self, body: BufferChain) -> None:
        """Creates a reader that stores the body in `body`, which the caller must release."""
        self.chain = body
        self.request: Request | None = None
        self.incomplete_request: Request | None = None
        self.expects_continue = False
        self._body: BodyReader | None = None

    @property
    def received_body_bytes(self) -> int:
        """Number of bytes of the body's content received so far."""
        return self._body.received_bytes if self._body is not None else 0

    def feed(self, data: memoryview) -> int:
        """Parses received bytes.

        Returns:
            The number of bytes consumed; the caller must pass the remaining ones again in the next call, at
            once if any were consumed and the request is incomplete.

        Raises:
            MalformedMessageError: The request is malformed, ambiguous or too large.
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
            raise AmbiguousMessageError(
                "ambiguous request framing: transfer-encoding is not just chunked, or content-length is set"
            )
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
    """Refuses a request that an endpoint could interpret differently from this sidecar.

    Raises:
        AmbiguousMessageError: An identifying field is repeated, or the Connection field lists one.
    """
    is_repeated = False
    if headers.has_repeated_name:
        identifying = [name for name, _ in headers if name.startswith(UNREPEATABLE_FIELDS)]
        is_repeated = len(identifying) > len(set(identifying))
    if is_repeated or any(option.startswith(UNREPEATABLE_FIELDS) for option in connection_options):
        raise AmbiguousMessageError(
            "ambiguous request header: an identifying field is repeated or named by the connection field"
        )
