"""A new process beside the running one: what is handed over, and what comes of it where one dies."""

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
from typing import Any

import pytest

from cressrail.discovery.endpoint_list import read
from cressrail.handover import state as estate
from cressrail.handover.frame import HEAD, MARK, VERSION, Frames, HandoverError, wrap
from cressrail.network.handover_client import MAX_PATH_BYTES, find_predecessor, rendezvous_path
from cressrail.policy.outcome import Outcome
from cressrail.proxy import admin as control
from cressrail.proxy import commands as do
from tests.helpers import CONFIG, SECOND, ask, member, reply
from tests.policy.support import send_successes
from tests.proxy.support import Front, news
from tests.test_ops import call


def test_frames_come_whole_from_any_pieces() -> None:
    frames, text = Frames(), wrap("hello", {"n": 1}) + wrap("take", {})
    found = []
    for n in range(len(text)):
        frames.add(text[n : n + 1])
        while (got := frames.next()) is not None:
            found.append(got[0])
    assert found == ["hello", "take"]


@pytest.mark.parametrize(
    "text",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        HEAD.pack(MARK, VERSION + 1, 2, 0) + b"{}",
        HEAD.pack(MARK, VERSION, 2, 1) + b"{}",
        HEAD.pack(MARK, VERSION, 1 << 30, 0),
        wrap("take", {})[:-2] + b"x}",
    ],
)
def test_a_torn_old_or_foreign_frame_is_refused(text: bytes) -> None:
    frames = Frames()
    frames.add(text)
    with pytest.raises(HandoverError):
        frames.next()


def told(front: Front, now: int = SECOND) -> dict[str, Any]:
    """The estate, as it comes out of a frame."""
    found, effects = front.reducer.hand_over(now)
    front.told += effects
    frames = Frames()
    frames.add(wrap("estate", found))
    got = frames.next()
    assert got is not None
    return got[1]


def beside() -> Front:
    """A process that waits for the one before it."""
    front = Front()
    front.reducer.lifecycle.set_accepting(False)
    front.reducer.lifecycle.wait_for_predecessor()
    return front


def test_the_new_process_goes_on_from_what_the_old_one_knew() -> None:
    old, new = Front(), beside()
    send_successes(old.reducer.load_balancer, 50)
    old.reducer.load_balancer.endpoints[1].limit = 1.25
    old.reducer.load_balancer.on_connection_lost(SECOND, 0)
    old.told += old.reducer.on_endpoint_list(SECOND, news(9, False, member("s1", 9001, phase="draining")))
    new.reducer.on_endpoint_list(SECOND, read(old.reducer.endpoint_list()))
    new.told = new.reducer.take_over(SECOND, told(old), 1, 1)
    side = new.reducer.load_balancer
    assert (
        new.reducer.endpoint_watch.revision == 9
        and not side.endpoints[1].accepts_requests
        and side.endpoints[1].limit == 1.25
    )
    assert side.unavailable_endpoints(SECOND) == [0, 1] and len(side.budget.request_times_us) == 50
    assert side.slow_start.recent_successes == old.reducer.load_balancer.slow_start.recent_successes > 1
    assert new.all(do.AcceptClients) == [do.AcceptClients(True)]


