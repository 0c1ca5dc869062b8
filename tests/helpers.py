"""A sidecar on loopback, amid peers that follow scripts."""

from __future__ import annotations

import copy
import json
import os
import socket
from collections.abc import Callable
from contextlib import suppress
from itertools import count
from typing import Any

from cressrail.configuration.startup import parse_configuration
from cressrail.event_loop.scheduler import READABLE, WRITABLE, Scheduler
from cressrail.network import listener
from cressrail.network.server import assemble

SECOND = 1_000_000


def member(name: str, port: int, **change: Any) -> dict[str, Any]:
    return {
        "id": name,
        "host_port": f"127.0.0.1:{port}",
        "locality": "a",
        "flavor": "m",
        "cell": 1,
        "phase": "up",
        "size": 1.0,
        "up_since_ms": 0,
        **change,
    }


def _profile(name: str, repeat: str, **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "repeat": repeat,
        "revenue": 1.0,
        "service_goal_us": SECOND,
        "hard_limit_us": 3 * SECOND,
        **more,
    }


CONFIG: dict[str, Any] = {
    "name": "n1",
    "listen": "127.0.0.1:9000",
    "discovery": "127.0.0.1:8500",
    "seed": "5be9",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": {"revision": 4, "complete": True, "members": []},
    "settings": {
        "contract": {"cold_from": 0.2, "warm_within_us": 10 * SECOND},
        "dcs": ["a", "b"],
        "zone": "a",
        "limits": {
            "connect_timeout_us": 250_000,
            "conn_idle_us": 10 * SECOND,
            "may_cancel": True,
            "most_hops": 3,
            "parallel_tries": False,
            "retry_after": False,
        },
        "membership_mode": "automatic",
        "n_instances": 1,
        "revenue_basis": "request",
        "round_us": 5000,
        "profiles": [
            _profile("read", "safe"),
            _profile("write", "keyed", key_scope="cell", window_us=SECOND),
            _profile("note", "keyed", key_scope="all", window_us=SECOND),
        ],
        "stage": 0,
        "surplus_revenue": 0.1,
        "tiers": ["x"],
        "tenants": [{"name": "acme", "allowance_per_s": 100.0, "share": 1.0}],
    },
}


def mesh(config: dict[str, Any] = CONFIG) -> dict[str, Any]:
    """The same in the other shape: a sidecar of its own beside each client process."""
    config = copy.deepcopy(config)
    config["settings"].update(domain_type="mesh", n_instances=400)
    config["settings"]["limits"].update(multiplex=100, probes=False)
    return config


