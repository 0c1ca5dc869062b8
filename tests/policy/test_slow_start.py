"""Attempts that one instance sends to endpoints that have just started."""

from __future__ import annotations

import pytest

from cressrail.policy.outcome import Outcome
from tests.policy.support import (
    SECOND,
    make_entry,
    make_load_balancer,
    make_slow_start,
    send_successes,
    start_request,
    starts_in,
)

MILLISECOND = 1000


@pytest.mark.parametrize(("age_s", "maximum"), [(0, 8), (5, 24), (9, 38)])
def test_starting_endpoint_gets_a_fraction_of_what_a_warmed_up_one_gets(age_s: int, maximum: int) -> None:
    load_balancer = make_load_balancer([make_entry(0), make_entry(1)], slow_start=make_slow_start())
    for now_us in range(0, 20 * SECOND, 50 * MILLISECOND):
        send_successes(load_balancer, 1, now_us)
    started_us = 20 * SECOND
    since_us = started_us + age_s * SECOND
    load_balancer.update_endpoints(since_us, [make_entry(1, started_us=started_us)], False)
    sent = 0
    for now_us in range(since_us, since_us + SECOND, 25 * MILLISECOND):
        request = start_request(load_balancer, now_us, remaining_us=SECOND)
        for start in starts_in(request.route(now_us)):
            sent += start.endpoint_index == 1
            request.on_attempt_finished(0, now_us, Outcome.SUCCEEDED, SECOND // 10, True)
    assert sent <= maximum


@pytest.mark.parametrize(("created_s", "minimum", "maximum"), [(19, 1, 3), (0, 0, 1)])
def test_instance_started_among_starting_endpoints_sends_some_attempts(
    created_s: int, minimum: int, maximum: int
) -> None:
    started_us = 19 * SECOND
    load_balancer = make_load_balancer([], slow_start=make_slow_start(now_us=created_s * SECOND))
    load_balancer.update_endpoints(started_us, [make_entry(0, started_us=started_us)], True)
    sent = 0
    for now_us in range(started_us, started_us + 2 * SECOND, 10 * MILLISECOND):
        decisions = load_balancer.on_timer(now_us)
        decisions += start_request(load_balancer, now_us, remaining_us=SECOND).route(now_us)
        sent += len(starts_in(decisions))
    assert minimum <= sent <= maximum


@pytest.mark.parametrize(
    ("busy_s", "starved_s", "even_rate_per_s", "minimum", "maximum"),
    [
        # The bound is 80 attempts: 10 per second at each endpoint, 0.2 to 0.6 of that for 5 s, times the
        # overload multiple of 4.
        (20, 0, 0.0, 40, 65),
        (20, 5, 0.0, 25, 45),
        (20, 200, 0.0, 0, 3),
        (0, 20, 40.0, 28, 48),
        (20, 5, 40.0, 38, 60),
        (0, 0, 0.0, 0, 3),
    ],
)
def test_credit_does_not_shrink_with_the_throughput_of_a_starting_fleet(
    busy_s: int, starved_s: int, even_rate_per_s: float, minimum: int, maximum: int
) -> None:
    slow_start = make_slow_start(even_rate_per_s / SECOND)
    started_us = (busy_s + starved_s) * SECOND
    load_balancer = make_load_balancer(
        [make_entry(index) for index in range(4)], slow_start=slow_start, zone_count=1
    )
    endpoint, subset = load_balancer.endpoints[0], load_balancer.zone_subsets[0]
    for number in range(busy_s * 40):
        slow_start.record_success(number * SECOND // 40, subset)
    for second in range(starved_s):  # one success per second
        slow_start.record_success((busy_s + second) * SECOND, subset)
    endpoint.started_us = endpoint.slow_start_credit_us = started_us
    attempts = 0
    for now_us in range(started_us, started_us + 5 * SECOND, SECOND // 50):
        if slow_start.accrue_credit(endpoint, now_us, subset, True):
            attempts += 1
            endpoint.slow_start_credit = 0.0
    assert minimum <= attempts <= maximum


@pytest.mark.parametrize(
    ("connect_failures", "successes", "is_warming_up"),
    [(1, 0, True), (1, 1, True), (1, 2, False), (20, 3, True), (20, 4, False), (0, 0, False)],
)
def test_endpoint_is_warming_up_after_failed_connections_until_it_succeeds(
    connect_failures: int, successes: int, is_warming_up: bool
) -> None:
    load_balancer = make_load_balancer([make_entry(0)], zone_count=1)
    endpoint = load_balancer.endpoints[0]
    outcomes = [Outcome.CONNECT_FAILED] * connect_failures
    outcomes += [Outcome.ERROR] + [Outcome.SUCCEEDED] * successes
    for outcome in outcomes:
        request = start_request(load_balancer, remaining_us=SECOND)
        load_balancer._start_attempt(request, endpoint, 0)
        request.on_attempt_finished(0, 1000, outcome, 1000, outcome is Outcome.SUCCEEDED)
    assert load_balancer.slow_start.is_warming_up(endpoint, 1000) is is_warming_up
    # Once the list gives a start time, the warm-up is measured from it.
    load_balancer.update_endpoints(2000, [make_entry(0, started_us=1)], False)
    assert endpoint.connect_failures == 0
    assert load_balancer.slow_start.is_warming_up(endpoint, 2000)