def test_what_follows_from_what_is_told_goes_over_too() -> None:
    old, new = beside(), beside()
    rule, side = old.reducer.load_balancer.slow_start, old.reducer.load_balancer
    for n in range(200):
        rule.record_success(n * SECOND // 40, side.zone_subsets[0])
        side.latency_baseline.record(SECOND, (0.1, 0.3)[n % 2])
    estate.restore(told(old, 5 * SECOND), new.reducer.load_balancer, new.reducer.registry.names(), 5 * SECOND)
    assert new.reducer.load_balancer.zone_subsets[0].successes_per_scale == pytest.approx(
        side.zone_subsets[0].successes_per_scale, rel=0.15
    )
    before = side.latency_baseline.threshold
    for heir in (side, new.reducer.load_balancer):
        heir.latency_baseline.record(SECOND, 0.9)
        assert heir.latency_baseline.threshold == pytest.approx(before)


@pytest.mark.parametrize(
    "spoil",
    [
        lambda e: e.pop("budget"),
        lambda e: e["whole"].pop(),
        lambda e: e["endpoints"][0].pop(),
        lambda e: e.update(cold=[1, "x", 2]),
        lambda e: e["budget"][0].append(1.5),
        lambda e: e.update(shares=[]),
    ],
)
def test_half_an_estate_is_none(spoil: Any) -> None:
    old, new = Front(), beside()
    send_successes(old.reducer.load_balancer)
    old.reducer.load_balancer.endpoints[0].limit = 1.25
    found = told(old)
    spoil(found)
    with pytest.raises(HandoverError):
        estate.restore(found, new.reducer.load_balancer, new.reducer.registry.names(), SECOND)
    new.told = new.reducer.take_over(SECOND, found, 0, 0)
    assert (
        not new.reducer.load_balancer.budget.request_times_us
        and new.reducer.load_balancer.endpoints[0].limit != 1.25
    )
    assert new.all(do.AcceptClients) == [do.AcceptClients(True)]  # and yet it serves


def test_both_together_retry_no_more_and_fill_the_cold_no_more_than_one() -> None:
    front = Front()
    send_successes(front.reducer.load_balancer)
    side, now = front.reducer.load_balancer, SECOND
    side.endpoints[0].started_us = side.endpoints[0].slow_start_credit_us = 1
    e, own = side.endpoints[0], side.zone_subsets[0]
    assert side.slow_start.accrue_credit(e, 5 * SECOND, own, True)
    told(front)
    assert not side.budget.spend(now) and not side.slow_start.accrue_credit(e, 6 * SECOND, own, True)
    front.reducer.on_successor_failed(now)
    assert side.budget.spend(now) and side.slow_start.accrue_credit(e, 7 * SECOND, own, True)


def test_an_id_that_is_open_at_the_old_process_is_not_taken_by_the_new_one() -> None:
    old, new = Front(), beside()
    old.came(7)
    old.ask(7)
    new.told = new.reducer.take_over(SECOND, told(old), 0, 0)
    new.came(7)
    new.ask(7, now=SECOND)
    assert [write.response.status for write in new.all(do.SendResponse)] == [400]
    new.reducer.on_predecessor_exited(SECOND, 0, 0)
    new.ask(7, now=SECOND)
    assert new.hop()


def test_a_drain_goes_over() -> None:
    old, new = Front(), beside()
    call(old, control.OUT)
    new.told = new.reducer.take_over(SECOND, told(old), 0, 0)
    assert not new.reducer.is_ready(SECOND) and call(new, control.READY, SECOND) == 200
    assert call(old, control.IN, SECOND) == 503  # it would be lost with the process
    call(new, control.IN, SECOND)
    assert new.reducer.is_ready(SECOND)


def test_the_new_process_asks_only_once_it_can_serve_and_is_ready_only_after() -> None:
    new = beside()
    new.told = new.reducer.start(0, read({"revision": 1, "complete": True, "members": []}), True)
    assert not new.all(do.BeginTakeover) and not new.all(do.AcceptClients)
    assert call(new, control.READY) == 503
    new.told = new.reducer.on_endpoint_list(1, news(4, True, member("s0", 9000)))
    assert len(new.all(do.BeginTakeover)) == 1 and call(new, control.READY) == 503
    new.told = new.reducer.take_over(2, None, 0, 0)
    assert call(new, control.READY) == 200 and new.all(do.AcceptClients) == [do.AcceptClients(True)]


def test_the_old_process_closes_no_idle_client_but_ends_with_each_answer() -> None:
    front = Front(heard=True)
    front.rest(1)
    front.came(2)
    front.ask(2)
    told(front)
    assert front.all(do.AcceptClients)[-1] == do.AcceptClients(False) and not front.all(do.CloseClient)
    front.end(front.hop(), Outcome.SUCCEEDED)
    front.ask(1, now=SECOND)
    front.end(front.hop(), Outcome.SUCCEEDED, SECOND)
    assert [write.closes_connection for write in front.all(do.SendResponse)] == [True, True]
    front.told += front.reducer.on_stop_requested(2 * SECOND)
    assert front.reducer.is_ready(2 * SECOND)  # a front that asks here is not to leave a sidecar that serves
    for client in (1, 2):
        front.told += front.reducer.on_response_written(2 * SECOND, client)
        front.told += front.reducer.on_client_closed(2 * SECOND, client)
    front.told += front.reducer.on_timer(2 * SECOND)
    assert front.all(do.Exit) and not any(listen.closed for listen in front.all(do.AcceptClients))


def test_an_heir_that_dies_leaves_all_as_it_was_unless_told_to_stop() -> None:
    front = Front()
    told(front)
    front.all(do.AcceptClients)
    front.told = front.reducer.on_successor_failed(SECOND)
    assert (
        front.all(do.AcceptClients) == [do.AcceptClients(True)]
        and not front.reducer.lifecycle.has_handed_over
    )
    told(front)
    front.told = front.reducer.on_stop_requested(2 * SECOND)
    front.told += front.reducer.on_successor_failed(2 * SECOND)
    assert not front.all(do.AcceptClients)


@pytest.mark.parametrize("tmp", [None, "", "/x" * MAX_PATH_BYTES])
def test_without_a_place_to_meet_there_is_none(tmp: str | None) -> None:
    assert rendezvous_path(("127.0.0.1", 1), tmp) is None


def test_one_who_meets_with_junk_is_no_elder(tmp_path: Path) -> None:
    at = str(tmp_path / "s")
    with socket.socket(socket.AF_UNIX) as place:
        place.bind(at)
        place.listen()
        place.settimeout(5)
        if os.fork() == 0:
            other = place.accept()[0]
            other.recv(4096)
            other.sendall(b"HTTP/1.1 400 Bad Request\r\n\r\n")
            os._exit(0)
        assert find_predecessor(at, ("127.0.0.1", 1)) is None
        os.wait()
    assert find_predecessor(at, ("127.0.0.1", 1)) is None  # nobody listens there any more


# Whole processes


class Fleet:
    """Processes of one sidecar in one $TMPDIR, an endpoint and a discovery that never speaks."""

    def __init__(self, tmp: Path, tmpdir: str | None) -> None:
        self.tmp = tmp
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
        """A process, once it says ready."""
        with socket.create_server(("127.0.0.1", 0)) as server:
            ops = server.getsockname()[:2]
        config = copy.deepcopy(CONFIG)
        config["known"]["members"] = [member("s0", self.endpoint.getsockname()[1])]
        config |= {"listen": f"127.0.0.1:{self.port}", "ops": f"{ops[0]}:{ops[1]}"}
        path = self.tmp / f"config{len(self.started)}.json"
        path.write_text(json.dumps(config))
        process = subprocess.Popen(
            [sys.executable, "-m", "cressrail", "serve", str(path)], env=self.env, stdout=subprocess.DEVNULL
        )
        self.started.append(process)
        until = time.monotonic() + 20
        while not self.say(ops, b"GET /control/ready").startswith(b"HTTP/1.1 200"):
            assert process.poll() is None and time.monotonic() < until
            time.sleep(0.02)
        return process, ops

    def say(self, at: tuple[str, int], what: bytes) -> bytes:
        try:
            with socket.create_connection(at, timeout=5) as sock:
                sock.sendall(what + b" HTTP/1.1\r\nconnection: close\r\n\r\n")
                heard = b""
                while data := sock.recv(4096):
                    heard += data
                return heard
        except OSError:
            return b""

    def client(self) -> socket.socket:
        return socket.create_connection(("127.0.0.1", self.port), timeout=10)

    def served(self, sock: socket.socket) -> bytes:
        """What a client hears for one request, played with the endpoint's part."""
        sock.sendall(ask())
        far = self.endpoint.accept()[0]
        with far:
            heard = b""
            while b"\r\n\r\n" not in heard:
                heard += far.recv(4096)
            far.sendall(reply(b"hello", more=b"connection: close\r\n"))
            got = b""
            while not got.endswith(b"hello") and (data := sock.recv(4096)):
                got += data
        return got


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    made = Fleet(tmp_path, str(tmp_path))
    yield made
    for process in made.started:
        process.kill()
        process.wait()
    made.endpoint.close()


def test_a_new_process_takes_over_and_the_old_one_ends(fleet: Fleet) -> None:
    first, _ = fleet.start()
    kept = fleet.client()
    assert fleet.served(kept).startswith(b"HTTP/1.1 200")
    second, ops = fleet.start()
    fresh = fleet.client()
    assert b"connection: close" not in fleet.served(fresh)
    assert b"connection: close" in fleet.served(kept)  # the last there, and no close crossed it
    first.send_signal(signal.SIGTERM)
    assert first.wait(20) == 0
    assert fleet.served(fresh).startswith(b"HTTP/1.1 200")
    assert b'app_answered{group="read"} 2' in fleet.say(ops, b"GET /control/counters")
    third, _ = fleet.start()  # and again
    second.send_signal(signal.SIGTERM)
    assert second.wait(20) == 0
    with fleet.client() as sock:
        assert fleet.served(sock).startswith(b"HTTP/1.1 200")
    third.send_signal(signal.SIGTERM)  # without a successor: as ever
    assert third.wait(20) == 0
    kept.close()
    fresh.close()


def test_a_new_process_that_is_killed_leaves_the_old_one_at_work(fleet: Fleet) -> None:
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
    assert first.wait(20) == 0 and third.poll() is None


def test_an_old_process_that_is_killed_loses_nobody_who_comes(fleet: Fleet) -> None:
    first, _ = fleet.start()
    fleet.start()
    first.kill()
    with fleet.client() as sock:
        assert fleet.served(sock).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("tmpdir", [None, "/proc/nowhere"])
def test_without_a_common_directory_both_still_listen(tmp_path: Path, tmpdir: str | None) -> None:
    fleet = Fleet(tmp_path, tmpdir)
    first, _ = fleet.start()
    second, _ = fleet.start()
    first.send_signal(signal.SIGTERM)
    assert first.wait(20) == 0 and second.poll() is None
    with fleet.client() as sock:
        assert fleet.served(sock).startswith(b"HTTP/1.1 200")
    second.kill()
    second.wait()
    fleet.endpoint.close()
