"""The watch on the endpoint list."""

from __future__ import annotations

from cressrail.proxy import commands
from tests.proxy.support import ProxyDriver, list_update
from tests.support.configuration import SECOND


def test_watch_is_reopened_with_backoff_from_last_revision() -> None:
    driver = ProxyDriver()
    [watch] = driver.take_commands(commands.WatchEndpoints)
    assert watch.after_revision == -1
    driver.state_machine.on_endpoint_list(0, list_update(9, True))
    waits = []
    for _ in range(8):
        driver.commands = driver.state_machine.on_watch_ended(SECOND, "ended")
        [watch] = driver.take_commands(commands.WatchEndpoints)
        assert watch.after_revision == 9
        waits.append(watch.at_us - SECOND)
    # The delays are capped because a drain listed in the meantime must be known within two seconds.
    assert 25_000 <= waits[0] < 100_000
    assert all(250_000 <= wait < 750_000 for wait in waits[4:])
    driver.state_machine.on_endpoint_list(0, list_update(9, False))
    driver.commands = driver.state_machine.on_watch_ended(SECOND, "ended")
    assert driver.take_commands(commands.WatchEndpoints)[0].at_us < SECOND + 100_000
    # If discovery has restarted its revision count, the complete list is requested, so that no drain is
    # missed.
    driver.commands = driver.state_machine.on_endpoint_list(0, list_update(3, False))
    [watch] = driver.take_commands(commands.WatchEndpoints)
    assert watch.after_revision == -1
    assert watch.at_us > 0  # a delay, since an immediate retry could loop without pause
    driver.state_machine.on_endpoint_list(0, list_update(3, True))
    assert driver.state_machine.endpoint_watch.revision == 3
