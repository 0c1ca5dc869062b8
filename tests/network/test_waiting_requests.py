"""Tests of requests, and of clients that leave, while their bytes wait unread in the kernel.

A request's time counts from when the kernel had its last byte, and none is sent for a client that has left.
"""

from __future__ import annotations

import errno
import select
import socket
import time
from collections.abc import Callable

import pytest

from cressrail.proxy import commands
from cressrail.proxy.clients import MAX_CLOSING_CLIENTS
from tests.network.support import FailingListener, RecordingEndpoint, read_status
from tests.support.http_messages import request_bytes
from tests.support.scripted_peer import ScriptedPeer
from tests.support.sidecar_harness import SidecarHarness

SHORT_DEADLINE = "100m"
WAIT_US = 250_000  # more than the short deadline, and less than that of the request class
EMFILE_ERRORS = 12  # the listener pauses for 20 ms after each


class SuspendedPoll:
    """A poll object that returns late once, as if the process had been suspended while it blocked."""

    def __init__(self, poll: select.poll) -> None:
        self.register, self.unregister = poll.register, poll.unregister
        self._poll = poll
        self._is_due = True

    def poll(self, timeout_ms: int | None) -> list[tuple[int, int]]:
        """Polls; the first time, returns the events of that poll after `WAIT_US`."""
        events = self._poll.poll(timeout_ms)
        if self._is_due:
            self._is_due = False
            time.sleep(WAIT_US / 1_000_000)
        return events


def pause_listener(harness: SidecarHarness, peer: ScriptedPeer) -> None:
    """The state machine pauses the listener, as where the clients have used up their descriptors."""
    harness.dispatcher.dispatch([commands.AcceptClients(False)])
    peer.sleep(WAIT_US)
    harness.dispatcher.dispatch([commands.AcceptClients(True)])


def run_out_of_descriptors(harness: SidecarHarness, peer: ScriptedPeer) -> None:
    """The listener gets no descriptor for a while."""
    errors = [errno.EMFILE] * EMFILE_ERRORS
    harness.listener.sock = FailingListener(harness.listener.sock, *errors)  # type: ignore[assignment]
    peer.sleep(WAIT_US)


def work_long(harness: SidecarHarness, peer: ScriptedPeer) -> None:
    """Another task does not yield."""
    until_us = harness.scheduler.now() + WAIT_US
    while peer.scheduler.now() < until_us:
        pass


def suspend_process(harness: SidecarHarness, peer: ScriptedPeer) -> None:
    """The process gets no processor while it blocks in poll."""
    harness.scheduler.full_poll = SuspendedPoll(harness.scheduler.full_poll)  # type: ignore[assignment]
    peer.sleep(WAIT_US)


WAITS = [pause_listener, run_out_of_descriptors, work_long, suspend_process]
Wait = Callable[[SidecarHarness, ScriptedPeer], None]


@pytest.mark.parametrize("has_client_left", [False, True], ids=["client-waits", "client-has-left"])
@pytest.mark.parametrize("wait", WAITS)
def test_request_that_waited_unaccepted_is_not_sent_late(wait: Wait, has_client_left: bool) -> None:
    """Guards against requests that count as new when accepted: run for nobody, or answered late."""
    endpoint = RecordingEndpoint()
    harness = SidecarHarness([endpoint])
    statuses: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        assert read_status(peer) == b"200"
        waiting = socket.create_connection(harness.address)
        waiting.sendall(request_bytes(Req_Deadline="" if has_client_left else SHORT_DEADLINE))
        if has_client_left:
            waiting.close()
        wait(harness, peer)
        if not has_client_left:
            statuses.append(read_status(ScriptedPeer(harness.scheduler, waiting)))
            waiting.close()
        peer.wait_until(
            lambda: harness.listener.accepted_clients == 2 and len(harness.dispatcher.clients) == 1
        )

    harness.add_client(client)
    harness.run()
    assert statuses == ([] if has_client_left else [b"503"])
    assert len(endpoint.heads) == 1


def test_request_queued_at_a_predecessor_is_not_sent_late() -> None:
    """Guards against a taken-over accept queue whose requests count as new: its predecessor had paused."""
    endpoint = RecordingEndpoint()
    harness = SidecarHarness([endpoint])
    harness.listener.queued_since_us = None  # as for the listening socket of a predecessor
    waiting = socket.create_connection(harness.address)
    waiting.sendall(request_bytes(Req_Deadline=SHORT_DEADLINE))
    time.sleep(WAIT_US / 1_000_000)
    statuses: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        statuses.append(read_status(ScriptedPeer(peer.scheduler, waiting)))
        waiting.close()

    harness.add_client(client)
    harness.run()
    assert statuses == [b"503"]
    assert not endpoint.heads


@pytest.mark.parametrize("sent", [b"", b"POST /api HTTP/1.1\r\nReq-"], ids=["silent", "half-written"])
def test_request_behind_a_crowd_of_clients_is_answered_in_time(sent: bytes) -> None:
    """Guards against a crowd that holds requests back until their time is over, or takes all descriptors."""
    endpoint = RecordingEndpoint()
    harness = SidecarHarness([endpoint])
    machine = harness.state_machine
    machine.limits.clients, machine.limits.extra_clients = 4, 1
    on_client_connected = machine.on_client_connected
    open_clients: list[int] = []
    statuses: list[bytes] = []

    def connect_and_count(now_us: int, client: int, silent_since_us: int) -> list[commands.Command]:
        open_clients.append(len(machine.clients.open) + 1)
        return on_client_connected(now_us, client, silent_since_us)

    def client(peer: ScriptedPeer) -> None:
        crowd = [socket.create_connection(harness.address) for _ in range(40)]
        for sock in crowd:
            sock.sendall(sent)
        waiting = socket.create_connection(harness.address)
        waiting.sendall(request_bytes(Req_Deadline="800m"))
        statuses.append(read_status(ScriptedPeer(peer.scheduler, waiting)))
        for sock in [*crowd, waiting]:
            sock.close()

    machine.on_client_connected = connect_and_count  # type: ignore[method-assign]
    harness.add_client(client)
    harness.run()
    assert statuses == [b"200"]
    assert max(open_clients) <= machine.limits.clients + machine.limits.extra_clients + MAX_CLOSING_CLIENTS


def test_request_unread_during_the_one_before_it_is_not_sent_late() -> None:
    """Guards against a second request on a connection that counts as new once the first has its answer."""
    endpoint = RecordingEndpoint()

    def slow_endpoint(peer: ScriptedPeer) -> None:
        peer.sleep(WAIT_US)
        endpoint(peer)

    harness = SidecarHarness([slow_endpoint])
    statuses: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        peer.wait_until(lambda: harness.state_machine.attempts.in_flight)
        peer.send(request_bytes(Req_Deadline=SHORT_DEADLINE))
        statuses.extend(read_status(peer) for _ in range(2))

    harness.add_client(client)
    harness.run()
    assert statuses == [b"200", b"503"]
    assert len(endpoint.heads) == 1
