"""Tests of attempts over connections to scripted endpoints: framing, failures, reuse and refusal."""

from __future__ import annotations

import copy
import socket
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any

import pytest

from cressrail.network.endpoint_connection import EndpointConnectionTask
from cressrail.proxy.clients import CLIENT_STALL_US
from cressrail.proxy.commands import SendAttempt
from tests.support.configuration import mesh_configuration
from tests.support.http_messages import (
    CHUNKED_HEADER,
    DECLINED_HEADER,
    OK_STATUS_LINE,
    TRUNCATED_RESPONSE,
    chunk_bytes,
    request_bytes,
    response_bytes,
)
from tests.support.scripted_peer import Script, ScriptedPeer, answer_each_with
from tests.support.sidecar_harness import SidecarHarness, exchange

BODY_64_KIB = bytes(range(256)) * 256
HELLO = response_bytes(b"hello")


@pytest.mark.parametrize(
    ("response", "closes", "piece_size"),
    [
        pytest.param(HELLO, False, 0, id="length"),
        pytest.param(HELLO, False, 1, id="length-bytewise"),
        pytest.param(HELLO, True, 0, id="length-then-close"),
        pytest.param(OK_STATUS_LINE + b"\r\nhello", True, 0, id="until-close"),
        pytest.param(
            OK_STATUS_LINE + CHUNKED_HEADER + chunk_bytes(b"hello") + chunk_bytes(b""),
            False,
            3,
            id="chunked-in-pieces",
        ),
    ],
)
def test_response_body_passes_unchanged_in_any_framing(
    response: bytes, closes: bool, piece_size: int
) -> None:
    harness = SidecarHarness([answer_each_with(response, closes, piece_size)])
    assert exchange(harness, request_bytes(), request_bytes()) == [b"200 hello"] * 2


def test_bodies_pass_in_both_directions_when_each_side_pauses_reading() -> None:
    received_by_endpoint: list[bytes] = []
    received_by_client: list[bytes] = []

    def endpoint(peer: ScriptedPeer) -> None:
        peer.receive_until()
        peer.sleep(30_000)
        received_by_endpoint.append(peer.receive(len(BODY_64_KIB)))
        peer.send(response_bytes(BODY_64_KIB))

    def client(peer: ScriptedPeer) -> None:
        peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        peer.send(request_bytes(body=BODY_64_KIB))
        peer.sleep(50_000)
        peer.receive_until()
        received_by_client.append(peer.receive(len(BODY_64_KIB)))

    harness = SidecarHarness([endpoint])
    harness.add_client(client)
    harness.run()
    assert received_by_endpoint == [BODY_64_KIB]
    assert received_by_client == [BODY_64_KIB]


def test_response_may_be_larger_than_a_request() -> None:
    harness = SidecarHarness([answer_each_with(response_bytes(BODY_64_KIB * 5))])
    assert exchange(harness, request_bytes()) == [b"200 " + BODY_64_KIB * 5]


@pytest.mark.parametrize(
    ("request_class", "response", "answer"),
    [
        pytest.param("write", TRUNCATED_RESPONSE, b"502 ", id="write-truncated"),
        pytest.param("read", TRUNCATED_RESPONSE, b"503 ", id="read-truncated"),
        pytest.param(
            "write", OK_STATUS_LINE + CHUNKED_HEADER + chunk_bytes(b"hello"), b"502 ", id="no-last-chunk"
        ),
        pytest.param("write", OK_STATUS_LINE, b"502 ", id="status-line-only"),
        pytest.param("write", b"nonsense\r\n\r\n", b"502 ", id="malformed"),
        pytest.param(
            "write", OK_STATUS_LINE + b"content-length: 3000000000\r\n\r\na", b"502 ", id="too-large"
        ),
        pytest.param("write", response_bytes(status=500), b"502 ", id="write-500"),
        pytest.param("note", response_bytes(status=500), b"503 ", id="note-500"),
        pytest.param("write", response_bytes(status=503), b"502 ", id="write-503"),
        pytest.param(
            "write", response_bytes(status=503, header_lines=DECLINED_HEADER), b"503 ", id="declined-503"
        ),
        pytest.param(
            "write",
            response_bytes(status=504, header_lines=DECLINED_HEADER.title()),
            b"503 ",
            id="declined-504",
        ),
        pytest.param("write", response_bytes(status=404), b"400 ", id="404"),
        pytest.param("read", response_bytes(status=429), b"503 ", id="429"),
    ],
)
def test_response_to_failed_attempt_depends_on_whether_it_may_have_taken_effect(
    request_class: str, response: bytes, answer: bytes
) -> None:
    harness = SidecarHarness([answer_each_with(response, closes=True)])
    assert exchange(harness, request_bytes(request_class)) == [answer]


def test_refused_connection_rejects_request_and_makes_endpoint_unavailable() -> None:
    harness = SidecarHarness([answer_each_with(response_bytes())])
    harness.listening_sockets[0].close()
    harness.listening_sockets[0] = socket.socket()  # nothing listens on the port any more
    assert exchange(harness, request_bytes("write")) == [b"503 "]
    assert not harness.state_machine.load_balancer.endpoints[0].is_available(harness.scheduler.now())


