"""Clients that send small requests at full speed, in a process of their own.

python -m tests.faults.flood HOST PORT KIND CONNECTIONS SECONDS
"""

from __future__ import annotations

import selectors
import socket
import sys
import time
from collections.abc import Callable
from contextlib import suppress

BATCH = 300  # requests that are written at a time
KINDS: dict[str, Callable[[int], str]] = {
    "readiness": lambda _: "GET /_health HTTP/1.1\r\nhost: x\r\n\r\n",
    "unknown path": lambda number: f"GET /p{number} HTTP/1.1\r\nhost: x\r\n\r\n",
    "no id": lambda _: "GET /api HTTP/1.1\r\nreq-kind: read\r\n\r\n",
    "new classes": lambda number: f"GET /api HTTP/1.1\r\nreq-kind: k{number}\r\nreq-id: f{number}\r\n\r\n",
    "new fields": lambda number: f"GET /api HTTP/1.1\r\nx{number}: y\r\nreq-kind: read\r\n\r\n",
    "new owners": lambda number: (
        f"GET /api HTTP/1.1\r\nreq-kind: read\r\nreq-owner: o{number}\r\nreq-id: f{number}\r\n\r\n"
    ),
    "chunk lines": lambda _: "1\r\nx\r\n",
    "unsound": lambda number: f"GET /api x{number}\r\n\r\n",
}
LARGE_BODIES = {
    "leave after a body": b"content-length: 60000\r\n\r\n" + bytes(60_000),
    "leave after tiny chunks": b"transfer-encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 70_000 + b"0\r\n\r\n",
}
LEAVING_KINDS = tuple(LARGE_BODIES)  # of clients that send one request on each connection, and leave at once
FORWARDED_KIND = "new owners"
FIRST_BYTES = {"chunk lines": b"POST /api HTTP/1.1\r\nreq-kind: read\r\ntransfer-encoding: chunked\r\n\r\n"}


class FloodingClient:
    """A connection on which requests are written without waiting for answers, which are read and dropped."""

    def __init__(self, address: tuple[str, int], kind: str) -> None:
        self.address = address
        self.kind = kind
        self.sock: socket.socket | None = None
        self.unsent = b""

    def send(self, number: int) -> int:
        """Writes what the kernel takes, after a new connection if need be; returns the next number."""
        if self.sock is None:
            self.sock = socket.create_connection(self.address)
            self.sock.setblocking(False)
            self.unsent = FIRST_BYTES.get(self.kind, b"")
        if self.kind in LEAVING_KINDS:
            head = f"POST /api HTTP/1.1\r\nreq-kind: write\r\nreq-id: f{number}\r\n"
            with suppress(OSError):
                self.sock.send(head.encode() + LARGE_BODIES[self.kind])
            self.close()
            return number + 1
        if len(self.unsent) < BATCH:
            request = KINDS[self.kind]
            self.unsent += "".join(map(request, range(number, number + BATCH))).encode()
            number += BATCH
        try:
            self.unsent = self.unsent[self.sock.send(self.unsent) :]
        except BlockingIOError:
            pass
        except OSError:
            self.close()
        return number

    def drain(self) -> None:
        """Reads and drops answers."""
        try:
            while self.sock is not None:
                if not self.sock.recv(65536):
                    self.close()
        except BlockingIOError:
            pass
        except OSError:
            self.close()

    def close(self) -> None:
        """Closes the connection; the next call of `send` opens another one."""
        if self.sock is not None:
            self.sock.close()
        self.sock = None


def flood(address: tuple[str, int], kind: str, connections: int, seconds: float) -> None:
    """Floods an address for a while."""
    clients = [FloodingClient(address, kind) for _ in range(connections)]
    until_s = time.monotonic() + seconds
    number = 0
    while time.monotonic() < until_s:
        with selectors.DefaultSelector() as selector:
            for client in clients:
                with suppress(OSError):
                    number = client.send(number)
                client.drain()
                if client.sock is not None:
                    selector.register(client.sock, selectors.EVENT_READ | selectors.EVENT_WRITE)
            selector.select(0.01)


if __name__ == "__main__":
    flood((sys.argv[1], int(sys.argv[2])), sys.argv[3], int(sys.argv[4]), float(sys.argv[5]))
