"""Sidecars that run as separate processes, and requests to them from outside."""

from __future__ import annotations

import copy
import json
import os
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tests.support.configuration import SIDECAR_CONFIGURATION, endpoint_entry


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


_RESERVED: list[socket.socket] = []  # kept open until the test process exits


def refusing_port() -> int:
    """Returns a port that refuses connections and stays reserved: its socket is bound, but does not listen.

    A sidecar keeps polling a discovery service that refuses its connections. If the port were free, the
    kernel could assign it to a listener of another test, which would then receive that poll.
    """
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    _RESERVED.append(sock)
    return int(sock.getsockname()[1])


def make_configuration(**sections: Any) -> dict[str, Any]:
    """Returns the shared configuration with free ports; its endpoint and its discovery refuse connections."""
    config = copy.deepcopy(SIDECAR_CONFIGURATION)
    config["known"]["members"] = [endpoint_entry("s0", refusing_port())]
    config |= {name: f"127.0.0.1:{free_port()}" for name in ("listen", "ops")}
    config["discovery"] = f"127.0.0.1:{refusing_port()}"
    return {**config, **sections}


class Process:
    """A sidecar that runs as a separate process."""

    def __init__(self, folder: Path, config: dict[str, Any]) -> None:
        self.config, name = config, config["name"]
        path = folder / f"{name}.json"
        path.write_text(json.dumps(config))
        env = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
        with open(folder / f"{name}.log", "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "cressrail", "serve", str(path)],
                env={**env, "TMPDIR": str(folder)},
                stdout=log,
                stderr=log,
            )

    def send(self, text: bytes, address_key: str = "ops") -> bytes:
        """Sends bytes to a configured address; returns the whole response, or b"" if the connection fails."""
        host, _, port = self.config[address_key].rpartition(":")
        try:
            with socket.create_connection((host, int(port)), timeout=10) as sock:
                sock.sendall(text)
                response = b""
                while data := sock.recv(65536):
                    response += data
                return response
        except OSError:
            return b""

    def call(self, method: str, target: str, address_key: str = "ops") -> bytes:
        return self.send(
            f"{method} {target} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".encode(), address_key
        )

    def get_json(self, target: str) -> Any:
        body = self.call("GET", target).partition(b"\r\n\r\n")[2]
        return json.loads(body) if body else None

    def wait_until(self, condition: Callable[[], object], timeout_s: float = 30.0) -> None:
        deadline_s = time.monotonic() + timeout_s
        while not condition():
            assert self.process.poll() is None, f"the sidecar exited with {self.process.returncode}"
            assert time.monotonic() < deadline_s, f"the condition was not met within {timeout_s} s"
            time.sleep(0.05)

    def is_ready(self) -> bool:
        return self.call("GET", "/control/ready").startswith(b"HTTP/1.1 200 ")

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()
