"""Sidecars as processes of their own."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

COMMAND = [sys.executable, "-m", "cressrail"]
PATIENCE_S = 30


def unused_address() -> str:
    """Returns host and port of a loopback address at which nobody listens now."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return f"127.0.0.1:{server.getsockname()[1]}"


def connect(address: str) -> socket.socket:
    """Connects to a host and port as `unused_address` gives them."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), PATIENCE_S)


def receive_until(sock: socket.socket, terminator: bytes = b"\r\n\r\n") -> bytes:
    """Reads until the terminator has come, or the connection ends; returns all that was read."""
    received = b""
    while terminator not in received and (data := sock.recv(4096)):
        received += data
    return received


class SidecarProcess:
    """A running `cressrail serve`.

    Attributes:
        process: Its standard output is the log.
    """

    def __init__(self, process: subprocess.Popen[bytes]) -> None:
        self.process = process

    def events(self) -> Iterator[dict[str, Any]]:
        """Yields the events of the log from here on, until the process ends."""
        assert self.process.stdout is not None
        for line in self.process.stdout:
            yield json.loads(line)

    def wait_for_event(self, name: str) -> dict[str, Any]:
        """Returns the next event of that name; fails the test where the process ends before."""
        event = next((event for event in self.events() if event["event"] == name), None)
        assert event is not None, f"the process ended without {name}"
        return event


@contextmanager
def serving(path: Path, **environment: str) -> Iterator[SidecarProcess]:
    """Runs a sidecar on a configuration file; one that is still there at the end is killed."""
    with subprocess.Popen(
        [*COMMAND, "serve", str(path)], env={**os.environ, **environment}, stdout=subprocess.PIPE
    ) as process:
        try:
            yield SidecarProcess(process)
        finally:
            if process.poll() is None:
                process.kill()
