"""Tests of races between closing a connection or the listener and a client that sends.

Each test forces one order of the events.
"""

from __future__ import annotations

import errno
import socket
from typing import Any

import pytest

from cressrail.event_loop.scheduler import READABLE
from cressrail.network.socket_stream import SocketStream
from cressrail.proxy import commands
from cressrail.proxy.state_machine import StateMachine
from tests.network.support import BODY_64_KIB, FailingListener, RecordingEndpoint, read_status
from tests.support.http_messages import OK_STATUS_LINE, request_bytes, response_bytes
from tests.support.scripted_peer import ScriptedPeer
from tests.support.sidecar_harness import SidecarHarness


def send_after_empty_read(sock: socket.socket, data: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes a client send right after the sidecar has read from its connection and found no data."""
    receive = SocketStream.receive
    has_sent = False

    def receive_then_send(stream: SocketStream) -> int:
        nonlocal has_sent
        count = receive(stream)
        if count == -1 and not has_sent and stream.sock.getpeername() == sock.getsockname():
            has_sent = True
            sock.send(data)
        return count

    monkeypatch.setattr(SocketStream, "receive", receive_then_send)


def test_request_sent_during_idle_close_sees_close_without_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    endpoint = RecordingEndpoint()
    harness = SidecarHarness([endpoint])
    received: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        assert read_status(peer) == b"200"
        peer.wait_until(lambda: harness.state_machine.clients.idle)
        send_after_empty_read(peer.sock, request_bytes(), monkeypatch)
        harness.dispatcher.dispatch([harness.state_machine.clients.close_if_idle(1)])
        assert peer.scheduler.wait(peer.sock.fileno(), READABLE)
        received.append(peer.sock.recv(100))
        # The sidecar still reads from the connection for a while after it has shut down its sending side.
        assert 1 in harness.dispatcher.clients
        peer.sock.close()
        peer.wait_until(lambda: not harness.dispatcher.clients)

    harness.add_client(client)
    harness.run()
    assert received == [b""]
    assert len(endpoint.heads) == 1  # the second request was read after the shutdown, so it was not forwarded


def test_idle_client_that_does_not_close_is_closed_in_bounded_time() -> None:
    harness = SidecarHarness([RecordingEndpoint()])

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        assert read_status(peer) == b"200"
        peer.wait_until(lambda: harness.state_machine.clients.idle)
        harness.dispatcher.dispatch([harness.state_machine.clients.close_if_idle(1)])
        peer.wait_until(lambda: not harness.dispatcher.clients)

    harness.add_client(client)
    harness.run()


@pytest.mark.parametrize("is_at_client_limit", [True, False], ids=["at-limit", "below-limit"])
def test_last_response_arrives_complete_despite_unread_input(
    is_at_client_limit: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A reset would discard the response, which is still in the kernel's buffers for a slow reader."""
    harness = SidecarHarness([RecordingEndpoint(response_bytes(BODY_64_KIB * 8))])
    bodies: list[bytes] = []
    if is_at_client_limit:
        harness.state_machine.limits.clients = 2
    on_response_written = StateMachine.on_response_written

    def send_then_report(machine: StateMachine, now: int, client: int) -> list[commands.Command]:
        sock.send(b"GET /more HTTP/1.1\r\n")  # unread when the response is written
        return on_response_written(machine, now, client)

    monkeypatch.setattr(StateMachine, "on_response_written", send_then_report)
    sock = socket.socket()

    def client(peer: ScriptedPeer) -> None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(harness.address)
        reader = ScriptedPeer(harness.scheduler, sock)
        reader.send(request_bytes(Connection="close"))
        peer.wait_until(lambda: harness.state_machine.counters.final["read"]["answered"])
        reader.receive_until()
        peer.sleep(20_000)
        bodies.append(reader.receive(len(BODY_64_KIB) * 8))
        sock.close()

    harness.add_client(client)
    harness.run()
    assert bodies == [BODY_64_KIB * 8]


def test_stale_idle_close_command_does_not_make_client_task_spin() -> None:
    body, first_part = BODY_64_KIB * 10, len(BODY_64_KIB) * 2
    first_parts_sent: list[int] = []

    def endpoint(peer: ScriptedPeer) -> None:
        peer.receive_until()
        peer.send(OK_STATUS_LINE + b"content-length: %d\r\n\r\n" % len(body) + body[:first_part])
        first_parts_sent.append(first_part)
        peer.wait_until(lambda: waits)
        peer.send(body[first_part:])

    harness = SidecarHarness([endpoint])
    waits: list[int] = []
    bodies: list[bytes] = []
    wait = harness.scheduler.wait

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        peer.wait_until(lambda: first_parts_sent)
        peer.receive_until()
        start = peer.receive(first_part)
        peer.sleep(20_000)

        def count_and_wait(*arguments: Any, **options: Any) -> int:
            if harness.scheduler.current is harness.dispatcher.clients.get(1):
                waits.append(1)
                assert len(waits) < 1000, "the client's task spins"
            return wait(*arguments, **options)

        harness.scheduler.wait = count_and_wait  # type: ignore[method-assign]
        harness.scheduler.post(harness.dispatcher.clients[1], commands.CloseClient(1, True))
        bodies.append(start + peer.receive(len(body) - first_part))

    harness.add_client(client)
    harness.run()
    assert bodies == [body]


@pytest.mark.parametrize("error", [errno.ECONNABORTED, errno.EMFILE, errno.EPROTO], ids=errno.errorcode.get)
def test_queued_client_is_answered_as_listener_closes_despite_accept_error(error: int) -> None:
    harness = SidecarHarness([RecordingEndpoint()])
    statuses: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        assert read_status(peer) == b"200"
        harness.listener.sock = FailingListener(harness.listener.sock, error)  # type: ignore[assignment]
        waiting = [socket.create_connection(harness.address) for _ in range(2)]
        for sock in waiting:
            sock.sendall(request_bytes())
        harness.scheduler.post(
            harness.dispatcher.command_tasks[commands.AcceptClients],
            commands.AcceptClients(False, is_final=True),
        )
        statuses.extend(read_status(ScriptedPeer(harness.scheduler, sock)) for sock in waiting)
        for sock in waiting:
            sock.close()

    harness.add_client(client)
    harness.run()
    assert statuses == [b"200"] * 2
