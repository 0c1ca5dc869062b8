"""A long answer that is written or read slowly, but steadily, is passed on to its end."""

from __future__ import annotations

import socket
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

import pytest

from tests.faults.conftest import StartEndpoint, StartSidecar
from tests.faults.support import EndpointPeer, Sidecar, read_answer
from tests.support.http_messages import (
    CHUNKED_HEADER,
    OK_STATUS_LINE,
    chunk_bytes,
    request_bytes,
    response_bytes,
)

DEADLINE = "500m"
ANSWER_BYTES = 100_000
PIECE_BYTES = 2_000
PIECE_S = 0.02
NOTHING_READ_S = (
    7.5  # two limits of 3 s for slow peers: in the first one, the client's kernel still takes some
)
FIRST_BYTES_S = 0.25  # 0.1 s after they were read, and some time for the test


def write_slowly(peer: EndpointPeer, framing: str) -> None:
    """Answers one request with `ANSWER_BYTES`, piece by piece."""
    peer.read_request()
    ends = {"length": b"content-length: %d\r\n\r\n" % ANSWER_BYTES, "chunked": CHUNKED_HEADER}
    peer.sock.sendall(OK_STATUS_LINE + ends.get(framing, b"connection: close\r\n\r\n"))
    for _ in range(0, ANSWER_BYTES, PIECE_BYTES):
        piece = bytes(PIECE_BYTES)
        peer.sock.sendall(chunk_bytes(piece) if framing == "chunked" else piece)
        time.sleep(PIECE_S)
    if framing == "chunked":
        peer.sock.sendall(chunk_bytes(b""))


@pytest.mark.parametrize("framing", ["length", "chunked", "until close"])
def test_answer_that_is_written_slowly_is_passed_on_as_it_comes(
    start_endpoint: StartEndpoint, start_sidecar: StartSidecar, framing: str
) -> None:
    """Guards against an answer without a length that is held back and cut off at the deadline."""
    sidecar = start_sidecar(start_endpoint("s0", lambda peer: write_slowly(peer, framing)))
    with sidecar.connect() as sock:
        sent_s = time.monotonic()
        sock.sendall(request_bytes(Req_Deadline=DEADLINE))
        first = sock.recv(1)
        assert time.monotonic() - sent_s < FIRST_BYTES_S
        received = first + receive_rest(sock)
        head, _, body = received.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        assert body.count(b"\0") == ANSWER_BYTES
        if framing != "length":
            assert body.endswith(b"0\r\n\r\n")


def receive_rest(sock: socket.socket) -> bytes:
    """Reads for a little longer than the endpoint writes."""
    received = b""
    until_s = time.monotonic() + 2 * PIECE_S * ANSWER_BYTES / PIECE_BYTES
    while time.monotonic() < until_s and received.count(b"\0") < ANSWER_BYTES:
        received += sock.recv(65536)
    time.sleep(0.1)
    sock.setblocking(False)
    with suppress(BlockingIOError):
        received += sock.recv(65536)
    return received


def read_at_rate(sidecar: Sidecar, bytes_per_s: int) -> int:
    """Sends a request and reads its answer at a steady rate; returns the number of bytes that came."""
    with sidecar.connect(receive_buffer_bytes=65536) as sock:
        sock.sendall(request_bytes())
        received = 0
        while data := sock.recv(max(1, bytes_per_s // 20)):
            received += len(data)
            time.sleep(len(data) / bytes_per_s)
            if received >= ANSWER_BYTES and data.endswith(b"end"):
                break
        return received


def test_client_that_reads_slowly_gets_the_whole_answer(
    start_endpoint: StartEndpoint, start_sidecar: StartSidecar
) -> None:
    """Guards against taking a reader for stalled because its socket is not writable for a long time."""
    size = 4_000_000
    body = bytes(size - 3) + b"end"

    def answer(peer: EndpointPeer) -> None:
        peer.read_request()
        peer.sock.sendall(response_bytes(body))

    sidecar = start_sidecar(start_endpoint("s0", answer))
    rates = [200_000, 400_000]
    with ThreadPoolExecutor(len(rates)) as pool:
        sizes = list(pool.map(lambda rate: read_at_rate(sidecar, rate), rates))
    assert min(sizes) >= size


def test_client_that_reads_nothing_is_closed(
    start_endpoint: StartEndpoint, start_sidecar: StartSidecar
) -> None:
    """A reader that takes nothing holds its answer for the limit for slow peers, not longer."""

    def answer(peer: EndpointPeer) -> None:
        if peer.read_request():
            peer.sock.sendall(response_bytes(bytes(16_000_000)))

    sidecar = start_sidecar(start_endpoint("s0", answer))
    with sidecar.connect(receive_buffer_bytes=4096) as sock:
        sock.sendall(request_bytes())
        time.sleep(NOTHING_READ_S)
        received = read_answer(sock, time.monotonic(), limit_s=10)
        assert received.status == 0
        assert len(received.body) < 16_000_000
