"""A server's known pauses: when a request is answered that meets them."""

from __future__ import annotations

import pytest

from cressrail.testbed.pauses import PauseSchedule, draw_pauses


@pytest.mark.parametrize(
    ("arrived_us", "answered_us"),
    [
        pytest.param(0, 10, id="before-the-pauses"),
        pytest.param(95, 205, id="paused-halfway"),
        pytest.param(100, 210, id="as-the-pause-begins"),
        pytest.param(150, 210, id="within-the-pause"),
        pytest.param(200, 210, id="as-the-pause-ends"),
        pytest.param(295, 405, id="paused-halfway-by-the-second"),
    ],
)
def test_pause_holds_up_the_requests_that_meet_it(arrived_us: int, answered_us: int) -> None:
    pauses = PauseSchedule([(100, 200), (300, 400)])

    assert pauses.completion_us(arrived_us, 10) == answered_us


def test_drawn_pauses_repeat_with_their_seed() -> None:
    drawn = draw_pauses(3, 20.0)

    assert drawn == draw_pauses(3, 20.0)
    assert drawn.spans_us
    assert all(start_us < end_us for start_us, end_us in drawn.spans_us)
