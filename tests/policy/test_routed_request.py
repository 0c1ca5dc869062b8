"""The times of one request."""

from __future__ import annotations

import pytest

from cressrail.policy.decision import FailRequest, RejectRequest
from cressrail.policy.outcome import Outcome
from cressrail.policy.request_class import Idempotency, KeyScope, RequestClass
from tests.policy.support import SECOND, make_mesh_load_balancer, start_request, starts_in


@pytest.mark.parametrize(
    "idempotency, key_scope, overdue_weight, is_per_client, timeout_us",
    [
        (Idempotency.IDEMPOTENT, KeyScope.ALL, 0.0, True, 980_000),
        (Idempotency.WITH_KEY, KeyScope.ALL, 0.0, True, 980_000),
        (Idempotency.IDEMPOTENT, KeyScope.ALL, 0.3, True, 3_990_000),
        (Idempotency.NON_IDEMPOTENT, KeyScope.ALL, 0.0, True, 3_990_000),
        (Idempotency.WITH_KEY, KeyScope.CELL, 0.0, True, 3_990_000),
        (Idempotency.IDEMPOTENT, KeyScope.ALL, 0.0, False, 3_990_000),
    ],
)
def test_attempt_ends_at_the_objective_where_late_is_worthless_and_reject_is_allowed(
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
