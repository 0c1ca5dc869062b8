"""Tests of responses that are kept or streamed to a client, with slow and disconnecting peers."""

from __future__ import annotations

import socket

import pytest

from cressrail.buffers.pipe import KEPT_BODY_BYTES, MAX_PIPE_BUFFERS
from tests.network.support import read_status
from tests.support.http_messages import (
    CHUNKED_HEADER,
    OK_STATUS_LINE,
    chunk_bytes,
    request_bytes,
    response_bytes,
)
from tests.support.scripted_peer import ScriptedPeer, answer_each_with
from tests.support.sidecar_harness import SidecarHarness
from tests.support.streaming import (
    LARGE_BODY,
    ReceivedResponse,
    chunked_response,
    read_response,
    response_with_length,
    tolerating_disconnect,
)

INTERIM_RESPONSE = b"HTTP/1.1 102 X\r\n\r\n"
PART_OF_CHUNK = OK_STATUS_LINE + CHUNKED_HEADER + chunk_bytes(b"hello")[:-3]


@pytest.mark.parametrize(
    ("response", "closes", "body"),
    [
        pytest.param(response_with_length(LARGE_BODY), False, LARGE_BODY, id="length"),
        pytest.param(chunked_response(LARGE_BODY), False, LARGE_BODY, id="chunked"),
        pytest.param(OK_STATUS_LINE + b"\r\n" + LARGE_BODY, True, LARGE_BODY, id="until-close"),
        pytest.param(
            chunked_response(LARGE_BODY[: KEPT_BODY_BYTES + 1], chunk_size=1000),
            False,
            LARGE_BODY[: KEPT_BODY_BYTES + 1],
            id="smallest-streamed",
        ),
        pytest.param(
            response_with_length(LARGE_BODY[:KEPT_BODY_BYTES]),
            False,
            LARGE_BODY[:KEPT_BODY_BYTES],
            id="largest-kept",
        ),
    ],
)
def test_large_response_passes_unchanged_in_any_framing(response: bytes, closes: bool, body: bytes) -> None:
    harness = SidecarHarness([answer_each_with(response, closes)])
    responses: list[ReceivedResponse] = []

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        responses.append(read_response(peer))

    harness.add_client(client)
    harness.run()
    assert responses == [ReceivedResponse(b"200", body)]
    assert harness.state_machine.counters.final["read"]["answered"] == 1


def test_connection_is_reused_after_large_response() -> None:
    harness = SidecarHarness([answer_each_with(chunked_response(LARGE_BODY))])
    responses: list[ReceivedResponse] = []

    def client(peer: ScriptedPeer) -> None:
        for _ in range(3):
            peer.send(request_bytes())
            responses.append(read_response(peer))

    harness.add_client(client)
    harness.run()
    assert responses == [ReceivedResponse(b"200", LARGE_BODY)] * 3


def test_first_bytes_are_forwarded_before_the_rest_arrives() -> None:
    response = response_with_length(LARGE_BODY)
    first_parts: list[bytes] = []
    bodies: list[bytes] = []

    def endpoint(peer: ScriptedPeer) -> None:
        peer.receive_until()
        peer.send(response[:1000])
        peer.wait_until(lambda: first_parts)
        peer.send(response[1000:])

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        peer.receive_until()
        first_parts.append(peer.receive(500))
        bodies.append(first_parts[0] + peer.receive(len(LARGE_BODY) - 500))

    harness = SidecarHarness([endpoint])
    harness.add_client(client)
    harness.run()
    assert bodies == [LARGE_BODY]


@pytest.mark.parametrize(
    "truncated_response",
    [
        pytest.param(response_with_length(LARGE_BODY)[:-1], id="last-byte-missing"),
        pytest.param(chunked_response(LARGE_BODY, is_complete=False), id="last-chunk-missing"),
        pytest.param(response_with_length(LARGE_BODY)[:90_000], id="most-missing"),
    ],
)
def test_truncated_large_response_stays_truncated_and_counts_as_errored(truncated_response: bytes) -> None:
    attempts: list[bytes] = []

    def endpoint(peer: ScriptedPeer) -> None:
        attempts.append(peer.receive_until())
        peer.send(truncated_response)
        peer.sock.close()

    harness = SidecarHarness([endpoint])
    responses: list[ReceivedResponse] = []
    remainders: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        responses.append(read_response(peer))
        remainders.append(peer.receive_all())

    harness.add_client(client)
    harness.run()
    [response] = responses
    assert response.status == b"200"
    assert not response.is_complete
    assert remainders == [b""]
    assert len(attempts) == 1
    assert harness.state_machine.counters.final["read"] == {"answered": 0, "deferred": 0, "errored": 1}


