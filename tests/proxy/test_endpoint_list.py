"""The watch on the endpoint list."""

from __future__ import annotations

from cressrail.proxy import commands
from tests.proxy.support import ProxyDriver, list_update
from tests.support.configuration import SECOND


def test_watch_is_reopened_with_backoff_from_last_revision() -> None:
    driver = ProxyDriver(has_list=False)
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


def test_log_says_how_old_the_list_in_use_is_and_what_confirmed_it() -> None:
    driver = ProxyDriver(has_list=False)

    def age_at_end_of_watch(now_us: int) -> tuple[int, str]:
        driver.commands = driver.state_machine.on_watch_ended(now_us, "ended")
        [log_event] = driver.take_commands(commands.LogEvent)
        return log_event.fields["list_age_us"], log_event.fields["confirmed_by"]

    assert age_at_end_of_watch(SECOND) == (SECOND, "none")
    driver.state_machine.on_endpoint_list(SECOND, list_update(9, True))
    assert age_at_end_of_watch(2 * SECOND) == (SECOND, "complete_list")
    driver.state_machine.on_list_unchanged(3 * SECOND)
    assert age_at_end_of_watch(3 * SECOND) == (0, "empty_line")
    driver.state_machine.on_endpoint_list(4 * SECOND, list_update(10, False))
    driver.state_machine.on_endpoint_list(5 * SECOND, list_update(3, False))  # older: not applied
    assert age_at_end_of_watch(6 * SECOND) == (2 * SECOND, "changes")
