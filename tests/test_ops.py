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
from cressrail.policy.outcome import Outcome
from cressrail.proxy import admin as control
from cressrail.proxy import commands as do
from cressrail.proxy.clients import CLIENT_STALL_US
from cressrail.proxy.lifecycle import OUT_OF_SERVICE_IDLE_US
from cressrail.proxy.request_counters import RequestCounters
from tests.helpers import CONFIG, SECOND, Peer, Play, ask, reply
from tests.policy.support import make_entry, make_load_balancer
from tests.proxy.support import Front
from tests.test_sockets import serving


def figures(front: Front, now: int = 0) -> dict[str, int]:
    told, _ = front.reducer.on_admin_call(now, b"GET", control.COUNTERS)
    return {
        name: int(value)
        for name, _, value in (line.partition(" ") for line in told.body.decode().splitlines())
    }


def call(front: Front, path: bytes, now: int = 0) -> int:
    told, effects = front.reducer.on_admin_call(now, control.METHODS[path], path)
    front.told += effects
    return told.status


def test_every_figure_stands_there_from_the_start() -> None:
    told = figures(Front())
    assert told == {
        **{
            f'app_{how}{{group="{name}"}}': 0
            for how in ("answered", "deferred", "errored")
            for name in ("read", "write", "note")
        },
        "app_sends": 0,
        "app_current": 0,
        "app_cluster_size": 2,
        "app_cluster_unhealthy": 0,
    }


@pytest.mark.parametrize(
    "kind, how, counted",
    [
        ("read", Outcome.SUCCEEDED, "answered"),
        ("read", Outcome.TIMED_OUT, "deferred"),
        ("write", Outcome.ERROR, "errored"),
        ("write", Outcome.INVALID_REQUEST, "errored"),
    ],
)
def test_each_transaction_counts_once_when_it_is_final(kind: str, how: Outcome, counted: str) -> None:
    front = Front()
    front.came(1)
    front.ask(1, kind)
    assert figures(front)["app_current"] == 1
    front.end(front.hop(), how)
    told = figures(front)
    assert told["app_current"] == 0 and told[f'app_{counted}{{group="{kind}"}}'] == 1
    assert sum(told.values()) - told["app_cluster_size"] == 1


def test_what_never_became_a_transaction_counts_where_its_profile_is_known() -> None:
    front = Front()
    for client, fields in enumerate([{"req-deadline": "soon"}, {"req-kind": "none"}]):
        front.came(client)
        front.ask(client, **fields)  # type: ignore[arg-type]
    told = figures(front)
    assert told['app_errored{group="read"}'] == 1 and sum(told.values()) == 1 + told["app_cluster_size"]


def test_a_client_that_has_left_is_current_no_more() -> None:
    front = Front()
    front.came(1)
    front.ask(1)
    front.told += front.reducer.on_client_closed(0, 1)
    assert figures(front)["app_current"] == 0


def test_labels_are_escaped() -> None:
    assert b'{group="a\\"b\\\\c\\nd"} 0' in RequestCounters(['a"b\\c\nd']).text(0, 0, 0)


def test_the_module_says_which_endpoints_it_avoids() -> None:
    side = make_load_balancer([make_entry(0), make_entry(1), make_entry(2, accepts_requests=False)])
    side.on_connection_lost(0, 1)
    assert side.unavailable_endpoints(0) == [1, 2] and side.unavailable_endpoints(3 * SECOND) == [2]


@pytest.mark.parametrize(
    "method, path, status, allow",
    [
        (b"GET", b"/control/ready", 200, b""),
        (b"POST", b"/control/ready", 405, b"GET"),
        (b"GET", b"/control/out-of-service", 405, b"POST"),
        (b"GET", b"/", 404, b""),
        (b"POST", b"/control/in-service", 200, b""),
    ],
)
def test_wrong_calls_are_told_apart(method: bytes, path: bytes, status: int, allow: bytes) -> None:
    told, _ = Front().reducer.on_admin_call(SECOND, method, path)
    assert (told.status, told.allow) == (status, allow)


def test_a_drain_says_no_serves_on_and_empties_and_is_ended_at_any_moment() -> None:
    front = Front()
    front.rest(1)
    front.came(2)
    front.ask(2)
    assert front.reducer.is_ready(SECOND)
    for _ in range(2):  # a repeated call is harmless
        assert call(front, control.OUT, SECOND) == 200
    assert not front.reducer.is_ready(SECOND) and call(front, control.READY, SECOND) == 200
    assert not front.all(do.CloseClient)  # the front does not know yet: who is closed would come back
    front.end(front.hop(), Outcome.SUCCEEDED, SECOND)
    [answer] = front.all(do.SendResponse)
    assert answer.closes_connection and answer.response.status == 200
    front.told += front.reducer.on_timer(SECOND + OUT_OF_SERVICE_IDLE_US)
    assert [(shut.client, shut.only_if_idle) for shut in front.all(do.CloseClient)] == [(1, True)]
    front.came(3, 2 * SECOND)  # one that comes meanwhile is served,
    front.ask(3, now=2 * SECOND)
    front.end(front.hop(), Outcome.SUCCEEDED, 2 * SECOND)
    assert front.all(do.SendResponse)[0].closes_connection
    front.came(4, 2 * SECOND)  # one that says nothing is not held
    front.told += front.reducer.on_timer(2 * SECOND + CLIENT_STALL_US)
    assert [shut.client for shut in front.all(do.CloseClient)] == [4]
    assert call(front, control.IN, 2 * SECOND) == 200 and front.reducer.is_ready(2 * SECOND)
    front.came(5, 3 * SECOND)
    front.ask(5, now=3 * SECOND)
    front.end(front.hop(), Outcome.SUCCEEDED, 3 * SECOND)
    assert not front.all(do.SendResponse)[0].closes_connection


