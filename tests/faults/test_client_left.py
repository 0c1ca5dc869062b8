"""Requests of clients that have left are not sent on, and their ids do not run twice."""

from __future__ import annotations

import socket
import time
from contextlib import suppress
from pathlib import Path

import pytest

from tests.faults.conftest import StartEndpoint, StartSidecar
from tests.faults.support import PATIENCE_S, EndpointPeer, Sidecar, read_answer
from tests.support.http_messages import request_bytes, response_bytes

WORK_S = 0.4
SHORT_WORK_S = 0.02
AFTER_CLOSE_S = 0.1  # an attempt that begins later than this after the close is a break
PIPELINED = 1500  # more than the buffers of the connection hold


def work(peer: EndpointPeer) -> None:
    """Answers each request after some work, also where nobody waits for the answer."""
    while (request_id := peer.read_request()) is not None:
        time.sleep(WORK_S)
        peer.sock.sendall(response_bytes(request_id.encode()))


def work_shortly(peer: EndpointPeer) -> None:
    """Answers each request after a short time."""
    while (request_id := peer.read_request()) is not None:
        time.sleep(SHORT_WORK_S)
        peer.sock.sendall(response_bytes(request_id.encode()))


def send_and_leave(sidecar: Sidecar, request: bytes) -> None:
    """Sends a request and closes while the endpoint works."""
    with sidecar.connect() as sock:
        sock.sendall(request)
        time.sleep(WORK_S / 4)


@pytest.mark.parametrize("pause_s", [0.02, WORK_S / 2, WORK_S * 3])
@pytest.mark.parametrize("may_cancel", [True, False])
def test_id_of_a_client_that_left_does_not_run_again(
    start_endpoint: StartEndpoint, start_sidecar: StartSidecar, pause_s: float, may_cancel: bool
) -> None:
    """Guards against an id that is free again while its request may have run, or may yet run."""
    endpoints = [start_endpoint("s0", work), start_endpoint("s1", work)]
    sidecar = start_sidecar(*endpoints, may_cancel=may_cancel)
    request = request_bytes("write", Idempotency_Key="", Req_Id="again")
    send_and_leave(sidecar, request)
    time.sleep(pause_s)
    with sidecar.connect() as sock:
        sock.sendall(request)
        assert read_answer(sock, time.monotonic()).status in (400, 503)
    assert sum(endpoint.arrivals_of("again") for endpoint in endpoints) == 1


def test_id_of_a_client_that_left_amid_a_long_answer_does_not_run_again(
    start_endpoint: StartEndpoint, start_sidecar: StartSidecar
) -> None:
    """Guards against taking a request for never run whose answer was being passed on."""

    def answer_long(peer: EndpointPeer) -> None:
        while peer.read_request() is not None:
            peer.sock.sendall(response_bytes(bytes(20_000_000)))

    endpoint = start_endpoint("s0", answer_long)
    sidecar = start_sidecar(endpoint)
    request = request_bytes("write", Idempotency_Key="", Req_Id="again")
    send_and_leave(sidecar, request)
    with sidecar.connect() as sock:
        sock.sendall(request)
        assert read_answer(sock, time.monotonic()).status == 400
    assert endpoint.arrivals_of("again") == 1


@pytest.mark.parametrize("size", [10, 4_000_000])
def test_id_of_a_client_that_left_without_its_answer_does_not_run_again(
    start_endpoint: StartEndpoint, start_sidecar: StartSidecar, size: int
) -> None:
    """Guards against an id that is free once its answer is written, whether or not its client has read it."""

    def answer(peer: EndpointPeer) -> None:
        while peer.read_request() is not None:
            peer.sock.sendall(response_bytes(bytes(size)))

    endpoint = start_endpoint("s0", answer)
    sidecar = start_sidecar(endpoint)
    request = request_bytes("write", Idempotency_Key="", Req_Id="again")
    send_and_leave(sidecar, request)
    time.sleep(0.1)
    with sidecar.connect() as sock:
        sock.sendall(request)
        assert read_answer(sock, time.monotonic()).status == 400
    assert endpoint.arrivals_of("again") == 1


