"""Clients and other peers that send at full speed, or without end, delay nobody else's answers."""

from __future__ import annotations

import socket
import subprocess
import sys
import threading
import time
from contextlib import ExitStack, suppress

import pytest

from tests.faults.conftest import StartEndpoint, StartSidecar
from tests.faults.flood import FORWARDED_KIND, KINDS, LEAVING_KINDS
from tests.faults.support import (
    LATE_S,
    Answer,
    EndpointPeer,
    Sidecar,
    StandInEndpoint,
    answer_all,
    read_answer,
)
from tests.support.http_messages import CHUNKED_HEADER, OK_STATUS_LINE, request_bytes

DEADLINE_S = 0.5
FLOOD_S = 1.5
PAUSE_S = 0.05
FLOODING_CLIENTS = 8
MAX_GROWTH_BYTES = 16 << 20
# Of kinds that need no endpoint; the others compete with the flood for the endpoints, and may be rejected.
MIN_SERVED_SHARE = 0.5
ASKS = 8
MIN_SERVED = 2  # by the other endpoint
CLOSE_S = 4.0  # longer than any span for which a closing connection is read
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n" * 2000
TINY_CHUNKS = b"1\r\nx\r\n" * 8000
LONG_CHUNK_LINES = (b"1;" + b"x" * 1000 + b"\r\ny\r\n") * 100


def ask(sidecar: Sidecar, request_class: str = "read") -> Answer:
    """Sends one request on a new connection."""
    with sidecar.connect() as sock:
        sock.sendall(request_bytes(request_class, Req_Deadline=f"{int(DEADLINE_S * 1000)}m"))
        return read_answer(sock, time.monotonic(), limit_s=2)


def is_final_and_in_time(answer: Answer) -> bool:
    """Returns whether a request got its final answer before it counts as lost."""
    return answer.status != 0 and answer.took_s < DEADLINE_S + LATE_S


def ask_during_flood(sidecar: Sidecar, kind: str, cleanup: ExitStack) -> list[Answer]:
    """Asks again and again while a process floods the sidecar with one kind of request."""
    host, port = sidecar.address
    command = [sys.executable, "-m", "tests.faults.flood", host, str(port), kind]
    flood = subprocess.Popen([*command, str(FLOODING_CLIENTS), str(FLOOD_S)])
    cleanup.callback(flood.wait)
    cleanup.callback(flood.kill)
    answers = []
    while flood.poll() is None:
        answers.append(ask(sidecar))
        time.sleep(PAUSE_S)
    return answers


def test_flood_on_some_connections_delays_no_other_client(
    start_endpoint: StartEndpoint, start_sidecar: StartSidecar, cleanup: ExitStack
) -> None:
    """Guards against a task that does not yield while its client has more to read."""
    sidecar = start_sidecar(start_endpoint("s0", answer_all), start_endpoint("s1", answer_all))
    assert ask(sidecar).status == 200
    before_bytes = sidecar.memory_bytes()
    late: dict[str, list[Answer]] = {}
    for kind in KINDS:
        answers = ask_during_flood(sidecar, kind, cleanup)
        served = sum(answer.status == 200 for answer in answers)
        slow = [answer for answer in answers if not is_final_and_in_time(answer)]
        if slow or (kind != FORWARDED_KIND and served < MIN_SERVED_SHARE * len(answers)):
            late[kind] = slow or answers
    assert late == {}
    assert sidecar.memory_bytes() - before_bytes < MAX_GROWTH_BYTES


@pytest.mark.parametrize("kind", LEAVING_KINDS)
def test_clients_that_send_much_and_leave_delay_no_other_client(
    start_endpoint: StartEndpoint, start_sidecar: StartSidecar, cleanup: ExitStack, kind: str
) -> None:
    """Guards against work for clients that have left, and places that they keep for as long as they send."""
    sidecar = start_sidecar(start_endpoint("s0", answer_all), start_endpoint("s1", answer_all))
    answers = ask_during_flood(sidecar, kind, cleanup)
    assert all(map(is_final_and_in_time, answers)), answers
    assert sum(answer.status == 200 for answer in answers) >= MIN_SERVED_SHARE * len(answers), answers


def send_without_end(sock: socket.socket, data: bytes) -> None:
    """Writes the same bytes until the connection ends."""
    with suppress(OSError):
        while True:
            sock.sendall(data)