class Peer:
    """One end of a connection, played by a script that is a task like any other."""

    def __init__(self, loop: Scheduler, sock: socket.socket) -> None:
        self.loop = loop
        self.sock = sock
        self.got = b""
        sock.setblocking(False)

    def say(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            try:
                view = view[self.sock.send(view) :]
            except BlockingIOError:
                self._wait(WRITABLE)

    def hear(self, end: bytes = b"\r\n\r\n") -> bytes:
        """Up to and with these bytes, or all there is if the connection ends first."""
        while end not in self.got and self._more():
            pass
        return self._use(self.got.find(end) + len(end) if end in self.got else len(self.got))

    def take(self, size: int) -> bytes:
        """So many bytes, or all there are if the connection ends first."""
        while len(self.got) < size and self._more():
            pass
        return self._use(size)

    def _use(self, size: int) -> bytes:
        heard, self.got = self.got[:size], self.got[size:]
        return heard

    def _more(self) -> bool:
        while True:
            try:
                more = self.sock.recv(4096)
            except BlockingIOError:
                self._wait(READABLE)
                continue
            except ConnectionResetError:
                more = b""
            self.got += more
            return bool(more)

    def sleep(self, us: int) -> None:
        self.loop.wait(until_us=self.loop.now() + us)

    def until(self, met: Callable[[], object]) -> None:
        over_us = self.loop.now() + 20 * SECOND
        while not met():
            assert self.loop.now() < over_us, "never came"
            self.sleep(1000)

    def _wait(self, mask: int) -> None:
        if self.loop.wait(self.sock.fileno(), mask, self.loop.now() + 20 * SECOND) == 0:
            raise AssertionError("nothing came")


Script = Callable[[Peer], None]


class Play:
    """A sidecar on loopback amid scripted endpoints, clients and discovery, all on one scheduler. It ends
    when all clients' scripts have, and then checks that everything lent was given back."""

    def __init__(
        self,
        endpoints: list[Script],
        watch: Script | None = None,
        known: int | None = None,
        log: int | None = None,
        shaped: Callable[..., dict[str, Any]] = copy.deepcopy,
        **limits: Any,
    ) -> None:
        config = shaped(CONFIG)
        config["settings"]["limits"].update(limits)
        self.socks = [listener.bind("127.0.0.1", 0) for _ in [*endpoints, None]]
        self.ports = [sock.getsockname()[1] for sock in self.socks]
        config["discovery"] = f"127.0.0.1:{self.ports[-1]}"
        config["known"]["members"] = [member(f"s{n}", port) for n, port in enumerate(self.ports[:-1][:known])]
        self.list = json.dumps(config["known"]).encode()
        start = parse_configuration(config, {})
        start.listen = ("127.0.0.1", 0)
        self.fd = os.open("/dev/null", os.O_WRONLY) if log is None else log
        server = assemble(start, self.fd)
        self.net, self.door = server.dispatcher, server.listener
        self.loop, self.reducer = self.net.scheduler, self.net.state_machine
        self.faults: list[str] = []
        self.loop.on_fault = self.faults.append
        self.at = self.door.sock.getsockname()
        self.open: list[socket.socket] = []
        self.clients = 0
        self.hang_up = True
        for sock, script in zip(self.socks, [*endpoints, watch or self._agent], strict=True):
            self.loop.spawn(lambda sock=sock, script=script: self._accept(sock, script))  # type: ignore[misc]

    def _agent(self, peer: Peer) -> None:
        """Discovery that has nothing new."""
        with suppress(OSError):  # the sidecar may have no buffer for it, or end
            peer.hear()
            peer.say(reply(self.list))
            peer.hear()
            peer.say(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + chunk(b"\n"))

    def _accept(self, sock: socket.socket, script: Script) -> None:
        while True:
            self.loop.wait(sock.fileno(), READABLE)
            peer = Peer(self.loop, sock.accept()[0])
            self.open.append(peer.sock)
            self.loop.spawn(lambda peer=peer: script(peer))  # type: ignore[misc]

    def client(self, script: Script) -> None:
        def run() -> None:
            try:
                sock = socket.create_connection(self.at)
                self.open.append(sock)
                script(Peer(self.loop, sock))
                sock.close()
            finally:
                self.clients -= 1
                if not self.clients and self.hang_up:
                    self.loop.spawn(self._end)

        self.clients += 1
        self.loop.spawn(run)

    def _end(self) -> None:
        for sock in self.open:
            if sock.fileno() >= 0:
                with suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)
        while self.net.clients or self.net.connections:
            self.loop.wait(until_us=self.loop.now() + 1000)
        self.loop.is_stopped = True

    def run(self) -> None:
        self.loop.run()
        for sock in [*self.socks, self.door.sock, *self.open]:
            sock.close()
        os.close(self.fd)
        assert not self.faults, self.faults
        assert not (
            self.net.clients
            or self.net.connections
            or self.reducer.clients.open
            or self.reducer.connections.open
        )
        assert not (
            self.reducer.requests.pending or self.reducer.attempts.in_flight or self.reducer.clients.idle
        )
        # The watch may be amid a line; all else is back.
        assert self.net.pool.lent <= 1


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


IDS = count()


def ask(kind: str = "read", body: bytes = b"", path: str = "/api", **fields: str) -> bytes:
    told = {
        "Req-Id": f"r{next(IDS)}",
        "Req-Kind": kind,
        "Idempotency-Key": "k",
        "Content-Length": str(len(body)),
        **{name.replace("_", "-"): value for name, value in fields.items()},
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in told.items() if value)
    return f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


def reply(body: bytes = b"", status: int = 200, more: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\n%bcontent-length: %d\r\n\r\n%b" % (status, more, len(body), body)
