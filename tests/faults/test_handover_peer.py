"""A process at the rendezvous path that is no sidecar, or hangs, does not keep a new one from serving."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import suppress
from pathlib import Path

import pytest

from cressrail.handover.frame import HEADER, MAGIC, VERSION
from cressrail.network.handover_connection import rendezvous_path
from tests.faults.conftest import StartEndpoint, StartSidecar
from tests.faults.support import answer_all, unused

READY_S = 6.0
FRAME_START = HEADER.pack(MAGIC, VERSION, 1 << 20, 0)


def dribble(sock: socket.socket) -> None:
    """Sends the start of a frame, then a byte at a time."""
    with suppress(OSError):
        sock.sendall(FRAME_START)
        while True:
            sock.sendall(b"x")
            time.sleep(0.3)


def hang(sock: socket.socket) -> None:
    """Sends nothing."""
    sock.recv(1 << 16)
    time.sleep(60)


@pytest.mark.parametrize("behave", [dribble, hang])
def test_process_starts_although_its_predecessor_does_not_answer(
    start_endpoint: StartEndpoint, start_sidecar: StartSidecar, tmp_path: Path, behave: object
) -> None:
    """Guards against a start that waits for as long as something comes from the rendezvous path."""
    assert callable(behave)
    address = unused()
    path = rendezvous_path(address, str(tmp_path))
    assert path is not None
    with socket.socket(socket.AF_UNIX) as server:
        server.bind(path)
        server.listen()

        def serve() -> None:
            with suppress(OSError):
                behave(server.accept()[0])

        threading.Thread(target=serve, daemon=True).start()
        started_s = time.monotonic()
        start_sidecar(start_endpoint("s0", answer_all), address=address, handover_folder=tmp_path)
        assert time.monotonic() - started_s < READY_S
