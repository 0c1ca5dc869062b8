"""Tests of paired differences and their confidence intervals."""

from __future__ import annotations

import numpy as np
import pytest

from cressrail.experiment.comparison import paired_difference


@pytest.mark.parametrize(
    ("values", "baseline", "mean", "is_above_zero"),
    [
        pytest.param([1.0, 1.1, 1.2], [0.5, 0.6, 0.7], 0.5, True, id="same difference in each pair"),
        pytest.param([1.0, 0.0], [0.0, 1.0], 0.0, False, id="differences that cancel"),
        pytest.param([3.0], [1.0], 2.0, True, id="one pair"),
    ],
)
def test_paired_difference_has_mean_and_interval(
    values: list[float], baseline: list[float], mean: float, is_above_zero: bool
) -> None:
    difference = paired_difference(values, baseline)

    assert difference["mean"] == pytest.approx(mean)
    assert difference["low"] <= difference["mean"] <= difference["high"]
    assert (difference["low"] > 0) is is_above_zero
    assert difference["pairs"] == len(values)
    assert difference == paired_difference(values, baseline)


def test_interval_contains_the_true_mean_about_as_often_as_its_level() -> None:
    generator = np.random.Generator(np.random.PCG64(1))
    intervals_with_mean = 0

    for seed in range(200):
        sample = (generator.normal(1.0, 0.5, 30)).tolist()
        difference = paired_difference(sample, [0.0] * 30, seed)
        intervals_with_mean += difference["low"] <= 1.0 <= difference["high"]

    assert 0.88 <= intervals_with_mean / 200 <= 0.99
