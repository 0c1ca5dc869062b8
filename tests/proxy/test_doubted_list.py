"""Requests with a key of limited scope, while discovery has not confirmed the endpoint list of late."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from cressrail.policy.outcome import Outcome
from cressrail.proxy import commands
from cressrail.proxy.endpoint_list import CONFIRMED_FOR_US, UNREACHABLE_WAIT_US
from tests.proxy.support import ProxyDriver, list_update
from tests.support.configuration import SECOND, endpoint_entry

ENDPOINTS = 3
BUDGETED_REQUESTS = 40  # that allow a few retries
NOW_US = 10 * SECOND  # the list is confirmed at 0, and connections are established before and after that
BEFORE_US = NOW_US - SECOND
KNOWN_ENDPOINTS = [endpoint_entry(f"s{number}", 9000 + number) for number in range(ENDPOINTS)]

Doubt = Callable[[ProxyDriver], None]


def confirm(driver: ProxyDriver) -> None:
    driver.state_machine.on_list_unchanged(NOW_US)


def fall_silent(_: ProxyDriver) -> None:
    assert NOW_US > CONFIRMED_FOR_US


def end_watch(driver: ProxyDriver) -> None:
    confirm(driver)
    driver.commands += driver.state_machine.on_watch_ended(NOW_US, "ended")


def change_discovery(driver: ProxyDriver) -> None:
    confirm(driver)
    driver.commands += driver.state_machine.on_discovery_address(NOW_US, ("127.0.0.1", 7))


def begin_change(driver: ProxyDriver) -> None:
    confirm(driver)
    driver.state_machine.on_list_change_begun()


DOUBTS = [fall_silent, end_watch, change_discovery, begin_change]


def open_connections(driver: ProxyDriver, established_us: int) -> None:
    """Leaves each endpoint with an idle connection that was established at this time."""
    machine = driver.state_machine
    client = 100
    while any(not registered.idle for registered in machine.registry.endpoints.values()):
        running = []
        for _ in range(ENDPOINTS):
            client += 1
            driver.connect_client(client, now=BEFORE_US)
            driver.send_request(client, now=BEFORE_US)
            running += driver.take_commands(commands.SendAttempt)
        for command in running:
            assert machine.check_before_send(BEFORE_US, command.attempt, established_us) is None
            driver.finish_attempt(command, Outcome.SUCCEEDED, now=BEFORE_US + SECOND // 10)


def fail_attempt(driver: ProxyDriver, request_class: str, established_us: int) -> list[commands.SendAttempt]:
    """Fails the first attempt of a request, which may have run; returns the attempt that follows, if any."""
    for _ in range(BUDGETED_REQUESTS):
        driver.state_machine.load_balancer.budget.count_request(NOW_US)
    driver.connect_client(1, now=NOW_US)
    driver.send_request(1, request_class, now=NOW_US)
    command = driver.take_attempt()
    assert driver.state_machine.check_before_send(NOW_US, command.attempt, established_us) is None
    driver.finish_attempt(command, Outcome.CONNECTION_RESET, now=NOW_US + 1, is_reusable=False)
    return driver.take_commands(commands.SendAttempt)


@pytest.mark.parametrize("doubt", DOUBTS)
def test_keyed_request_is_not_sent_on_by_addresses_alone_while_the_list_is_doubted(doubt: Doubt) -> None:
    """Guards against repeats at a new process of another cell that stands at a listed address."""
    driver = ProxyDriver(ENDPOINTS, max_clients=99)
    doubt(driver)
    assert not fail_attempt(driver, "write", established_us=-1)


@pytest.mark.parametrize("doubt", DOUBTS)
def test_keyed_request_is_sent_on_over_connections_open_since_the_list_was_confirmed(doubt: Doubt) -> None:
    driver = ProxyDriver(ENDPOINTS, max_clients=99)
    open_connections(driver, established_us=-1)
    doubt(driver)
    [repeat] = fail_attempt(driver, "write", established_us=-1)
    assert not repeat.is_new_connection
    assert driver.state_machine.check_before_send(NOW_US + 1, repeat.attempt, -1) is None
    # The endpoint has closed it meanwhile, and the connection that took its place may lead elsewhere.
    unsent = driver.state_machine.check_before_send(NOW_US + 1, repeat.attempt, NOW_US + 1)
    assert unsent is not None
    assert unsent[0] is Outcome.NOT_SENT


@pytest.mark.parametrize("doubt", DOUBTS)
def test_connections_opened_while_the_list_is_doubted_prove_nothing(doubt: Doubt) -> None:
    driver = ProxyDriver(ENDPOINTS, max_clients=99)
    open_connections(driver, established_us=NOW_US + 1)
    doubt(driver)
    assert not fail_attempt(driver, "write", established_us=-1)


@pytest.mark.parametrize("doubt", DOUBTS)
def test_first_attempt_over_a_new_connection_may_have_run_anywhere(doubt: Doubt) -> None:
    driver = ProxyDriver(ENDPOINTS, max_clients=99)
    open_connections(driver, established_us=-1)
    doubt(driver)
    assert not fail_attempt(driver, "write", established_us=NOW_US + 1)


@pytest.mark.parametrize("doubt", DOUBTS)
@pytest.mark.parametrize("request_class", ["read", "note"])
def test_requests_that_may_run_anywhere_are_sent_on_all_the_same(doubt: Doubt, request_class: str) -> None:
    driver = ProxyDriver(ENDPOINTS, max_clients=99)
    doubt(driver)
    assert len(fail_attempt(driver, request_class, established_us=NOW_US)) == 1


def test_keyed_request_is_sent_on_while_the_list_is_confirmed_and_once_it_is_again() -> None:
    driver = ProxyDriver(ENDPOINTS, max_clients=99)
    fall_silent(driver)
    assert not fail_attempt(driver, "write", established_us=-1)
    driver = ProxyDriver(ENDPOINTS, max_clients=99)
    end_watch(driver)
    driver.state_machine.on_endpoint_list(NOW_US, list_update(5, False))
    assert len(fail_attempt(driver, "write", established_us=NOW_US)) == 1


def test_started_sidecar_without_a_list_sends_no_keyed_request_on() -> None:
    """Guards against repeats by the configured list, after the wait for discovery's (review/8)."""
    driver = ProxyDriver(ENDPOINTS, has_list=False, max_clients=99)
    assert NOW_US > UNREACHABLE_WAIT_US
    open_connections(driver, established_us=0)
    assert not fail_attempt(driver, "write", established_us=0)
    driver = ProxyDriver(ENDPOINTS, has_list=False, max_clients=99)
    driver.state_machine.on_endpoint_list(NOW_US, list_update(5, True, *KNOWN_ENDPOINTS))
    assert len(fail_attempt(driver, "write", established_us=0)) == 1
