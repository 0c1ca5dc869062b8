"""A real sidecar process, with scripted endpoints in threads and clients that time their answers."""

from __future__ import annotations

import copy
import json
import os
import socket
import subprocess
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from random import SystemRandom
from typing import Any, NamedTuple

from tests.support.configuration import SIDECAR_CONFIGURATION, endpoint_entry
from tests.support.http_messages import response_bytes
from tests.support.processes import COMMAND

PATIENCE_S = 20.0
LATE_S = 0.55  # how long after its deadline an answer is not lost yet: the rule's figure on sockets
SMALL_BUFFER_BYTES = 4096
MAX_ANSWER_BYTES = 32 << 20
RANDOM = SystemRandom()  # seeded plays draw from generators of their own
LAST_CHUNK = b"0\r\n\r\n"


class Answer(NamedTuple):
    """What a client got: status 0 where the connection ended or nothing came in time."""

    status: int
    body: bytes
    took_s: float


class Arrival(NamedTuple):
    """A whole request at an endpoint, and when its last byte was there (monotonic seconds)."""

    request_id: str
    at_s: float
    endpoint: str


class EndpointPeer:
    """A connection of the sidecar to an endpoint."""

    def __init__(self, endpoint: StandInEndpoint, sock: socket.socket) -> None:
        self.endpoint = endpoint
        self.sock = sock
        self.received = b""

    def read_head(self) -> bytes:
        """Returns the next request head; empty at the end of the connection."""
        while b"\r\n\r\n" not in self.received:
            data = self.sock.recv(65536)
            if not data:
                return b""
            self.received += data
        head, _, self.received = self.received.partition(b"\r\n\r\n")
        return head.lower()

    def read_request(self, bytes_per_s: float = 0) -> str | None:
        """Reads and records a whole request, at a rate if one is given; returns its id, None at the end."""
        head = self.read_head()
        if not head:
            return None
        if b"chunked" in head:
            while not self.received.endswith(LAST_CHUNK):
                self.received = (self.received + self._receive(bytes_per_s))[-len(LAST_CHUNK) :]
            self.received = b""
        else:
            missing = int(header_of(head, "content-length") or 0) - len(self.received)
            while missing > 0:
                missing -= len(self._receive(bytes_per_s))
            self.received = b""
        request_id = header_of(head, "req-id")
        self.endpoint.arrivals.append(Arrival(request_id, time.monotonic(), self.endpoint.name))
        return request_id

    def _receive(self, bytes_per_s: float) -> bytes:
        data = self.sock.recv(65536 if not bytes_per_s else max(1, int(bytes_per_s * 0.05)))
        if not data:
            raise ConnectionError
        if bytes_per_s:
            time.sleep(len(data) / bytes_per_s)
        return data


class StandInEndpoint:
    """An endpoint whose connections each run a script in a thread.

    Attributes:
        arrivals: The whole requests that it has received.
    """

    def __init__(self, name: str, script: Callable[[EndpointPeer], None], buffer_bytes: int = 0) -> None:
        self.name = name
        self.arrivals: list[Arrival] = []
        self.connections: list[socket.socket] = []
        self._script = script
        self.server = socket.socket()
        if buffer_bytes:  # inherited by accepted connections
            self.server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.server.bind(("127.0.0.1", 0))
        self.server.listen(128)
        self.port = self.server.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                sock, _ = self.server.accept()
                self.connections.append(sock)
                threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock: socket.socket) -> None:
        with suppress(OSError), sock:
            self._script(EndpointPeer(self, sock))

    def arrivals_of(self, request_id: str) -> int:
        """Returns how often a request has arrived whole."""
        return sum(arrival.request_id == request_id for arrival in self.arrivals)

    def close(self) -> None:
        """Stops listening and closes all connections."""
        for sock in (self.server, *self.connections):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


def header_of(head: bytes, name: str) -> str:
    """Returns the value of a header of a lower-case head."""
    return head.partition(f"\r\n{name}: ".encode())[2].partition(b"\r\n")[0].decode()


def answer_all(peer: EndpointPeer) -> None:
    """The script of an endpoint that answers each request at once."""
    while (request_id := peer.read_request()) is not None:
        peer.sock.sendall(response_bytes(request_id.encode()))


