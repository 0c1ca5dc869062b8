"""The course of a stop: which requests are answered, which clients are closed, and when the process exits."""

from __future__ import annotations

from typing import Any

import pytest

from cressrail.policy.outcome import Outcome
from cressrail.policy.request_class import Idempotency
from cressrail.proxy import admin, commands
from tests.proxy.support import ProxyDriver
from tests.support.configuration import SECOND


def test_stop_answers_clients_then_closes_idle_ones_and_exits() -> None:
    driver = ProxyDriver()
    driver.connect_client(1)
    driver.connect_idle_client(2)
    driver.send_request(1)
    command = driver.take_attempt()
    driver.commands = driver.state_machine.on_stop_requested(0)
    assert not driver.state_machine.on_stop_requested(1)
    driver.connect_client(3, now=SECOND // 2)  # is still accepted, and extends the grace period
    driver.commands = driver.state_machine.on_timer(600_000)
    assert not driver.take_commands(commands.AcceptClients)
    driver.connect_client(4, now=SECOND * 6 // 10)  # is accepted too, but the grace period has a maximum
    driver.commands = driver.state_machine.on_timer(700_000)
    assert driver.take_commands(commands.AcceptClients) == [commands.AcceptClients(False, True)]
    assert not driver.take_commands(commands.CloseClient)
    driver.send_request(2, now=SECOND)  # a connected client may have no other instance to use
    late = driver.take_attempt()
    # Its request is answered before the platform may kill the process.
    assert late.timeout_at_us <= 700_000 + SECOND - 200_000
    driver.finish_attempt(late, Outcome.SUCCEEDED, now=SECOND + 1000)
    assert [write.closes_connection for write in driver.take_commands(commands.SendResponse)] == [False]
    driver.commands += driver.state_machine.on_response_written(SECOND, 2)
    driver.commands = driver.state_machine.on_timer(1_200_000)
    assert driver.take_commands(commands.CloseClient) == [commands.CloseClient(2, True)]
    driver.finish_attempt(command, Outcome.SUCCEEDED, now=1_400_000)
    [write] = driver.take_commands(commands.SendResponse)
    assert write.response.status == 200
    assert write.closes_connection
    assert not driver.take_commands(commands.Exit)
    # Clients 3 and 4, which never sent a request, are closed now.
    driver.commands = driver.state_machine.on_timer(SECOND * 16 // 10)
    assert driver.take_commands(commands.CloseClient) == [
        commands.CloseClient(3, True),
        commands.CloseClient(4, True),
    ]
    driver.commands = [
        command for client in (2, 3, 4) for command in driver.state_machine.on_client_closed(0, client)
    ]
    assert not driver.take_commands(commands.Exit)
    driver.commands = driver.state_machine.on_response_written(
        SECOND * 16 // 10, 1
    ) + driver.state_machine.on_client_closed(SECOND * 16 // 10, 1)
    assert len(driver.take_commands(commands.Exit)) == 1


@pytest.mark.parametrize(
    ("request_class", "is_sent", "status"),
    [
        ("read", True, 503),
        ("write", True, 502),
        ("note", True, 503),
        ("once", True, 502),
        ("once", False, 503),
        ("write", False, 503),
    ],
)
def test_stop_answers_all_requests_just_before_kill(request_class: str, is_sent: bool, status: int) -> None:
    """Deadlines are 3 s; the platform kills 0.7 s plus the longest deadline, here 1 s, after the stop."""
    driver = ProxyDriver(has_list=True)
    if request_class == "once":
        request_classes = driver.state_machine.settings.request_classes
        request_classes["once"] = request_classes["read"]._replace(idempotency=Idempotency.NON_IDEMPOTENT)
        driver.state_machine.counters.final["once"] = dict(driver.state_machine.counters.final["read"])
    if not is_sent:  # without endpoints, the request waits in the queue
        driver.state_machine.load_balancer.update_endpoints(0, [], is_complete=True)
    driver.connect_client(1)
    driver.send_request(1, request_class)
    attempts = driver.take_commands(commands.SendAttempt)
    assert len(attempts) == is_sent
    driver.commands = driver.state_machine.on_stop_requested(0)
    if not is_sent:
        [routed_request] = driver.state_machine.requests.pending
        routed_request.queue_until_us = routed_request.deadline_us  # the queue would reject it sooner
        driver.state_machine.load_balancer.queue.next_expiry_us = routed_request.deadline_us
    for now in (700_000, 1_200_000, 1_499_999):
        driver.commands += driver.state_machine.on_timer(now)
    assert not driver.take_commands(commands.SendResponse)
    assert driver.state_machine.timer_us == 1_500_000
    driver.commands = driver.state_machine.on_timer(1_500_000)
    [write] = driver.take_commands(commands.SendResponse)
    assert (write.client, write.response.status, write.closes_connection) == (1, status, True)
    assert driver.take_commands(commands.CancelAttempt) == [
        commands.CancelAttempt(command.connection, command.attempt) for command in attempts
    ]
    for command in attempts:  # results of attempts have no effect after the response
        driver.finish_attempt(command, Outcome.SUCCEEDED, now=1_600_000)
    assert not driver.take_commands(commands.SendResponse)
    driver.commands += driver.state_machine.on_response_written(
        1_600_000, 1
    ) + driver.state_machine.on_client_closed(1_600_000, 1)
    driver.release_buffers()
    assert driver.take_commands(commands.Exit)
    assert driver.pool.lent == 0
    assert not driver.state_machine.requests.pending


def lifecycle_events() -> dict[str, Any]:
    return {
        "stop": lambda driver, now: driver.state_machine.on_stop_requested(now),
        "sighup": lambda driver, now: driver.state_machine.on_discovery_address(now, ("127.0.0.1", 7)),
        "leave service": lambda driver, now: driver.state_machine.on_admin_call(
            now, b"POST", admin.OUT_OF_SERVICE_PATH
        )[1],
        "return to service": lambda driver, now: driver.state_machine.on_admin_call(
            now, b"POST", admin.IN_SERVICE_PATH
        )[1],
        "hand over": lambda driver, now: driver.state_machine.hand_over(now)[1],
        "successor fails": lambda driver, now: driver.state_machine.on_successor_failed(now),
    }


@pytest.mark.parametrize("second", lifecycle_events())
@pytest.mark.parametrize("first", lifecycle_events())
@pytest.mark.parametrize("apart_us", [0, 100_000, 650_000, 900_000])
def test_any_two_lifecycle_events_in_succession_leave_no_request_unanswered(
    first: str, second: str, apart_us: int
) -> None:
    driver = ProxyDriver(has_list=True)
    # Client 1 is idle, client 2 waits for a response, and client 3 is in the middle of sending a request.
    driver.connect_idle_client(1)
    driver.connect_client(2)
    driver.send_request(2)
    driver.connect_client(3)
    driver.state_machine.on_request_started(0, 3)
    command = driver.take_attempt()
    driver.commands = []
    open_clients = {1, 2, 3}

    def execute_commands(now: int) -> None:
        """Executes the collected commands as the tasks in `network` would."""
        while driver.commands:
            command = driver.commands.pop(0)
            if isinstance(command, commands.SendResponse):
                responses.append((command.client, command.response.status))
                driver.commands += driver.state_machine.on_response_written(now, command.client)
            elif isinstance(command, commands.CloseClient) and command.client in open_clients:
                open_clients.remove(command.client)
                driver.commands += driver.state_machine.on_client_closed(now, command.client)
            elif isinstance(command, commands.Exit):
                exits.append(now)

    responses, exits = list[tuple[int, int]](), list[int]()
    for at, name in ((0, first), (apart_us, second)):
        for now in range(0 if at == 0 else 1, at + 1, 50_000):
            driver.commands += driver.state_machine.on_timer(now)
            execute_commands(now)
        driver.commands += lifecycle_events()[name](driver, at)
        execute_commands(at)
    driver.finish_attempt(command, Outcome.SUCCEEDED, now=apart_us + 1000)
    execute_commands(apart_us + 1000)
    for now in range(apart_us + 2000, 12 * SECOND, 50_000):
        driver.commands += driver.state_machine.on_timer(now)
        execute_commands(now)
    assert (2, 200) in responses
    assert [client for client, _ in responses].count(2) == 1
    is_stopped = "stop" in (first, second)
    assert len(exits) == is_stopped  # exactly once, and only if a stop was requested
    assert not is_stopped or not open_clients


def test_stop_ends_despite_unfinished_request() -> None:
    driver = ProxyDriver()
    driver.connect_client(1)
    driver.state_machine.on_request_started(0, 1)
    driver.state_machine.on_stop_requested(0)
    driver.commands = driver.state_machine.on_timer(SECOND)
    assert not driver.take_commands(commands.Exit)
    driver.commands = driver.state_machine.on_timer(3 * SECOND)
    assert not driver.take_commands(commands.Exit)
    driver.commands = driver.state_machine.on_timer(4 * SECOND)
    assert len(driver.take_commands(commands.Exit)) == 1
