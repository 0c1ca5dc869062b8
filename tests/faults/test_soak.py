"""A few seeded plays among bad peers and signals, until the kill; `make soak` plays many."""

from __future__ import annotations

import pytest

from tests.faults.soak import play


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_seeded_play_breaks_no_rule(seed: int) -> None:
    _, statuses, faults = play(seed)
    assert faults == []
    assert statuses[200] > 0
