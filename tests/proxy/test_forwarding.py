"""Forwarding of requests to endpoints and of responses to clients."""

from __future__ import annotations

import pytest

from cressrail.policy.outcome import Outcome
from cressrail.proxy import commands
from tests.proxy.support import ProxyDriver
from tests.support.configuration import SECOND


@pytest.mark.parametrize(
    ("request_class", "outcome", "status"),
    [
        ("read", Outcome.SUCCEEDED, 200),
        ("read", Outcome.TIMED_OUT, 503),
        ("write", Outcome.TIMED_OUT, 502),
        ("write", Outcome.CONNECT_FAILED, 503),
        ("write", Outcome.CONNECTION_RESET, 502),
        ("note", Outcome.CONNECTION_RESET, 503),
        ("read", Outcome.ERROR, 503),
        ("write", Outcome.NOT_SENT, 503),
        ("write", Outcome.CANCELLED, 502),
    ],
)
def test_request_is_answered_once_and_releases_all_buffers(
    request_class: str, outcome: Outcome, status: int
) -> None:
    driver = ProxyDriver()
    driver.connect_client(1)
    driver.send_request(1, request_class)
    driver.finish_attempt(driver.take_attempt(), outcome)
    assert [
        write.response.status for write in driver.commands if isinstance(write, commands.SendResponse)
    ] == [status]
    driver.release_buffers()
    assert driver.pool.lent == 0
    assert not driver.state_machine.requests.pending
    assert not driver.state_machine.attempts.in_flight


@pytest.mark.parametrize("request_class", ["read", "write"])
def test_invalid_request_is_answered_400_without_effect_on_success_rates(request_class: str) -> None:
    driver = ProxyDriver(max_clients=20)
    for client in range(20):
        driver.connect_client(client)
        driver.send_request(client, request_class)
        driver.finish_attempt(driver.take_attempt(), Outcome.INVALID_REQUEST)
        assert [write.response.status for write in driver.take_commands(commands.SendResponse)] == [400]
    assert all(
        endpoint.success_rate == 1 for endpoint in driver.state_machine.load_balancer.endpoints.values()
    )


def test_client_disconnect_cancels_attempt_and_late_response_is_released() -> None:
    driver = ProxyDriver()
    driver.connect_client(1)
    driver.send_request(1)
    command = driver.take_attempt()
    driver.commands += driver.state_machine.on_client_closed(0, 1)
    assert driver.take_commands(commands.CancelAttempt) == [
        commands.CancelAttempt(command.connection, command.attempt)
    ]
    driver.finish_attempt(command, Outcome.SUCCEEDED)
    assert not driver.take_commands(commands.SendResponse)
    driver.release_buffers()
    assert driver.pool.lent == 0
    assert not driver.state_machine.requests.pending


@pytest.mark.parametrize("waited_us", [0, 1, 99_999, 100_000, 900_000])
def test_client_is_checked_before_each_send_until_it_has_left(waited_us: int) -> None:
    driver = ProxyDriver(has_list=True)
    driver.connect_client(1)
    driver.send_request(1, now=SECOND, arrived_us=SECOND - waited_us)
    command = driver.take_attempt()
    assert driver.state_machine.waiting_client(command.attempt) == 1
    driver.commands += driver.state_machine.on_client_disconnected(SECOND, 1)
    assert driver.state_machine.waiting_client(command.attempt) == 0
    assert driver.state_machine.check_before_send(SECOND, command.attempt)
