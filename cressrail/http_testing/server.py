"""The server's end: whole requests in, answers out, and every way in which a server can let its client
down."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Any

import httptools

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: the close sends RST, as a process that dies does


class Asked:
    """A whole request, and the connection on which it came."""

    __slots__ = ("body", "fields", "method", "server", "target")

    def __init__(self, server: Served) -> None:
        self.server = server
        self.method = b""
        self.target = b""
        self.fields: dict[bytes, bytes] = {}  # names in lower case
        self.body = b""

    def text(self, name: bytes) -> str:
        return self.fields.get(name, b"").decode("latin-1")


class Served(asyncio.Protocol):
    """One connection that was taken in. `on_asked` is told of each whole request, `on_left` of its end."""

    def __init__(
        self,
        on_asked: Callable[[Asked], None],
        on_left: Callable[[Served], None],
        on_came: Callable[[Served], None] | None = None,
    ) -> None:
        self.on_asked, self.on_left, self.on_came = on_asked, on_left, on_came
        self.parser: Any = httptools.HttpRequestParser(self)
        self.transport: Any = None
        self.asked: Asked | None = None
        self.open = False
        self.job: Any = None  # what the server has in hand for it

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.open = True
        if self.on_came:
            self.on_came(self)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:  # closes on what it can't read, whatever else waits
            self.abort()

    def connection_lost(self, _: Exception | None) -> None:
        self.open = False
        self.on_left(self)
        self.parser = None  # it holds this connection: a circle that only a collection would free

    # of the parser

    def on_message_begin(self) -> None:
        self.asked = Asked(self)

    def on_url(self, url: bytes) -> None:
        assert self.asked is not None
        self.asked.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self.asked is not None
        self.asked.fields[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        assert self.asked is not None
        self.asked.body += body

    def on_message_complete(self) -> None:
        asked, self.asked = self.asked, None
        assert asked is not None
        asked.method = self.parser.get_method()
        self.on_asked(asked)

    # what it can be made to do

    def answer(self, status: int, body: bytes = b"", more: bytes = b"") -> None:
        """`more`: further header lines, each ended by CRLF."""
        if self.open:
            self.transport.write(
                b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n%b\r\n%b" % (status, len(body), more, body)
            )

    def raw(self, data: bytes) -> None:
        if self.open:
            self.transport.write(data)

    def hush(self) -> None:
        """Reads nothing more; the connection stays open and silent."""
        if self.open:
            self.transport.pause_reading()

    def abort(self) -> None:
        if self.open:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.transport.abort()

    def close(self) -> None:
        if self.open:
            self.transport.close()
