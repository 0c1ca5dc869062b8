"""What a sidecar's process knows that the next one goes on from: gathered in one, settled in the other.

Endpoints go by their names and the times of their starts, since indices are each process's own. Whatever is
not as it should be is refused whole, before anything is changed: a start from nothing serves, half an estate
may not.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Any

from cressrail.discovery.endpoint_list import PHASES, EndpointEntry
from cressrail.handover.frame import HandoverError
from cressrail.policy.load_balancer import LoadBalancer

# Fields of `Endpoint` and of `LatencyBaseline`, in the order of the frame.
NUMBERS = ("limit", "latency", "success_rate", "slow_start_credit")
TIMES = (
    "limit_cut_us",
    "last_prompt_sent_us",
    "last_outcome_us",
    "unavailable_until_us",
    "slow_start_credit_us",
)
WHOLE_NUMBERS = ("mean", "mean_deviation", "baseline", "threshold")
WHOLE_TIMES = ("updated_us", "sample_count")
WORDS = {phase: word for word, phase in PHASES.items()}


def listed(rows: Iterable[EndpointEntry], revision: int) -> dict[str, Any]:
    """The list in discovery's own form, so that it is read and checked as hers is."""
    return {
        "revision": revision,
        "complete": True,
        "members": [
            {
                "id": row.name,
                "host_port": f"{f'[{row.host}]' if ':' in row.host else row.host}:{row.port}",
                "locality": row.zone,
                "cell": row.cell,
                "phase": WORDS[row.accepts_requests, False],
                "size": row.scale,
                "up_since_ms": row.started_us // 1000,
            }
            for row in rows
            if not row.is_removed
        ],
    }


def capture(sidecar: LoadBalancer, names: dict[int, str]) -> dict[str, Any]:
    endpoints = []
    for ix, name in names.items():
        e = sidecar.endpoints[ix]
        endpoints.append([name, e.started_us, *(getattr(e, what) for what in (*NUMBERS, *TIMES))])
    cold, shares = sidecar.slow_start, sidecar.quotas
    return {
        "endpoints": endpoints,
        "whole": [getattr(sidecar.latency_baseline, name) for name in (*WHOLE_NUMBERS, *WHOLE_TIMES)],
        "budget": [list(sidecar.budget.request_times_us), list(sidecar.budget.retry_times_us)],
        "cold": [cold.born_us, cold.recent_successes, cold.recent_successes_us],
        "shares": [
            shares.tokens,
            shares.filled_us,
            shares.clock_us,
            shares.last_request_us,
            shares.short_until_us,
            shares.sent_since_request,
        ],
        "groups": [
            [
                subset.admission.admitted_fraction,
                subset.admission.attempts_this_second,
                subset.admission.attempts_per_s,
            ]
            for subset in sidecar.zone_subsets
        ],
    }


def restore(estate: dict[str, Any], sidecar: LoadBalancer, names: dict[int, str], now: int) -> None:
    """Raises `Foreign`, and has changed nothing then."""
    try:
        told = {
            str(name): (
                _time(started),
                [_number(v) for v in rest[: len(NUMBERS)]],
                _times(rest[len(NUMBERS) :], len(TIMES)),
            )
            for name, started, *rest in estate["endpoints"]
        }
        whole = estate["whole"]
        numbers = [_number(v) for v in whole[: len(WHOLE_NUMBERS)]]
        times = _times(whole[len(WHOLE_NUMBERS) :], len(WHOLE_TIMES))
        taken, retried = (sorted(_times(part)) for part in estate["budget"])
        born_us, carried, carried_us = estate["cold"]
        cold = _time(born_us), _number(carried), _time(carried_us)
        credit, filled, *clocks = estate["shares"]
        shares = [_number(v) for v in credit], _times(filled, len(credit)), _times(clocks, 4)
        groups = [(_number(admits), _time(hops), _number(rate)) for admits, hops, rate in estate["groups"]]
    except (KeyError, TypeError, ValueError) as fault:
        raise HandoverError(f"{type(fault).__name__}: {fault}") from None
    for ix, called in names.items():
        e = sidecar.endpoints[ix]
        started_us, values, moments = told.get(called, (-1, [], []))
        if started_us == e.started_us:
            for name, value in zip((*NUMBERS, *TIMES), (*values, *moments), strict=True):
                setattr(e, name, value)
    for name, value in zip((*WHOLE_NUMBERS, *WHOLE_TIMES), (*numbers, *times), strict=True):
        setattr(sidecar.latency_baseline, name, value)
    # What follows from these is not told, so that processes of two versions can meet.
    sidecar.latency_baseline.restore_tolerance()
    sidecar.budget.request_times_us, sidecar.budget.retry_times_us = deque(taken), deque(retried)
    rule = sidecar.slow_start
    rule.born_us, rule.recent_successes, rule.recent_successes_us = cold
    own = sidecar.zone_subsets[sidecar.spillover.own_zone]
    own.successes_per_scale = rule.recent_successes / max(1e-9, own.scale_in_use)
    own.successes_us = rule.recent_successes_us
    of = sidecar.quotas
    if len(shares[0]) == len(of.tokens):
        of.tokens, of.filled_us = shares[0], shares[1]
        of.clock_us, of.last_request_us, of.short_until_us, of.sent_since_request = shares[2]
    for subset, (admitted, attempts, rate) in zip(sidecar.zone_subsets, groups, strict=False):
        admission = subset.admission
        admission.admitted_fraction = admitted or admission.admitted_fraction
        admission.attempts_this_second, admission.attempts_per_s = attempts, rate
    for subset in sidecar.zone_subsets:
        subset.choose(now)


def _number(value: Any) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool) or not -1e18 < value < 1e18:
        raise ValueError(f"no number: {str(value)[:40]}")
    return float(value)


def _time(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"no whole number: {str(value)[:40]}")
    return value


def _times(values: Iterable[Any], count: int | None = None) -> list[int]:
    found = [_time(value) for value in values]
    if count is not None and len(found) != count:
        raise ValueError(f"{len(found)} figures, {count} wanted")
    return found
