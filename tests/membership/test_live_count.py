"""Tests of LiveInstanceCount."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cressrail.membership.live_count import (
    DECREASE_HALF_LIFE_PAUSES,
    FALLBACK_HALF_LIFE_PAUSES,
    MAX_DEVIATION_FACTOR,
    STARTUP_PAUSES,
    LiveInstanceCount,
    ObservedInstances,
)
from cressrail.membership.simulation import SECOND
from tests.membership.support import (
    LONG_AFTER_START_US,
    TOLERATED_PAUSE_US,
    observed,
)

OBSERVED = st.builds(
    observed, st.integers(1, 300), st.integers(0, 300), st.just(1), st.just(0), st.booleans()
)


@given(st.integers(1, 200), st.lists(st.tuples(st.integers(0, 30 * SECOND), OBSERVED), max_size=30))
def test_estimate_stays_within_bounds_and_not_below_those_alive(
    configured_count: int, observations: list[tuple[int, ObservedInstances]]
) -> None:
    live, now_us = LiveInstanceCount(configured_count, TOLERATED_PAUSE_US, 0), 0
    for span_us, view in observations:
        now_us += span_us
        before = live.estimate
        count = live.update(now_us, view)
        assert max(1.0, configured_count / MAX_DEVIATION_FACTOR) <= count.total
        assert count.total <= configured_count * MAX_DEVIATION_FACTOR
        assert 0 < count.in_zone <= count.total
        assert count.total >= min(view.alive, configured_count * MAX_DEVIATION_FACTOR)
        if (
            now_us < STARTUP_PAUSES * TOLERATED_PAUSE_US
            or not view.has_quorum_view
            or view.alive <= view.silent
        ):  # there is no evidence that instances are gone
            assert count.total >= min(before, configured_count)


@pytest.mark.parametrize(
    ("view", "after_us", "expected_total"),
    [
        (observed(20), 0, 20),  # an increase takes effect at once
        # Half of a decrease takes effect within its half-life.
        (observed(4), DECREASE_HALF_LIFE_PAUSES * TOLERATED_PAUSE_US, 7),
        (observed(4), 100 * DECREASE_HALF_LIFE_PAUSES * TOLERATED_PAUSE_US, 4),
        # With a majority, silent instances are no longer counted.
        (observed(6, 4), 100 * DECREASE_HALF_LIFE_PAUSES * TOLERATED_PAUSE_US, 6),
        # Without a majority, the count does not decrease.
        (observed(4, 4), 100 * DECREASE_HALF_LIFE_PAUSES * TOLERATED_PAUSE_US, 10),
        (observed(3, has_quorum_view=False), 100 * DECREASE_HALF_LIFE_PAUSES * TOLERATED_PAUSE_US, 10),
        # The lower bound is a quarter of the configured count, the upper bound four times that count.
        (observed(1), 100 * DECREASE_HALF_LIFE_PAUSES * TOLERATED_PAUSE_US, 2.5),
        (observed(200), 0, 40),
    ],
)
def test_estimate_rises_at_once_and_falls_slowly_on_evidence(
    view: ObservedInstances, after_us: int, expected_total: float
) -> None:
    live = LiveInstanceCount(10, TOLERATED_PAUSE_US, 0)
    live.update(LONG_AFTER_START_US, observed(10))
    assert live.update(LONG_AFTER_START_US + after_us, view).total == pytest.approx(expected_total, abs=0.01)


def test_estimate_without_quorum_view_drifts_to_the_configured_count() -> None:
    live = LiveInstanceCount(10, TOLERATED_PAUSE_US, 0)
    live.update(LONG_AFTER_START_US, observed(30))
    live.update(
        LONG_AFTER_START_US + FALLBACK_HALF_LIFE_PAUSES * TOLERATED_PAUSE_US,
        observed(1, has_quorum_view=False),
    )
    assert live.estimate == pytest.approx(20)
    live.update(LONG_AFTER_START_US + 1000 * TOLERATED_PAUSE_US, observed(1, has_quorum_view=False))
    assert live.estimate == pytest.approx(10)
    live.update(LONG_AFTER_START_US + 2000 * TOLERATED_PAUSE_US, observed(4))
    live.update(LONG_AFTER_START_US + 3000 * TOLERATED_PAUSE_US, observed(1, has_quorum_view=False))
    assert live.estimate == pytest.approx(10)
