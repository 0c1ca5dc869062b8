"""Attempts that are in flight when discovery tells that their endpoint's address has changed hands."""

from __future__ import annotations

from typing import Any

import pytest

from cressrail.policy.outcome import Outcome
from cressrail.proxy import commands
from tests.proxy.support import ProxyDriver, list_update
from tests.support.configuration import endpoint_entry

LIST_US, END_US = 1000, 2000
OTHER_CELL, FREE_PORT = 2, 9100
BUDGETED_REQUESTS = 40  # that allow a few retries


def entry_of(number: int, **changes: Any) -> dict[str, Any]:
    return endpoint_entry(f"s{number}", 9000 + number, **changes)


def start_write(driver: ProxyDriver, request_class: str) -> tuple[commands.SendAttempt, int]:
    """Starts a request; returns its attempt and the number of the endpoint."""
    for _ in range(BUDGETED_REQUESTS):
        driver.state_machine.load_balancer.budget.count_request(0)
    driver.connect_client(1)
    driver.send_request(1, request_class)
    command = driver.take_attempt()
    return command, command.port - 9000


def statuses(driver: ProxyDriver) -> list[int]:
    return [command.response.status for command in driver.take_commands(commands.SendResponse)]


def changed_list(change: str, number: int) -> Any:
    """Returns an update that concerns the endpoint with this number, of three."""
    successor = endpoint_entry("s-new", 9000 + number, cell=OTHER_CELL, up_since_ms=1)
    others = [entry_of(other) for other in range(3) if other != number]
    return {
        "removed": list_update(9, False, entry_of(number, phase="removed")),
        "replaced": list_update(9, False, entry_of(number, phase="removed"), successor),
        "replaced-not-told-as-removed": list_update(9, False, successor),
        "left-out-of-the-complete-list": list_update(9, True, *others, successor),
        "moved": list_update(9, False, entry_of(number, host_port=f"127.0.0.1:{FREE_PORT}")),
        "another-cell": list_update(9, False, entry_of(number, cell=OTHER_CELL)),
        "draining": list_update(9, False, entry_of(number, phase="draining")),
        "restarted-in-its-cell": list_update(9, False, entry_of(number, up_since_ms=1)),
        "unchanged": list_update(9, True, *others, entry_of(number)),
    }[change]


@pytest.mark.parametrize(
    ("change", "request_class", "is_sent_on"),
    [
        ("removed", "write", False),
        ("replaced", "write", False),
        ("replaced-not-told-as-removed", "write", False),
        ("left-out-of-the-complete-list", "write", False),
        ("moved", "write", False),
        ("another-cell", "write", False),
        ("replaced", "read", True),
        ("replaced", "note", True),
        ("draining", "write", True),
        ("restarted-in-its-cell", "write", True),
        ("unchanged", "write", True),
    ],
)
def test_request_that_may_have_run_at_a_successor_of_its_endpoint_is_not_sent_on(
    change: str, request_class: str, is_sent_on: bool
) -> None:
    """Guards against a keyed request that ran at a new process of another cell and is repeated in the old."""
    driver = ProxyDriver(endpoints=3)
    command, number = start_write(driver, request_class)
    driver.commands += driver.state_machine.on_endpoint_list(LIST_US, changed_list(change, number))
    driver.finish_attempt(command, Outcome.CONNECTION_RESET, END_US, is_reusable=False)
    assert len(driver.take_commands(commands.SendAttempt)) == is_sent_on
    assert statuses(driver) == ([] if is_sent_on else [502])


def test_repeat_that_waits_is_not_sent_once_the_first_endpoint_has_been_replaced() -> None:
    """Guards against a repeat decided before the news, whose first byte would follow it."""
    driver = ProxyDriver(endpoints=3)
    command, number = start_write(driver, "write")
    driver.finish_attempt(command, Outcome.CONNECTION_RESET, LIST_US - 1, is_reusable=False)
    repeat = driver.take_attempt()
    driver.commands += driver.state_machine.on_endpoint_list(LIST_US, changed_list("replaced", number))
    unsent = driver.state_machine.check_before_send(END_US, repeat.attempt)
    assert unsent is not None
    assert unsent[0] is Outcome.NOT_SENT
    driver.finish_attempt(repeat, unsent[0], END_US)
    assert statuses(driver) == [502]
