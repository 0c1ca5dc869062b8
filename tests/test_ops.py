"""The operators' door, the figures and the drain, without the bench."""

from __future__ import annotations

import copy
import re
import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson
import pytest

from cressrail.configuration.settings_reader import ConfigurationError
from cressrail.configuration.startup import parse_configuration
from cressrail.network import admin_server as ops
from cressrail.network import listener
from tests.support.configuration import SIDECAR_CONFIGURATION
from tests.support.http_messages import request_bytes, response_bytes
from tests.support.scripted_peer import ScriptedPeer, answer_each_with
from tests.support.sidecar_harness import SidecarHarness


@pytest.mark.parametrize(
    "value, says",
    [("here", "ops is no host:port: here"), ("127.0.0.1:9000", "ops is the same as listen: 127.0.0.1:9000")],
)
@pytest.mark.parametrize("by", ["file", "environment"])
def test_an_address_that_cannot_be_the_operators_is_named(value: str, says: str, by: str) -> None:
    config, env = copy.deepcopy(SIDECAR_CONFIGURATION), {}
    if by == "file":
        config["ops"] = value
    else:
        env["BALANCER_OPS"] = value
    with pytest.raises(ConfigurationError, match=f"^{re.escape(says)}$"):
        parse_configuration(config, env)
    assert parse_configuration(copy.deepcopy(SIDECAR_CONFIGURATION), {}).admin is None


def test_an_address_for_operators_that_is_taken_ends_the_start(tmp_path: Path) -> None:
    taken = listener.bind("127.0.0.1", 0)
    path, (host, port) = tmp_path / "config.json", taken.getsockname()
    path.write_bytes(
        orjson.dumps({**SIDECAR_CONFIGURATION, "listen": "127.0.0.1:1", "ops": f"{host}:{port}"})
    )
    ended = subprocess.run(
        [sys.executable, "-m", "cressrail", "serve", str(path)], capture_output=True, timeout=20, check=False
    )
    taken.close()
    assert ended.returncode == 1 and b"cannot listen on" in ended.stderr


# On sockets


def play() -> tuple[SidecarHarness, tuple[str, int]]:
    made, _, at = opened()
    return made, at


def opened() -> tuple[SidecarHarness, ops.AdminServerTask, tuple[str, int]]:
    made = SidecarHarness([answer_each_with(response_bytes(b"hello"))])
    door = ops.AdminServerTask(made.dispatcher, listener.bind("127.0.0.1", 0), None)
    made.scheduler.spawn(door.run, is_first=True)
    return made, door, door.sock.getsockname()


def calling(at: tuple[str, int], script: Callable[[ScriptedPeer], None]) -> Callable[[ScriptedPeer], None]:
    """A client's script whose peer talks to the operators' door."""

    def run(peer: ScriptedPeer) -> None:
        peer.sock.close()
        sock = socket.create_connection(at)
        other = ScriptedPeer(peer.scheduler, sock)
        try:
            script(other)
        finally:
            sock.close()

    return run


def get(path: str, method: str = "GET") -> bytes:
    return f"{method} {path} HTTP/1.1\r\nhost: x\r\n\r\n".encode()


@pytest.mark.parametrize(
    "sent, heard",
    [
        ([get("/control/ready")], b"HTTP/1.1 200 "),
        ([b"GE", b"T /control/ready HTTP/1.1\r\n\r", b"\n"], b"HTTP/1.1 200 "),
        ([b"nonsense\r\n\r\n"], b"HTTP/1.1 400 "),
        ([get("/control/ready", "PUT")], b"HTTP/1.1 405 "),
        ([b"x" * 9000], b"HTTP/1.1 400 "),
        ([get("/elsewhere")], b"HTTP/1.1 404 "),
    ],
)
def test_a_call_is_answered_whole_and_its_connection_ends(sent: list[bytes], heard: bytes) -> None:
    made, at = play()
    got: list[bytes] = []

    def script(peer: ScriptedPeer) -> None:
        peer.wait_until(lambda: made.state_machine.can_serve(made.scheduler.now()))
        for piece in sent:
            peer.send(piece)
            peer.sleep(2000)
        got.append(peer.receive_until(b"never"))

    made.add_client(calling(at, script))
    made.run()
    assert got[0].startswith(heard) and b"connection: close" in got[0]


def test_callers_who_finish_nothing_keep_nobody_out_and_the_oldest_goes() -> None:
    made, door, at = opened()
    seen: list[Any] = []

    def script(peer: ScriptedPeer) -> None:
        socks = [
            ScriptedPeer(peer.scheduler, socket.create_connection(at)) for _ in range(ops.MAX_OPEN_CALLS - 1)
        ]
        for n in range(3):
            last = ScriptedPeer(peer.scheduler, socket.create_connection(at))
            last.send(get("/control/counters"))
            seen.append(last.receive_until(b"never")[:12])
            last.sock.close()
            if n == 0:  # the script's own connection and those above fill all places
                socks += [ScriptedPeer(peer.scheduler, socket.create_connection(at)) for _ in range(2)]
        assert len(door.calls) <= ops.MAX_OPEN_CALLS
        seen.append(peer.receive_until(b"never"))  # the oldest: closed to make room
        for other in socks:
            other.sock.close()

    made.add_client(calling(at, script))
    made.run()
    assert seen == [b"HTTP/1.1 200"] * 3 + [b""]


def test_a_full_house_without_a_buffer_still_answers_its_operators() -> None:
    made, at = play()
    made.dispatcher.pool.max_lent = 0
    got: list[bytes] = []

    def script(peer: ScriptedPeer) -> None:
        peer.send(get("/control/counters"))
        got.append(peer.receive_until(b"never"))

    made.add_client(calling(at, script))
    made.run()
    assert got[0].startswith(b"HTTP/1.1 200 ") and b"app_cluster_size 1\n" in got[0]


def test_the_figures_agree_with_what_clients_heard() -> None:
    made, at = play()
    got: list[bytes] = []

    def script(peer: ScriptedPeer) -> None:
        for _ in range(3):
            peer.send(request_bytes())
            peer.receive_until(b"hello")
        peer.send(request_bytes("read", path="/_health"))
        peer.receive_until()
        other = ScriptedPeer(peer.scheduler, socket.create_connection(at))
        other.send(get("/control/counters"))
        got.append(other.receive_until(b"never"))
        other.sock.close()

    made.add_client(script)
    made.run()
    assert b'app_answered{group="read"} 3\n' in got[0] and b"app_sends 3\n" in got[0]
