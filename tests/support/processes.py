"""Sidecars that run as separate processes."""

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
PATIENCE_S = 30  # timeout of connections to a sidecar and of waits for its exit


def unused_address() -> str:
    """Returns a loopback address, as "host:port", on which no process currently listens."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return f"127.0.0.1:{server.getsockname()[1]}"


def connect(address: str) -> socket.socket:
    """Connects to an address in the form "host:port"."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), PATIENCE_S)


def receive_until(sock: socket.socket, terminator: bytes = b"\r\n\r\n") -> bytes:
    """Reads until the terminator has arrived or the connection ends; returns all bytes read."""
    received = b""
    while terminator not in received and (data := sock.recv(4096)):
        received += data
    return received


class SidecarProcess:
    """A running `cressrail serve`.

    Attributes:
        process: The process; its standard output is the sidecar's log.
    """

    def __init__(self, process: subprocess.Popen[bytes]) -> None:
        self.process = process

    def events(self) -> Iterator[dict[str, Any]]:
        """Yields the log events that have not been read yet, until the process exits."""
        assert self.process.stdout is not None
        for line in self.process.stdout:
            yield json.loads(line)

    def wait_for_event(self, name: str) -> dict[str, Any]:
        """Returns the next log event with this name; fails the test if the process exits first."""
        event = next((event for event in self.events() if event["event"] == name), None)
        assert event is not None, f"the sidecar exited without logging the event {name!r}"
        return event


@contextmanager
def serving(path: Path, **environment: str) -> Iterator[SidecarProcess]:
    """Runs a sidecar with a configuration file, and kills it if it still runs when the context exits."""
    with subprocess.Popen(
        [*COMMAND, "serve", str(path)], env={**os.environ, **environment}, stdout=subprocess.PIPE
    ) as process:
        try:
            yield SidecarProcess(process)
        finally:
            if process.poll() is None:
                process.kill()