def assert_answers_in_time(sidecar: Sidecar) -> None:
    """Asks some times, and checks that each answer is final and in time."""
    answers = [ask(sidecar, "write") for _ in range(ASKS)]
    assert all(map(is_final_and_in_time, answers)), answers


FLOODS = {
    "interim responses": INTERIM,
    "tiny chunks": OK_STATUS_LINE + CHUNKED_HEADER + TINY_CHUNKS,
    "long chunk lines": OK_STATUS_LINE + CHUNKED_HEADER + LONG_CHUNK_LINES,
}


@pytest.mark.parametrize("kind", FLOODS)
def test_endpoint_that_sends_without_end_holds_no_other_request(
    start_endpoint: StartEndpoint, start_sidecar: StartSidecar, kind: str
) -> None:
    """Guards against reading on for as long as an endpoint sends, beyond the request's time too."""

    def script(peer: EndpointPeer) -> None:
        peer.read_request()
        peer.sock.sendall(FLOODS[kind])
        send_without_end(peer.sock, FLOODS[kind].partition(b"\r\n\r\n")[2])

    sidecar = start_sidecar(start_endpoint("s0", script), start_endpoint("s1", answer_all))
    with sidecar.connect() as flooded:
        flooded.sendall(request_bytes())  # the response of an endpoint that begins one may have no end
        threading.Thread(target=drain, args=(flooded,), daemon=True).start()
        answers = [ask(sidecar, "write") for _ in range(ASKS)]
    if kind == "interim responses":
        assert all(answer.status for answer in answers), answers
    assert sum(answer.status == 200 for answer in answers) >= MIN_SERVED, answers
    assert all(answer.took_s < DEADLINE_S + LATE_S for answer in answers if answer.status), answers


def drain(sock: socket.socket) -> None:
    """Reads and drops whatever comes."""
    with suppress(OSError):
        while sock.recv(1 << 16):
            pass


@pytest.mark.parametrize("path", ["/control/ready", "/no/such"])
def test_operator_that_sends_on_after_the_answer_holds_nobody(
    start_endpoint: StartEndpoint, start_sidecar: StartSidecar, tmp_path: object, path: str
) -> None:
    """Guards against a drain of the admin connection that ends only where nothing more comes."""
    sidecar = start_sidecar(start_endpoint("s0", answer_all), handover_folder=tmp_path)
    with socket.create_connection(sidecar.admin) as sock:
        sock.sendall(f"GET {path} HTTP/1.1\r\n\r\n".encode())
        flood = threading.Thread(target=send_without_end, args=(sock, b"x" * 65536), daemon=True)
        flood.start()
        assert_answers_in_time(sidecar)
        flood.join(CLOSE_S)
        assert not flood.is_alive()


@pytest.mark.parametrize(
    "request_line", [b"GET /_health HTTP/1.1\r\nconnection: close\r\n\r\n", b"x\r\n\r\n"]
)
def test_connection_is_closed_although_its_client_sends_on(
    start_endpoint: StartEndpoint, start_sidecar: StartSidecar, request_line: bytes
) -> None:
    """Guards against lingering over a close for as long as the client sends."""
    sidecar = start_sidecar(start_endpoint("s0", answer_all))
    with sidecar.connect() as sock:
        sock.sendall(request_line)
        flood = threading.Thread(target=send_without_end, args=(sock, b"x" * 65536), daemon=True)
        flood.start()
        assert_answers_in_time(sidecar)
        flood.join(CLOSE_S)
        assert not flood.is_alive()


def test_discovery_that_sends_without_end_holds_nobody(
    start_endpoint: StartEndpoint, start_sidecar: StartSidecar
) -> None:
    """Guards against a watch that is read for as long as discovery sends."""

    def watch(peer: EndpointPeer) -> None:
        peer.read_head()
        peer.sock.sendall(OK_STATUS_LINE + CHUNKED_HEADER)
        send_without_end(peer.sock, b"1\r\n\n\r\n" * 8000)

    discovery: StandInEndpoint = start_endpoint("discovery", watch)
    sidecar = start_sidecar(start_endpoint("s0", answer_all), discovery=f"127.0.0.1:{discovery.port}")
    assert_answers_in_time(sidecar)
