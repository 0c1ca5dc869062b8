"""Tests of clients that send malformed, pipelined, partial or slow requests or exceed the limits."""

from __future__ import annotations

import pytest

from cressrail.proxy import clients
from cressrail.proxy.clients import CLIENT_STALL_US
from tests.support.http_messages import request_bytes, response_bytes
from tests.support.scripted_peer import ScriptedPeer, answer_each_with
from tests.support.sidecar_harness import SidecarHarness, exchange


@pytest.fixture
def harness() -> SidecarHarness:
    """A sidecar with one endpoint that answers each request with an empty body."""
    return SidecarHarness([answer_each_with(response_bytes())])


@pytest.mark.parametrize(
    ("request_text", "status"),
    [
        pytest.param(b"nonsense\r\n\r\n", b"400", id="malformed"),
        pytest.param(b"GET / HTTP/1.1\r\n\r\n", b"404", id="no-request-id"),
        pytest.param(request_bytes("unknown"), b"400", id="unknown-class"),
        pytest.param(request_bytes(path="/" + "a" * 9000), b"431", id="head-too-large"),
        pytest.param(request_bytes(Content_Length="9000000000"), b"413", id="body-too-large"),
    ],
)
def test_invalid_request_is_refused_with_its_status(
    harness: SidecarHarness, request_text: bytes, status: bytes
) -> None:
    assert exchange(harness, request_text)[0][:3] == status


def test_pipelined_requests_are_answered_in_order() -> None:
    harness = SidecarHarness([answer_each_with(response_bytes(b"hello"))])
    responses: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes() + request_bytes())
        responses.extend(peer.receive_until(b"hello") for _ in range(2))

    harness.add_client(client)
    harness.run()
    assert len(responses) == 2
    assert all(response.startswith(b"HTTP/1.1 200") for response in responses)


def limit_connections(
    harness: SidecarHarness, clients: int, extra_clients: int, endpoint_connections: int
) -> None:
    limits = harness.state_machine.limits
    limits.clients, limits.extra_clients = clients, extra_clients
    limits.endpoint_connections = endpoint_connections


def test_clients_beyond_the_limits_are_each_answered(harness: SidecarHarness) -> None:
    limit_connections(harness, clients=4, extra_clients=2, endpoint_connections=4)
    statuses: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        peer.sleep(20_000)  # the request arrives well after the connection
        peer.send(request_bytes())
        statuses.append(peer.receive_until()[9:12])

    for _ in range(20):
        harness.add_client(client)
    harness.run()
    assert len(statuses) == 20
    assert set(statuses) == {b"200", b"503"}


def test_stalled_client_at_the_limit_gets_408_and_next_client_is_served(harness: SidecarHarness) -> None:
    limit_connections(harness, clients=1, extra_clients=1, endpoint_connections=4)
    statuses: dict[str, bytes] = {}

    def next_client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        statuses["next"] = peer.receive_until()[9:12]

    def stalling_client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes()[:30])
        peer.sleep(CLIENT_STALL_US + 50_000)
        harness.add_client(next_client)
        statuses["stalling"] = peer.receive_until()[9:12]

    harness.add_client(stalling_client)
    harness.run()
    assert statuses == {"next": b"200", "stalling": b"408"}


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        pytest.param(b"", b"", id="nothing"),
        pytest.param(b"GET /api HT", b"408", id="part-of-head"),
        pytest.param(b"POST /api HTTP/1.1\r\ncontent-length: 9\r\n\r\nabc", b"408", id="part-of-body"),
    ],
)
def test_silent_client_is_closed_and_stalled_client_gets_408(
    harness: SidecarHarness, sent: bytes, status: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(clients, "CLIENT_SILENCE_LIMIT_US", 20_000)
    monkeypatch.setattr(clients, "CLIENT_STALL_US", 20_000)
    statuses: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        peer.send(sent)
        statuses.append(peer.receive_until()[9:12])

    harness.add_client(client)
    harness.run()
    assert statuses == [status]


def test_slow_but_steady_client_is_served(harness: SidecarHarness, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clients, "CLIENT_SILENCE_LIMIT_US", 100_000)
    monkeypatch.setattr(clients, "CLIENT_STALL_US", 100_000)
    statuses: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        request = request_bytes()
        for start in range(0, len(request), 8):
            peer.send(request[start : start + 8])
            peer.sleep(10_000)
        statuses.append(peer.receive_until()[9:12])

    harness.add_client(client)
    harness.run()
    assert statuses == [b"200"]


def test_exhausted_pool_rejects_request(harness: SidecarHarness) -> None:
    harness.dispatcher.pool.max_lent = 3
    assert exchange(harness, request_bytes(body=bytes(60_000)))[0] == b"503 "
