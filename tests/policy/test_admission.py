"""Admission in the mesh, where each client process has an instance: many instances with little traffic."""

from __future__ import annotations

import pytest

from cressrail.policy.admission import TARGET_LATENCY
from cressrail.policy.decision import RejectRequest, StartAttempt
from cressrail.policy.endpoint import EJECTION_US
from cressrail.policy.outcome import Outcome
from tests.policy.support import (
    SECOND,
    make_entry,
    make_mesh_load_balancer,
    make_slow_start,
    start_request,
    starts_in,
)


@pytest.mark.parametrize(
    ("sizes", "fractions"),
    [((3, 3), (1.0, 1.0)), ((1, 3), (0.5, 1.5)), ((1, 9), (0.2, 1.8)), ((0, 3), (0.0, 2.0))],
)
def test_initial_admitted_fraction_is_the_zone_capacity_relative_to_the_mean(
    sizes: tuple[int, int], fractions: tuple[float, float]
) -> None:
    load_balancer = make_mesh_load_balancer(
        [make_entry(10 * zone + number, zone) for zone in (0, 1) for number in range(sizes[zone])],
        admitted_fraction=0,
    )
    found = [subset.admission.admitted_fraction for subset in load_balancer.zone_subsets]
    assert found == pytest.approx(list(fractions))


@pytest.mark.parametrize(
    ("attempts_per_s", "latency_ratio", "factor"),
    [(0.0, 1, 1.0), (0.0, 0.5, 1.55), (0.0, 4, 0.5), (10.0, 0.5, 1.055), (10.0, 4, 0.889)],
)
def test_record_latency_adjusts_the_admitted_fraction_more_at_low_attempt_rates(
    attempts_per_s: float, latency_ratio: float, factor: float
) -> None:
    admission = make_mesh_load_balancer().zone_subsets[0].admission
    admission.attempts_per_s, admission.admitted_fraction = attempts_per_s, 0.5
    admission.record_latency(latency_ratio * TARGET_LATENCY)
    assert admission.admitted_fraction == pytest.approx(0.5 * factor, rel=0.01)


def test_admitted_fraction_and_rate_survive_a_list_update() -> None:
    load_balancer = make_mesh_load_balancer()
    subset = load_balancer.zone_subsets[0]
    subset.admission.admitted_fraction, subset.admission.attempts_per_s = 0.3, 9.0
    load_balancer.update_endpoints(0, [make_entry(20, 0)], False)
    assert subset.admission.admitted_fraction == 0.3
    assert subset.admission.attempts_per_s == 9.0
    assert subset.target_size == 4


def test_requests_that_no_zone_admits_are_rejected_at_once() -> None:
    load_balancer = make_mesh_load_balancer()
    for subset in load_balancer.zone_subsets:
        subset.admission.admitted_fraction = 0.05
    answers = [type(start_request(load_balancer, now_us).route(now_us)[0]) for now_us in range(200)]
    assert not load_balancer.queue.requests
    assert set(answers) == {StartAttempt, RejectRequest}
    assert answers.count(StartAttempt) < 40


def test_zones_admit_independently_of_each_other() -> None:
    load_balancer = make_mesh_load_balancer()
    for subset in load_balancer.zone_subsets:
        subset.admission.admitted_fraction = 0.5
    sent = sum(len(starts_in(start_request(load_balancer, now_us).route(now_us))) for now_us in range(400))
    # three quarters: half in the own zone, and half of the remaining requests in the other zone
    assert 270 < sent < 330


@pytest.mark.parametrize(("attempts_per_s", "size"), [(0.0, 2), (4.0, 2), (10.0, 5), (100.0, 6)])
def test_subset_size_follows_the_rate_of_attempts(attempts_per_s: float, size: int) -> None:
    # Connections stay open for a minute, and 400 instances with twelve connections each filled connection
    # tables of 85 entries.
    load_balancer = make_mesh_load_balancer()
    own, other = load_balancer.zone_subsets
    own.admission.attempts_per_s, own.admission.attempts_this_second = attempts_per_s, int(attempts_per_s)
    load_balancer.on_timer(SECOND)
    assert (len(own.in_use), len(other.in_use)) == (size, 1)


