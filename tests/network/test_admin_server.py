"""Tests of the admin API over sockets."""

from __future__ import annotations

import socket

import pytest

from cressrail.network import listener
from cressrail.network.admin_server import MAX_OPEN_CALLS, AdminServerTask
from tests.support.http_messages import request_bytes, response_bytes
from tests.support.scripted_peer import Script, ScriptedPeer, answer_each_with
from tests.support.sidecar_harness import SidecarHarness


class AdminHarness(SidecarHarness):
    """A sidecar with an admin address.

    Attributes:
        admin_server: The task that accepts admin calls.
        admin_address: The host and port of the admin address.
    """

    def __init__(self) -> None:
        super().__init__([answer_each_with(response_bytes(b"hello"))])
        self.admin_server = AdminServerTask(self.dispatcher, listener.bind(self.host, 0), None)
        self.admin_address: tuple[str, int] = self.admin_server.sock.getsockname()
        self.scheduler.spawn(self.admin_server.run, has_priority=True)

    def connect_admin(self) -> ScriptedPeer:
        """Connects to the admin address."""
        return ScriptedPeer(self.scheduler, socket.create_connection(self.admin_address))

    def add_admin_caller(self, script: Script) -> None:
        """Adds a client that runs a script on a connection to the admin address."""

        def run(peer: ScriptedPeer) -> None:
            peer.sock.close()
            caller = self.connect_admin()
            with caller.sock:
                script(caller)

        self.add_client(run)


@pytest.fixture
def harness() -> AdminHarness:
    """A sidecar whose endpoint answers each request with `hello`."""
    return AdminHarness()


def admin_request(path: str, method: str = "GET") -> bytes:
    return f"{method} {path} HTTP/1.1\r\nhost: x\r\n\r\n".encode()


@pytest.mark.parametrize(
    ("pieces", "status_line"),
    [
        pytest.param([admin_request("/control/ready")], b"HTTP/1.1 200 ", id="whole"),
        pytest.param([b"GE", b"T /control/ready HTTP/1.1\r\n\r", b"\n"], b"HTTP/1.1 200 ", id="in-pieces"),
        pytest.param([b"nonsense\r\n\r\n"], b"HTTP/1.1 400 ", id="malformed"),
        pytest.param([admin_request("/control/ready", "PUT")], b"HTTP/1.1 405 ", id="wrong-method"),
        pytest.param([b"x" * 9000], b"HTTP/1.1 400 ", id="too-large"),
        pytest.param([admin_request("/elsewhere")], b"HTTP/1.1 404 ", id="unknown-path"),
    ],
)
def test_admin_call_is_answered_and_its_connection_closed(
    harness: AdminHarness, pieces: list[bytes], status_line: bytes
) -> None:
    responses: list[bytes] = []

    def caller(peer: ScriptedPeer) -> None:
        peer.wait_until(lambda: harness.state_machine.can_serve(harness.scheduler.now()))
        for piece in pieces:
            peer.send(piece)
            peer.sleep(2000)  # so that each piece is received separately
        responses.append(peer.receive_all())

    harness.add_admin_caller(caller)
    harness.run()
    assert responses[0].startswith(status_line)
    assert b"connection: close" in responses[0]


def test_unfinished_admin_calls_do_not_block_new_calls_and_the_oldest_is_closed(
    harness: AdminHarness,
) -> None:
    status_lines: list[bytes] = []
    received_by_oldest: list[bytes] = []
    open_calls: list[int] = []

    def oldest_caller(peer: ScriptedPeer) -> None:
        unfinished = [harness.connect_admin() for _ in range(MAX_OPEN_CALLS - 1)]
        for number in range(3):
            caller = harness.connect_admin()
            caller.send(admin_request("/control/counters"))
            status_lines.append(caller.receive_all()[:12])
            caller.sock.close()
            if number == 0:  # together with the earlier ones they reach the limit
                unfinished += [harness.connect_admin() for _ in range(2)]
        open_calls.append(len(harness.admin_server.calls))
        received_by_oldest.append(peer.receive_all())
        for other in unfinished:
            other.sock.close()

    harness.add_admin_caller(oldest_caller)
    harness.run()
    assert status_lines == [b"HTTP/1.1 200"] * 3
    assert received_by_oldest == [b""]
    assert open_calls[0] <= MAX_OPEN_CALLS


def test_admin_call_is_answered_when_the_pool_is_exhausted(harness: AdminHarness) -> None:
    harness.dispatcher.pool.max_lent = 0
    responses: list[bytes] = []

    def caller(peer: ScriptedPeer) -> None:
        peer.send(admin_request("/control/counters"))
        responses.append(peer.receive_all())

    harness.add_admin_caller(caller)
    harness.run()
    assert responses[0].startswith(b"HTTP/1.1 200 ")
    assert b"app_cluster_size 1\n" in responses[0]


def test_counters_agree_with_the_responses_of_clients(harness: AdminHarness) -> None:
    counters: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        for _ in range(3):
            peer.send(request_bytes())
            peer.receive_until(b"hello")
        peer.send(request_bytes("read", path="/_health"))
        peer.receive_until()
        caller = harness.connect_admin()
        with caller.sock:
            caller.send(admin_request("/control/counters"))
            counters.append(caller.receive_all())

    harness.add_client(client)
    harness.run()
    assert b'app_answered{group="read"} 3\n' in counters[0]
    assert b"app_sends 3\n" in counters[0]
