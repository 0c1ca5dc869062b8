"""Hundreds of clients that write slowly, stop, send long heads or read slowly: memory stays in its limit."""

from __future__ import annotations

import copy
import socket
import time
from collections.abc import Callable
from contextlib import suppress

import pytest

from tests.faults.conftest import StartEndpoint, StartSidecar
from tests.faults.support import EndpointPeer, Sidecar, read_answer
from tests.support.configuration import SIDECAR_CONFIGURATION
from tests.support.http_messages import CHUNKED_HEADER, request_bytes, response_bytes

MEMORY_LIMIT_MB = 64
CLIENTS = 400
SMALL_LIMIT_MB = 48
MORE_CLIENTS = 550
LONG_BYTES = 4_000_000
HOLD_S = 3.0
SHORT_FIELDS = "".join(f"{number:x}:\r\n" for number in range(1400)).encode()


def stop_within_a_body(_: int) -> bytes:
    """A part of a large request, over the part that is kept and the pipe."""
    head = request_bytes("read", Content_Length=str(LONG_BYTES))
    return head + bytes(150_000)


def stop_within_a_chunked_body(_: int) -> bytes:
    """The same without a length."""
    head = request_bytes("write", Content_Length="")
    return head[:-2] + CHUNKED_HEADER + b"1d4c0\r\n" + bytes(120_000)


def send_many_short_fields(_: int) -> bytes:
    """A whole request whose head is as long as is allowed, in fields of a few bytes."""
    head = request_bytes("read", Content_Length="")
    return head[:-2] + SHORT_FIELDS[:7800].rpartition(b"\r\n")[0] + b"\r\n\r\n"


def stop_after_many_short_fields(_: int) -> bytes:
    """The same, with a body of which only a part comes."""
    return send_many_short_fields(0)[:-2] + b"content-length: 1000\r\n\r\n" + bytes(10)


def stop_after_as_many_fields_as_allowed(_: int) -> bytes:
    """A head of which the sidecar keeps every field, and a body that is kept in part."""
    fields = "".join(f"field-{number}: {'v' * 60}\r\n" for number in range(90)).encode()
    return request_bytes("read", Content_Length="9000")[:-2] + fields + b"\r\n" + bytes(8000)


def stop_within_a_head(_: int) -> bytes:
    """A head without its end."""
    return request_bytes("read")[:-2] + b"x: " + b"y" * 7500


def ask_for_a_long_answer(_: int) -> bytes:
    """A whole request, whose answer is then not read."""
    return request_bytes("read", path="/long")


CROWDS = [
    stop_within_a_body,
    stop_within_a_chunked_body,
    send_many_short_fields,
    stop_after_many_short_fields,
    stop_after_as_many_fields_as_allowed,
    stop_within_a_head,
    ask_for_a_long_answer,
]


def answer_late(peer: EndpointPeer) -> None:
    """Answers after a while, some requests with a long body."""
    while head := peer.read_head():
        is_long = head.startswith(b"post /long")
        time.sleep(0 if is_long else 1)
        peer.sock.sendall(response_bytes(bytes(LONG_BYTES if is_long else 10)))


def open_crowd(sidecar: Sidecar, data_of: Callable[[int], bytes], clients: int) -> list[socket.socket]:
    """Connects clients, each of which writes what the kernel takes and then reads nothing."""
    crowd = []
    for number in range(clients):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(sidecar.address)
        sock.setblocking(False)
        with suppress(OSError):
            sock.send(data_of(number))
        crowd.append(sock)
    return crowd


@pytest.mark.parametrize(
    ("crowd_of", "clients", "limit_mb"),
    [
        *((crowd_of, CLIENTS, MEMORY_LIMIT_MB) for crowd_of in CROWDS),
        (stop_after_as_many_fields_as_allowed, MORE_CLIENTS, SMALL_LIMIT_MB),
    ],
)
def test_crowd_keeps_the_process_within_its_memory_limit(
    start_endpoint: StartEndpoint,
    start_sidecar: StartSidecar,
    crowd_of: Callable[[int], bytes],
    clients: int,
    limit_mb: int,
) -> None:
    """Guards against memory beside the buffers that grows with clients or fields, and too many buffers."""
    limits = copy.deepcopy(SIDECAR_CONFIGURATION["limits"]) | {"memory_mb": limit_mb}
    sidecar = start_sidecar(start_endpoint("s0", answer_late), limits=limits)
    crowd = open_crowd(sidecar, crowd_of, clients)
    time.sleep(HOLD_S)
    assert sidecar.memory_bytes() < limit_mb << 20
    assert sidecar.process.poll() is None
    for sock in crowd:
        sock.close()
    with sidecar.connect() as sock:
        sock.sendall(request_bytes(Req_Deadline="2500m"))
        assert read_answer(sock, time.monotonic()).status in (200, 503)
