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
from cressrail.policy.outcome import Outcome
from cressrail.proxy import admin as control
from cressrail.proxy import commands as do
from tests.policy.support import send_successes
from tests.proxy.support import ProxyDriver, admin_status, list_update
from tests.support.configuration import SECOND, endpoint_entry


def captured(front: ProxyDriver, now: int = SECOND) -> dict[str, Any]:
    """Hands over, and returns the state as the successor reads it from a frame."""
    state, commands = front.state_machine.hand_over(now)
    front.commands += commands
    reader = FrameReader()
    reader.feed(encode_frame(FrameKind.STATE, state))
    frame = reader.next_frame()
    assert frame is not None
    return frame.fields


def successor() -> ProxyDriver:
    """Returns a process that waits for its predecessor."""
    front = ProxyDriver()
    front.state_machine.lifecycle.set_accepting(False)
    front.state_machine.lifecycle.wait_for_predecessor()
    return front


def test_restore_gives_the_successor_what_the_predecessor_had_learned() -> None:
    old, new = ProxyDriver(), successor()
    send_successes(old.state_machine.load_balancer, 50)
    old.state_machine.load_balancer.endpoints[1].limit = 1.25
    old.state_machine.load_balancer.on_connection_lost(SECOND, 0)
    old.commands += old.state_machine.on_endpoint_list(
        SECOND, list_update(9, False, endpoint_entry("s1", 9001, phase="draining"))
    )
    new.state_machine.on_endpoint_list(SECOND, parse_update(old.state_machine.endpoint_list()))
    new.commands = new.state_machine.take_over(SECOND, captured(old), 1, 1)
    balancer = new.state_machine.load_balancer
    assert new.state_machine.endpoint_watch.revision == 9
    assert not balancer.endpoints[1].accepts_requests
    assert balancer.endpoints[1].limit == 1.25
    assert balancer.unavailable_endpoints(SECOND) == [0, 1]
    assert len(balancer.budget.request_times_us) == 50
    assert (
        balancer.slow_start.recent_successes
        == old.state_machine.load_balancer.slow_start.recent_successes
        > 1
    )
    assert new.take_commands(do.AcceptClients) == [do.AcceptClients(True)]


