"""Tests of races between clients, endpoints and discovery.

Each test forces one order of the events on loopback connections.
"""

from __future__ import annotations

import json
import socket
from contextlib import suppress
from enum import Enum, auto
from typing import Any

import pytest

from cressrail.proxy import commands, endpoint_connections
from tests.network.support import (
    BODY_64_KIB,
    FIRST_UPDATE_REVISION,
    ConnectGate,
    RecordingEndpoint,
    ScriptedDiscovery,
    read_status,
)
from tests.support.configuration import SECOND
from tests.support.http_messages import (
    request_bytes,
    response_bytes,
)
from tests.support.scripted_peer import RESET_ON_CLOSE, ScriptedPeer
from tests.support.sidecar_harness import SidecarHarness

INTERIM_RESPONSE = b"HTTP/1.1 102 X\r\n\r\n"
LAST_PART = b"the end"
CLIENTS = 120


class Change(Enum):
    """A change that occurs while the connection for a retry is being established."""

    WINDOW_EXPIRED = auto()
    OTHER_CELL = auto()


@pytest.mark.parametrize("has_idle_connection", [True, False], ids=["idle-connection", "no-connection"])
@pytest.mark.parametrize("may_cancel", [True, False], ids=["may-cancel", "may-not-cancel"])
@pytest.mark.parametrize("requests", [1, 10])
def test_request_received_with_client_close_is_not_sent(
    has_idle_connection: bool, may_cancel: bool, requests: int
) -> None:
    """Each send is preceded by a check whether the client is connected."""
    endpoint = RecordingEndpoint()
    harness = SidecarHarness([endpoint], may_cancel=may_cancel)

    def client(peer: ScriptedPeer) -> None:
        if has_idle_connection:  # so that the attempt does not wait for a connection
            peer.send(request_bytes())
            assert read_status(peer) == b"200"
            peer.wait_until(lambda: harness.state_machine.connections.idle)
            peer.sleep(20_000)  # until the idle connection has settled
        leaving = socket.create_connection(harness.address)
        leaving.sendall(b"".join(request_bytes() for _ in range(requests)))
        leaving.close()
        peer.wait_until(
            lambda: harness.listener.accepted_clients == 2 and len(harness.dispatcher.clients) == 1
        )
        peer.sleep(20_000)

    harness.add_client(client)
    harness.run()
    assert len(endpoint.heads) == has_idle_connection


