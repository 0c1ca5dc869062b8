"""What the policy of one process has learned, as the next process goes on from it.

`capture` writes the state as the JSON of a hand-over frame, and `restore` reads it. Each figure is named
here, at the edge, so that a field renamed in the policy changes no frame. Endpoints go by their names and
start times, since indices differ between processes. A state with anything wrong is refused whole, before
anything has changed: a start without state is safe, half a state may not be.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Any, NamedTuple

from cressrail.handover.frame import MalformedStateError
from cressrail.policy.load_balancer import Endpoint, LoadBalancer

# Members of a state; the words are part of the frame.
ENDPOINTS, BALANCER, RETRY_BUDGET = "endpoints", "whole", "budget"
SLOW_START, TENANT_QUOTAS, ZONE_SUBSETS = "cold", "shares", "groups"

MAX_MAGNITUDE = 1e18  # of a number that is not taken for an error
MAX_SHOWN_CHARS = 40  # of a wrong value, in a message
LEAST_SIZE = 1e-9  # of a subset: avoids a division by zero


class EndpointState(NamedTuple):
    """One endpoint's entry in the state; its fields are written in this order."""

    name: str
    started_us: int
    limit: float
    latency: float
    success_rate: float
    slow_start_credit: float
    limit_cut_us: int
    last_prompt_answer_us: int
    last_outcome_us: int
    unavailable_until_us: int
    slow_start_credit_us: int


class BalancerState(NamedTuple):
    """What is kept for all endpoints in common; its fields are written in this order."""

    mean_latency: float
    mean_deviation: float
    baseline_latency: float
    latency_threshold: float
    baseline_updated_us: int
    last_outcome_us: int


class SlowStartState(NamedTuple):
    """What slow start has counted; its fields are written in this order."""

    born_us: int
    carried: float
    carried_us: int


class TenantQuotasState(NamedTuple):
    """What the tenants have used of their quotas; its fields are written in this order."""

    credit: list[float]
    filled_us: list[int]
    clock_us: int
    seen_us: int
    short_us: int
    sends: int


class ZoneSubsetState(NamedTuple):
    """The admission figures of one subset of endpoints; its fields are written in this order."""

    admits: float
    attempts: int
    attempts_per_s: float


class HandoverState(NamedTuple):
    """A whole state, checked and converted."""

    endpoints: dict[str, EndpointState]
    balancer: BalancerState
    requests_us: list[int]
    retries_us: list[int]
    slow_start: SlowStartState
    quotas: TenantQuotasState
    subsets: list[ZoneSubsetState]


def capture(balancer: LoadBalancer, names: dict[int, str]) -> dict[str, Any]:
    """Returns the policy's state in the form of a frame; `names` are the endpoints' by index."""
    slow_start, quotas = balancer.slow_start, balancer.quotas
    return {
        ENDPOINTS: [list(_capture_endpoint(name, balancer.endpoints[ix])) for ix, name in names.items()],
        BALANCER: list(
            BalancerState(
                mean_latency=balancer.mean,
                mean_deviation=balancer.swing,
                baseline_latency=balancer.usual,
                latency_threshold=balancer.late,
                baseline_updated_us=balancer.usual_us,
                last_outcome_us=balancer.heard,
            )
        ),
        RETRY_BUDGET: [list(balancer.budget.taken), list(balancer.budget.retried)],
        SLOW_START: list(SlowStartState(slow_start.born_us, slow_start.carried, slow_start.carried_us)),
        TENANT_QUOTAS: list(
            TenantQuotasState(
                credit=quotas.credit,
                filled_us=quotas.filled_us,
                clock_us=quotas.clock_us,
                seen_us=quotas.seen_us,
                short_us=quotas.short_us,
                sends=quotas.sends,
            )
        ),
        ZONE_SUBSETS: [
            list(ZoneSubsetState(subset.admits, subset.hops, subset.hops_per_s))
            for subset in balancer.zone_subsets
        ],
    }


def _capture_endpoint(name: str, endpoint: Endpoint) -> EndpointState:
    return EndpointState(
        name=name,
        started_us=endpoint.started_us,
        limit=endpoint.limit,
        latency=endpoint.latency,
        success_rate=endpoint.success_rate,
        slow_start_credit=endpoint.slow_start_credit,
        limit_cut_us=endpoint.cut_us,
        last_prompt_answer_us=endpoint.prompt_us,
        last_outcome_us=endpoint.last_outcome_us,
        unavailable_until_us=endpoint.unavailable_until_us,
        slow_start_credit_us=endpoint.cold_us,
    )


