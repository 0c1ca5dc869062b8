"""Safety rules for retries, and for rejections that declare a request to be without effect."""

from __future__ import annotations

import pytest

from cressrail.policy.outcome import NEVER_RAN_OUTCOMES, Outcome
from cressrail.policy.request_class import Idempotency, KeyScope
from cressrail.policy.retry_policy import RetryPolicy
from cressrail.policy.routed_request import RoutedRequest
from tests.policy.support import (
    FAILURES,
    IDEMPOTENCY_CASES,
    SECOND,
    make_entry,
    make_load_balancer,
    make_request_class,
    start_request,
)


def request_after(idempotency: Idempotency, key_scope: KeyScope, outcome: Outcome) -> RoutedRequest:
    """Returns a request whose only attempt ended with `outcome` at an endpoint in zone 0 and cell 0."""
    load_balancer = make_load_balancer([make_entry(0, zone=0, cell=0)], retry_policy=RetryPolicy(3, False))
    request = start_request(load_balancer, 0, make_request_class(idempotency, key_scope))
    request.route(0)
    request.on_attempt_finished(0, 0, outcome, 0, False)
    return request


@pytest.mark.parametrize(("idempotency", "key_scope"), IDEMPOTENCY_CASES)
@pytest.mark.parametrize("outcome", FAILURES)
@pytest.mark.parametrize(("zone", "cell"), [(0, 0), (0, 1), (1, 1)])
@pytest.mark.parametrize("now_us", [0, 5 * SECOND])
def test_retry_is_allowed_only_without_effect_or_within_scope_and_window(
    idempotency: Idempotency, key_scope: KeyScope, outcome: Outcome, zone: int, cell: int, now_us: int
) -> None:
    request = request_after(idempotency, key_scope, outcome)
    policy = request.load_balancer.retry_policy
    other = make_load_balancer([make_entry(1, zone, cell)]).endpoints[1]
    is_in_scope = key_scope is KeyScope.ALL or (zone == 0 and (key_scope is KeyScope.ZONE or cell == 0))
    is_allowed = (
        outcome in NEVER_RAN_OUTCOMES
        or idempotency is Idempotency.IDEMPOTENT
        or (idempotency is Idempotency.WITH_KEY and is_in_scope and now_us < 5 * SECOND)
    )
    assert (policy.may_retry(request, now_us) and policy.may_use_endpoint(request, other)) is is_allowed


@pytest.mark.parametrize(("idempotency", "key_scope"), IDEMPOTENCY_CASES)
@pytest.mark.parametrize("outcome", FAILURES)
def test_reject_is_allowed_only_where_another_run_is_harmless(
    idempotency: Idempotency, key_scope: KeyScope, outcome: Outcome
) -> None:
    is_allowed = (
        outcome in NEVER_RAN_OUTCOMES
        or idempotency is Idempotency.IDEMPOTENT
        or (idempotency, key_scope) == (Idempotency.WITH_KEY, KeyScope.ALL)
    )
    request = request_after(idempotency, key_scope, outcome)
    assert RetryPolicy(3, False).may_reject(request) is is_allowed


@pytest.mark.parametrize(
    ("may_hedge", "in_flight", "attempts", "is_allowed"),
    [
        (False, 0, 1, True),
        (False, 1, 1, False),
        (True, 1, 1, True),
        (True, 0, 3, False),
        (False, 0, 3, False),
    ],
)
def test_retry_respects_attempts_in_flight_and_maximum_attempts(
    may_hedge: bool, in_flight: int, attempts: int, is_allowed: bool
) -> None:
    load_balancer = make_load_balancer([make_entry(0)])
    request = start_request(load_balancer)
    request.attempts = [load_balancer.endpoints[0]] * attempts
    request.in_flight = dict.fromkeys(range(in_flight), 0)
    assert RetryPolicy(3, may_hedge).may_retry(request, 0) is is_allowed
