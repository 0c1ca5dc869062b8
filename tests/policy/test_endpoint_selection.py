"""Selection of the endpoint for an attempt."""

from __future__ import annotations

import pytest

from cressrail.policy.decision import StartAttempt
from cressrail.policy.outcome import Outcome
from tests.policy.support import (
    SECOND,
    make_entry,
    make_load_balancer,
    make_request_class,
    start_request,
    starts_in,
)


@pytest.mark.parametrize(
    ("failing", "last_outcome_us", "zone"),
    [([], 0, 0), ([0], 0, 0), ([0, 1], 0, 1), ([0, 1], -60 * SECOND, 0), ([0, 1, 2, 3, 4], 0, 0)],
)
def test_select_leaves_own_zone_when_most_of_its_endpoints_fail(
    failing: list[int], last_outcome_us: int, zone: int
) -> None:
    load_balancer = make_load_balancer([make_entry(index, zone=index // 3) for index in range(5)])
    for index in failing:
        endpoint = load_balancer.endpoints[index]
        endpoint.success_rate, endpoint.last_outcome_us = 0.0, last_outcome_us
    load_balancer.update_endpoints(0, [], False)
    zones = set()
    for _ in range(10):
        for decision in start_request(load_balancer, remaining_us=SECOND).route(0):
            assert isinstance(decision, StartAttempt)
            zones.add(load_balancer.endpoints[decision.endpoint_index].zone)
    assert zones == {zone}


def test_overflow_is_queued_rather_than_sent_to_a_gone_process() -> None:
    load_balancer = make_load_balancer([make_entry(0), make_entry(1, zone=1)])
    load_balancer.on_connection_lost(0, 0)
    used = {
        start.endpoint_index
        for _ in range(50)
        for start in starts_in(start_request(load_balancer, remaining_us=SECOND).route(0))
    }
    assert used == {1}
    assert load_balancer.queue.requests


@pytest.mark.parametrize(
    ("in_flight", "latencies", "selected"),
    [((3, 0), (1.0, 1.0), 1), ((0, 3), (1.0, 1.0), 0), ((1, 1), (0.9, 0.1), 1), ((0, 1), (0.9, 0.1), 0)],
)
def test_select_takes_the_endpoint_with_fewer_own_attempts_in_flight(
    in_flight: tuple[int, int], latencies: tuple[float, float], selected: int
) -> None:
    load_balancer = make_load_balancer([make_entry(0), make_entry(1)])
    for index in (0, 1):
        endpoint = load_balancer.endpoints[index]
        endpoint.in_flight, endpoint.latency = in_flight[index], latencies[index]
    [start] = starts_in(start_request(load_balancer, remaining_us=SECOND).route(0))
    assert start.endpoint_index == selected


@pytest.mark.parametrize(("weight", "minimum", "maximum"), [(1.0, 200, 200), (0.0, 70, 130)])
def test_limit_below_one_admits_a_fraction_of_the_requests_of_low_weight(
    weight: float, minimum: int, maximum: int
) -> None:
    load_balancer = make_load_balancer([make_entry(0)], instance_count=100)
    attempts = 0
    for _ in range(200):
        request = start_request(load_balancer, 0, make_request_class(priority_weight=weight), SECOND)
        started = starts_in(request.route(0))
        attempts += len(started)
        if started:
            request.on_attempt_finished(0, 0, Outcome.SUCCEEDED, 1000, True)
        load_balancer.queue.requests.clear()
    assert minimum <= attempts <= maximum


@pytest.mark.parametrize(("requests", "attempts"), [(1, 1), (2, 1), (6, 1)])
def test_instance_with_nothing_in_flight_may_send_one_attempt(requests: int, attempts: int) -> None:
    load_balancer = make_load_balancer(
        [make_entry(index, index % 2) for index in range(8)], instance_count=300
    )
    for endpoint in load_balancer.endpoints.values():
        endpoint.limit = 0.0
    started = [start_request(load_balancer, remaining_us=SECOND) for _ in range(requests)]
    assert sum(len(starts_in(request.route(0))) for request in started) == attempts
