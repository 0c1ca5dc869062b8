"""Calls of the admin API."""

from __future__ import annotations

import pytest

from cressrail.policy.outcome import Outcome
from cressrail.proxy import admin, commands
from cressrail.proxy.clients import SHORT_SILENCE_LIMIT_US
from cressrail.proxy.lifecycle import OUT_OF_SERVICE_IDLE_US
from tests.proxy.support import ProxyDriver, admin_status
from tests.support.configuration import SECOND


@pytest.mark.parametrize(
    ("method", "path", "status", "allow"),
    [
        (b"GET", b"/control/ready", 200, b""),
        (b"POST", b"/control/ready", 405, b"GET"),
        (b"GET", b"/control/out-of-service", 405, b"POST"),
        (b"GET", b"/", 404, b""),
        (b"POST", b"/control/in-service", 200, b""),
    ],
)
def test_unknown_path_and_wrong_method_are_rejected(
    method: bytes, path: bytes, status: int, allow: bytes
) -> None:
    response, _ = ProxyDriver().state_machine.on_admin_call(SECOND, method, path)
    assert (response.status, response.allow) == (status, allow)


def test_out_of_service_fails_health_check_keeps_serving_and_is_reversible() -> None:
    driver = ProxyDriver()
    driver.connect_idle_client(1)
    driver.connect_client(2)
    driver.send_request(2)
    assert driver.state_machine.is_healthy(SECOND)
    for _ in range(2):  # the call is idempotent
        assert admin_status(driver, admin.OUT_OF_SERVICE_PATH, SECOND) == 200
    assert not driver.state_machine.is_healthy(SECOND)
    assert admin_status(driver, admin.READY_PATH, SECOND) == 200
    # Idle clients stay until the ingress tier has seen the health check fail: otherwise they would reconnect.
    assert not driver.take_commands(commands.CloseClient)
    driver.finish_attempt(driver.take_attempt(), Outcome.SUCCEEDED, SECOND)
    [answer] = driver.take_commands(commands.SendResponse)
    assert answer.closes_connection
    assert answer.response.status == 200
    driver.commands += driver.state_machine.on_timer(SECOND + OUT_OF_SERVICE_IDLE_US)
    assert [(close.client, close.only_if_idle) for close in driver.take_commands(commands.CloseClient)] == [
        (1, True)
    ]
    driver.connect_client(3, 2 * SECOND)  # a client that still connects is served
    driver.send_request(3, now=2 * SECOND)
    driver.finish_attempt(driver.take_attempt(), Outcome.SUCCEEDED, 2 * SECOND)
    assert driver.take_commands(commands.SendResponse)[0].closes_connection
    driver.connect_client(4, 2 * SECOND)  # a client that sends nothing is closed
    driver.commands += driver.state_machine.on_timer(2 * SECOND + SHORT_SILENCE_LIMIT_US)
    assert [close.client for close in driver.take_commands(commands.CloseClient)] == [4]
    assert admin_status(driver, admin.IN_SERVICE_PATH, 2 * SECOND) == 200
    assert driver.state_machine.is_healthy(2 * SECOND)
    driver.connect_client(5, 3 * SECOND)
    driver.send_request(5, now=3 * SECOND)
    driver.finish_attempt(driver.take_attempt(), Outcome.SUCCEEDED, 3 * SECOND)
    assert not driver.take_commands(commands.SendResponse)[0].closes_connection


def test_process_out_of_service_stops_on_signal() -> None:
    driver = ProxyDriver()
    admin_status(driver, admin.OUT_OF_SERVICE_PATH, SECOND)
    driver.commands += driver.state_machine.on_stop_requested(2 * SECOND)
    assert admin_status(driver, admin.READY_PATH, 2 * SECOND) == 503
    driver.commands += driver.state_machine.on_timer(3 * SECOND)
    assert driver.take_commands(commands.Exit)
