"""Tests of the latencies that a closed loop would have reported."""

from __future__ import annotations

import numpy as np
import pytest

from cressrail.load.closed_loop import closed_loop_latencies


@pytest.mark.parametrize(
    ("workers", "latencies"),
    [
        pytest.param(1, [25, 5], id="one worker skips requests due while it waits"),
        pytest.param(2, [25, 5, 5, 5], id="two workers send all requests"),
    ],
)
def test_workers_of_closed_loop_send_only_when_free(workers: int, latencies: list[int]) -> None:
    due = np.array([0, 10, 20, 30])

    found = closed_loop_latencies(due, due, due + np.array([25, 5, 5, 5]), workers)

    assert found.tolist() == latencies