def restore(fields: dict[str, Any], balancer: LoadBalancer, names: dict[int, str], now_us: int) -> None:
    """Makes a policy go on from a state.

    Args:
        fields: A frame's body, of which the members of a state are read.
        balancer: The policy of this process, which has read the endpoint list.
        names: The endpoints' by index; one that the state does not name, or that has started anew since,
            keeps its initial figures.
        now_us: Time at which the subsets are chosen anew.

    Raises:
        MalformedStateError: The state is refused; nothing has changed.
    """
    state = _parse(fields)
    for index, name in names.items():
        endpoint = balancer.endpoints[index]
        endpoint_state = state.endpoints.get(name)
        if endpoint_state is not None and endpoint_state.started_us == endpoint.started_us:
            _restore_endpoint(endpoint_state, endpoint)
    _restore_balancer(state.balancer, balancer)
    balancer.budget.taken, balancer.budget.retried = deque(state.requests_us), deque(state.retries_us)
    _restore_slow_start(state.slow_start, balancer)
    _restore_quotas(state.quotas, balancer)
    for subset, subset_state in zip(balancer.zone_subsets, state.subsets, strict=False):
        subset.admits = subset_state.admits or subset.admits
        subset.hops = subset_state.attempts
        subset.hops_per_s = subset_state.attempts_per_s
    for subset in balancer.zone_subsets:
        subset.choose(now_us)


def _restore_endpoint(state: EndpointState, endpoint: Endpoint) -> None:
    endpoint.limit = state.limit
    endpoint.latency = state.latency
    endpoint.success_rate = state.success_rate
    endpoint.slow_start_credit = state.slow_start_credit
    endpoint.cut_us = state.limit_cut_us
    endpoint.prompt_us = state.last_prompt_answer_us
    endpoint.last_outcome_us = state.last_outcome_us
    endpoint.unavailable_until_us = state.unavailable_until_us
    endpoint.cold_us = state.slow_start_credit_us


def _restore_balancer(state: BalancerState, balancer: LoadBalancer) -> None:
    balancer.mean = state.mean_latency
    balancer.swing = state.mean_deviation
    balancer.usual = state.baseline_latency
    balancer.late = state.latency_threshold
    balancer.usual_us = state.baseline_updated_us
    balancer.heard = state.last_outcome_us
    # Derived figures are not part of a frame, so that processes of two versions can exchange state.
    balancer.margin = max(0.0, balancer.late / balancer.usual - 1) if balancer.usual else 0.0


def _restore_slow_start(state: SlowStartState, balancer: LoadBalancer) -> None:
    slow_start = balancer.slow_start
    slow_start.born_us = state.born_us
    slow_start.carried = state.carried
    slow_start.carried_us = state.carried_us
    own_subset = balancer.zone_subsets[balancer.order[0]]
    own_subset.each = state.carried / max(LEAST_SIZE, own_subset.size)
    own_subset.each_us = state.carried_us


def _restore_quotas(state: TenantQuotasState, balancer: LoadBalancer) -> None:
    """Restores the quotas' use, unless the number of tenants differs."""
    quotas = balancer.quotas
    if len(state.credit) != len(quotas.credit):
        return
    quotas.credit = state.credit
    quotas.filled_us = state.filled_us
    quotas.clock_us = state.clock_us
    quotas.seen_us = state.seen_us
    quotas.short_us = state.short_us
    quotas.sends = state.sends


def _parse(fields: dict[str, Any]) -> HandoverState:
    try:
        endpoints = [_parse_endpoint(values) for values in fields[ENDPOINTS]]
        balancer = _parse_balancer(fields[BALANCER])
        requests_us, retries_us = (sorted(_times(times)) for times in fields[RETRY_BUDGET])
        born_us, carried, carried_us = fields[SLOW_START]
        return HandoverState(
            {endpoint.name: endpoint for endpoint in endpoints},
            balancer,
            requests_us,
            retries_us,
            SlowStartState(_time(born_us), _number(carried), _time(carried_us)),
            _parse_quotas(fields[TENANT_QUOTAS]),
            [
                ZoneSubsetState(_number(admits), _time(attempts), _number(attempts_per_s))
                for admits, attempts, attempts_per_s in fields[ZONE_SUBSETS]
            ],
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedStateError(f"{type(error).__name__}: {error}") from None


def _parse_endpoint(values: Any) -> EndpointState:
    name, started_us, limit, latency, success_rate, credit, *times = values
    return EndpointState(
        str(name),
        _time(started_us),
        _number(limit),
        _number(latency),
        _number(success_rate),
        _number(credit),
        *_times(times, 5),
    )


def _parse_balancer(values: Any) -> BalancerState:
    mean, deviation, baseline, threshold, *times = values
    return BalancerState(
        _number(mean), _number(deviation), _number(baseline), _number(threshold), *_times(times, 2)
    )


def _parse_quotas(values: Any) -> TenantQuotasState:
    credit, filled_us, *times = values
    return TenantQuotasState(
        [_number(value) for value in credit], _times(filled_us, len(credit)), *_times(times, 4)
    )


def _number(value: Any) -> float:
    if (
        not isinstance(value, int | float)
        or isinstance(value, bool)
        or not -MAX_MAGNITUDE < value < MAX_MAGNITUDE
    ):
        raise ValueError(f"no number: {str(value)[:MAX_SHOWN_CHARS]}")
    return float(value)


def _time(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"no whole number: {str(value)[:MAX_SHOWN_CHARS]}")
    return value


def _times(values: Iterable[Any], count: int | None = None) -> list[int]:
    found = [_time(value) for value in values]
    if count is not None and len(found) != count:
        raise ValueError(f"{len(found)} figures, {count} wanted")
    return found
