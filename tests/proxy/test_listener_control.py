"""Conditions under which the listener accepts clients."""

from __future__ import annotations

import pytest

from cressrail.proxy import commands
from cressrail.proxy.clients import FIRST_BYTE_WAIT_US
from tests.proxy.support import ProxyDriver
from tests.support.configuration import SECOND


@pytest.mark.parametrize("idle", [True, False])
def test_paused_listener_accepts_once_a_client_may_be_closed(idle: bool) -> None:
    driver = ProxyDriver(max_clients=1, has_list=True)
    for client in (1, 2, 3):
        driver.connect_client(client)
    assert driver.take_commands(commands.AcceptClients) == [
        commands.AcceptClients(True),
        commands.AcceptClients(False),
    ]
    if idle:
        driver.send_request(1, path="/_health")
        driver.commands += driver.state_machine.on_response_written(0, 1)
    else:
        driver.state_machine.on_timer(1)
        assert driver.state_machine.timer_us == FIRST_BYTE_WAIT_US
        driver.commands += driver.state_machine.on_timer(FIRST_BYTE_WAIT_US)
    assert driver.take_commands(commands.AcceptClients) == [commands.AcceptClients(True)]
    driver.connect_client(4, now=SECOND)
    assert driver.take_commands(commands.CloseClient) == [commands.CloseClient(1, True)]
