"""Tests of the announced count of live instances in simulated fleets."""

from __future__ import annotations

import pytest

from cressrail.membership.live_count import (
    MAX_DEVIATION_FACTOR,
)
from cressrail.membership.simulation import SECOND
from tests.membership.support import (
    announced_counts,
    counting_fleet,
    false_claims,
)


@pytest.mark.parametrize(("reports_refusals", "low", "high"), [(True, 9.0, 11.0), (False, 22.0, 30.0)])
def test_mass_kill_lowers_the_count_only_where_datagrams_are_refused(
    reports_refusals: bool, low: float, high: float
) -> None:
    fleet = counting_fleet(30, reports_refusals=reports_refusals)
    assert set(announced_counts(fleet)) == {30.0}
    for number in range(21):
        fleet.kill(f"copy{number}")
    for _ in range(80):
        fleet.clock.run_until(fleet.clock.now_us + SECOND // 2)
        assert min(announced_counts(fleet)) >= 9.0  # nine instances are still running
    assert low <= min(announced_counts(fleet))
    assert max(announced_counts(fleet)) <= high
    for number in range(21):
        fleet.start(number)
    fleet.clock.run_until(fleet.clock.now_us + 4 * SECOND)
    assert min(announced_counts(fleet)) >= 29.0


def test_minority_of_a_partition_keeps_the_configured_count() -> None:
    fleet, minority = counting_fleet(20), [f"copy{number}" for number in range(6)]
    fleet.network.is_cut = lambda source, destination: (source in minority) != (destination in minority)
    fleet.clock.run_until(fleet.clock.now_us + 60 * SECOND)
    assert min(announced_counts(fleet, minority)) > 18
    assert 13.9 < min(announced_counts(fleet)) < 15
    fleet.network.is_cut = lambda _source, _destination: False
    fleet.clock.run_until(fleet.clock.now_us + 60 * SECOND)
    assert min(announced_counts(fleet)) > 19


def test_false_claims_move_the_count_only_within_bounds_and_temporarily() -> None:
    fleet = counting_fleet(6)
    for attempt in range(200):
        for process in fleet.running_processes():
            claimed = [f"none{(attempt * 8 + offset) % 100}" for offset in range(8)]
            payload = false_claims(attempt, claimed, process.settings.keys[0])
            process.instance.on_datagram(fleet.clock.now_us, payload)
        fleet.clock.run_until(fleet.clock.now_us + SECOND // 20)
        assert all(count <= 6 * MAX_DEVIATION_FACTOR for count in announced_counts(fleet))
    assert max(announced_counts(fleet)) > 12
    assert not [logged for logged in fleet.death_reports() if logged.subject.startswith("copy")]
    fleet.clock.run_until(fleet.clock.now_us + 400 * SECOND)
    assert max(announced_counts(fleet)) < 8
