"""The learned state of the policy that one process hands over to the next.

`capture` converts the state to the JSON of a hand-over frame, and `restore` reads it. Every value of the
frame is named in this module, so that renaming a field in the policy does not change the frame. Endpoints are
identified by name and start time, since their indices differ between processes. A state with any invalid
value is rejected as a whole before anything changes: a start without state is safe, while one with a partial
state may not be.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Any, NamedTuple

from cressrail.handover.frame import MalformedStateError
from cressrail.policy.endpoint import Endpoint
from cressrail.policy.load_balancer import LoadBalancer

# Member names of the state in a frame.
ENDPOINTS, LATENCY_BASELINE, RETRY_BUDGET = "endpoints", "whole", "budget"
SLOW_START, TENANT_QUOTAS, ZONE_SUBSETS = "cold", "shares", "groups"

MAX_MAGNITUDE = 1e18  # numbers of this magnitude or more are rejected as invalid
MAX_SHOWN_CHARS = 40  # maximum number of characters of an invalid value in an error message
MIN_SCALE = 1e-9  # lower bound on the scale of a subset, to avoid a division by zero


class EndpointState(NamedTuple):
    """One endpoint's entry in the state; its fields are written in this order.

    Attributes:
        name: The endpoint's name at discovery.
        started_us: Time of the endpoint's last start; the entry is not restored if it has restarted since.
        limit: Concurrency limit for this instance's attempts at the endpoint.
        latency: Moving average of the latency of succeeded attempts, in latency objectives.
        success_rate: Moving average of the success rate, from 0 to 1.
        slow_start_credit: Credit for attempts while the endpoint warms up; a credit of 1 allows an attempt.
        limit_cut_us: Time at which the limit was last reduced.
        last_prompt_sent_us: Time at which the latest attempt was sent that was answered in time.
        last_outcome_us: Time at which the last outcome was observed.
        unavailable_until_us: Time until which the endpoint's process is considered gone.
        slow_start_credit_us: Time at which the slow-start credit was last updated.
    """

    name: str
    started_us: int
    limit: float
    latency: float
    success_rate: float
    slow_start_credit: float
    limit_cut_us: int
    last_prompt_sent_us: int
    last_outcome_us: int
    unavailable_until_us: int
    slow_start_credit_us: int


class LatencyBaselineState(NamedTuple):
    """The latency baseline over all endpoints; its fields are written in this order.

    `LatencyBaseline` describes the fields.
    """

    mean: float
    mean_deviation: float
    baseline: float
    threshold: float
    updated_us: int
    sample_count: int


class SlowStartState(NamedTuple):
    """The successes counted for slow start; its fields are written in this order."""

    created_us: int
    recent_successes: float
    recent_successes_us: int


class TenantQuotasState(NamedTuple):
    """The token buckets of the tenants (`TenantQuotas`); its fields are written in this order."""

    tokens: list[float]
    filled_us: list[int]
    clock_us: int
    last_request_us: int
    short_until_us: int
    sent_since_request: int


class ZoneSubsetState(NamedTuple):
    """The admission state of one zone subset; its fields are written in this order."""

    admitted_fraction: float
    attempts_this_second: int
    attempts_per_s: float


class HandoverState(NamedTuple):
    """A complete state after validation and conversion."""

    endpoints: dict[str, EndpointState]
    latency_baseline: LatencyBaselineState
    request_times_us: list[int]
    retry_times_us: list[int]
    slow_start: SlowStartState
    quotas: TenantQuotasState
    subsets: list[ZoneSubsetState]


def capture(balancer: LoadBalancer, names: dict[int, str]) -> dict[str, Any]:
    """Returns the policy's state as members of a frame; `names` maps indices to names of endpoints."""
    slow_start, quotas = balancer.slow_start, balancer.quotas
    return {
        ENDPOINTS: [list(_capture_endpoint(name, balancer.endpoints[ix])) for ix, name in names.items()],
        LATENCY_BASELINE: list(
            LatencyBaselineState(
                mean=balancer.latency_baseline.mean,
                mean_deviation=balancer.latency_baseline.mean_deviation,
                baseline=balancer.latency_baseline.baseline,
                threshold=balancer.latency_baseline.threshold,
                updated_us=balancer.latency_baseline.updated_us,
                sample_count=balancer.latency_baseline.sample_count,
            )
        ),
        RETRY_BUDGET: [list(balancer.budget.request_times_us), list(balancer.budget.retry_times_us)],
        SLOW_START: list(
            SlowStartState(slow_start.created_us, slow_start.recent_successes, slow_start.recent_successes_us)
        ),
        TENANT_QUOTAS: list(
            TenantQuotasState(
                tokens=quotas.tokens,
                filled_us=quotas.filled_us,
                clock_us=quotas.clock_us,
                last_request_us=quotas.last_request_us,
                short_until_us=quotas.short_until_us,
                sent_since_request=quotas.sent_since_request,
            )
        ),
        ZONE_SUBSETS: [
            list(
                ZoneSubsetState(
                    subset.admission.admitted_fraction,
                    subset.admission.attempts_this_second,
                    subset.admission.attempts_per_s,
                )
            )
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
        limit_cut_us=endpoint.limit_cut_us,
        last_prompt_sent_us=endpoint.last_prompt_sent_us,
        last_outcome_us=endpoint.last_outcome_us,
        unavailable_until_us=endpoint.unavailable_until_us,
        slow_start_credit_us=endpoint.slow_start_credit_us,
    )


def restore(fields: dict[str, Any], balancer: LoadBalancer, names: dict[int, str], now_us: int) -> None:
    """Restores a captured state into the policy of this process.

    Args:
        fields: The body of a frame, from which the members of the state are read.
        balancer: The policy of this process, which already has the endpoint list.
        names: Names of the endpoints, by index. An endpoint that the state does not contain, or that has
            restarted since, keeps its initial values.
        now_us: The current time in microseconds, used to choose the zone subsets again.

    Raises:
        MalformedStateError: The state is invalid; nothing has changed.
    """
    state = _parse(fields)
    for index, name in names.items():
        endpoint = balancer.endpoints[index]
        endpoint_state = state.endpoints.get(name)
        if endpoint_state is not None and endpoint_state.started_us == endpoint.started_us:
            _restore_endpoint(endpoint_state, endpoint)
    _restore_latency_baseline(state.latency_baseline, balancer)
    balancer.budget.request_times_us, balancer.budget.retry_times_us = (
        deque(state.request_times_us),
        deque(state.retry_times_us),
    )
    _restore_slow_start(state.slow_start, balancer)
    _restore_quotas(state.quotas, balancer)
    for subset, subset_state in zip(balancer.zone_subsets, state.subsets, strict=False):
        admission = subset.admission
        admission.admitted_fraction = subset_state.admitted_fraction or admission.admitted_fraction
        admission.attempts_this_second = subset_state.attempts_this_second
        admission.attempts_per_s = subset_state.attempts_per_s
    for subset in balancer.zone_subsets:
        subset.choose(now_us)


def _restore_endpoint(state: EndpointState, endpoint: Endpoint) -> None:
    endpoint.limit = state.limit
    endpoint.latency = state.latency
    endpoint.success_rate = state.success_rate
    endpoint.slow_start_credit = state.slow_start_credit
    endpoint.limit_cut_us = state.limit_cut_us
    endpoint.last_prompt_sent_us = state.last_prompt_sent_us
    endpoint.last_outcome_us = state.last_outcome_us
    endpoint.unavailable_until_us = state.unavailable_until_us
    endpoint.slow_start_credit_us = state.slow_start_credit_us


def _restore_latency_baseline(state: LatencyBaselineState, balancer: LoadBalancer) -> None:
    baseline = balancer.latency_baseline
    baseline.mean = state.mean
    baseline.mean_deviation = state.mean_deviation
    baseline.baseline = state.baseline
    baseline.threshold = state.threshold
    baseline.updated_us = state.updated_us
    baseline.sample_count = state.sample_count
    # Derived values are not part of a frame, so that processes of different versions can exchange state.
    baseline.restore_tolerance()


def _restore_slow_start(state: SlowStartState, balancer: LoadBalancer) -> None:
    slow_start = balancer.slow_start
    slow_start.created_us = state.created_us
    slow_start.recent_successes = state.recent_successes
    slow_start.recent_successes_us = state.recent_successes_us
    own_subset = balancer.zone_subsets[balancer.spillover.own_zone]
    own_subset.successes_per_scale = state.recent_successes / max(MIN_SCALE, own_subset.scale_in_use)
    own_subset.successes_us = state.recent_successes_us


def _restore_quotas(state: TenantQuotasState, balancer: LoadBalancer) -> None:
    """Restores the use of the quotas unless the number of tenants differs."""
    quotas = balancer.quotas
    if len(state.tokens) != len(quotas.tokens):
        return
    quotas.tokens = state.tokens
    quotas.filled_us = state.filled_us
    quotas.clock_us = state.clock_us
    quotas.last_request_us = state.last_request_us
    quotas.short_until_us = state.short_until_us
    quotas.sent_since_request = state.sent_since_request


def _parse(fields: dict[str, Any]) -> HandoverState:
    try:
        endpoints = [_parse_endpoint(values) for values in fields[ENDPOINTS]]
        latency_baseline = _parse_latency_baseline(fields[LATENCY_BASELINE])
        request_times_us, retry_times_us = (sorted(_parse_integers(times)) for times in fields[RETRY_BUDGET])
        created_us, successes, successes_us = fields[SLOW_START]
        return HandoverState(
            {endpoint.name: endpoint for endpoint in endpoints},
            latency_baseline,
            request_times_us,
            retry_times_us,
            SlowStartState(
                _parse_integer(created_us), _parse_number(successes), _parse_integer(successes_us)
            ),
            _parse_quotas(fields[TENANT_QUOTAS]),
            [
                ZoneSubsetState(
                    _parse_number(admitted_fraction), _parse_integer(attempts), _parse_number(attempts_per_s)
                )
                for admitted_fraction, attempts, attempts_per_s in fields[ZONE_SUBSETS]
            ],
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedStateError(f"malformed hand-over state: {type(error).__name__}: {error}") from None


def _parse_endpoint(values: Any) -> EndpointState:
    name, started_us, limit, latency, success_rate, credit, *times = values
    return EndpointState(
        str(name),
        _parse_integer(started_us),
        _parse_number(limit),
        _parse_number(latency),
        _parse_number(success_rate),
        _parse_number(credit),
        *_parse_integers(times, 5),
    )


def _parse_latency_baseline(values: Any) -> LatencyBaselineState:
    mean, deviation, baseline, threshold, *times = values
    return LatencyBaselineState(
        _parse_number(mean),
        _parse_number(deviation),
        _parse_number(baseline),
        _parse_number(threshold),
        *_parse_integers(times, 2),
    )


def _parse_quotas(values: Any) -> TenantQuotasState:
    tokens, filled_us, *times = values
    return TenantQuotasState(
        [_parse_number(value) for value in tokens],
        _parse_integers(filled_us, len(tokens)),
        *_parse_integers(times, 4),
    )


def _parse_number(value: Any) -> float:
    if (
        not isinstance(value, int | float)
        or isinstance(value, bool)
        or not -MAX_MAGNITUDE < value < MAX_MAGNITUDE
    ):
        raise ValueError(
            f"not a number with a magnitude below {MAX_MAGNITUDE:g}: {str(value)[:MAX_SHOWN_CHARS]!r}"
        )
    return float(value)


def _parse_integer(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"not an integer: {str(value)[:MAX_SHOWN_CHARS]!r}")
    return value


def _parse_integers(values: Iterable[Any], count: int | None = None) -> list[int]:
    integers = [_parse_integer(value) for value in values]
    if count is not None and len(integers) != count:
        raise ValueError(f"expected {count} integers, got {len(integers)}")
    return integers