def test_restore_recomputes_the_figures_that_are_derived() -> None:
    old, new = successor(), successor()
    slow_start, balancer = old.state_machine.load_balancer.slow_start, old.state_machine.load_balancer
    for number in range(200):
        slow_start.record_success(number * SECOND // 40, balancer.zone_subsets[0])
        balancer.latency_baseline.record(SECOND, (0.1, 0.3)[number % 2])
    handover_state.restore(
        captured(old, 5 * SECOND),
        new.state_machine.load_balancer,
        new.state_machine.registry.names(),
        5 * SECOND,
    )
    assert new.state_machine.load_balancer.zone_subsets[0].successes_per_scale == pytest.approx(
        balancer.zone_subsets[0].successes_per_scale, rel=0.15
    )
    before = balancer.latency_baseline.threshold
    for each in (balancer, new.state_machine.load_balancer):
        each.latency_baseline.record(SECOND, 0.9)
        assert each.latency_baseline.threshold == pytest.approx(before)


@pytest.mark.parametrize(
    "damage",
    [
        lambda state: state.pop("budget"),
        lambda state: state["whole"].pop(),
        lambda state: state["endpoints"][0].pop(),
        lambda state: state.update(cold=[1, "x", 2]),
        lambda state: state["budget"][0].append(1.5),
        lambda state: state.update(shares=[]),
    ],
)
def test_restore_refuses_a_damaged_state_and_changes_nothing(damage: Any) -> None:
    old, new = ProxyDriver(), successor()
    send_successes(old.state_machine.load_balancer)
    old.state_machine.load_balancer.endpoints[0].limit = 1.25
    state = captured(old)
    damage(state)
    with pytest.raises(HandoverError):
        handover_state.restore(
            state, new.state_machine.load_balancer, new.state_machine.registry.names(), SECOND
        )
    new.commands = new.state_machine.take_over(SECOND, state, 0, 0)
    assert not new.state_machine.load_balancer.budget.request_times_us
    assert new.state_machine.load_balancer.endpoints[0].limit != 1.25
    assert new.take_commands(do.AcceptClients) == [do.AcceptClients(True)]  # it serves all the same


def test_two_processes_share_one_retry_budget_and_slow_start_credit() -> None:
    front = ProxyDriver()
    send_successes(front.state_machine.load_balancer)
    balancer, now = front.state_machine.load_balancer, SECOND
    balancer.endpoints[0].started_us = balancer.endpoints[0].slow_start_credit_us = 1
    endpoint, own_subset = balancer.endpoints[0], balancer.zone_subsets[0]
    assert balancer.slow_start.accrue_credit(endpoint, 5 * SECOND, own_subset, True)
    captured(front)
    assert not balancer.budget.spend(now)
    assert not balancer.slow_start.accrue_credit(endpoint, 6 * SECOND, own_subset, True)
    front.state_machine.on_successor_failed(now)
    assert balancer.budget.spend(now)
    assert balancer.slow_start.accrue_credit(endpoint, 7 * SECOND, own_subset, True)


def test_request_id_in_flight_at_the_predecessor_is_refused_by_the_successor() -> None:
    old, new = ProxyDriver(), successor()
    old.connect_client(7)
    old.send_request(7)
    new.commands = new.state_machine.take_over(SECOND, captured(old), 0, 0)
    new.connect_client(7)
    new.send_request(7, now=SECOND)
    assert [write.response.status for write in new.take_commands(do.SendResponse)] == [400]
    new.state_machine.on_predecessor_exited(SECOND, 0, 0)
    new.send_request(7, now=SECOND)
    assert new.take_attempt()


def test_drain_is_handed_over() -> None:
    old, new = ProxyDriver(), successor()
    admin_status(old, control.OUT_OF_SERVICE_PATH)
    new.commands = new.state_machine.take_over(SECOND, captured(old), 0, 0)
    assert not new.state_machine.is_ready(SECOND)
    assert admin_status(new, control.READY_PATH, SECOND) == 200
    assert admin_status(old, control.IN_SERVICE_PATH, SECOND) == 503  # it would be lost with the process
    admin_status(new, control.IN_SERVICE_PATH, SECOND)
    assert new.state_machine.is_ready(SECOND)


def test_successor_takes_over_when_it_can_serve_and_is_ready_afterwards() -> None:
    new = successor()
    new.commands = new.state_machine.start(
        0, parse_update({"revision": 1, "complete": True, "members": []}), True
    )
    assert not new.take_commands(do.BeginTakeover)
    assert not new.take_commands(do.AcceptClients)
    assert admin_status(new, control.READY_PATH) == 503
    new.commands = new.state_machine.on_endpoint_list(1, list_update(4, True, endpoint_entry("s0", 9000)))
    assert len(new.take_commands(do.BeginTakeover)) == 1
    assert admin_status(new, control.READY_PATH) == 503
    new.commands = new.state_machine.take_over(2, None, 0, 0)
    assert admin_status(new, control.READY_PATH) == 200
    assert new.take_commands(do.AcceptClients) == [do.AcceptClients(True)]


def test_predecessor_keeps_idle_clients_and_closes_each_after_its_response() -> None:
    front = ProxyDriver(has_list=True)
    front.connect_idle_client(1)
    front.connect_client(2)
    front.send_request(2)
    captured(front)
    assert front.take_commands(do.AcceptClients)[-1] == do.AcceptClients(False)
    assert not front.take_commands(do.CloseClient)
    front.finish_attempt(front.take_attempt(), Outcome.SUCCEEDED)
    front.send_request(1, now=SECOND)
    front.finish_attempt(front.take_attempt(), Outcome.SUCCEEDED, SECOND)
    assert [write.closes_connection for write in front.take_commands(do.SendResponse)] == [True, True]
    front.commands += front.state_machine.on_stop_requested(2 * SECOND)
    assert front.state_machine.is_ready(
        2 * SECOND
    )  # a health check that reaches this process must not see the sidecar as gone
    for client in (1, 2):
        front.commands += front.state_machine.on_response_written(2 * SECOND, client)
        front.commands += front.state_machine.on_client_closed(2 * SECOND, client)
    front.commands += front.state_machine.on_timer(2 * SECOND)
    assert front.take_commands(do.Exit)
    assert not front.take_commands(do.AcceptClients)


def test_predecessor_serves_again_when_the_successor_dies_unless_it_is_stopping() -> None:
    front = ProxyDriver()
    captured(front)
    front.take_commands(do.AcceptClients)
    front.commands = front.state_machine.on_successor_failed(SECOND)
    assert front.take_commands(do.AcceptClients) == [do.AcceptClients(True)]
    assert not front.state_machine.lifecycle.has_handed_over
    captured(front)
    front.commands = front.state_machine.on_stop_requested(2 * SECOND)
    front.commands += front.state_machine.on_successor_failed(2 * SECOND)
    assert not front.take_commands(do.AcceptClients)


@pytest.mark.parametrize("directory", [None, "", "/x" * MAX_PATH_BYTES])
def test_rendezvous_path_is_none_without_a_usable_directory(directory: str | None) -> None:
    assert rendezvous_path(("127.0.0.1", 1), directory) is None


def test_find_predecessor_passes_over_a_process_that_sends_no_frame(tmp_path: Path) -> None:
    path = str(tmp_path / "s")
    with socket.socket(socket.AF_UNIX) as listening:
        listening.bind(path)
        listening.listen()
        listening.settimeout(5)
        if os.fork() == 0:
            connection = listening.accept()[0]
            connection.recv(4096)
            connection.sendall(b"HTTP/1.1 400 Bad Request\r\n\r\n")
            os._exit(0)
        assert find_predecessor(path, ("127.0.0.1", 1)) is None
        os.wait()
    assert find_predecessor(path, ("127.0.0.1", 1)) is None  # nobody listens there any more