def test_truncated_response_without_length_resets_http_1_0_client() -> None:
    harness = SidecarHarness([answer_each_with(chunked_response(LARGE_BODY, is_complete=False), closes=True)])
    endings: list[str] = []

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes().replace(b"HTTP/1.1", b"HTTP/1.0"))
        peer.sleep(200_000)
        while True:
            try:
                if not peer.sock.recv(1 << 20):
                    endings.append("closed")
                    return
            except BlockingIOError:
                peer.sleep(1000)
            except ConnectionResetError:
                endings.append("reset")
                return

    harness.add_client(client)
    harness.run()
    assert endings == ["reset"]


def test_slow_client_holds_bounded_buffers_and_delays_no_other_client() -> None:
    body = LARGE_BODY * 8
    harness = SidecarHarness(
        [tolerating_disconnect(answer_each_with(response_with_length(body))) for _ in range(2)]
    )
    responses: list[ReceivedResponse] = []
    lent: list[int] = []

    def slow_client(peer: ScriptedPeer) -> None:
        peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        peer.send(request_bytes())
        peer.wait_until(lambda: responses)
        lent.append(harness.dispatcher.pool.lent)

    def fast_client(peer: ScriptedPeer) -> None:
        peer.wait_until(lambda: harness.dispatcher.pool.lent >= MAX_PIPE_BUFFERS)  # those of the slow client
        peer.send(request_bytes())
        responses.append(read_response(peer))

    harness.add_client(slow_client)
    harness.add_client(fast_client)
    harness.run()
    assert responses == [ReceivedResponse(b"200", body)]
    assert lent[0] <= 2 * (MAX_PIPE_BUFFERS + 2)


def test_small_pool_slows_streams_but_truncates_none() -> None:
    harness = SidecarHarness([answer_each_with(response_with_length(LARGE_BODY))])
    harness.dispatcher.pool.max_lent = 12
    responses: list[ReceivedResponse] = []

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        responses.append(read_response(peer))

    for _ in range(6):
        harness.add_client(client)
    harness.run()
    assert all(response.is_complete for response in responses)
    assert {response.body for response in responses} <= {LARGE_BODY, b""}
    assert LARGE_BODY in {response.body for response in responses}


@pytest.mark.parametrize(
    ("response", "is_reset", "request_class", "answer"),
    [
        pytest.param(OK_STATUS_LINE + b"\r\nhello", True, "write", b"502", id="until-reset"),
        pytest.param(OK_STATUS_LINE + b"\r\nhello", False, "write", b"200", id="until-close"),
        pytest.param(OK_STATUS_LINE + b"\r\nhello", True, "read", b"503", id="read-until-reset"),
        pytest.param(PART_OF_CHUNK, True, "write", b"502", id="part-of-chunk-then-reset"),
        pytest.param(PART_OF_CHUNK, False, "write", b"502", id="part-of-chunk-then-close"),
        pytest.param(
            OK_STATUS_LINE * 2 + b"content-length: 0\r\n\r\n", False, "write", b"502", id="two-status-lines"
        ),
        pytest.param(OK_STATUS_LINE + b"x: " + b"a" * 20_000, False, "write", b"502", id="head-too-large"),
        pytest.param(
            INTERIM_RESPONSE * 3 + response_bytes(b"hello"),
            False,
            "write",
            b"200",
            id="after-interim-responses",
        ),
        pytest.param(INTERIM_RESPONSE, True, "write", b"502", id="interim-response-only"),
    ],
)
def test_response_counts_if_complete_by_its_own_framing(
    response: bytes, is_reset: bool, request_class: str, answer: bytes
) -> None:
    def endpoint(peer: ScriptedPeer) -> None:
        peer.receive_until()
        peer.send(response)
        peer.sleep(10_000)
        if is_reset:
            peer.reset()
        else:
            peer.sock.close()

    harness = SidecarHarness([endpoint])
    statuses: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes(request_class))
        statuses.append(read_status(peer))

    harness.add_client(client)
    harness.run()
    assert statuses == [answer]
