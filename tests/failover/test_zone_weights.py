"""Routing of requests by the load balancer according to decided zone weights."""

from __future__ import annotations

import pytest

from cressrail.policy.decision import RejectRequest, StartAttempt
from cressrail.policy.outcome import Outcome
from cressrail.policy.request_class import Idempotency, KeyScope
from tests.policy.support import (
    SECOND,
    make_entry,
    make_load_balancer,
    make_request_class,
    send_successes,
    starts_in,
)


@pytest.mark.parametrize(
    ("weights", "freshness", "least", "most", "rejected"),
    [
        ((0.2, 0.8), 1.0, 0.15, 0.25, 0.0),
        ((0.0, 1.0), 1.0, 0.0, 0.0, 0.0),
        ((0.0, 1.0), 0.0, 1.0, 1.0, 0.0),  # an expired decision is replaced by local judgement
        ((0.0, 1.0), 0.5, 0.4, 0.6, 0.0),
        ((0.3, 0.2), 1.0, 0.25, 0.35, 0.5),  # the unserved share is rejected immediately
    ],
)
def test_requests_are_routed_by_zone_weights(
    weights: tuple[float, ...], freshness: float, least: float, most: float, rejected: float
) -> None:
    load_balancer = make_load_balancer([make_entry(index, index % 2) for index in range(8)])
    load_balancer.apply_zone_weights(weights, freshness)
    sent, rejected_count = [0, 0], 0
    for number in range(1000):
        request = load_balancer.start_request(number * 10_000, make_request_class(), -1, 4 * SECOND)
        for decision in request.route(number * 10_000):
            if isinstance(decision, StartAttempt):
                sent[load_balancer.endpoints[decision.endpoint_index].zone] += 1
                request.on_attempt_finished(0, number * 10_000, Outcome.SUCCEEDED, 10_000, True)
            else:
                rejected_count += isinstance(decision, RejectRequest)
    assert least <= sent[0] / 1000 <= most
    assert rejected_count / 1000 == pytest.approx(rejected, abs=0.06)
    assert sum(sent) + rejected_count == 1000


def test_small_weight_probes_a_locally_failing_zone_and_a_large_weight_does_not() -> None:
    for weight, is_probed in ((0.05, True), (0.5, False)):
        load_balancer = make_load_balancer([make_entry(index, index % 2) for index in range(8)])
        for endpoint in load_balancer.endpoints.values():
            endpoint.success_rate = 0.0 if endpoint.zone else 1.0
            endpoint.last_outcome_us = SECOND
        load_balancer.zone_subsets[1].choose(SECOND)
        assert load_balancer.zone_subsets[1].is_failing
        load_balancer.apply_zone_weights((1 - weight, weight), 1.0)
        sent = 0
        for number in range(400):
            request = load_balancer.start_request(SECOND + number, make_request_class(), -1, 4 * SECOND)
            for decision in request.route(SECOND + number):
                if isinstance(decision, StartAttempt):
                    sent += load_balancer.endpoints[decision.endpoint_index].zone == 1
                request.on_attempt_finished(0, SECOND + number, Outcome.NOT_SENT, 0, True)
        assert (sent > 8) is is_probed


def test_retry_within_a_key_scope_stays_in_its_zone_under_any_zone_weights() -> None:
    load_balancer = make_load_balancer([make_entry(index, index % 2) for index in range(8)])
    send_successes(load_balancer)
    load_balancer.apply_zone_weights((0.0, 1.0), 1.0)
    for number in range(50):
        request = load_balancer.start_request(
            number, make_request_class(Idempotency.WITH_KEY, KeyScope.ZONE), -1, 4 * SECOND
        )
        first = starts_in(request.route(number))[0].endpoint_index
        retry = request.on_attempt_finished(0, number, Outcome.CONNECTION_RESET, 10_000, False)
        zones = {load_balancer.endpoints[start.endpoint_index].zone for start in starts_in(retry)}
        assert load_balancer.endpoints[first].zone == 1
        assert zones <= {1}
