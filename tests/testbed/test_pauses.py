"""Predetermined pauses of a server: completion times of requests, and random drawing."""

from __future__ import annotations

import pytest

from cressrail.testbed.pauses import PauseSchedule, draw_pauses


@pytest.mark.parametrize(
    ("arrived_us", "expected_us"),
    [
        pytest.param(0, 10, id="before-the-pauses"),
        pytest.param(95, 205, id="paused-halfway"),
        pytest.param(100, 210, id="as-the-pause-begins"),
        pytest.param(150, 210, id="within-the-pause"),
        pytest.param(200, 210, id="as-the-pause-ends"),
        pytest.param(295, 405, id="paused-halfway-by-the-second"),
    ],
)
def test_pause_delays_the_requests_that_overlap_it(arrived_us: int, expected_us: int) -> None:
    pauses = PauseSchedule([(100, 200), (300, 400)])

    assert pauses.completion_us(arrived_us, 10) == expected_us


def test_same_seed_draws_same_pauses() -> None:
    drawn = draw_pauses(3, 20.0)

    assert drawn == draw_pauses(3, 20.0)
    assert drawn.spans_us
    assert all(start_us < end_us for start_us, end_us in drawn.spans_us)
