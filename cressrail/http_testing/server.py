"""HTTP/1.1 server: passes on whole requests, and can fail its client in each way that a server can."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Any

import httptools

# SO_LINGER with a time of zero: the close sends RST, as that of a process that dies does.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ReceivedRequest:
    """A whole request and the connection on which it came.

    Attributes:
        connection: Takes the response.
        method: In upper case.
        target: Path and query, as sent.
        headers: Values by name in lower case; of a repeated header the last.
        body: Whole.
    """

    __slots__ = ("body", "connection", "headers", "method", "target")

    def __init__(self, connection: ServerConnection) -> None:
        self.connection = connection
        self.method = b""
        self.target = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = b""

    def header(self, name: bytes) -> str:
        """Returns the value of a header, named in lower case; empty where it is not there."""
        return self.headers.get(name, b"").decode("latin-1")


class ServerConnection(asyncio.Protocol):
    """One accepted connection; its callbacks take it, and each whole request.

    Attributes:
        is_open: Connected; responses are written only then.
        context: What the server attaches to the connection; `None` at first.
    """

    def __init__(
        self,
        on_request: Callable[[ReceivedRequest], None],
        on_closed: Callable[[ServerConnection], None],
        on_opened: Callable[[ServerConnection], None] | None = None,
    ) -> None:
        self.is_open = False
        self.context: Any = None
        self._on_request, self._on_closed, self._on_opened = on_request, on_closed, on_opened
        self._parser: Any = httptools.HttpRequestParser(self)
        self._transport: Any = None
        self._request: ReceivedRequest | None = None

    def connection_made(self, transport: Any) -> None:
        """Called by asyncio."""
        self._transport = transport
        self.is_open = True
        if self._on_opened:
            self._on_opened(self)

    def data_received(self, data: bytes) -> None:
        """Parses requests; malformed bytes reset the connection, whatever else is pending on it."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.reset()

    def connection_lost(self, _error: Exception | None) -> None:
        """Called by asyncio."""
        self.is_open = False
        self._on_closed(self)
        self._parser = None  # breaks a reference cycle

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self._request = ReceivedRequest(self)

    def on_url(self, url: bytes) -> None:
        """Called by the parser, for each part of the target."""
        assert self._request is not None
        self._request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        assert self._request is not None
        self._request.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Called by the parser, for each part of the body."""
        assert self._request is not None
        self._request.body += body

    def on_message_complete(self) -> None:
        """Called by the parser."""
        request, self._request = self._request, None
        assert request is not None
        request.method = self._parser.get_method()
        self._on_request(request)

    def respond(self, status: int, body: bytes = b"", header_lines: bytes = b"") -> None:
        r"""Writes a whole response; each of `header_lines` ends in `\r\n`."""
        if self.is_open:
            self._transport.write(
                b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n%b\r\n%b" % (status, len(body), header_lines, body)
            )

    def write(self, data: bytes) -> None:
        """Writes bytes as they are: a part of a response, or none at all."""
        if self.is_open:
            self._transport.write(data)

    def stop_reading(self) -> None:
        """Leaves the connection open and silent."""
        if self.is_open:
            self._transport.pause_reading()

    def reset(self) -> None:
        """Closes with RST."""
        if self.is_open:
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self._transport.abort()

    def close(self) -> None:
        """Closes once what is written has gone out."""
        if self.is_open:
            self._transport.close()