def test_overdue_attempt_counts_before_it_ends_and_only_once() -> None:
    load_balancer = make_mesh_load_balancer()
    admission = load_balancer.zone_subsets[0].admission
    request = start_request(load_balancer)
    [start] = starts_in(request.route(0))
    endpoint = load_balancer.endpoints[start.endpoint_index]
    before = admission.admitted_fraction
    start_request(load_balancer, SECOND // 2 - 1, remaining_us=SECOND)
    assert admission.admitted_fraction == before
    start_request(load_balancer, SECOND // 2, remaining_us=SECOND)
    fraction, success_rate = admission.admitted_fraction, endpoint.success_rate
    assert fraction < before
    assert success_rate < 1.0
    request.on_attempt_finished(0, 4 * SECOND, Outcome.TIMED_OUT, 4 * SECOND, True)
    assert (admission.admitted_fraction, endpoint.success_rate) == (fraction, success_rate)
    assert load_balancer.overdue_attempts.overdue_us == {}


def test_endpoint_that_rejects_at_once_is_left_out() -> None:
    load_balancer = make_mesh_load_balancer()
    endpoint, admission = load_balancer.endpoints[0], load_balancer.zone_subsets[0].admission
    for _ in range(3):
        request = start_request(load_balancer)
        request.is_finished, request.attempts, request.in_flight = True, [endpoint], {0: 0}
        load_balancer.overdue_attempts.overdue_us = {(request, 0): SECOND}
        endpoint.in_flight += 1
        before = admission.admitted_fraction
        request.on_attempt_finished(0, 1000, Outcome.REJECTED_BY_ENDPOINT, 1000, False)
        assert admission.admitted_fraction < before
    assert not endpoint.is_available(1000)
    assert not endpoint.is_in_subset


def test_failed_connection_leaves_the_endpoint_out_and_the_admitted_fraction_unchanged() -> None:
    load_balancer = make_mesh_load_balancer([make_entry(0), make_entry(1)])
    admission = load_balancer.zone_subsets[0].admission
    before = admission.admitted_fraction
    request = start_request(load_balancer)
    [start] = starts_in(request.route(0))
    request.on_attempt_finished(0, 1000, Outcome.CONNECT_FAILED, 1000, False)
    endpoint = load_balancer.endpoints[start.endpoint_index]
    assert endpoint.unavailable_until_us == 1000 + EJECTION_US
    assert not endpoint.is_in_subset
    assert admission.admitted_fraction == before
    load_balancer.on_timer(endpoint.unavailable_until_us + SECOND)
    assert endpoint.is_in_subset


@pytest.mark.parametrize(
    ("calm", "recent", "surge"), [(80, 10, 1.0), (80, 100, 2.78), (0, 1, 1.0), (0, 30, 5.0)]
)
def test_surge_of_own_requests_reduces_admission_at_once(calm: int, recent: int, surge: float) -> None:
    load_balancer = make_mesh_load_balancer(slow_start=make_slow_start(now_us=-SECOND))
    for number in range(calm):
        start_request(load_balancer, number * SECOND // 10, remaining_us=SECOND)
    for number in range(recent):
        start_request(load_balancer, 8 * SECOND + number * 2 * SECOND // recent + 1, remaining_us=SECOND)
    now_us = 10 * SECOND
    load_balancer.on_timer(now_us)
    assert load_balancer.selector.surge == pytest.approx(surge, rel=0.01)
    for subset, fraction in zip(load_balancer.zone_subsets, (1.0, 0.0), strict=True):
        subset.admission.admitted_fraction = fraction
    sent = sum(
        len(starts_in(start_request(load_balancer, now_us, remaining_us=SECOND).route(now_us)))
        for _ in range(400)
    )
    assert sent == pytest.approx(400 / surge, rel=0.2)
