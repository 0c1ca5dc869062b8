"""A sidecar on loopback with scripted endpoints, clients and discovery, all on one scheduler."""

from __future__ import annotations

import copy
import json
import os
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from cressrail.configuration.startup import parse_configuration
from cressrail.event_loop.scheduler import READABLE
from cressrail.network import listener
from cressrail.network.server import assemble
from tests.support.configuration import SIDECAR_CONFIGURATION, endpoint_entry
from tests.support.http_messages import chunk_bytes, response_bytes
from tests.support.scripted_peer import Script, ScriptedPeer


class SidecarHarness:
    """Runs a sidecar until the scripts of all clients have ended, then checks that it released all resources.

    Attributes:
        host: Loopback address of the sidecar, its endpoints and discovery.
        listening_sockets: Listening sockets of the endpoints in order, then that of discovery.
        ports: Ports of `listening_sockets`.
        endpoint_list_json: Endpoint list in the configuration, which discovery sends as well.
        dispatcher: Dispatcher of the sidecar, with its tasks and connections.
        listener: Listener of the sidecar for clients.
        scheduler: Scheduler that runs the sidecar and all scripts.
        state_machine: State machine of the sidecar.
        faults: Tracebacks of exceptions that ended a task.
        address: Address on which the sidecar accepts clients.
        open_sockets: Sockets of all scripts.
        stops_after_clients: Whether the harness stops when the last client's script has ended.
    """

    host = "127.0.0.1"

    def __init__(
        self,
        endpoints: list[Script],
        discovery: Script | None = None,
        known_endpoints: int | None = None,
        log_fd: int | None = None,
        configure: Callable[..., dict[str, Any]] = copy.deepcopy,
        **limits: Any,
    ) -> None:
        """Opens the listening sockets and assembles the sidecar.

        Args:
            endpoints: One script for each endpoint, run for every connection to it.
            discovery: Script of discovery; by default it sends the endpoint list and no changes.
            known_endpoints: Number of endpoints in the initial list; by default all.
            log_fd: File descriptor of the sidecar's log; by default /dev/null.
            configure: Derives the configuration from the shared one.
            limits: Values to replace in `settings.limits`.
        """
        configuration = configure(SIDECAR_CONFIGURATION)
        configuration["settings"]["limits"].update(limits)
        self.listening_sockets = [listener.bind(self.host, 0) for _ in [*endpoints, None]]
        self.ports = [sock.getsockname()[1] for sock in self.listening_sockets]
        configuration["discovery"] = f"{self.host}:{self.ports[-1]}"
        configuration["known"]["members"] = [
            self.endpoint_entry(number) for number in range(len(endpoints))[:known_endpoints]
        ]
        self.endpoint_list_json = json.dumps(configuration["known"]).encode()
        start = parse_configuration(configuration, {})
        start.listen = (self.host, 0)
        self._log_fd = os.open("/dev/null", os.O_WRONLY) if log_fd is None else log_fd
        server = assemble(start, self._log_fd)
        self.dispatcher, self.listener = server.dispatcher, server.listener
        self.scheduler, self.state_machine = self.dispatcher.scheduler, self.dispatcher.state_machine
        self.faults: list[str] = []
        self.scheduler.on_fault = self.faults.append
        self.address = self.listener.sock.getsockname()
        self.open_sockets: list[socket.socket] = []
        self.stops_after_clients = True
        self._running_clients = 0
        scripts = [*endpoints, discovery or self._send_list]
        for sock, script in zip(self.listening_sockets, scripts, strict=True):
            self.scheduler.spawn(lambda sock=sock, script=script: self._accept(sock, script))  # type: ignore[misc]

    def endpoint_entry(self, number: int, **changes: Any) -> dict[str, Any]:
        """Returns the endpoint list entry of an endpoint; `changes` replaces some of its members."""
        return endpoint_entry(f"s{number}", self.ports[number], self.host, **changes)

    def _send_list(self, peer: ScriptedPeer) -> None:
        with suppress(OSError):  # the sidecar may have no buffer for the watch, or may stop
            peer.receive_until()
            peer.send(response_bytes(self.endpoint_list_json))
            peer.receive_until()
            peer.send(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + chunk_bytes(b"\n"))

    def _accept(self, sock: socket.socket, script: Script) -> None:
        while True:
            self.scheduler.wait(sock.fileno(), READABLE)
            peer = ScriptedPeer(self.scheduler, sock.accept()[0])
            self.open_sockets.append(peer.sock)
            self.scheduler.spawn(lambda peer=peer: script(peer))  # type: ignore[misc]

    def add_client(self, script: Script) -> None:
        """Adds a client, which connects as soon as the scheduler runs; may be called while it runs."""

        def run() -> None:
            try:
                sock = socket.create_connection(self.address)
                self.open_sockets.append(sock)
                script(ScriptedPeer(self.scheduler, sock))
                sock.close()
            finally:
                self._running_clients -= 1
                if not self._running_clients and self.stops_after_clients:
                    self.scheduler.spawn(self._stop)

        self._running_clients += 1
        self.scheduler.spawn(run)

    def _stop(self) -> None:
        for sock in self.open_sockets:
            if sock.fileno() >= 0:
                with suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)
        while self.dispatcher.clients or self.dispatcher.connections:
            self.scheduler.wait(until_us=self.scheduler.now() + 1000)
        self.scheduler.is_stopped = True

    def run(self) -> None:
        """Runs until the harness stops; asserts that no task failed and that no resource is still in use."""
        self.scheduler.run()
        for sock in [*self.listening_sockets, self.listener.sock, *self.open_sockets]:
            sock.close()
        os.close(self._log_fd)
        machine = self.state_machine
        assert not self.faults, self.faults
        assert not self.dispatcher.clients
        assert not self.dispatcher.connections
        assert not machine.clients.open
        assert not machine.connections.open
        assert not machine.requests.pending
        assert not machine.attempts.in_flight
        assert not machine.clients.idle
        # The watch may hold one buffer with an incomplete line; all others must be back in the pool.
        assert self.dispatcher.pool.lent <= 1


def exchange(harness: SidecarHarness, request: bytes, next_request: bytes | None = None) -> list[bytes]:
    """Runs the harness with one client, which sends one or two requests on one connection.

    Returns:
        For each request, the status of its response, a space and the body.
    """
    responses: list[bytes] = []

    def script(peer: ScriptedPeer) -> None:
        for text in [request, next_request] if next_request else [request]:
            peer.send(text)
            head = peer.receive_until()
            size = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0] or 0)
            responses.append(head[9:12] + b" " + peer.receive(size))

    harness.add_client(script)
    harness.run()
    return responses
