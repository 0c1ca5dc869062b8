"""The replay window of datagram numbers."""

from __future__ import annotations

import pytest

from cressrail.membership.authentication import (
    advance_replay_window,
)


@pytest.mark.parametrize(
    ("top", "seen", "nth", "ok"),
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
def test_advance_replay_window_accepts_a_number_once(top: int, seen: int, nth: int, ok: bool) -> None:
    moved = advance_replay_window(top, seen, nth)
    assert (moved is not None) == ok
    assert moved is None or advance_replay_window(*moved, nth) is None
