"""Connections to endpoints: reuse, limits and closing."""

from __future__ import annotations

from cressrail.policy.outcome import Outcome
from cressrail.proxy import commands
from tests.proxy.support import ProxyDriver, list_update
from tests.support.configuration import endpoint_entry


def test_connection_is_reused_until_endpoint_address_changes() -> None:
    driver = ProxyDriver(1)
    driver.connect_client(1)
    driver.send_request(1)
    first = driver.take_attempt()
    driver.finish_attempt(first, Outcome.SUCCEEDED)
    driver.commands += driver.state_machine.on_response_written(0, 1)
    driver.send_request(1)
    second = driver.take_attempt()
    assert (first.is_new_connection, second.is_new_connection) == (
        True,
        False,
    )
    assert first.connection == second.connection
    driver.commands += driver.state_machine.on_endpoint_list(
        1, list_update(5, False, endpoint_entry("s0", 9500))
    )
    driver.finish_attempt(second, Outcome.SUCCEEDED)
    assert [close.connection for close in driver.take_commands(commands.CloseEndpointConnection)] == [
        second.connection
    ]
    driver.commands += driver.state_machine.on_response_written(0, 1)
    driver.send_request(1)
    assert (third := driver.take_attempt()).is_new_connection
    assert third.port == 9500


def test_longest_idle_connection_closes_at_limit_without_effect_on_success_rates() -> None:
    driver = ProxyDriver(3, max_endpoint_connections=2)
    attempts = []
    for client in (1, 2, 3):
        driver.connect_client(client)
        driver.send_request(client, req_deadline="100m")
        attempts += driver.take_commands(commands.SendAttempt)
    assert len(attempts) == 2
    assert [write.client for write in driver.take_commands(commands.SendResponse)] == [3]
    assert all(
        endpoint.success_rate == 1.0 for endpoint in driver.state_machine.load_balancer.endpoints.values()
    )
    for command in attempts:
        driver.finish_attempt(command, Outcome.SUCCEEDED)
    for _ in range(50):  # until an endpoint without a connection is chosen
        driver.commands += driver.state_machine.on_response_written(0, 1)
        driver.send_request(1)
        if (command := driver.take_attempt()).is_new_connection:
            break
        driver.finish_attempt(command, Outcome.SUCCEEDED)
    assert [close.connection for close in driver.take_commands(commands.CloseEndpointConnection)][:1]
    assert len(driver.state_machine.connections.idle) == 1


def test_exhausted_descriptors_close_idle_connections() -> None:
    driver = ProxyDriver()
    driver.connect_client(1)
    driver.send_request(1)
    driver.finish_attempt(driver.take_attempt(), Outcome.SUCCEEDED)
    driver.commands += driver.state_machine.on_response_written(0, 1)
    driver.commands = driver.state_machine.on_descriptors_exhausted(0)
    assert len(driver.take_commands(commands.CloseEndpointConnection)) == 1
    assert driver.take_commands(commands.CloseClient) == [commands.CloseClient(1, True)]
    assert not driver.take_commands(commands.CloseClient)
    assert not driver.state_machine.connections.idle
