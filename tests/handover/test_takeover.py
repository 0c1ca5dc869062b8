"""State that passes from one process of a sidecar to its successor, and who serves meanwhile."""

from __future__ import annotations

import os
import socket
from pathlib import Path
from typing import Any

import pytest

from cressrail.discovery.endpoint_list import parse_update
from cressrail.handover import state as handover_state
from cressrail.handover.frame import (
    FrameKind,
    FrameReader,
    HandoverError,
    encode_frame,
)
from cressrail.network.handover_client import find_predecessor
from cressrail.network.handover_connection import MAX_PATH_BYTES, rendezvous_path
from cressrail.policy.load_balancer import Outcome
from cressrail.proxy import admin as control
from cressrail.proxy import commands as do
from tests.helpers import SECOND, member, warm_up
from tests.proxy.support import Front, news
from tests.test_ops import call


def captured(front: Front, now: int = SECOND) -> dict[str, Any]:
    """The estate, as it comes out of a frame."""
    found, effects = front.reducer.hand_over(now)
    front.told += effects
    frames = FrameReader()
    frames.feed(encode_frame(FrameKind.STATE, found))
    got = frames.next_frame()
    assert got is not None
    return got.fields


def successor() -> Front:
    """A process that waits for the one before it."""
    front = Front()
    front.reducer.lifecycle.set_accepting(False)
    front.reducer.lifecycle.wait_for_predecessor()
    return front


def test_restore_gives_the_successor_what_the_predecessor_had_learned() -> None:
    old, new = Front(), successor()
    warm_up(old.reducer.load_balancer, 50)
    old.reducer.load_balancer.endpoints[1].limit = 1.25
    old.reducer.load_balancer.on_connection_lost(SECOND, 0)
    old.told += old.reducer.on_endpoint_list(SECOND, news(9, False, member("s1", 9001, phase="draining")))
    new.reducer.on_endpoint_list(SECOND, parse_update(old.reducer.endpoint_list()))
    new.told = new.reducer.take_over(SECOND, captured(old), 1, 1)
    side = new.reducer.load_balancer
    assert (
        new.reducer.endpoint_watch.revision == 9
        and not side.endpoints[1].accepts_requests
        and side.endpoints[1].limit == 1.25
    )
    assert side.unavailable_endpoints(SECOND) == [0, 1] and len(side.budget.taken) == 50
    assert side.slow_start.carried == old.reducer.load_balancer.slow_start.carried > 1
    assert new.all(do.AcceptClients) == [do.AcceptClients(True)]


def test_restore_recomputes_the_figures_that_are_derived() -> None:
    old, new = successor(), successor()
    rule, side = old.reducer.load_balancer.slow_start, old.reducer.load_balancer
    for n in range(200):
        rule.carry(n * SECOND // 40, side.zone_subsets[0])
        side._learn_usual(SECOND, (0.1, 0.3)[n % 2])
    handover_state.restore(
        captured(old, 5 * SECOND), new.reducer.load_balancer, new.reducer.registry.names(), 5 * SECOND
    )
    assert new.reducer.load_balancer.zone_subsets[0].each == pytest.approx(
        side.zone_subsets[0].each, rel=0.15
    )
    before = side.late
    for heir in (side, new.reducer.load_balancer):
        heir._learn_usual(SECOND, 0.9)
        assert heir.late == pytest.approx(before)


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
def test_restore_refuses_a_damaged_state_and_changes_nothing(spoil: Any) -> None:
    old, new = Front(), successor()
    warm_up(old.reducer.load_balancer)
    old.reducer.load_balancer.endpoints[0].limit = 1.25
    found = captured(old)
    spoil(found)
    with pytest.raises(HandoverError):
        handover_state.restore(found, new.reducer.load_balancer, new.reducer.registry.names(), SECOND)
    new.told = new.reducer.take_over(SECOND, found, 0, 0)
    assert not new.reducer.load_balancer.budget.taken and new.reducer.load_balancer.endpoints[0].limit != 1.25
    assert new.all(do.AcceptClients) == [do.AcceptClients(True)]  # and yet it serves


def test_two_processes_share_one_retry_budget_and_slow_start_credit() -> None:
    front = Front()
    warm_up(front.reducer.load_balancer)
    side, now = front.reducer.load_balancer, SECOND
    side.endpoints[0].started_us = side.endpoints[0].cold_us = 1
    e, own = side.endpoints[0], side.zone_subsets[0]
    assert side.slow_start.credit(e, 5 * SECOND, own, True)
    captured(front)
    assert not side.budget.spend(now) and not side.slow_start.credit(e, 6 * SECOND, own, True)
    front.reducer.on_successor_failed(now)
    assert side.budget.spend(now) and side.slow_start.credit(e, 7 * SECOND, own, True)


def test_request_id_in_flight_at_the_predecessor_is_refused_by_the_successor() -> None:
    old, new = Front(), successor()
    old.came(7)
    old.ask(7)
    new.told = new.reducer.take_over(SECOND, captured(old), 0, 0)
    new.came(7)
    new.ask(7, now=SECOND)
    assert [write.response.status for write in new.all(do.SendResponse)] == [400]
    new.reducer.on_predecessor_exited(SECOND, 0, 0)
    new.ask(7, now=SECOND)
    assert new.hop()


def test_drain_is_handed_over() -> None:
    old, new = Front(), successor()
    call(old, control.OUT)
    new.told = new.reducer.take_over(SECOND, captured(old), 0, 0)
    assert not new.reducer.is_ready(SECOND) and call(new, control.READY, SECOND) == 200
    assert call(old, control.IN, SECOND) == 503  # it would be lost with the process
    call(new, control.IN, SECOND)
    assert new.reducer.is_ready(SECOND)


def test_successor_takes_over_when_it_can_serve_and_is_ready_afterwards() -> None:
    new = successor()
    new.told = new.reducer.start(0, parse_update({"revision": 1, "complete": True, "members": []}), True)
    assert not new.all(do.BeginTakeover) and not new.all(do.AcceptClients)
    assert call(new, control.READY) == 503
    new.told = new.reducer.on_endpoint_list(1, news(4, True, member("s0", 9000)))
    assert len(new.all(do.BeginTakeover)) == 1 and call(new, control.READY) == 503
    new.told = new.reducer.take_over(2, None, 0, 0)
    assert call(new, control.READY) == 200 and new.all(do.AcceptClients) == [do.AcceptClients(True)]


def test_predecessor_keeps_idle_clients_and_closes_each_after_its_response() -> None:
    front = Front(heard=True)
    front.rest(1)
    front.came(2)
    front.ask(2)
    captured(front)
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


def test_predecessor_serves_again_when_the_successor_dies_unless_it_is_stopping() -> None:
    front = Front()
    captured(front)
    front.all(do.AcceptClients)
    front.told = front.reducer.on_successor_failed(SECOND)
    assert (
        front.all(do.AcceptClients) == [do.AcceptClients(True)]
        and not front.reducer.lifecycle.has_handed_over
    )
    captured(front)
    front.told = front.reducer.on_stop_requested(2 * SECOND)
    front.told += front.reducer.on_successor_failed(2 * SECOND)
    assert not front.all(do.AcceptClients)


@pytest.mark.parametrize("tmp", [None, "", "/x" * MAX_PATH_BYTES])
def test_rendezvous_path_is_none_without_a_usable_directory(tmp: str | None) -> None:
    assert rendezvous_path(("127.0.0.1", 1), tmp) is None


def test_find_predecessor_passes_over_a_process_that_sends_no_frame(tmp_path: Path) -> None:
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