@pytest.mark.parametrize("may_cancel", [True, False], ids=["may-cancel", "may-not-cancel"])
def test_client_close_during_connect_prevents_send(may_cancel: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    endpoint = RecordingEndpoint()
    harness = SidecarHarness([endpoint], may_cancel=may_cancel)
    gate = ConnectGate(monkeypatch, lambda: harness.ports[0])

    def client(peer: ScriptedPeer) -> None:
        leaving = socket.create_connection(harness.address)
        leaving.sendall(request_bytes())
        peer.wait_until(lambda: gate.connects)
        leaving.close()
        peer.wait_until(lambda: len(harness.dispatcher.clients) == 1)
        gate.is_open = True
        peer.wait_until(lambda: not harness.state_machine.attempts.in_flight)
        peer.sleep(20_000)
        if not may_cancel:  # the new connection is reused
            peer.send(request_bytes())
            assert read_status(peer) == b"200"
            assert gate.connects == 1

    harness.add_client(client)
    harness.run()
    assert len(endpoint.heads) == (not may_cancel)


def test_attempt_cancelled_before_its_task_runs_is_not_sent() -> None:
    endpoint = RecordingEndpoint()
    harness = SidecarHarness([endpoint])

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        assert read_status(peer) == b"200"
        machine = harness.state_machine
        on_request, last_id = machine.on_request, machine.ids.last

        def request_then_disconnect(now: int, client: int, *details: Any) -> list[commands.Command]:
            issued = on_request(now, client, *details)
            # The attempt is sent and cancelled in one step.
            return [*issued, *machine.on_client_disconnected(now, client)]

        machine.on_request = request_then_disconnect  # type: ignore[method-assign, assignment]
        peer.send(request_bytes())
        peer.wait_until(lambda: machine.ids.last > last_id and not machine.attempts.in_flight)
        peer.sleep(20_000)

    harness.add_client(client)
    harness.run()
    assert len(endpoint.heads) == 1


@pytest.mark.parametrize(
    "change",
    [
        pytest.param({"phase": "draining"}, id="draining"),
        pytest.param({"phase": "removed"}, id="removed"),
        pytest.param({"host_port": "127.0.0.1:9"}, id="moved"),
        pytest.param({"up_since_ms": 77}, id="restarted"),
    ],
)
def test_list_update_during_connect_applies_to_attempt(
    change: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    endpoint, discovery = RecordingEndpoint(), ScriptedDiscovery()
    harness = SidecarHarness([endpoint], discovery)
    discovery.endpoint_list = json.loads(harness.endpoint_list_json)
    gate = ConnectGate(monkeypatch, lambda: harness.ports[0])
    statuses: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes("write"))
        peer.wait_until(lambda: gate.connects)
        discovery.updates.append(harness.endpoint_entry(0, **change))
        peer.wait_until(lambda: harness.state_machine.endpoint_watch.revision == FIRST_UPDATE_REVISION)
        gate.is_open = True
        statuses.append(read_status(peer))

    harness.add_client(client)
    harness.run()
    assert not endpoint.heads
    assert statuses == [b"503"]  # the request never ran, so it may be rejected


@pytest.mark.parametrize(
    ("request_class", "change", "answer", "sent"),
    [
        pytest.param("write", None, b"200", 1, id="write-in-time"),
        pytest.param("write", Change.WINDOW_EXPIRED, b"502", 0, id="write-window-expired"),
        pytest.param("write", Change.OTHER_CELL, b"502", 0, id="write-other-cell"),
        pytest.param("read", Change.WINDOW_EXPIRED, b"200", 1, id="read-window-expired"),
    ],
)
def test_retry_is_checked_again_once_connected(
    request_class: str, change: Change | None, answer: bytes, sent: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    def resetting_endpoint(peer: ScriptedPeer) -> None:
        peer.receive_until()
        # This update makes the other endpoint available for the retry.
        peer.wait_until(lambda: harness.state_machine.endpoint_watch.revision == FIRST_UPDATE_REVISION)
        peer.reset()

    endpoint, discovery = RecordingEndpoint(), ScriptedDiscovery()
    harness = SidecarHarness([resetting_endpoint, endpoint], discovery)
    discovery.endpoint_list = json.loads(harness.endpoint_list_json)
    # The first attempt must go to `resetting_endpoint`.
    discovery.endpoint_list["members"][1]["phase"] = "draining"
    gate = ConnectGate(monkeypatch, lambda: harness.ports[1])
    statuses: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        load_balancer = harness.state_machine.load_balancer
        for _ in range(20):
            load_balancer.budget.count_request(harness.scheduler.now())
        peer.send(request_bytes(request_class))
        peer.wait_until(lambda: harness.state_machine.attempts.in_flight)
        discovery.updates.append(harness.endpoint_entry(1))
        peer.wait_until(lambda: gate.connects)
        [pending] = harness.state_machine.requests.pending
        assert pending.fixed_endpoint is not None
        if change is Change.WINDOW_EXPIRED:
            pending.fixed_us -= 2 * SECOND
        elif change is Change.OTHER_CELL:
            load_balancer.endpoints[1].cell = 7
        gate.is_open = True
        statuses.append(read_status(peer))

    harness.add_client(client)
    harness.run()
    assert statuses == [answer]
    assert len(endpoint.heads) == sent


def test_removed_endpoint_is_kept_while_upload_to_it_continues() -> None:
    discovery, statuses = ScriptedDiscovery(), list[bytes]()

    def endpoint(peer: ScriptedPeer) -> None:
        peer.receive_until()
        peer.receive(len(BODY_64_KIB) * 3)
        peer.send(response_bytes(b"hello"))

    harness = SidecarHarness([endpoint], discovery)
    discovery.endpoint_list = json.loads(harness.endpoint_list_json)

    def client(peer: ScriptedPeer) -> None:
        request = request_bytes("write", body=BODY_64_KIB * 3)
        peer.send(request[: -len(BODY_64_KIB)])
        peer.wait_until(lambda: harness.state_machine.attempts.in_flight)
        peer.sleep(20_000)
        discovery.updates.append(harness.endpoint_entry(0, phase="removed"))
        peer.wait_until(lambda: harness.state_machine.endpoint_watch.revision == FIRST_UPDATE_REVISION)
        peer.send(request[-len(BODY_64_KIB) :])
        statuses.append(read_status(peer))

    harness.add_client(client)
    harness.run()
    assert statuses == [b"200"]
    assert not harness.state_machine.registry.endpoints  # the record is removed at the end of the attempt


def test_late_second_response_is_not_sent_to_next_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Raised from a few milliseconds, which a slow machine could exceed.
    monkeypatch.setattr(endpoint_connections, "CONNECTION_SETTLE_US", SECOND)

    def answer_twice(peer: ScriptedPeer) -> None:
        number = 0
        while peer.receive_until():
            peer.send(response_bytes(b"answer %d" % number))
            if not number:
                # Waits until the next attempt has started.
                peer.wait_until(lambda: len(bodies) == 1 and harness.state_machine.attempts.in_flight)
            peer.send(response_bytes(b"answer %d" % number))
            number += 1

    harness = SidecarHarness([answer_twice])
    bodies: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        for _ in range(2):
            peer.send(request_bytes())
            head = peer.receive_until()
            assert head[9:12] == b"200"
            bodies.append(peer.receive(8))

    harness.add_client(client)
    harness.run()
    assert bodies == [b"answer 0", b"answer 0"]
    assert len(harness.open_sockets) > 3  # each attempt used its own connection


def test_response_with_simultaneous_client_close_releases_buffers() -> None:
    leaving: list[socket.socket] = []

    def endpoint(peer: ScriptedPeer) -> None:
        peer.receive_until()
        leaving[0].close()
        peer.send(response_bytes(BODY_64_KIB))
        while peer.receive_until():
            peer.send(response_bytes(b"hello"))

    harness = SidecarHarness([endpoint])

    def client(peer: ScriptedPeer) -> None:
        leaving.append(socket.create_connection(harness.address))
        leaving[0].sendall(request_bytes())
        peer.wait_until(lambda: harness.dispatcher.connections and len(harness.dispatcher.clients) == 1)
        peer.send(request_bytes())
        assert read_status(peer) == b"200"

    harness.add_client(client)
    harness.run()  # checks that all buffers and records have been released


def test_wakeup_at_upload_end_is_not_taken_for_cancellation() -> None:
    endpoint_peers: list[ScriptedPeer] = []

    def endpoint(peer: ScriptedPeer) -> None:
        peer.receive_until()
        endpoint_peers.append(peer)
        peer.receive_until(LAST_PART)
        peer.send(response_bytes(b"hello"))

    harness = SidecarHarness([endpoint])
    statuses: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        request = request_bytes("write", body=BODY_64_KIB * 2 + LAST_PART)
        peer.send(request[: -len(LAST_PART)])
        peer.wait_until(lambda: endpoint_peers)
        peer.sleep(20_000)
        # One poll reports both: the attempt's task is woken by its endpoint and by the client's task.
        endpoint_peers[0].sock.send(INTERIM_RESPONSE)
        peer.send(request[-len(LAST_PART) :])
        statuses.append(read_status(peer))

    harness.add_client(client)
    harness.run()
    assert statuses == [b"200"]


def test_request_is_not_forwarded_long_after_client_left(capsys: pytest.CaptureFixture[str]) -> None:
    """Clients disconnect at various stages of their requests to one slow endpoint.

    Counts the requests that were forwarded after their client had disconnected, and prints the longest delay.
    """
    left_at_us: dict[bytes, int] = {}
    delays_us: list[int] = []

    def slow_endpoint(peer: ScriptedPeer) -> None:
        while head := peer.receive_until():
            name = head.partition(b"req-id: ")[2].partition(b"\r")[0]
            if name in left_at_us:
                delays_us.append(peer.scheduler.now() - left_at_us[name])
            peer.sleep(15_000)
            with suppress(OSError):  # the attempt was cancelled because its client disconnected
                peer.send(response_bytes(b"hello"))

    harness = SidecarHarness([slow_endpoint], connect_timeout_us=500_000)
    harness.state_machine.load_balancer.endpoints[0].limit = 2.0  # so that most requests wait in the queue
    stalls_us = [0]  # delays that the machine, not the sidecar, caused

    def measure_stalls() -> None:
        while True:
            due_us = harness.scheduler.now() + 1000
            harness.scheduler.wait(until_us=due_us)
            stalls_us.append(harness.scheduler.now() - due_us)

    harness.scheduler.spawn(measure_stalls)

    def client(peer: ScriptedPeer) -> None:
        for number in range(CLIENTS):
            sock = socket.create_connection(harness.address)
            name = b"leaves%d" % number
            request = request_bytes("read", Req_Id=name.decode(), Req_Deadline="900m")
            sock.sendall(request[:-3] if number % 5 == 0 else request)
            peer.sleep((0, 500, 2_000, 9_000)[number % 4])
            left_at_us[name] = harness.scheduler.now()
            if number % 3 == 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.close()
        peer.wait_until(
            lambda: len(harness.dispatcher.clients) == 1 and not harness.state_machine.attempts.in_flight
        )

    harness.add_client(client)
    harness.run()
    with capsys.disabled():
        worst_us = max(delays_us, default=0)
        print(f"sent on after its client left: {len(delays_us)} of {CLIENTS}, {worst_us} us later at most")
    assert not [delay_us for delay_us in delays_us if delay_us > 300_000 + 2 * max(stalls_us)]
    assert len(delays_us) <= 30