def test_a_drained_sidecar_that_is_stopped_ends_as_any() -> None:
    front = Front()
    call(front, control.OUT, SECOND)
    front.told += front.reducer.on_stop_requested(2 * SECOND)
    assert call(front, control.READY, 2 * SECOND) == 503
    front.told += front.reducer.on_timer(3 * SECOND)
    assert front.all(do.Exit)


@pytest.mark.parametrize(
    "value, says",
    [("here", "ops is no host:port: here"), ("127.0.0.1:9000", "ops is the same as listen: 127.0.0.1:9000")],
)
@pytest.mark.parametrize("by", ["file", "environment"])
def test_an_address_that_cannot_be_the_operators_is_named(value: str, says: str, by: str) -> None:
    config, env = copy.deepcopy(CONFIG), {}
    if by == "file":
        config["ops"] = value
    else:
        env["BALANCER_OPS"] = value
    with pytest.raises(ConfigurationError, match=f"^{re.escape(says)}$"):
        parse_configuration(config, env)
    assert parse_configuration(copy.deepcopy(CONFIG), {}).admin is None


def test_an_address_for_operators_that_is_taken_ends_the_start(tmp_path: Path) -> None:
    taken = listener.bind("127.0.0.1", 0)
    path, (host, port) = tmp_path / "config.json", taken.getsockname()
    path.write_bytes(orjson.dumps({**CONFIG, "listen": "127.0.0.1:1", "ops": f"{host}:{port}"}))
    ended = subprocess.run(
        [sys.executable, "-m", "cressrail", "serve", str(path)], capture_output=True, timeout=20, check=False
    )
    taken.close()
    assert ended.returncode == 1 and b"cannot listen on" in ended.stderr


# On sockets


def play() -> tuple[Play, tuple[str, int]]:
    made, _, at = opened()
    return made, at


def opened() -> tuple[Play, ops.AdminServerTask, tuple[str, int]]:
    made = Play([serving(reply(b"hello"))])
    door = ops.AdminServerTask(made.net, listener.bind("127.0.0.1", 0), None)
    made.loop.spawn(door.run, first=True)
    return made, door, door.sock.getsockname()


def calling(at: tuple[str, int], script: Callable[[Peer], None]) -> Callable[[Peer], None]:
    """A client's script whose peer talks to the operators' door."""

    def run(peer: Peer) -> None:
        peer.sock.close()
        sock = socket.create_connection(at)
        other = Peer(peer.loop, sock)
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

    def script(peer: Peer) -> None:
        peer.until(lambda: made.reducer.can_serve(made.loop.now()))
        for piece in sent:
            peer.say(piece)
            peer.sleep(2000)
        got.append(peer.hear(b"never"))

    made.client(calling(at, script))
    made.run()
    assert got[0].startswith(heard) and b"connection: close" in got[0]


def test_callers_who_finish_nothing_keep_nobody_out_and_the_oldest_goes() -> None:
    made, door, at = opened()
    seen: list[Any] = []

    def script(peer: Peer) -> None:
        socks = [Peer(peer.loop, socket.create_connection(at)) for _ in range(ops.MAX_OPEN_CALLS - 1)]
        for n in range(3):
            last = Peer(peer.loop, socket.create_connection(at))
            last.say(get("/control/counters"))
            seen.append(last.hear(b"never")[:12])
            last.sock.close()
            if n == 0:  # the script's own connection and those above fill all places
                socks += [Peer(peer.loop, socket.create_connection(at)) for _ in range(2)]
        assert len(door.calls) <= ops.MAX_OPEN_CALLS
        seen.append(peer.hear(b"never"))  # the oldest: closed to make room
        for other in socks:
            other.sock.close()

    made.client(calling(at, script))
    made.run()
    assert seen == [b"HTTP/1.1 200"] * 3 + [b""]


def test_a_full_house_without_a_buffer_still_answers_its_operators() -> None:
    made, at = play()
    made.net.pool.most = 0
    got: list[bytes] = []

    def script(peer: Peer) -> None:
        peer.say(get("/control/counters"))
        got.append(peer.hear(b"never"))

    made.client(calling(at, script))
    made.run()
    assert got[0].startswith(b"HTTP/1.1 200 ") and b"app_cluster_size 1\n" in got[0]


def test_the_figures_agree_with_what_clients_heard() -> None:
    made, at = play()
    got: list[bytes] = []

    def script(peer: Peer) -> None:
        for _ in range(3):
            peer.say(ask())
            peer.hear(b"hello")
        peer.say(ask("read", path="/_health"))
        peer.hear()
        other = Peer(peer.loop, socket.create_connection(at))
        other.say(get("/control/counters"))
        got.append(other.hear(b"never"))
        other.sock.close()

    made.client(script)
    made.run()
    assert b'app_answered{group="read"} 3\n' in got[0] and b"app_sends 3\n" in got[0]