def test_id_of_a_client_that_leaves_as_its_answer_comes_does_not_run_again(
    start_endpoint: StartEndpoint, start_sidecar: StartSidecar
) -> None:
    """The close and the answer cross, in either order."""
    endpoint = start_endpoint("s0", work_shortly)
    sidecar = start_sidecar(endpoint)
    requests = [request_bytes("write", Idempotency_Key="", Req_Id=f"again-{number}") for number in range(40)]
    for number, request in enumerate(requests):
        with sidecar.connect() as sock:
            sock.sendall(request)
            time.sleep(SHORT_WORK_S + (number - 20) / 5000)
    for request in requests:
        with sidecar.connect() as sock:
            sock.sendall(request)
            read_answer(sock, time.monotonic())
    runs = [endpoint.arrivals_of(f"again-{number}") for number in range(len(requests))]
    assert max(runs) == 1, runs


def test_id_of_a_client_that_left_before_any_attempt_is_free(
    start_endpoint: StartEndpoint, start_sidecar: StartSidecar
) -> None:
    """A request that was never sent has not run, so its client may come again with the same id."""
    endpoint = start_endpoint("s0", work)
    sidecar = start_sidecar(endpoint)
    request = request_bytes("write", b"body", Idempotency_Key="", Req_Id="again")
    with sidecar.connect() as sock:
        sock.sendall(request[:-1])
        time.sleep(0.1)
    with sidecar.connect() as sock:
        sock.sendall(request)
        assert read_answer(sock, time.monotonic()).status == 200
    assert endpoint.arrivals_of("again") == 1


@pytest.mark.parametrize("request_class", ["read", "write"])
@pytest.mark.parametrize("padding", [0, 400])
def test_requests_behind_the_close_of_their_client_are_not_sent(
    start_endpoint: StartEndpoint, start_sidecar: StartSidecar, request_class: str, padding: int
) -> None:
    """Guards against a close that nobody sees, since it waits behind more input than the buffers hold."""
    endpoint = start_endpoint("s0", work_shortly)
    sidecar = start_sidecar(endpoint)
    requests = b"".join(request_bytes(request_class, bytes(padding)) for _ in range(PIPELINED))
    with sidecar.connect() as sock:
        sock.setblocking(False)
        unsent = memoryview(requests)
        with suppress(BlockingIOError):
            while unsent:
                unsent = unsent[sock.send(unsent) :]
        sock.setblocking(True)
        read_for(sock, 0.5)
        sock.shutdown(socket.SHUT_WR)  # a close with answers unread would reset the connection, which is seen
        closed_s = time.monotonic()
        read_for(sock, 1.0)
    late = [arrival for arrival in endpoint.arrivals if arrival.at_s > closed_s + AFTER_CLOSE_S]
    assert len(late) == 0, (len(late), len(endpoint.arrivals))


def read_for(sock: socket.socket, seconds: float) -> None:
    """Reads answers for a while."""
    until_s = time.monotonic() + seconds
    while time.monotonic() < until_s:
        sock.settimeout(0.05)
        with suppress(TimeoutError):
            sock.recv(65536)


@pytest.mark.parametrize("is_first_at_successor", [False, True], ids=["predecessor-first", "successor-first"])
@pytest.mark.parametrize("has_left", [False, True], ids=["client-waits", "client-has-left"])
def test_id_does_not_run_again_at_the_other_process_of_an_upgrade(
    start_endpoint: StartEndpoint,
    start_sidecar: StartSidecar,
    tmp_path: Path,
    is_first_at_successor: bool,
    has_left: bool,
) -> None:
    """Guards against ids that each of two processes knows for itself, once one has handed over."""
    endpoint = start_endpoint("s0", work)
    predecessor = start_sidecar(endpoint, handover_folder=tmp_path)
    kept = predecessor.connect()
    kept.sendall(request_bytes("write"))
    assert read_answer(kept, time.monotonic()).status == 200
    other = predecessor.connect()
    other.sendall(request_bytes("write"))
    assert read_answer(other, time.monotonic()).status == 200
    successor = start_sidecar(endpoint, handover_folder=tmp_path, address=predecessor.address)
    until_s = time.monotonic() + PATIENCE_S
    while not predecessor.events("handed_over"):
        assert time.monotonic() < until_s
        time.sleep(0.02)
    fresh = successor.connect()
    first, second = (fresh, kept) if is_first_at_successor else (kept, fresh)
    request = request_bytes("write", Idempotency_Key="", Req_Id="again")
    first.sendall(request)
    time.sleep(WORK_S / 4)
    if has_left:
        first.close()
        time.sleep(WORK_S / 4)
    second.sendall(request)
    assert read_answer(second, time.monotonic()).status in (400, 503)
    time.sleep(WORK_S)
    assert endpoint.arrivals_of("again") == 1
    for sock in (kept, other, fresh):
        sock.close()
