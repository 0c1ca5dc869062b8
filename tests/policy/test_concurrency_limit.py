"""Growth and cuts of concurrency limits, and the latency threshold above which they are cut."""

from __future__ import annotations

import pytest

from cressrail.policy.outcome import Outcome
from tests.policy.support import SECOND, make_entry, make_load_balancer, start_request, starts_in


@pytest.mark.parametrize(
    ("outcome", "latency_us", "change"),
    [
        (Outcome.SUCCEEDED, SECOND // 10, 1),
        (Outcome.SUCCEEDED, SECOND * 9 // 10, -1),
        (Outcome.REJECTED_BY_ENDPOINT, 1000, -1),
        (Outcome.TIMED_OUT, SECOND, -1),
        (Outcome.CANCELLED, SECOND, 0),
    ],
)
def test_limit_grows_on_prompt_answers_and_is_cut_on_overload(
    outcome: Outcome, latency_us: int, change: int
) -> None:
    load_balancer = make_load_balancer([make_entry(0)])
    endpoint = load_balancer.endpoints[0]
    endpoint.limit = 1.5
    load_balancer.update_endpoints(0, [], False)
    request = start_request(load_balancer)
    request.route(0)
    request.on_attempt_finished(0, latency_us, outcome, latency_us, outcome is Outcome.SUCCEEDED)
    assert (endpoint.limit > 1.5) - (endpoint.limit < 1.5) == change
    assert endpoint.limit >= 1


@pytest.mark.parametrize(
    ("later_latency_us", "is_cut"), [(SECOND // 10, False), (SECOND * 2, True), (None, True)]
)
def test_lost_answer_cuts_no_limit_when_later_attempts_were_prompt(
    later_latency_us: int | None, is_cut: bool
) -> None:
    load_balancer = make_load_balancer([make_entry(0)])
    request, later = (start_request(load_balancer, now_us) for now_us in (0, 1000))
    request.route(0)
    if later_latency_us is not None:
        later.route(1000)
        later.on_attempt_finished(0, 1000 + later_latency_us, Outcome.SUCCEEDED, later_latency_us, True)
    limit = load_balancer.endpoints[0].limit
    request.on_attempt_finished(0, 4 * SECOND, Outcome.TIMED_OUT, 4 * SECOND, False)
    assert (load_balancer.endpoints[0].limit < limit) is is_cut


@pytest.mark.parametrize("errors", [1, 2, 8])
def test_cut_for_errors_of_inner_tiers_depends_on_their_frequency(errors: int) -> None:
    load_balancer = make_load_balancer([make_entry(0)], is_last_tier=False)
    for now_us in range(errors):
        request = start_request(load_balancer, now_us)
        request.route(now_us)
        before = load_balancer.endpoints[0].limit
        request.on_attempt_finished(0, now_us, Outcome.ERROR, 0, False)
    factor = load_balancer.endpoints[0].limit / before
    assert factor > 0.9 if errors == 1 else factor < 0.9
    assert factor < 0.76 if errors == 8 else factor > 0.76


@pytest.mark.parametrize(("is_last_tier", "is_cut"), [(True, False), (False, True)])
def test_error_cuts_the_limit_unless_the_endpoint_is_in_the_last_tier(
    is_last_tier: bool, is_cut: bool
) -> None:
    load_balancer = make_load_balancer([make_entry(0)], is_last_tier=is_last_tier)
    request = start_request(load_balancer)
    request.route(0)
    request.on_attempt_finished(0, 1000, Outcome.ERROR, 1000, False)
    assert (load_balancer.endpoints[0].limit < 6.0) is is_cut


@pytest.mark.parametrize(
    ("outcome", "latency_us", "limit", "shared"),
    [
        (Outcome.TIMED_OUT, SECOND, 2.0, 0.0),
        (Outcome.TIMED_OUT, SECOND, 1.0, 0.0),
        (Outcome.TIMED_OUT, SECOND, 0.5, 0.5),
        (Outcome.TIMED_OUT, SECOND, 0.1, 0.9),
        (Outcome.SUCCEEDED, 1000, 0.5, 0.5),
        (Outcome.SUCCEEDED, 1000, 0.1, 0.9),
    ],
)
def test_limits_below_one_change_at_all_endpoints_in_use(
    outcome: Outcome, latency_us: int, limit: float, shared: float
) -> None:
    load_balancer = make_load_balancer([make_entry(index) for index in range(4)], instance_count=300)
    for endpoint in load_balancer.endpoints.values():
        endpoint.limit = limit
    load_balancer.update_endpoints(0, [], False)
    request = start_request(load_balancer)
    index = starts_in(request.route(0))[0].endpoint_index
    request.on_attempt_finished(0, latency_us, outcome, latency_us, True)
    own, other = (load_balancer.endpoints[at].limit / limit - 1 for at in (index, (index + 1) % 4))
    assert own
    assert other == pytest.approx(shared * own)


@pytest.mark.parametrize(("is_ingress", "floor"), [(True, 1.0), (False, 6.0)])
def test_limits_behind_the_ingress_tier_never_fall_below_the_initial_ones(
    is_ingress: bool, floor: float
) -> None:
    load_balancer = make_load_balancer([make_entry(0)], is_ingress=is_ingress)
    for _ in range(40):
        request = start_request(load_balancer)
        request.route(0)
        request.on_attempt_finished(0, SECOND, Outcome.TIMED_OUT, SECOND, False)
    assert load_balancer.endpoints[0].limit == floor


@pytest.mark.parametrize(("outcome", "cuts"), [(Outcome.SUCCEEDED, 1), (Outcome.TIMED_OUT, 3)])
def test_attempts_in_flight_together_cut_once_unless_they_time_out(outcome: Outcome, cuts: int) -> None:
    load_balancer = make_load_balancer([make_entry(0)])
    requests = [start_request(load_balancer) for _ in range(3)]
    for request in requests:
        request.route(0)
    for latency_us, request in enumerate(requests, start=SECOND):
        request.on_attempt_finished(0, latency_us, outcome, latency_us, True)
    assert load_balancer.endpoints[0].limit == pytest.approx(6 * 0.75**cuts)


@pytest.mark.parametrize(
    ("usual", "overloaded", "threshold"),
    [
        ([0.2], [], 0.2),
        ([0.1, 0.3], [], 0.4),
        ([0.1, 0.3], [0.05, 1.2], 0.4),  # overload widens the deviation, but not the tolerance
        ([0.4, 0.6], [], 0.5),
        ([0.9], [], 0.5),
    ],
)
def test_threshold_follows_baseline_and_deviation_up_to_half_the_objective(
    usual: list[float], overloaded: list[float], threshold: float
) -> None:
    baseline = make_load_balancer([make_entry(0)]).latency_baseline
    for latency in 400 * usual + 200 * overloaded:
        baseline.record(0, latency)
    assert baseline.threshold == pytest.approx(threshold, abs=0.04)
    assert make_load_balancer([make_entry(0)]).latency_baseline.threshold == 0.5