class Sidecar:
    """A running `cressrail serve` with a static endpoint list, or with a discovery's address.

    Attributes:
        address: Where its clients connect.
        process: The process.
    """

    def __init__(
        self,
        folder: Path,
        endpoints: list[StandInEndpoint],
        address: tuple[str, int] | None = None,
        handover_folder: Path | None = None,
        discovery: str | None = None,
        command: list[str] = COMMAND,
        may_cancel: bool = True,
        **changes: Any,
    ) -> None:
        configuration = copy.deepcopy(SIDECAR_CONFIGURATION)
        members = [endpoint_entry(endpoint.name, endpoint.port) for endpoint in endpoints]
        configuration["known"]["members"] = members
        configuration["settings"]["limits"]["may_cancel"] = may_cancel
        self.address = address or unused()
        configuration["listen"] = f"{self.address[0]}:{self.address[1]}"
        host, port = unused()
        configuration["discovery"] = discovery or f"{host}:{port}"
        configuration |= changes
        environment = dict(os.environ)
        environment.pop("TMPDIR", None)
        self.admin = unused()
        if handover_folder is not None:
            configuration["ops"] = f"{self.admin[0]}:{self.admin[1]}"
            environment["TMPDIR"] = str(handover_folder)
        number = len(list(folder.glob("sidecar*.json")))
        path = folder / f"sidecar{number}.json"
        path.write_text(json.dumps(configuration))
        self.log_path = folder / f"sidecar{number}.log"
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen([*command, "serve", str(path)], env=environment, stdout=log)
        self._wait_until_ready()

    def _wait_until_ready(self) -> None:
        until = time.monotonic() + PATIENCE_S
        while True:
            assert self.process.poll() is None, "the sidecar has exited"
            assert time.monotonic() < until, "the sidecar is not ready"
            with suppress(OSError), self.connect() as sock:
                sock.sendall(b"GET /_health HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
                if read_answer(sock, time.monotonic()).status == 200:
                    return
            time.sleep(0.05)

    def connect(self, receive_buffer_bytes: int = 0) -> socket.socket:
        """Connects as a client."""
        sock = socket.socket()
        if receive_buffer_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        sock.settimeout(PATIENCE_S)
        sock.connect(self.address)
        return sock

    def events(self, name: str) -> list[dict[str, Any]]:
        """Returns the log events with this name so far."""
        lines = self.log_path.read_text().splitlines()
        found = [json.loads(line) for line in lines if line.endswith("}")]
        return [event for event in found if event["event"] == name]

    def memory_bytes(self) -> int:
        """Returns the peak of the resident memory of the process."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition("VmHWM:")[2].split()[0]) * 1024

    def close(self) -> None:
        """Kills the process."""
        self.process.kill()
        self.process.wait()


def unused() -> tuple[str, int]:
    """Returns an address on which nobody listens, of a host whose ports no connection takes meanwhile."""
    # Short, since it is part of the rendezvous path, whose length is limited.
    host = f"127.{RANDOM.randrange(10, 100)}.{RANDOM.randrange(10)}.{RANDOM.randrange(1, 10)}"
    with socket.create_server((host, 0)) as server:
        host, port = server.getsockname()[:2]
        return host, port


def read_answer(sock: socket.socket, sent_s: float, limit_s: float = PATIENCE_S) -> Answer:
    """Reads one response with a length, chunked or until the close; its time counts from `sent_s`."""
    received = b""
    with suppress(OSError):
        while not _is_whole(received):
            if time.monotonic() > sent_s + limit_s or len(received) > MAX_ANSWER_BYTES:
                break
            sock.settimeout(max(0.001, sent_s + limit_s - time.monotonic()))
            data = sock.recv(65536)
            if not data:
                break
            received += data
    head, _, body = received.partition(b"\r\n\r\n")
    took_s = time.monotonic() - sent_s
    if not _is_whole(received):
        return Answer(0, body, took_s)
    return Answer(int(head[9:12]), body, took_s)


def _is_whole(received: bytes) -> bool:
    head, separator, body = received.partition(b"\r\n\r\n")
    head = head.lower()
    if b"chunked" in head:
        return body.endswith(b"0\r\n\r\n")
    size = head.partition(b"content-length: ")[2].partition(b"\r\n")[0]
    return bool(separator) and size.isdigit() and len(body) >= int(size)
