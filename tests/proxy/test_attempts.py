"""Attempts, and what their results reveal about endpoints."""

from __future__ import annotations

from typing import Any

import pytest

from cressrail.policy.outcome import Outcome
from cressrail.proxy import commands
from tests.proxy.support import ProxyDriver, list_update
from tests.support.configuration import endpoint_entry


@pytest.mark.parametrize(
    ("change", "is_sent"),
    [
        pytest.param({}, True, id="unchanged"),
        pytest.param({"phase": "draining"}, False, id="draining"),
        pytest.param({"phase": "removed"}, False, id="removed"),
        pytest.param({"host_port": "127.0.0.1:9999"}, False, id="moved"),
        pytest.param({"up_since_ms": 5}, False, id="restarted"),
    ],
)
def test_attempt_is_not_sent_if_endpoint_drains_moves_or_restarts(
    change: dict[str, Any], is_sent: bool
) -> None:
    driver = ProxyDriver(1)
    driver.connect_client(1)
    driver.send_request(1)
    command = driver.take_attempt()
    driver.commands += driver.state_machine.on_endpoint_list(
        1, list_update(5, False, {**endpoint_entry("s0", 9000), **change})
    )
    outcome, _ = driver.state_machine.check_before_send(1, command.attempt) or (None, "")
    assert outcome is (None if is_sent else Outcome.REJECTED_BY_ENDPOINT)


def test_removed_endpoint_is_forgotten_once_no_attempt_is_in_flight() -> None:
    driver = ProxyDriver(1)
    driver.connect_client(1)
    driver.send_request(1)
    command = driver.take_attempt()
    driver.commands += driver.state_machine.on_endpoint_list(
        0, list_update(5, False, endpoint_entry("s0", 9000, phase="removed"))
    )
    assert 0 in driver.state_machine.load_balancer.endpoints
    # The same address is listed under a new name.
    driver.commands += driver.state_machine.on_endpoint_list(
        0, list_update(6, False, endpoint_entry("t0", 9000))
    )
    driver.finish_attempt(command, Outcome.SUCCEEDED)
    assert driver.take_commands(commands.CloseEndpointConnection) == [
        commands.CloseEndpointConnection(command.connection)
    ]
    assert not driver.state_machine.on_idle_connection_reset(0, command.connection)
    driver.state_machine.on_connection_closed(command.connection)
    for number in range(7, 50):
        driver.connect_idle_client(number)
        driver.send_request(number)
        later = driver.take_attempt()
        assert later.is_new_connection
        driver.finish_attempt(later, Outcome.SUCCEEDED)
        driver.commands += driver.state_machine.on_endpoint_list(
            0,
            list_update(
                number,
                number % 2 == 0,
                endpoint_entry(f"t{number}", 9000),
                *(
                    [endpoint_entry(f"t{number - 1}" if number > 7 else "t0", 9000, phase="removed")]
                    if number % 2
                    else []
                ),
            ),
        )
        assert driver.take_commands(commands.CloseEndpointConnection) == [
            commands.CloseEndpointConnection(later.connection)
        ]
        driver.commands += driver.state_machine.on_client_closed(0, number)
        driver.commands += driver.state_machine.on_connection_closed(later.connection)
        driver.release_buffers()
        driver.take_commands(commands.SendResponse)
    state_machine = driver.state_machine
    assert (
        len(state_machine.load_balancer.endpoints)
        == len(state_machine.registry.endpoints)
        == len(state_machine.registry.indices)
        == 1
    )
    assert (
        len(state_machine.connections.open)
        == len(state_machine.requests.open_ids)
        == len(state_machine.requests.pending)
        == len(state_machine.attempts.in_flight)
        == 0
    )


@pytest.mark.parametrize(
    ("change", "is_reported"),
    [
        pytest.param({}, True, id="unchanged"),
        pytest.param({"up_since_ms": 5}, False, id="restarted"),
        pytest.param({"host_port": "127.0.0.1:9999"}, False, id="moved"),
    ],
)
def test_idle_connection_reset_marks_only_unchanged_endpoint_unavailable(
    change: dict[str, Any], is_reported: bool
) -> None:
    driver = ProxyDriver(1)
    driver.connect_client(1)
    driver.send_request(1)
    command = driver.take_attempt()
    driver.finish_attempt(command, Outcome.SUCCEEDED)
    driver.state_machine.on_endpoint_list(1, list_update(5, False, {**endpoint_entry("s0", 9000), **change}))
    driver.commands = driver.state_machine.on_idle_connection_reset(2, command.connection)
    assert [log_event.event for log_event in driver.take_commands(commands.LogEvent)] == (
        ["endpoint_unavailable"] if is_reported else []
    )
    assert driver.state_machine.load_balancer.endpoints[0].is_available(2) is not is_reported
    assert not driver.state_machine.connections.idle
