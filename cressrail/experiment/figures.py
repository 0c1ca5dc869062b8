"""The figures of a run that are used to compare variants."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import IntEnum

import numpy as np

from cressrail.experiment.evidence_rows import Row, is_client_call, is_in_time
from cressrail.experiment.scenario_run import ScenarioRun
from cressrail.experiment.time_series import TimeSeries, build_time_series
from cressrail.load.attempt_id import is_first_attempt, request_id_of
from cressrail.load.plan import Idempotency
from cressrail.load.units import US_PER_MS
from cressrail.testbed.scenario import FleetScenario

Figures = dict[str, float]  # by the keys of `FIGURE_DIRECTIONS`


class Direction(IntEnum):
    """Whether higher or lower values of a figure are better."""

    HIGHER_IS_BETTER = 1
    LOWER_IS_BETTER = -1


# In the order of reports. The names are keys of report files and must not change.
FIGURE_DIRECTIONS = {
    "goodput": Direction.HIGHER_IS_BETTER,
    "goodput_first": Direction.HIGHER_IS_BETTER,
    "revenue": Direction.HIGHER_IS_BETTER,
    "worst_member": Direction.HIGHER_IS_BETTER,
    "worst_due": Direction.HIGHER_IS_BETTER,
    "worst_profile": Direction.HIGHER_IS_BETTER,
    "p50_ms": Direction.LOWER_IS_BETTER,
    "p99_ms": Direction.LOWER_IS_BETTER,
    "hops_per_tx": Direction.LOWER_IS_BETTER,
    "retry_share": Direction.LOWER_IS_BETTER,
    "late_work_share": Direction.LOWER_IS_BETTER,
    "effects_after_end": Direction.LOWER_IS_BETTER,
    "breaks": Direction.LOWER_IS_BETTER,
    "goodput_harmed": Direction.HIGHER_IS_BETTER,
    "recovery_s": Direction.LOWER_IS_BETTER,
}
CAPACITY_FAULTS = ("kill", "die", "err", "slow", "stall", "cut")  # faults that reduce the capacity
RECOVERED_SHARE = 0.9  # share of the goodput before a fault that counts as recovered
RECOVERED_FOR_S = 3  # how long goodput must stay at that share


@dataclass(frozen=True)
class FinishedRequest:
    """A client's request as of its last attempt."""

    request_class: str
    tenant: str
    latency_us: int
    is_in_time: bool


def compute_figures(
    scenario: FleetScenario, run: ScenarioRun, quotas_per_s: Mapping[str, float] | None = None
) -> Figures:
    """Returns the figures of a run.

    The names of figures:
        goodput: The share of requests that met their latency objective, counted from when they were due.
        goodput_first: The same for first attempts only.
        revenue: The same share, weighted by priority weight.
        worst_member, worst_profile: The lowest goodput of a tenant and of a request class.
        worst_due: The lowest ratio, over tenants, of requests in time to the tenant's quota or, if fewer, the
            requests that it offered.
        p50_ms, p99_ms: The median and the 99th percentile of latency.
        hops_per_tx: The number of attempts at endpoints of the first tier per attempt of a client.
        retry_share: The ratio of retries to calls, over all tiers.
        late_work_share: The share of work in attempts that ended after the caller's deadline.
        effects_after_end: The number of attempts that ended after the caller's deadline, of request classes
            that are not idempotent or are so only with a key.
        breaks: The number of rule violations.
        goodput_harmed, recovery_s: The effect of the first fault that reduces the capacity.

    Args:
        scenario: The scenario that was run.
        run: The results of the run.
        quotas_per_s: The quotas of tenants by name; tenants without one are ignored in `worst_due`.
    """
    requests = _finished_requests(scenario, run)
    weights = {item.name: item.priority_weight for item in scenario.request_classes}
    offered_weight = sum(weights[request.request_class] for request in requests) or 1.0
    earned_weight = sum(weights[request.request_class] for request in requests if request.is_in_time)
    latencies_ms = np.array([request.latency_us for request in requests] or [0]) / US_PER_MS
    return {
        "goodput": _share([request.is_in_time for request in requests]),
        "goodput_first": _share(_first_attempts_in_time(scenario, run)),
        "revenue": earned_weight / offered_weight,
        "worst_member": _worst_goodput(requests, lambda request: request.tenant),
        "worst_due": _worst_quota_share(scenario, requests, quotas_per_s or {}),
        "worst_profile": _worst_goodput(requests, lambda request: request.request_class),
        "p50_ms": float(np.percentile(latencies_ms, 50)),
        "p99_ms": float(np.percentile(latencies_ms, 99)),
        **_attempt_figures(run),
        **_late_work_figures(scenario, run),
        "breaks": float(len(run.violations)),
        **_recovery_figures(scenario, build_time_series(scenario, run)),
    }


