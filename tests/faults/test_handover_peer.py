"""A process at the rendezvous path that is no sidecar, or hangs, does not keep a new one from serving."""

from __future__ import annotations

import os
import socket
import threading
import time
from contextlib import suppress
from pathlib import Path

import pytest

from cressrail.handover.frame import HEADER, MAGIC, VERSION, FrameKind, encode_frame
from cressrail.network import handover_server
from cressrail.network.handover_connection import LISTEN_ADDRESS, rendezvous_path
from tests.faults.conftest import StartEndpoint, StartSidecar
from tests.faults.support import answer_all, unused
from tests.support.scripted_peer import ScriptedPeer
from tests.support.sidecar_harness import SidecarHarness

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


def test_successor_that_does_not_ask_for_the_takeover_keeps_no_other_from_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an offer that stands until its successor ends."""
    monkeypatch.setattr(handover_server, "SUCCESSOR_START_US", 300_000)
    harness = SidecarHarness([])
    path = str(tmp_path / "rendezvous")
    task = handover_server.HandoverServerTask(
        harness.dispatcher, path, harness.listener.sock, harness.address, None
    )
    harness.scheduler.spawn(task.run)
    offers: list[bytes] = []

    def ask_for_offers() -> None:
        with socket.socket(socket.AF_UNIX) as first, socket.socket(socket.AF_UNIX) as second:
            for sock in (first, second):
                sock.settimeout(3)
                sock.connect(path)
                sock.sendall(encode_frame(FrameKind.HELLO, {LISTEN_ADDRESS: list(harness.address)}))
                with suppress(TimeoutError):
                    offers.append(sock.recv(1 << 16))

    def wait(peer: ScriptedPeer) -> None:
        peer.wait_until(lambda: os.path.exists(path))
        thread = threading.Thread(target=ask_for_offers)
        thread.start()
        peer.wait_until(lambda: not thread.is_alive())

    harness.add_client(wait)
    harness.run()
    assert len(offers) == 2
