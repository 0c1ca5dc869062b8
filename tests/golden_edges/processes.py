"""Whole processes of the program, and calls to them as they come from outside."""

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


_RESERVED: list[socket.socket] = []  # held until the tests end


def refusing_port() -> int:
    """A port that refuses connections and is given to nobody else: bound, without a listener.

    A sidecar goes on to poll a discovery that refuses it; were the port free, the system could give it to a
    listener of another test, which would then read that poll.
    """
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    _RESERVED.append(sock)
    return int(sock.getsockname()[1])


def configured(**more: Any) -> dict[str, Any]:
    """The tests' configuration on free ports; its one endpoint and discovery refuse connections."""
    config = copy.deepcopy(SIDECAR_CONFIGURATION)
    config["known"]["members"] = [endpoint_entry("s0", refusing_port())]
    config |= {name: f"127.0.0.1:{free_port()}" for name in ("listen", "ops")}
    config["discovery"] = f"127.0.0.1:{refusing_port()}"
    return {**config, **more}


class Process:
    """A sidecar in a process of its own."""

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

    def send(self, text: bytes, at: str = "ops") -> bytes:
        """All that is answered to these bytes; nothing while nobody listens."""
        host, _, port = self.config[at].rpartition(":")
        try:
            with socket.create_connection((host, int(port)), timeout=10) as sock:
                sock.sendall(text)
                response = b""
                while data := sock.recv(65536):
                    response += data
                return response
        except OSError:
            return b""

    def call(self, method: str, target: str, at: str = "ops") -> bytes:
        return self.send(f"{method} {target} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".encode(), at)

    def get_json(self, target: str) -> Any:
        body = self.call("GET", target).partition(b"\r\n\r\n")[2]
        return json.loads(body) if body else None

    def until(self, met: Callable[[], object], over_s: float = 30.0) -> None:
        until = time.monotonic() + over_s
        while not met():
            assert self.process.poll() is None
            assert time.monotonic() < until
            time.sleep(0.05)

    def ready(self) -> bool:
        return self.call("GET", "/control/ready").startswith(b"HTTP/1.1 200 ")

    def end(self) -> None:
        self.process.kill()
        self.process.wait()
