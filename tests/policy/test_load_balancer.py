"""Properties of the load balancer as a whole."""

from __future__ import annotations

import pytest

from cressrail.policy.decision import FailRequest, RejectRequest, StartAttempt
from cressrail.policy.endpoint import EndpointUpdate
from cressrail.policy.outcome import Outcome
from cressrail.policy.request_class import Idempotency, KeyScope
from tests.policy.support import (
    FAILURES,
    IDEMPOTENCY_CASES,
    SECOND,
    make_entry,
    make_load_balancer,
    make_request_class,
    send_successes,
    start_request,
    starts_in,
)


@pytest.mark.parametrize("outcome", FAILURES)
@pytest.mark.parametrize(("idempotency", "key_scope"), IDEMPOTENCY_CASES)
def test_request_gets_exactly_one_final_answer(
    idempotency: Idempotency, key_scope: KeyScope, outcome: Outcome
) -> None:
    load_balancer = make_load_balancer([make_entry(index, index % 2) for index in range(4)])
    send_successes(load_balancer)
    request = start_request(load_balancer, 0, make_request_class(idempotency, key_scope))
    answers, attempts = [], len(request.route(0))
    for number in range(4):
        if number >= attempts:
            continue
        for decision in request.on_attempt_finished(number, 0, outcome, 1000, False):
            attempts += isinstance(decision, StartAttempt)
            answers += [decision] if isinstance(decision, RejectRequest | FailRequest) else []
    assert len(answers) == 1
    assert request.is_finished
    assert not request.in_flight
    assert request.on_attempt_finished(0, 0, outcome, 1000, True) == []


@pytest.mark.parametrize("entries", [[make_entry(0, accepts_requests=False), make_entry(1)], [make_entry(1)]])
def test_route_sends_nothing_to_draining_or_removed_endpoints(entries: list[EndpointUpdate]) -> None:
    load_balancer = make_load_balancer([make_entry(0), make_entry(1)])
    load_balancer.update_endpoints(0, entries, True)
    used = {
        start.endpoint_index
        for _ in range(40)
        for start in starts_in(start_request(load_balancer, remaining_us=SECOND).route(0))
    }
    assert used == {1}


@pytest.mark.parametrize("outcome", list(Outcome))
@pytest.mark.parametrize(
    "entries",
    [
        [],
        [make_entry(0, accepts_requests=False)],
        [make_entry(0, accepts_requests=False, started_us=9)],
        [make_entry(0, 1), make_entry(1)],
        [make_entry(0, started_us=9)],
    ],
)
def test_on_attempt_finished_keeps_sums_after_endpoint_left_or_moved(
    outcome: Outcome, entries: list[EndpointUpdate]
) -> None:
    load_balancer = make_load_balancer([make_entry(0)], instance_count=50)
    request = start_request(load_balancer)
    request.route(0)
    load_balancer.update_endpoints(10, entries, True)
    request.on_attempt_finished(0, 3 * SECOND, outcome, 3 * SECOND, outcome is Outcome.SUCCEEDED)
    assert load_balancer.endpoints[0].in_flight == 0
    assert not request.in_flight
    for subset in load_balancer.zone_subsets:
        assert subset.in_flight == sum(endpoint.in_flight for endpoint in subset.in_use)


@pytest.mark.parametrize(
    ("outcome", "is_last_tier", "others_fail", "is_owned"),
    [
        (Outcome.REJECTED_BY_ENDPOINT, False, True, True),
        (Outcome.CONNECT_FAILED, False, True, True),
        (Outcome.CONNECTION_RESET, False, True, True),
        (Outcome.CANCELLED, True, False, False),
        (Outcome.NOT_SENT, True, False, False),
        (Outcome.ERROR, True, True, True),
        (Outcome.TIMED_OUT, True, True, True),
        (Outcome.ERROR, False, False, True),
        (Outcome.TIMED_OUT, False, False, True),
        (Outcome.ERROR, False, True, False),
        (Outcome.TIMED_OUT, False, True, False),
    ],
)
def test_only_owned_errors_are_retried(
    outcome: Outcome, is_last_tier: bool, others_fail: bool, is_owned: bool
) -> None:
    load_balancer = make_load_balancer([make_entry(index) for index in range(4)], is_last_tier=is_last_tier)
    send_successes(load_balancer)
    for endpoint in load_balancer.endpoints.values():
        endpoint.success_rate, endpoint.last_outcome_us = (0.0 if others_fail else 1.0), 0
    load_balancer.update_endpoints(0, [], False)
    request = start_request(load_balancer, remaining_us=SECOND)
    request.route(0)
    decisions = request.on_attempt_finished(0, 0, outcome, 1000, False)
    assert [type(decision) is StartAttempt for decision in decisions] == [is_owned]


def test_request_is_queued_when_the_limit_is_reached() -> None:
    load_balancer = make_load_balancer([make_entry(0)])
    load_balancer.endpoints[0].limit = load_balancer.zone_subsets[0].limit = 1.0
    requests = [start_request(load_balancer) for _ in range(2)]
    assert [len(request.route(0)) for request in requests] == [1, 0]
    assert load_balancer.queue.requests == [requests[1]]
