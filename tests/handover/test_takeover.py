"""Hand-over of state from one process of a sidecar to its successor, and which of them serves clients."""

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
from cressrail.proxy import admin, commands
from cressrail.proxy.requests import KEPT_ID_DEADLINES
from tests.policy.support import send_successes
from tests.proxy.support import ProxyDriver, admin_status, list_update
from tests.support.configuration import SECOND, endpoint_entry


def hand_over(driver: ProxyDriver, now: int = SECOND) -> dict[str, Any]:
    """Hands over and returns the state as the successor decodes it from a frame."""
    state, returned = driver.state_machine.hand_over(now)
    driver.commands += returned
    reader = FrameReader()
    reader.feed(encode_frame(FrameKind.STATE, state))
    frame = reader.next_frame()
    assert frame is not None
    return frame.fields


def successor_driver(has_list: bool = True) -> ProxyDriver:
    """Returns the driver of a successor that has not yet taken over from its predecessor."""
    driver = ProxyDriver(has_list=has_list)
    driver.state_machine.lifecycle.set_accepting(False)
    driver.state_machine.lifecycle.wait_for_predecessor()
    return driver


def test_restore_transfers_learned_state_to_successor() -> None:
    predecessor, successor = ProxyDriver(), successor_driver()
    send_successes(predecessor.state_machine.load_balancer, 50)
    predecessor.state_machine.load_balancer.endpoints[1].limit = 1.25
    predecessor.state_machine.load_balancer.on_connection_lost(SECOND, 0)
    predecessor.commands += predecessor.state_machine.on_endpoint_list(
        SECOND, list_update(9, False, endpoint_entry("s1", 9001, phase="draining"))
    )
    successor.state_machine.on_endpoint_list(SECOND, parse_update(predecessor.state_machine.endpoint_list()))
    successor.commands = successor.state_machine.take_over(SECOND, hand_over(predecessor), 1, 1)
    balancer = successor.state_machine.load_balancer
    assert successor.state_machine.endpoint_watch.revision == 9
    assert not balancer.endpoints[1].accepts_requests
    assert balancer.endpoints[1].limit == 1.25
    assert balancer.unavailable_endpoints(SECOND) == [0, 1]
    assert len(balancer.budget.request_times_us) == 50
    assert (
        balancer.slow_start.recent_successes
        == predecessor.state_machine.load_balancer.slow_start.recent_successes
        > 1
    )
    assert successor.take_commands(commands.AcceptClients) == [commands.AcceptClients(True)]


