"""Take-over between real processes of one sidecar."""

from __future__ import annotations

import copy
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.support.configuration import SIDECAR_CONFIGURATION, endpoint_entry
from tests.support.http_messages import request_bytes, response_bytes


class Fleet:
    """Processes of one sidecar that share one $TMPDIR and one endpoint; discovery never responds."""

    def __init__(self, folder: Path, tmpdir: str | None) -> None:
        self.folder = folder
        self.env = (
            {**os.environ, "TMPDIR": tmpdir}
            if tmpdir is not None
            else {name: value for name, value in os.environ.items() if name != "TMPDIR"}
        )
        self.endpoint = socket.create_server(("127.0.0.1", 0))
        with socket.create_server(("127.0.0.1", 0)) as server:
            self.port = server.getsockname()[1]
        self.started: list[subprocess.Popen[bytes]] = []

    def start(self) -> tuple[subprocess.Popen[bytes], tuple[str, int]]:
        """Starts a process, waits until it is ready, and returns it with the address of its admin API."""
        with socket.create_server(("127.0.0.1", 0)) as server:
            admin = server.getsockname()[:2]
        config = copy.deepcopy(SIDECAR_CONFIGURATION)
        config["known"]["members"] = [endpoint_entry("s0", self.endpoint.getsockname()[1])]
        config |= {"listen": f"127.0.0.1:{self.port}", "ops": f"{admin[0]}:{admin[1]}"}
        path = self.folder / f"config{len(self.started)}.json"
        path.write_text(json.dumps(config))
        process = subprocess.Popen(
            [sys.executable, "-m", "cressrail", "serve", str(path)], env=self.env, stdout=subprocess.DEVNULL
        )
        self.started.append(process)
        until = time.monotonic() + 20
        while not self.call(admin, b"GET /control/ready").startswith(b"HTTP/1.1 200"):
            assert process.poll() is None
            assert time.monotonic() < until
            time.sleep(0.02)
        return process, admin

    def call(self, address: tuple[str, int], request_line: bytes) -> bytes:
        """Returns the response of an admin API; empty if the call fails."""
        try:
            with socket.create_connection(address, timeout=5) as sock:
                sock.sendall(request_line + b" HTTP/1.1\r\nconnection: close\r\n\r\n")
                received = b""
                while data := sock.recv(4096):
                    received += data
                return received
        except OSError:
            return b""

    def client(self) -> socket.socket:
        """Opens a client connection to the sidecar."""
        return socket.create_connection(("127.0.0.1", self.port), timeout=10)

    def served(self, sock: socket.socket) -> bytes:
        """Sends a request, lets the endpoint answer it, and returns the response that the client receives."""
        sock.sendall(request_bytes())
        connection = self.endpoint.accept()[0]
        with connection:
            received = b""
            while b"\r\n\r\n" not in received:
                received += connection.recv(4096)
            connection.sendall(response_bytes(b"hello", header_lines=b"connection: close\r\n"))
            response = b""
            while not response.endswith(b"hello") and (data := sock.recv(4096)):
                response += data
        return response


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    processes = Fleet(tmp_path, str(tmp_path))
    yield processes
    for process in processes.started:
        process.kill()
        process.wait()
    processes.endpoint.close()


def test_successor_takes_over_and_predecessor_exits(fleet: Fleet) -> None:
    first, _ = fleet.start()
    kept = fleet.client()
    assert fleet.served(kept).startswith(b"HTTP/1.1 200")
    second, admin = fleet.start()
    fresh = fleet.client()
    assert b"connection: close" not in fleet.served(fresh)
    assert b"connection: close" in fleet.served(kept)  # the last response on this connection
    first.send_signal(signal.SIGTERM)
    assert first.wait(20) == 0
    assert fleet.served(fresh).startswith(b"HTTP/1.1 200")
    assert b'app_answered{group="read"} 2' in fleet.call(admin, b"GET /control/counters")
    third, _ = fleet.start()  # a second take-over
    second.send_signal(signal.SIGTERM)
    assert second.wait(20) == 0
    with fleet.client() as sock:
        assert fleet.served(sock).startswith(b"HTTP/1.1 200")
    third.send_signal(signal.SIGTERM)  # without a successor, it stops in the regular way
    assert third.wait(20) == 0
    kept.close()
    fresh.close()


def test_predecessor_serves_again_when_the_successor_is_killed(fleet: Fleet) -> None:
    first, _ = fleet.start()
    second, _ = fleet.start()
    second.kill()
    second.wait()
    until = time.monotonic() + 10
    while True:
        with fleet.client() as sock:
            if fleet.served(sock).startswith(b"HTTP/1.1 200"):
                break
        assert time.monotonic() < until
    assert first.poll() is None
    third, _ = fleet.start()
    first.send_signal(signal.SIGTERM)
    assert first.wait(20) == 0
    assert third.poll() is None


def test_successor_serves_when_the_predecessor_is_killed(fleet: Fleet) -> None:
    first, _ = fleet.start()
    fleet.start()
    first.kill()
    with fleet.client() as sock:
        assert fleet.served(sock).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("tmpdir", [None, "/proc/nowhere"])
def test_processes_without_a_common_directory_share_the_address(tmp_path: Path, tmpdir: str | None) -> None:
    fleet = Fleet(tmp_path, tmpdir)
    first, _ = fleet.start()
    second, _ = fleet.start()
    first.send_signal(signal.SIGTERM)
    assert first.wait(20) == 0
    assert second.poll() is None
    with fleet.client() as sock:
        assert fleet.served(sock).startswith(b"HTTP/1.1 200")
    second.kill()
    second.wait()
    fleet.endpoint.close()
