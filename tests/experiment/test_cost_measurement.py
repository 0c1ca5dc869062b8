"""Tests of the measurement of a contender, with real processes and a low load."""

from __future__ import annotations

import os
import resource
from pathlib import Path

import pytest

from cressrail.experiment import cost_measurement
from cressrail.experiment.checkouts import REPOSITORY
from cressrail.experiment.cost_measurement import CostCase, measure_cost


@pytest.mark.parametrize("checkout", [pytest.param(None, id="relay"), pytest.param(REPOSITORY, id="sidecar")])
def test_contender_is_measured_and_limits_are_restored(
    monkeypatch: pytest.MonkeyPatch, checkout: Path | None
) -> None:
    monkeypatch.setattr(cost_measurement, "RATE_PER_S", 100.0)
    monkeypatch.setattr(cost_measurement, "SLICE_S", 0.2)
    monkeypatch.setattr(cost_measurement, "SLICES", 1)
    cores, descriptors = os.sched_getaffinity(0), resource.getrlimit(resource.RLIMIT_NOFILE)

    cost = measure_cost(checkout, CostCase("3 idle, 2 listed", 3, 2), sorted(cores))

    assert cost.cpu_us > 0
    assert cost.peak_memory_mb > 1
    assert os.sched_getaffinity(0) == cores
    assert resource.getrlimit(resource.RLIMIT_NOFILE) == descriptors