def test_restore_recomputes_derived_values() -> None:
    predecessor, successor = successor_driver(), successor_driver()
    slow_start, balancer = (
        predecessor.state_machine.load_balancer.slow_start,
        predecessor.state_machine.load_balancer,
    )
    for number in range(200):
        slow_start.record_success(number * SECOND // 40, balancer.zone_subsets[0])
        balancer.latency_baseline.record(SECOND, (0.1, 0.3)[number % 2])
    handover_state.restore(
        hand_over(predecessor, 5 * SECOND),
        successor.state_machine.load_balancer,
        successor.state_machine.registry.names(),
        5 * SECOND,
    )
    assert successor.state_machine.load_balancer.zone_subsets[0].successes_per_scale == pytest.approx(
        balancer.zone_subsets[0].successes_per_scale, rel=0.15
    )
    before = balancer.latency_baseline.threshold
    for restored in (balancer, successor.state_machine.load_balancer):
        restored.latency_baseline.record(SECOND, 0.9)
        assert restored.latency_baseline.threshold == pytest.approx(before)


@pytest.mark.parametrize(
    "damage",
    [
        pytest.param(lambda state: state.pop("budget"), id="no-retry-budget"),
        pytest.param(lambda state: state["whole"].pop(), id="incomplete-latency-baseline"),
        pytest.param(lambda state: state["endpoints"][0].pop(), id="incomplete-endpoint"),
        pytest.param(lambda state: state.update(cold=[1, "x", 2]), id="slow-start-count-not-a-number"),
        pytest.param(lambda state: state["budget"][0].append(1.5), id="request-time-not-an-integer"),
        pytest.param(lambda state: state.update(shares=[]), id="empty-tenant-quotas"),
    ],
)
def test_restore_rejects_damaged_state_and_changes_nothing(damage: Any) -> None:
    predecessor, successor = ProxyDriver(), successor_driver()
    send_successes(predecessor.state_machine.load_balancer)
    predecessor.state_machine.load_balancer.endpoints[0].limit = 1.25
    state = hand_over(predecessor)
    damage(state)
    with pytest.raises(HandoverError):
        handover_state.restore(
            state, successor.state_machine.load_balancer, successor.state_machine.registry.names(), SECOND
        )
    successor.commands = successor.state_machine.take_over(SECOND, state, 0, 0)
    assert not successor.state_machine.load_balancer.budget.request_times_us
    assert successor.state_machine.load_balancer.endpoints[0].limit != 1.25
    # The successor serves even without the state.
    assert successor.take_commands(commands.AcceptClients) == [commands.AcceptClients(True)]


def test_takeover_without_a_list_of_open_requests_restores_nothing() -> None:
    predecessor, successor = ProxyDriver(), successor_driver()
    send_successes(predecessor.state_machine.load_balancer)
    state = {**hand_over(predecessor), "open": 5}
    successor.commands = successor.state_machine.take_over(SECOND, state, 0, 0)
    assert not successor.state_machine.load_balancer.budget.request_times_us
    assert successor.take_commands(commands.AcceptClients) == [commands.AcceptClients(True)]


def test_two_processes_share_one_retry_budget_and_slow_start_credit() -> None:
    driver = ProxyDriver()
    send_successes(driver.state_machine.load_balancer)
    balancer, now = driver.state_machine.load_balancer, SECOND
    balancer.endpoints[0].started_us = balancer.endpoints[0].slow_start_credit_us = 1
    endpoint, own_subset = balancer.endpoints[0], balancer.zone_subsets[0]
    assert balancer.slow_start.accrue_credit(endpoint, 5 * SECOND, own_subset, True)
    hand_over(driver)
    assert not balancer.budget.spend(now)
    assert not balancer.slow_start.accrue_credit(endpoint, 6 * SECOND, own_subset, True)
    driver.state_machine.on_successor_failed(now)
    assert balancer.budget.spend(now)
    assert balancer.slow_start.accrue_credit(endpoint, 7 * SECOND, own_subset, True)


def test_successor_rejects_request_id_in_flight_at_predecessor() -> None:
    predecessor, successor = ProxyDriver(), successor_driver()
    predecessor.connect_client(7)
    predecessor.send_request(7)
    successor.commands = successor.state_machine.take_over(SECOND, hand_over(predecessor), 0, 0)
    successor.connect_client(7)
    successor.send_request(7, now=SECOND)
    assert [write.response.status for write in successor.take_commands(commands.SendResponse)] == [400]
    successor.state_machine.on_predecessor_exited(SECOND, 0, 0)
    successor.send_request(7, now=SECOND)  # it may have run, also if the predecessor was killed
    assert [write.response.status for write in successor.take_commands(commands.SendResponse)] == [400]
    successor.send_request(7, now=2 * SECOND + KEPT_ID_DEADLINES * 3 * SECOND)
    assert successor.take_attempt()


def test_out_of_service_state_is_handed_over() -> None:
    predecessor, successor = ProxyDriver(), successor_driver()
    admin_status(predecessor, admin.OUT_OF_SERVICE_PATH)
    successor.commands = successor.state_machine.take_over(SECOND, hand_over(predecessor), 0, 0)
    assert not successor.state_machine.is_healthy(SECOND)
    assert admin_status(successor, admin.READY_PATH, SECOND) == 200
    # The predecessor refuses the call, since its effect would be lost when the process exits.
    assert admin_status(predecessor, admin.IN_SERVICE_PATH, SECOND) == 503
    admin_status(successor, admin.IN_SERVICE_PATH, SECOND)
    assert successor.state_machine.is_healthy(SECOND)


def test_successor_takes_over_when_it_can_serve_and_is_ready_afterwards() -> None:
    successor = successor_driver(has_list=False)
    successor.commands = successor.state_machine.start(
        0, parse_update({"revision": 1, "complete": True, "members": []}), True
    )
    assert not successor.take_commands(commands.BeginTakeover)
    assert not successor.take_commands(commands.AcceptClients)
    assert admin_status(successor, admin.READY_PATH) == 503
    successor.commands = successor.state_machine.on_endpoint_list(
        1, list_update(4, True, endpoint_entry("s0", 9000))
    )
    assert len(successor.take_commands(commands.BeginTakeover)) == 1
    assert admin_status(successor, admin.READY_PATH) == 503
    successor.commands = successor.state_machine.take_over(2, None, 0, 0)
    assert admin_status(successor, admin.READY_PATH) == 200
    assert successor.take_commands(commands.AcceptClients) == [commands.AcceptClients(True)]


def test_predecessor_keeps_idle_clients_and_closes_each_after_its_response() -> None:
    driver = ProxyDriver(has_list=True)
    driver.connect_idle_client(1)
    driver.connect_client(2)
    driver.send_request(2)
    hand_over(driver)
    assert driver.take_commands(commands.AcceptClients)[-1] == commands.AcceptClients(False)
    assert not driver.take_commands(commands.CloseClient)
    driver.finish_attempt(driver.take_attempt(), Outcome.SUCCEEDED)
    driver.send_request(1, now=SECOND)
    driver.finish_attempt(driver.take_attempt(), Outcome.SUCCEEDED, SECOND)
    assert [write.closes_connection for write in driver.take_commands(commands.SendResponse)] == [True, True]
    driver.commands += driver.state_machine.on_stop_requested(2 * SECOND)
    # A health check that still reaches this process must succeed, since the successor serves.
    assert driver.state_machine.is_healthy(2 * SECOND)
    for client in (1, 2):
        driver.commands += driver.state_machine.on_response_written(2 * SECOND, client)
        driver.commands += driver.state_machine.on_client_closed(2 * SECOND, client)
    driver.commands += driver.state_machine.on_timer(2 * SECOND)
    assert driver.take_commands(commands.Exit)
    assert not driver.take_commands(commands.AcceptClients)  # the listener belongs to the successor


def test_predecessor_serves_again_when_successor_dies_unless_it_is_stopping() -> None:
    driver = ProxyDriver()
    hand_over(driver)
    driver.take_commands(commands.AcceptClients)
    driver.commands = driver.state_machine.on_successor_failed(SECOND)
    assert driver.take_commands(commands.AcceptClients) == [commands.AcceptClients(True)]
    assert not driver.state_machine.lifecycle.has_handed_over
    hand_over(driver)
    driver.commands = driver.state_machine.on_stop_requested(2 * SECOND)
    driver.commands += driver.state_machine.on_successor_failed(2 * SECOND)
    assert not driver.take_commands(commands.AcceptClients)


@pytest.mark.parametrize("directory", [None, "", "/x" * MAX_PATH_BYTES])
def test_rendezvous_path_is_none_without_a_usable_directory(directory: str | None) -> None:
    assert rendezvous_path(("127.0.0.1", 1), directory) is None


def test_find_predecessor_ignores_process_that_sends_no_frame(tmp_path: Path) -> None:
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
    assert find_predecessor(path, ("127.0.0.1", 1)) is None  # no process listens at the path any more
