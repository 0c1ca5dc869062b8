"""Tests of the figures of a run."""

from __future__ import annotations

import pytest

from cressrail.experiment.figures import compute_figures, seconds_to_recover
from tests.experiment.support import experiment, run_of_first_requests, scenario_run


def test_figures_count_a_request_once_and_from_when_it_was_due() -> None:
    figures = compute_figures(experiment(), scenario_run(), {"acme": 1.0, "umea": 10.0})

    assert (figures["goodput"], figures["goodput_first"], figures["breaks"]) == (0.5, 0.25, 1)
    assert figures["revenue"] == pytest.approx(2 / 6)  # the late "note" request does not count
    assert (figures["worst_member"], figures["worst_profile"]) == (0.0, 0.0)
    assert figures["worst_due"] == 0.0
    assert figures["hops_per_tx"] == pytest.approx(4 / 5)
    assert figures["retry_share"] == pytest.approx(1 / 5)
    assert (figures["late_work_share"], figures["effects_after_end"]) == (0.25, 1.0)


def test_quota_share_is_relative_to_offered_requests_below_the_quota() -> None:
    figures = compute_figures(experiment(), run_of_first_requests(3), {"acme": 1.0})

    assert figures["worst_due"] == 1.0  # two requests offered, quota for three, two in time


def test_quota_share_of_a_tenant_over_its_quota_is_at_most_one() -> None:
    figures = compute_figures(experiment(), run_of_first_requests(3), {"acme": 0.1})

    assert figures["worst_due"] == 1.0  # two requests in time, quota for 0.3


@pytest.mark.parametrize(
    ("goodput", "seconds"),
    [
        pytest.param([1, 1, 1, 1, 1, 1, 1], 0, id="no drop"),
        pytest.param([1, 1, 0.2, 0.95, 0.5, 0.9, 0.9, 0.9], 3, id="recovered after a second drop"),
        pytest.param([1, 1, 0.2, 0.2, 0.9, 0.9], 4, id="recovered for too short a time"),
    ],
)
def test_goodput_has_recovered_only_if_it_stays_high(goodput: list[float], seconds: int) -> None:
    assert seconds_to_recover(goodput, 2, len(goodput)) == seconds