def test_request_is_sent_once_and_not_on_a_connection_that_the_endpoint_has_closed() -> None:
    requests_by_connection: list[int] = []

    def endpoint(peer: ScriptedPeer) -> None:
        connection = len(requests_by_connection)
        requests_by_connection.append(0)
        for _ in range(2):
            if peer.receive_until():
                requests_by_connection[connection] += 1
                peer.send(HELLO)
        peer.sock.close()

    harness = SidecarHarness([endpoint])
    responses: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        for _ in range(5):
            peer.send(request_bytes())
            responses.append(peer.receive_until(b"hello"))

    harness.add_client(client)
    harness.run()
    assert len(responses) == 5
    assert all(responses)
    assert requests_by_connection == [2, 2, 1]


@pytest.mark.parametrize("is_reset", [True, False], ids=["reset", "closed"])
def test_endpoint_is_unavailable_after_its_idle_connection_is_reset_but_not_closed(is_reset: bool) -> None:
    def endpoint(peer: ScriptedPeer) -> None:
        peer.receive_until()
        peer.send(HELLO)
        peer.wait_until(lambda: harness.state_machine.connections.idle)
        if is_reset:
            peer.reset()
        else:
            peer.sock.close()

    harness = SidecarHarness([endpoint])

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        peer.receive_until(b"hello")
        peer.wait_until(lambda: not harness.dispatcher.connections)

    harness.add_client(client)
    harness.run()
    endpoint_state = harness.state_machine.load_balancer.endpoints[0]
    assert endpoint_state.is_available(harness.scheduler.now()) is not is_reset


def test_attempt_past_its_deadline_does_not_lower_success_rate_of_endpoint(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = SidecarHarness([answer_each_with(response_bytes())])
    open_connection = EndpointConnectionTask._open

    def open_late(task: EndpointConnectionTask, command: SendAttempt) -> None:
        open_connection(task, command)
        monkeypatch.setattr(harness.dispatcher, "now", lambda: harness.scheduler.now() + 10 * CLIENT_STALL_US)

    monkeypatch.setattr(EndpointConnectionTask, "_open", open_late)
    assert exchange(harness, request_bytes("write")) == [b"503 "]
    assert harness.state_machine.load_balancer.endpoints[0].success_rate == 1.0


def test_client_disconnect_closes_the_connection_of_its_attempt() -> None:
    started: list[bytes] = []
    ends: list[bytes] = []

    def endpoint(peer: ScriptedPeer) -> None:
        started.append(peer.receive_until())
        ends.append(peer.receive_all())

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        peer.wait_until(lambda: started)
        peer.sock.close()
        peer.wait_until(lambda: ends)  # before the harness closes the endpoint's connection itself

    harness = SidecarHarness([endpoint])
    harness.add_client(client)
    harness.run()
    assert ends == [b""]


def test_unanswered_connect_times_out_and_rejects_the_request() -> None:
    with ExitStack() as stack:
        full = stack.enter_context(socket.socket())
        full.bind((SidecarHarness.host, 0))
        full.listen(0)
        port = full.getsockname()[1]
        for _ in range(4):  # fills the accept queue, so that further connects get no answer
            sock = stack.enter_context(socket.socket())
            sock.setblocking(False)
            sock.connect_ex(full.getsockname())
        harness = SidecarHarness([answer_each_with(response_bytes())], connect_timeout_us=50_000)
        harness.state_machine.registry.endpoints[0].port = port
        harness.endpoint_list_json = harness.endpoint_list_json.replace(
            b":%d" % harness.ports[0], b":%d" % port
        )
        assert exchange(harness, request_bytes("write", Req_Deadline="2000m")) == [b"503 "]


@pytest.mark.parametrize(
    ("configure", "expected_endpoints"),
    [pytest.param(mesh_configuration, 2, id="per-client"), pytest.param(copy.deepcopy, 6, id="ingress-tier")],
)
def test_per_client_sidecar_connects_to_few_endpoints(
    configure: Callable[..., dict[str, Any]], expected_endpoints: int
) -> None:
    connected: set[int] = set()

    def endpoint(number: int) -> Script:
        def script(peer: ScriptedPeer) -> None:
            connected.add(number)
            answer_each_with(HELLO)(peer)

        return script

    statuses: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        for _ in range(40):
            peer.send(request_bytes())
            statuses.append(peer.receive_until()[9:12])
            peer.receive(5)

    harness = SidecarHarness([endpoint(number) for number in range(6)], configure=configure)
    harness.add_client(client)
    harness.run()
    assert statuses == [b"200"] * 40
    assert len(connected) == expected_endpoints


@pytest.mark.parametrize("request_class", ["read", "write", "note"])
def test_per_client_sidecar_rejects_request_if_all_connections_are_refused(request_class: str) -> None:
    # As with endpoints at their connection limit, refused connections prove that no attempt ran.
    harness = SidecarHarness([answer_each_with(response_bytes())] * 3, configure=mesh_configuration)
    for sock in harness.listening_sockets[:3]:
        sock.close()
    assert exchange(harness, request_bytes(request_class)) == [b"503 "]
