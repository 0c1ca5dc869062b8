"""HTTP/1.1 server that passes complete requests to a callback and can simulate the failures of a server."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Any

import httptools

# SO_LINGER with a timeout of zero: closing the socket sends RST, as when a process dies.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ReceivedRequest:
    """A complete request and the connection on which it arrived.

    Attributes:
        connection: Connection on which the response is to be sent.
        method: Method in upper case.
        target: Path and query, as sent.
        headers: Header values by name in lower case; for a repeated header the last value.
        body: The complete body.
    """

    __slots__ = ("body", "connection", "headers", "method", "target")

    def __init__(self, connection: ServerConnection) -> None:
        self.connection = connection
        self.method = b""
        self.target = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = b""

    def header(self, name: bytes) -> str:
        """Returns the value of the header with this lower-case name; empty if the request has none."""
        return self.headers.get(name, b"").decode("latin-1")


class ServerConnection(asyncio.Protocol):
    """One accepted connection; reports its opening, its closing and each complete request to callbacks.

    Attributes:
        is_open: Whether the connection is open; otherwise nothing is written to it.
        context: Data that the server attaches to the connection; initially None.
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
        """Marks the connection as open; called by asyncio."""
        self._transport = transport
        self.is_open = True
        if self._on_opened:
            self._on_opened(self)

    def data_received(self, data: bytes) -> None:
        """Parses requests; malformed data resets the connection even if a response is still pending."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.reset()

    def connection_lost(self, _error: Exception | None) -> None:
        """Marks the connection as closed; called by asyncio."""
        self.is_open = False
        self._on_closed(self)
        self._parser = None  # breaks a reference cycle

    def on_message_begin(self) -> None:
        """Starts a new request; called by the parser."""
        self._request = ReceivedRequest(self)

    def on_url(self, url: bytes) -> None:
        """Appends a part of the target; called by the parser."""
        assert self._request is not None
        self._request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; called by the parser."""
        assert self._request is not None
        self._request.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body; called by the parser."""
        assert self._request is not None
        self._request.body += body

    def on_message_complete(self) -> None:
        """Passes the complete request to the callback; called by the parser."""
        request, self._request = self._request, None
        assert request is not None
        request.method = self._parser.get_method()
        self._on_request(request)

    def respond(self, status: int, body: bytes = b"", header_lines: bytes = b"") -> None:
        r"""Writes a complete response; each line of `header_lines` must end in `\r\n`."""
        if self.is_open:
            self._transport.write(
                b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n%b\r\n%b" % (status, len(body), header_lines, body)
            )

    def write(self, data: bytes) -> None:
        """Writes raw bytes, which need not be a valid response."""
        if self.is_open:
            self._transport.write(data)

    def stop_reading(self) -> None:
        """Stops reading from the connection and leaves it open."""
        if self.is_open:
            self._transport.pause_reading()

    def reset(self) -> None:
        """Closes the connection with RST."""
        if self.is_open:
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self._transport.abort()

    def close(self) -> None:
        """Closes the connection after the data written so far has been sent."""
        if self.is_open:
            self._transport.close()
