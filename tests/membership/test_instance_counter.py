"""The announced count of live instances, in simulated fleets."""

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


@pytest.mark.parametrize(("refuses", "low", "high"), [(True, 9.0, 11.0), (False, 22.0, 30.0)])
def test_mass_kill_lowers_the_count_only_where_datagrams_are_refused(
    refuses: bool, low: float, high: float
) -> None:
    made = counting_fleet(30, reports_refusals=refuses)
    assert set(announced_counts(made)) == {30.0}
    for n in range(21):
        made.kill(f"copy{n}")
    for _ in range(80):
        made.clock.run_until(made.clock.now_us + SECOND // 2)
        assert min(announced_counts(made)) >= 9.0  # never fewer than there are
    assert low <= min(announced_counts(made))
    assert max(announced_counts(made)) <= high
    for n in range(21):
        made.start(n)
    made.clock.run_until(made.clock.now_us + 4 * SECOND)
    assert min(announced_counts(made)) >= 29.0


def test_minority_of_a_partition_keeps_the_configured_count() -> None:
    made, small = counting_fleet(20), [f"copy{n}" for n in range(6)]
    made.network.is_cut = lambda a, b: (a in small) != (b in small)
    made.clock.run_until(made.clock.now_us + 60 * SECOND)
    assert min(announced_counts(made, small)) > 18
    assert 13.9 < min(announced_counts(made)) < 15
    made.network.is_cut = lambda _a, _b: False
    made.clock.run_until(made.clock.now_us + 60 * SECOND)
    assert min(announced_counts(made)) > 19


def test_lying_instance_moves_the_count_within_bounds_and_not_for_good() -> None:
    made = counting_fleet(6)
    for nth in range(200):
        for process in made.running_processes():
            lies = [f"none{(nth * 8 + k) % 100}" for k in range(8)]
            process.instance.on_datagram(made.clock.now_us, false_claims(nth, lies, process.settings.keys[0]))
        made.clock.run_until(made.clock.now_us + SECOND // 20)
        assert all(count <= 6 * MAX_DEVIATION_FACTOR for count in announced_counts(made))
    assert max(announced_counts(made)) > 12
    assert not [logged for logged in made.death_reports() if logged.subject.startswith("copy")]
    made.clock.run_until(made.clock.now_us + 400 * SECOND)
    assert max(announced_counts(made)) < 8
