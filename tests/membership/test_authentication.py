"""Tests of the replay window of datagram numbers."""

from __future__ import annotations

import pytest

from cressrail.membership.authentication import (
    advance_replay_window,
)


@pytest.mark.parametrize(
    ("highest", "window", "number", "is_accepted"),
    [
        (5, 1, 6, True),
        (5, 1, 5, False),
        (5, 1, 4, True),
        (70, 1, 6, False),
        (70, 1, 7, True),
        (5, 3, 4, False),
        (5, 1, 500, True),
    ],
)
def test_advance_replay_window_accepts_a_number_once(
    highest: int, window: int, number: int, is_accepted: bool
) -> None:
    advanced = advance_replay_window(highest, window, number)
    assert (advanced is not None) == is_accepted
    assert advanced is None or advance_replay_window(*advanced, number) is None
