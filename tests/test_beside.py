"""A sidecar of its own beside each client process: many copies, each with little traffic."""

from __future__ import annotations

from typing import Any

import pytest

from cressrail.policy.load_balancer import (
    ADMIT_AIM,
    LEFT_OUT_US,
    Decision,
    LoadBalancer,
    Outcome,
    RequestClass,
    RoutedRequest,
)
from tests.helpers import SECOND, cold_rule, entry, profile, sidecar

FLEET = [entry(n, n // 6) for n in range(12)]


def beside(fleet: list[Any] = FLEET, admits: float = 1.0, **parts: Any) -> LoadBalancer:
    side = sidecar(fleet, **{"is_per_client": True, "instances": 400, **parts})
    for group in side.zone_subsets:
        group.admits = admits or group.admits
    return side


def send(
    side: LoadBalancer,
    now: int,
    how: Outcome = Outcome.SUCCEEDED,
    took_us: int = 50_000,
    of: RequestClass | None = None,
) -> tuple[RoutedRequest, list[Decision], list[Decision]]:
    """One transaction whose first hop, if it gets one, ends so; with what was decided at first and then."""
    tx = side.start_request(now, of or profile(), -1, 4 * SECOND)
    first = tx.route(now)
    done = how is Outcome.SUCCEEDED
    return (
        tx,
        first,
        tx.on_attempt_finished(0, now + took_us, how, took_us, done) if first[0][1] == "hop" else [],
    )


@pytest.mark.parametrize(
    "sizes, admits", [((3, 3), (1.0, 1.0)), ((1, 3), (0.5, 1.5)), ((1, 9), (0.2, 1.8)), ((0, 3), (0.0, 2.0))]
)
def test_a_zone_starts_with_what_its_endpoints_carry_of_an_even_load(
    sizes: tuple[int, int], admits: tuple[float, float]
) -> None:
    side = beside([entry(10 * zone + n, zone) for zone in (0, 1) for n in range(sizes[zone])], admits=0)
    assert [group.admits for group in side.zone_subsets] == pytest.approx(list(admits))


@pytest.mark.parametrize(
    "per_s, over, by", [(0.0, 1, 1.0), (0.0, 0.5, 1.55), (0.0, 4, 0.5), (10.0, 0.5, 1.055), (10.0, 4, 0.889)]
)
def test_a_latency_moves_what_a_zone_admits_more_where_hops_are_few(
    per_s: float, over: float, by: float
) -> None:
    group = beside().zone_subsets[0]
    group.hops_per_s, group.admits = per_s, 0.5
    group.weigh(over * ADMIT_AIM)
    assert group.admits == pytest.approx(0.5 * by, rel=0.01)


def test_what_was_learned_of_a_zone_outlasts_a_list() -> None:
    side = beside()
    side.zone_subsets[0].admits, side.zone_subsets[0].hops_per_s = 0.3, 9.0
    side.update_endpoints(0, [entry(20, 0)], False)
    assert (side.zone_subsets[0].admits, side.zone_subsets[0].hops_per_s, side.zone_subsets[0].wanted) == (
        0.3,
        9.0,
        4,
    )


def test_what_no_zone_admits_is_answered_at_once_and_never_waits() -> None:
    side = beside()
    for group in side.zone_subsets:
        group.admits = 0.05
    answers = [side.start_request(n, profile(), -1, 4 * SECOND).route(n)[0][1] for n in range(200)]
    assert not side.queue and set(answers) == {"hop", "rolled back"} and answers.count("hop") < 40


def test_zones_admit_apart_from_each_other() -> None:
    side = beside()
    for group in side.zone_subsets:
        group.admits = 0.5
    sent = [d[1] for n in range(400) for d in side.start_request(n, profile(), -1, 4 * SECOND).route(n)]
    assert 270 < sent.count("hop") < 330  # three quarters: half here, and half of the rest there


def test_what_overflows_goes_to_all_other_zones_by_their_size() -> None:
    side = beside(
        [entry(0, 0), *[entry(10 + n, 1) for n in range(2)], *[entry(20 + n, 2) for n in range(6)]], zones=3
    )
    side.zone_subsets[0].admits = 0.0
    first = [side._shuffled([0, 1, 2])[:2] for _ in range(400)]
    assert {zones[0] for zones in first} == {0} and 40 < sum(zones[1] == 1 for zones in first) < 110


@pytest.mark.parametrize("per_s, used", [(0.0, 2), (4.0, 2), (10.0, 5), (100.0, 6)])
def test_a_copy_uses_as_many_endpoints_as_its_rate_asks_for(per_s: float, used: int) -> None:
    # A connection stays open a minute, and 400 copies with twelve each filled tables of 85.
    side = beside()
    side.zone_subsets[0].hops_per_s, side.zone_subsets[0].hops = per_s, int(per_s)
    side.on_timer(SECOND)
    assert (len(side.zone_subsets[0].use), len(side.zone_subsets[1].use)) == (used, 1)


def test_a_hop_that_is_overdue_tells_before_it_ends_and_only_once() -> None:
    side = beside()
    tx = side.start_request(0, profile(), -1, 4 * SECOND)
    ((_, _, ix, _),) = tx.route(0)
    before = side.zone_subsets[0].admits
    side.start_request(SECOND // 2 - 1, profile(), -1, SECOND)
    assert side.zone_subsets[0].admits == before
    side.start_request(SECOND // 2, profile(), -1, SECOND)
    cut, good = side.zone_subsets[0].admits, side.endpoints[ix].success_rate
    assert cut < before and good < 1.0
    tx.on_attempt_finished(0, 4 * SECOND, Outcome.TIMED_OUT, 4 * SECOND, True)
    assert (side.zone_subsets[0].admits, side.endpoints[ix].success_rate, side.due_us) == (cut, good, {})


def test_an_endpoint_that_is_full_answers_at_once_and_is_still_left_out() -> None:
    side = beside()
    e, group = side.endpoints[0], side.zone_subsets[0]
    for _ in range(3):
        tx = side.start_request(0, profile(), -1, 4 * SECOND)
        tx.is_finished, tx.attempts, tx.in_flight, side.due_us = True, [e], {0: 0}, {(tx, 0): SECOND}
        e.in_flight += 1
        before = group.admits
        tx.on_attempt_finished(0, 1000, Outcome.REJECTED_BY_ENDPOINT, 1000, False)
        assert group.admits < before
    assert not e.is_available(1000) and not e.is_in_subset


def test_an_endpoint_without_a_connection_is_left_out_for_a_while_and_says_nothing_of_crowding() -> None:
    side = beside([entry(0), entry(1)])
    before = side.zone_subsets[0].admits
    ((_, _, ix, _),) = send(side, 0, Outcome.CONNECT_FAILED, 1000)[1]
    e = side.endpoints[ix]
    assert (
        e.unavailable_until_us == 1000 + LEFT_OUT_US
        and not e.is_in_subset
        and side.zone_subsets[0].admits == before
    )
    side.on_timer(e.unavailable_until_us + SECOND)
    assert e.is_in_subset


@pytest.mark.parametrize(
    "kind, group, overdue, own, ends_us",
    [
        ("idempotent", "all", 0.0, True, 980_000),
        ("journalled", "all", 0.0, True, 980_000),
        ("idempotent", "all", 0.3, True, 3_990_000),
        ("non-idempotent", "all", 0.0, True, 3_990_000),
        ("journalled", "cell", 0.0, True, 3_990_000),
        ("idempotent", "all", 0.0, False, 3_990_000),
    ],
)
def test_a_hop_ends_at_the_goal_where_later_earns_nothing_and_a_rollback_is_allowed(
    kind: str, group: str, overdue: float, own: bool, ends_us: int
) -> None:
    side = beside(is_per_client=own, instances=1)
    of = RequestClass(kind, group, 5 * SECOND, SECOND, 4 * SECOND, 1.0, overdue)
    tx, first, then = send(side, 0, Outcome.TIMED_OUT, ends_us, of)
    assert first[0][3] == ends_us
    harmless = kind == "idempotent" or (kind, group) == ("journalled", "all")
    assert [what for _, what, *_ in then] == ["rolled back" if harmless else "abandoned"]


def test_the_old_shape_keeps_its_limits_in_flight_and_its_line() -> None:
    side = sidecar([entry(0)])
    side.endpoints[0].limit = side.zone_subsets[0].limit = 1.0
    txs = [side.start_request(0, profile(), -1, 4 * SECOND) for _ in range(2)]
    assert [len(tx.route(0)) for tx in txs] == [1, 0] and side.queue == [txs[1]]


@pytest.mark.parametrize("calm, lately, surge", [(80, 10, 1.0), (80, 100, 2.78), (0, 1, 1.0), (0, 30, 5.0)])
def test_a_surge_of_a_copys_own_transactions_cuts_what_zones_admit_at_once(
    calm: int, lately: int, surge: float
) -> None:
    side = beside(slow_start=cold_rule(now=-SECOND))
    for n in range(calm):
        side.start_request(n * SECOND // 10, profile(), -1, SECOND)
    for n in range(lately):
        side.start_request(8 * SECOND + n * 2 * SECOND // lately + 1, profile(), -1, SECOND)
    side.on_timer(10 * SECOND)
    assert side.surge == pytest.approx(surge, rel=0.01)
    side.zone_subsets[0].admits, side.zone_subsets[1].admits = 1.0, 0.0
    sent = sum(
        d[1] == "hop"
        for n in range(400)
        for d in side.start_request(10 * SECOND, profile(), -1, SECOND).route(10 * SECOND)
    )
    assert sent == pytest.approx(400 / surge, rel=0.2)
