"""Tests of what the kernel tells about a connection."""

from __future__ import annotations

import socket
import time

from cressrail.network.tcp_information import time_since_last_input_us

MS = 1000  # microseconds


def test_time_since_last_input_counts_from_unread_data_even_before_accept() -> None:
    with (
        socket.create_server(("127.0.0.1", 0)) as server,
        socket.create_connection(server.getsockname()) as sender,
    ):
        time.sleep(0.15)
        sender.send(b"x")
        sent = time.monotonic()
        time.sleep(0.1)
        accepted, _ = server.accept()
        with accepted:
            since_us = time_since_last_input_us(accepted)
            elapsed_us = (time.monotonic() - sent) * 1_000_000
    assert since_us is not None
    assert 100 * MS - 10 * MS <= since_us <= elapsed_us + 10 * MS


def test_socket_of_another_kind_records_no_input_time() -> None:
    left, right = socket.socketpair()
    with left, right:
        assert time_since_last_input_us(left) is None