def _finished_requests(scenario: FleetScenario, run: ScenarioRun) -> list[FinishedRequest]:
    classes = {item.name: item for item in scenario.request_classes}
    requests = {
        request_id_of(call["id"]): FinishedRequest(
            call["profile"],
            call["member"],
            call["ended_us"] - call["due_us"],
            is_in_time(call, classes[call["profile"]]),
        )
        for call in run.evidence.calls
        if is_client_call(call)
    }
    return list(requests.values())


def _first_attempts_in_time(scenario: FleetScenario, run: ScenarioRun) -> list[bool]:
    classes = {item.name: item for item in scenario.request_classes}
    return [
        is_in_time(call, classes[call["profile"]])
        for call in run.evidence.calls
        if is_client_call(call) and is_first_attempt(call["id"])
    ]


def _attempt_figures(run: ScenarioRun) -> Figures:
    attempts_by_call = Counter(attempt["id"] for attempt in run.evidence.attempts)
    sent_calls = [call for call in run.evidence.calls if call["sent_us"]]
    client_calls = [call for call in sent_calls if is_client_call(call)]
    retries = sum(max(0, attempts_by_call[call["id"]] - 1) for call in sent_calls)
    return {
        "hops_per_tx": sum(attempts_by_call[call["id"]] for call in client_calls) / max(1, len(client_calls)),
        "retry_share": retries / max(1, len(sent_calls)),
    }


def _late_work_figures(scenario: FleetScenario, run: ScenarioRun) -> Figures:
    classes = {item.name: item for item in scenario.request_classes}
    executed = [attempt for attempt in run.evidence.attempts if attempt["ran"]]
    late = [attempt for attempt in executed if attempt["late_us"] > 0]
    late_effects = [
        attempt for attempt in late if classes[attempt["profile"]].idempotency is not Idempotency.IDEMPOTENT
    ]
    return {
        "late_work_share": _work_us(late) / max(1, _work_us(executed)),
        "effects_after_end": float(len(late_effects)),
    }


def _work_us(attempts: Iterable[Row]) -> int:
    return sum(attempt["work_us"] for attempt in attempts)


def _share(is_good: Sequence[bool]) -> float:
    return float(np.mean(is_good or [False]))


def _worst_goodput(requests: Iterable[FinishedRequest], key: Callable[[FinishedRequest], str]) -> float:
    by_key: dict[str, list[bool]] = defaultdict(list)
    for request in requests:
        by_key[key(request)].append(request.is_in_time)
    return min((_share(is_in_time) for is_in_time in by_key.values()), default=0.0)


def _worst_quota_share(
    scenario: FleetScenario, requests: Iterable[FinishedRequest], quotas_per_s: Mapping[str, float]
) -> float:
    by_tenant: dict[str, list[bool]] = defaultdict(list)
    for request in requests:
        by_tenant[request.tenant].append(request.is_in_time)
    return min(
        (
            min(1.0, sum(is_in_time) / min(len(is_in_time), quotas_per_s[tenant] * scenario.duration_s))
            for tenant, is_in_time in by_tenant.items()
            if quotas_per_s.get(tenant)
        ),
        default=0.0,
    )


def _recovery_figures(scenario: FleetScenario, series: TimeSeries) -> Figures:
    """Returns the effect of the first fault that reduces the capacity.

    `goodput_harmed` is the goodput during the fault. `recovery_s` is the time from the start of the fault to
    the recovery of goodput, or to the end of the run if it does not recover. Both are 0 without such a fault.
    """
    fault = next((fault for fault in scenario.faults if fault.kind in CAPACITY_FAULTS), None)
    if fault is None:
        return {"goodput_harmed": 0.0, "recovery_s": 0.0}
    start_s = int(fault.at_s)
    end_s = int(min(scenario.duration_s, fault.at_s + fault.duration_s))
    goodput = [
        good / max(1, offered) for good, offered in zip(series["good"], series["offered"], strict=True)
    ]
    offered_during_fault = sum(series["offered"][start_s:end_s])
    return {
        "goodput_harmed": sum(series["good"][start_s:end_s]) / max(1, offered_during_fault),
        "recovery_s": float(seconds_to_recover(goodput, start_s, int(scenario.duration_s))),
    }


def seconds_to_recover(goodput: Sequence[float], start_s: int, end_s: int) -> int:
    """Returns the time from `start_s` until goodput has recovered, or until `end_s` if it does not.

    Goodput has recovered when, for `RECOVERED_FOR_S` seconds, it is at least `RECOVERED_SHARE` of its mean
    over the second half of the time before `start_s`.

    Args:
        goodput: The goodput of each second of the run.
        start_s: The start of the fault.
        end_s: The end of the run.
    """
    before = sum(goodput[start_s // 2 : start_s]) / max(1, start_s - start_s // 2)
    for second in range(start_s, end_s - RECOVERED_FOR_S + 1):
        following = goodput[second : second + RECOVERED_FOR_S]
        if all(value >= RECOVERED_SHARE * before for value in following):
            return second - start_s
    return end_s - start_s
