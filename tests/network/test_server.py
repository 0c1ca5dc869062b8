"""Tests of the start and orderly stop of a sidecar, in the test process and in a separate process."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import pytest

from cressrail.network import listener
from tests.support.configuration import SIDECAR_CONFIGURATION
from tests.support.http_messages import request_bytes, response_bytes
from tests.support.processes import COMMAND, PATIENCE_S, connect, serving, unused_address
from tests.support.scripted_peer import ScriptedPeer, answer_each_with
from tests.support.sidecar_harness import SidecarHarness


def request_stop(harness: SidecarHarness) -> None:
    harness.dispatcher.dispatch(harness.state_machine.on_stop_requested(harness.scheduler.now()))


def test_stopping_sidecar_serves_late_clients_then_closes_all() -> None:
    harness = SidecarHarness([answer_each_with(response_bytes(b"hello"))])
    harness.stops_after_clients = False
    status_lines: list[bytes] = []
    client_sockets: list[socket.socket] = []

    def late_client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        status_lines.append(peer.receive_until(b"hello")[:12])
        client_sockets.append(peer.sock.dup())

    def first_client(peer: ScriptedPeer) -> None:
        request_stop(harness)
        peer.sleep(100_000)
        harness.add_client(late_client)
        client_sockets.append(peer.sock.dup())
        peer.receive_until()

    harness.add_client(first_client)
    harness.scheduler.run()
    assert status_lines == [b"HTTP/1.1 200"]
    for sock in client_sockets:
        with sock:
            assert sock.recv(1) == b""  # closed between requests
    assert harness.listener.sock.fileno() == -1
    assert not harness.state_machine.clients.open


def test_stopping_sidecar_answers_every_request_that_it_forwarded() -> None:
    forwarded: list[bytes] = []

    def endpoint(peer: ScriptedPeer) -> None:
        while head := peer.receive_until():
            forwarded.append(head)
            peer.sleep(20_000)
            peer.send(response_bytes(b"hello"))

    harness = SidecarHarness([endpoint])
    harness.stops_after_clients = False
    responses: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        if not harness.state_machine.lifecycle.is_stopping:
            request_stop(harness)
        while True:
            peer.send(request_bytes())
            if not (response := peer.receive_until(b"hello")):
                return  # closed between requests
            responses.append(response)

    for _ in range(4):
        harness.add_client(client)
    harness.scheduler.run()
    unread_responses = 0  # responses that the scripts did not read before the scheduler stopped
    for sock in harness.open_sockets:
        with suppress(OSError):
            unread_responses += sock.recv(1 << 16).count(b"hello")
    assert len(forwarded) > 4
    assert len(responses) + unread_responses == len(forwarded)
    assert not harness.state_machine.requests.pending
    assert not harness.state_machine.clients.open


def test_process_starts_answers_stops_and_can_start_again_at_once(tmp_path: Path) -> None:
    address, path = unused_address(), tmp_path / "config.json"
    path.write_text(json.dumps({**SIDECAR_CONFIGURATION, "listen": address}))
    for _ in range(2):
        with serving(path) as sidecar:
            assert next(sidecar.events())["event"] == "start"
            with connect(address) as sock:
                sock.sendall(b"GET /_health HTTP/1.1\r\n\r\n")
                # There is no endpoint list, and discovery is unreachable.
                assert sock.recv(100).startswith(b"HTTP/1.1 503")
                sidecar.process.send_signal(signal.SIGTERM)
                assert sidecar.process.wait(PATIENCE_S) == 0
            events = [event["event"] for event in sidecar.events()]
        assert events[-1] == "end"
        assert "stopping" in events


def listen_with_standard_server() -> socket.socket:
    return socket.create_server(("127.0.0.1", 0))


def listen_with_sidecar_bind() -> socket.socket:
    return listener.bind("127.0.0.1", 0)


@pytest.mark.parametrize(
    ("setting", "occupy_address"),
    [
        pytest.param("listen", listen_with_standard_server, id="listen"),
        pytest.param("ops", listen_with_sidecar_bind, id="ops"),
    ],
)
def test_startup_fails_with_error_that_names_address_in_use(
    tmp_path: Path, setting: str, occupy_address: Callable[[], socket.socket]
) -> None:
    path = tmp_path / "config.json"
    with occupy_address() as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        path.write_text(json.dumps({**SIDECAR_CONFIGURATION, "listen": "127.0.0.1:1", setting: address}))
        ended = subprocess.run(
            [*COMMAND, "serve"],
            env={**os.environ, "BALANCER_CONFIG": str(path)},
            capture_output=True,
            text=True,
            timeout=PATIENCE_S,
            check=False,
        )
    assert ended.returncode == 1
    assert ended.stderr == f"cressrail: cannot listen on {address}: Address already in use\n"
