"""Queue of the requests for which no endpoint has room."""

from __future__ import annotations

import pytest

from cressrail.policy.outcome import Outcome
from tests.policy.support import (
    SECOND,
    make_entry,
    make_load_balancer,
    make_request_class,
    send_successes,
    start_request,
    starts_in,
)


@pytest.mark.parametrize("remaining_us", [10_000, 100_000, 4 * SECOND])
def test_queued_request_leaves_before_its_deadline(remaining_us: int) -> None:
    load_balancer = make_load_balancer([make_entry(0)])
    send_successes(load_balancer)
    load_balancer.endpoints[0].limit, load_balancer.endpoints[0].in_flight = 1.0, 1
    waiting = [start_request(load_balancer, remaining_us=left) for left in (4 * SECOND, remaining_us)]
    assert [request.route(0) for request in waiting] == [[], []]
    now_us = load_balancer.wake_us
    while not waiting[1].is_finished:
        assert now_us <= remaining_us
        load_balancer.on_timer(now_us)
        now_us = load_balancer.wake_us


@pytest.mark.parametrize(
    ("weights", "is_ingress", "leaves_first"),
    [((0.1, 1.0), True, 1), ((1.0, 0.1), True, 0), ((0.5, 0.5), True, 0), ((0.1, 1.0), False, 0)],
)
def test_queue_serves_the_greatest_weight_first_in_the_ingress_tier(
    weights: tuple[float, float], is_ingress: bool, leaves_first: int
) -> None:
    load_balancer = make_load_balancer([make_entry(0)], is_ingress=is_ingress)
    send_successes(load_balancer)
    load_balancer.endpoints[0].limit = 1.0
    busy = start_request(load_balancer)
    busy.route(0)
    waiting = [
        start_request(load_balancer, 0, make_request_class(priority_weight=weight)) for weight in weights
    ]
    assert [request.route(0) for request in waiting] == [[], []]
    started = starts_in(busy.on_attempt_finished(0, 1000, Outcome.SUCCEEDED, 1000, True))
    assert started[0].request is waiting[leaves_first]
