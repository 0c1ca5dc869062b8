"""Tests of the shapes of the arrival rate and of the arrival times drawn from them."""

from __future__ import annotations

import numpy as np
import pytest

from cressrail.load.shapes import RATE_SHAPES, draw_arrival_times


@pytest.mark.parametrize("name", list(RATE_SHAPES))
def test_arrivals_follow_the_rate_of_the_shape(name: str) -> None:
    shape = RATE_SHAPES[name]()
    elapsed = np.linspace(0, 1, 20_001)
    expected_count = 60_000 * shape.rate(elapsed).mean()

    times_us = draw_arrival_times(shape, 1000, 60, np.random.Generator(np.random.PCG64(3)))

    assert shape.rate(elapsed).max() <= shape.peak * 1.000001  # a lower peak would make thinning cap the rate
    assert abs(len(times_us) - expected_count) < 5 * expected_count**0.5
    assert (np.diff(times_us) >= 0).all()


def test_surge_rises_and_falls() -> None:
    rate = RATE_SHAPES["surge"](times=2.4).rate(np.array([0.0, 0.3, 0.5, 0.7, 0.9]))

    assert rate.tolist() == pytest.approx([1, 1, 2.4, 2.4, 1])
