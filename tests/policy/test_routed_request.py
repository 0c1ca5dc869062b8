"""Deadlines, timeouts and in-flight counts of one request."""

from __future__ import annotations

import pytest

from cressrail.policy.decision import FailRequest, RejectRequest
from cressrail.policy.outcome import Outcome
from cressrail.policy.request_class import Idempotency, KeyScope, RequestClass
from tests.policy.support import (
    NO_TENANT,
    SECOND,
    make_entry,
    make_load_balancer,
    make_mesh_load_balancer,
    make_request_class,
    start_request,
    starts_in,
)


@pytest.mark.parametrize(
    ("idempotency", "key_scope", "overdue_weight", "is_per_client", "timeout_us"),
    [
        (Idempotency.IDEMPOTENT, KeyScope.ALL, 0.0, True, 980_000),
        (Idempotency.WITH_KEY, KeyScope.ALL, 0.0, True, 980_000),
        (Idempotency.IDEMPOTENT, KeyScope.ALL, 0.3, True, 3_990_000),
        (Idempotency.NON_IDEMPOTENT, KeyScope.ALL, 0.0, True, 3_990_000),
        (Idempotency.WITH_KEY, KeyScope.CELL, 0.0, True, 3_990_000),
        (Idempotency.IDEMPOTENT, KeyScope.ALL, 0.0, False, 3_990_000),
    ],
)
def test_timeout_ends_at_the_objective_if_late_answers_are_worthless_and_reject_is_allowed(
    idempotency: Idempotency, key_scope: KeyScope, overdue_weight: float, is_per_client: bool, timeout_us: int
) -> None:
    load_balancer = make_mesh_load_balancer(is_per_client=is_per_client, instance_count=1)
    request_class = RequestClass(idempotency, key_scope, 5 * SECOND, SECOND, 4 * SECOND, 1.0, overdue_weight)
    request = start_request(load_balancer, 0, request_class)
    [start] = starts_in(request.route(0))
    assert start.timeout_us == timeout_us
    decisions = request.on_attempt_finished(0, timeout_us, Outcome.TIMED_OUT, timeout_us, False)
    is_harmless = idempotency is Idempotency.IDEMPOTENT or (idempotency, key_scope) == (
        Idempotency.WITH_KEY,
        KeyScope.ALL,
    )
    assert [type(decision) for decision in decisions] == [RejectRequest if is_harmless else FailRequest]


def test_request_counts_as_in_flight_only_once_its_clock_runs() -> None:
    """Otherwise slow uploads and slow readers would use up the limits of idle endpoints."""
    load_balancer = make_load_balancer([make_entry(0)])
    endpoint, subset = load_balancer.endpoints[0], load_balancer.zone_subsets[0]
    request = load_balancer.start_request(0, make_request_class(), NO_TENANT, -1)
    [start] = starts_in(request.route(0))
    assert start.timeout_us > 1000 * SECOND
    assert (endpoint.in_flight, subset.in_flight) == (0, 0)
    request.start_clock(9 * SECOND, SECOND)
    assert (endpoint.in_flight, subset.in_flight) == (1, 1)
    assert request.deadline_us <= 10 * SECOND
    request.on_attempt_finished(0, 9 * SECOND + 1000, Outcome.SUCCEEDED, 1000, True)
    assert (endpoint.in_flight, subset.in_flight) == (0, 0)
    unsent = load_balancer.start_request(0, make_request_class(), NO_TENANT, -1)
    unsent.route(0)
    unsent.on_attempt_finished(0, 1000, Outcome.CONNECT_FAILED, 1000, False)
    assert (endpoint.in_flight, subset.in_flight) == (0, 0)
