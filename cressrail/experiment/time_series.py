"""Time series of a run by second, for the plots."""

from __future__ import annotations

from typing import Any, TypedDict

import numpy as np
import numpy.typing as npt

from cressrail.experiment.evidence_rows import is_client_call, is_in_time
from cressrail.experiment.scenario_run import ScenarioRun
from cressrail.load.attempt_id import is_first_attempt
from cressrail.load.units import US_PER_MS, US_PER_S
from cressrail.testbed.scenario import FleetScenario

SECONDS_AFTER_LOAD = 3  # seconds after the end of the load that are included
PLOTTED_PERCENTILES = [0.0, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100]


class TimeSeries(TypedDict):
    """Time series with one value per second, by the keys of report files.

    Attributes:
        offered: The number of requests that were due.
        good: The number of requests that were due and met their latency objective.
        revenue: The sum of the priority weights of the requests in `good`.
        worth: The sum of the priority weights of the requests in `offered`.
        retries: The number of attempts at endpoints beyond the first attempt of a call.
        calls: The number of calls of clients and endpoints.
        heat: The number of attempts, by endpoint.
        latency_ms: Pairs of a percentile and the latency of client attempts over the whole run, counted from
            when their request was due.
    """

    offered: list[float]
    good: list[float]
    revenue: list[float]
    worth: list[float]
    retries: list[float]
    calls: list[float]
    heat: dict[str, list[int]]
    latency_ms: list[tuple[float, float]]


class _SecondBins:
    """Maps times to seconds of a run; a time outside the run is mapped to its first or last second."""

    def __init__(self, start_us: int, count: int) -> None:
        self.start_us, self.count = start_us, count

    def index(self, time_us: int) -> int:
        return min(self.count - 1, max(0, (time_us - self.start_us) // US_PER_S))

    def zeros(self) -> npt.NDArray[np.float64]:
        return np.zeros(self.count)


def build_time_series(scenario: FleetScenario, run: ScenarioRun) -> TimeSeries:
    """Returns the time series of a run."""
    seconds = _SecondBins(run.evidence.start_us, int(scenario.duration_s) + SECONDS_AFTER_LOAD)
    heat, retries = _attempts_by_second(scenario, run, seconds)
    classes = {item.name: item for item in scenario.request_classes}
    offered, good, revenue, worth, calls = (seconds.zeros() for _ in range(5))
    calls_by_id = {call["id"]: call for call in run.evidence.calls}
    for call in calls_by_id.values():
        calls[seconds.index(call["began_us"])] += 1
        if not is_client_call(call):
            continue
        request_class = classes[call["profile"]]
        second_due = seconds.index(call["due_us"])
        if is_first_attempt(call["id"]):
            offered[second_due] += 1
            worth[second_due] += request_class.priority_weight
        if is_in_time(call, request_class):
            good[second_due] += 1
            revenue[second_due] += request_class.priority_weight
    return {
        "offered": offered.tolist(),
        "good": good.tolist(),
        "revenue": revenue.tolist(),
        "worth": worth.tolist(),
        "retries": retries.tolist(),
        "calls": calls.tolist(),
        "heat": {name: counts.tolist() for name, counts in heat.items()},
        "latency_ms": _latency_percentiles(run),
    }


def _attempts_by_second(
    scenario: FleetScenario, run: ScenarioRun, seconds: _SecondBins
) -> tuple[dict[str, npt.NDArray[Any]], npt.NDArray[np.float64]]:
    """Returns the number of attempts by endpoint and second, and the number of retries by second."""
    names = [f"{tier.name}{number}" for tier in scenario.fleet.tiers for number in range(tier.endpoint_count)]
    heat = {name: np.zeros(seconds.count, int) for name in names}
    retries = seconds.zeros()
    seen_ids: set[str] = set()
    for attempt in sorted(run.evidence.attempts, key=lambda attempt: attempt["came_us"]):
        second = seconds.index(attempt["came_us"])
        heat[attempt["endpoint"]][second] += 1
        retries[second] += attempt["id"] in seen_ids
        seen_ids.add(attempt["id"])
    return heat, retries


def _latency_percentiles(run: ScenarioRun) -> list[tuple[float, float]]:
    latencies_us = [call["ended_us"] - call["due_us"] for call in run.evidence.calls if is_client_call(call)]
    if not latencies_us:
        return []
    latencies_ms = np.percentile(latencies_us, PLOTTED_PERCENTILES) / US_PER_MS
    return list(zip(PLOTTED_PERCENTILES, latencies_ms.tolist(), strict=True))
