"""Tests of the time series of a run."""

from __future__ import annotations

from cressrail.experiment.time_series import build_time_series
from tests.experiment.support import experiment, scenario_run


def test_series_count_attempts_and_retries_in_their_second() -> None:
    series = build_time_series(experiment(), scenario_run())

    assert series["heat"] == {"x0": [3, 0, 0, 0, 0, 0], "x1": [1, 0, 0, 0, 0, 0]}
    assert (series["offered"][0], series["retries"][0], series["good"][0]) == (4, 1, 2)
