"""Connections of clients: limits, and which connection closes first."""

from __future__ import annotations

import pytest

from cressrail.policy.outcome import Outcome
from cressrail.proxy import commands
from cressrail.proxy.clients import (
    CLIENT_SILENCE_LIMIT_US,
    CLIENT_STALL_US,
    FIRST_BYTE_WAIT_US,
    MAX_CLOSING_CLIENTS,
    REQUEST_SPAN_US,
)
from cressrail.proxy.commands import Command
from tests.proxy.support import ProxyDriver
from tests.support.configuration import SECOND


def test_idle_client_closes_first_and_clients_over_limit_are_answered() -> None:
    driver = ProxyDriver(max_clients=2, has_list=True)
    driver.connect_client(1)
    driver.connect_idle_client(2)
    driver.send_request(1)
    driver.connect_client(3)
    assert driver.take_commands(commands.CloseClient) == [commands.CloseClient(2, True)]
    driver.commands += driver.state_machine.on_client_closed(0, 2)
    driver.take_commands(commands.AcceptClients)
    driver.send_request(3)
    driver.connect_client(4)  # no client is idle that could be closed
    driver.send_request(4)
    assert not driver.take_commands(commands.AcceptClients)
    driver.connect_client(5)
    assert driver.take_commands(commands.AcceptClients) == [commands.AcceptClients(False)]
    [write] = driver.take_commands(commands.SendResponse)
    assert (write.client, write.response.status, write.closes_connection) == (4, 503, True)
    driver.commands += driver.state_machine.on_response_written(0, 4)
    assert commands.CloseClient(4, False) in driver.commands
    driver.commands += driver.state_machine.on_client_closed(0, 4)
    assert driver.take_commands(commands.AcceptClients) == [commands.AcceptClients(True)]


@pytest.mark.parametrize("has_begun", [False, True], ids=["no-byte", "first-byte"])
@pytest.mark.parametrize(
    ("silent_us", "closed"),
    [pytest.param(0, [], id="new"), pytest.param(SECOND, [commands.CloseClient(1, True)], id="silent")],
)
def test_new_client_is_not_closed_before_it_had_time_to_send(
    silent_us: int, closed: list[Command], has_begun: bool
) -> None:
    driver = ProxyDriver(max_clients=1)
    driver.connect_client(1)
    if has_begun:
        driver.state_machine.on_request_started(0, 1)
    driver.connect_client(2, now=silent_us)
    assert driver.take_commands(commands.CloseClient) == closed
    # A request that arrives despite the command to close its client is still forwarded.
    driver.send_request(1, now=silent_us, is_start_reported=not has_begun)
    assert len(driver.take_commands(commands.SendAttempt)) == 1


@pytest.mark.parametrize(
    ("waited_us", "closed"),
    [(FIRST_BYTE_WAIT_US - 1, []), (FIRST_BYTE_WAIT_US, [commands.CloseClient(1, True)])],
)
def test_silence_of_new_client_counts_from_its_connection(waited_us: int, closed: list[Command]) -> None:
    """Guards against clients that wait in the accept queue and get the time for a first byte anew."""
    driver = ProxyDriver(max_clients=1)
    driver.connect_client(1, now=SECOND, connected_us=SECOND - waited_us)
    driver.connect_client(2, now=SECOND)
    assert driver.take_commands(commands.CloseClient) == closed


def test_client_that_was_replaced_closes_after_the_request_that_it_had_begun() -> None:
    driver = ProxyDriver(max_clients=1, has_list=True)
    driver.connect_idle_client(1)
    driver.connect_client(2)
    assert driver.take_commands(commands.CloseClient) == [commands.CloseClient(1, True)]
    driver.send_request(1)
    driver.finish_attempt(driver.take_attempt(), Outcome.SUCCEEDED)
    [response] = driver.take_commands(commands.SendResponse)
    assert (response.client, response.closes_connection) == (1, True)
    driver.release_buffers()


def test_listener_pauses_while_clients_that_were_replaced_close() -> None:
    driver = ProxyDriver(max_clients=8, has_list=True)
    first_new = 8 + driver.state_machine.limits.extra_clients + MAX_CLOSING_CLIENTS
    for client in range(first_new):
        driver.connect_idle_client(client)
        accepts = driver.take_commands(commands.AcceptClients)
        assert commands.AcceptClients(False) not in accepts or client == first_new - 1
    assert not driver.state_machine.lifecycle.is_accepting
    driver.commands += driver.state_machine.on_client_closed(0, 0)
    assert driver.take_commands(commands.AcceptClients) == [commands.AcceptClients(True)]


def test_client_stalled_longest_closes_first() -> None:
    driver = ProxyDriver(max_clients=2)
    for client in (1, 2):
        driver.connect_client(client)
        driver.state_machine.on_request_started(0, client)
    driver.state_machine.on_request_progress(SECOND, 1, SECOND)  # client 1 is slow but still sends
    driver.connect_client(3, now=CLIENT_STALL_US)
    assert driver.take_commands(commands.CloseClient) == [commands.CloseClient(2, True)]
    driver.connect_client(4, now=CLIENT_STALL_US + 1)
    assert not driver.take_commands(commands.CloseClient)


@pytest.mark.parametrize(
    "started_us", [None, 0, SECOND], ids=["no-byte", "byte-on-connect", "byte-one-second-later"]
)
def test_silent_client_is_closed_even_with_room(started_us: int | None) -> None:
    driver = ProxyDriver()
    driver.connect_idle_client(1)
    driver.connect_client(2)
    if started_us is not None:
        driver.state_machine.on_request_started(started_us, 2)
    driver.commands = driver.state_machine.on_timer(CLIENT_SILENCE_LIMIT_US - 1)
    assert not driver.take_commands(commands.CloseClient)
    driver.commands = driver.state_machine.on_timer(CLIENT_SILENCE_LIMIT_US)
    # Client 1 has received a response and may stay idle.
    assert driver.take_commands(commands.CloseClient) == [commands.CloseClient(2, True)]
    driver.state_machine.on_request_started(CLIENT_SILENCE_LIMIT_US, 1)
    driver.commands = driver.state_machine.on_timer(2 * CLIENT_SILENCE_LIMIT_US)
    assert driver.take_commands(commands.CloseClient) == [commands.CloseClient(1, True)]


@pytest.mark.parametrize(
    ("silent_us", "has_stalled"), [(0, False), (CLIENT_STALL_US - 1, False), (CLIENT_STALL_US, True)]
)
def test_client_has_stalled_after_the_limit_without_a_byte(silent_us: int, has_stalled: bool) -> None:
    state_machine = ProxyDriver().state_machine
    now = SECOND + silent_us
    assert state_machine.may_close_amid_request(now, SECOND, last_progress_us=SECOND) is has_stalled


def test_client_that_sends_one_request_for_long_is_closed_for_room() -> None:
    driver = ProxyDriver(max_clients=2)
    for client in (1, 2):
        driver.connect_client(client)
        driver.state_machine.on_request_started(client, client)
        driver.state_machine.on_request_progress(REQUEST_SPAN_US, client, REQUEST_SPAN_US)
    driver.connect_client(3, now=REQUEST_SPAN_US)
    assert not driver.take_commands(commands.CloseClient)
    driver.connect_client(4, now=REQUEST_SPAN_US + 1)
    assert driver.take_commands(commands.CloseClient) == [commands.CloseClient(1, True)]
