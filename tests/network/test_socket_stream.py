"""Tests of the arrival times that a stream records for received bytes."""

from __future__ import annotations

import select
import socket
from collections.abc import Iterator

import pytest

from cressrail.buffers.pool import BufferPool
from cressrail.event_loop.scheduler import Scheduler
from cressrail.network.socket_stream import SocketStream


@pytest.fixture
def connection() -> Iterator[tuple[socket.socket, socket.socket]]:
    """Both ends of a TCP connection: the accepted socket and the connecting socket."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        remote = socket.create_connection(server.getsockname())
        local, _ = server.accept()
    with local, remote:
        yield local, remote


def test_only_first_bytes_take_arrival_time_from_stream_creation(
    connection: tuple[socket.socket, socket.socket],
) -> None:
    local, remote = connection
    scheduler = Scheduler(lambda: 100, lambda _fault: None)
    stream = SocketStream(scheduler, BufferPool(10), local)

    def receive_byte() -> int:
        remote.send(b"x")
        select.select([local], [], [])
        stream.receive()
        return stream.arrived_us

    scheduler.earliest_event_us = 900
    assert [receive_byte(), receive_byte()] == [100, 900]
    stream.close()
