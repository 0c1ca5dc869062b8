"""The four rules, each without the bench."""

from __future__ import annotations

import pytest

from cressrail.policy.load_balancer import (
    NEVER_RAN_OUTCOMES,
    EndpointUpdate,
    Outcome,
    RetryPolicy,
    RoutedRequest,
)
from tests.helpers import SECOND, cold_rule, entry, profile, sidecar, warm_up

RAN = [how for how in Outcome if how not in (*NEVER_RAN_OUTCOMES, Outcome.SUCCEEDED)]
KINDS = [
    ("idempotent", "all"),
    ("journalled", "all"),
    ("journalled", "zone"),
    ("journalled", "cell"),
    ("non-idempotent", "all"),
]


def after(kind: str, group: str, how: Outcome, parallel: bool = False) -> RoutedRequest:
    side = sidecar([entry(0, 0, 0)], retry_policy=RetryPolicy(3, parallel))
    tx = side.start_request(0, profile(kind, group), -1, 4 * SECOND)
    tx.route(0)
    tx.on_attempt_finished(0, 0, how, 0, False)
    return tx


@pytest.mark.parametrize("kind, group", KINDS)
@pytest.mark.parametrize("how", [how for how in Outcome if how is not Outcome.SUCCEEDED])
@pytest.mark.parametrize("zone, cell", [(0, 0), (0, 1), (1, 1)])
@pytest.mark.parametrize("now", [0, 5 * SECOND])
def test_a_further_hop_needs_proof_or_its_group_and_window(
    kind: str, group: str, how: Outcome, zone: int, cell: int, now: int
) -> None:
    tx = after(kind, group, how)
    rule = tx.load_balancer.retry_policy
    other = sidecar([entry(1, zone, cell)]).endpoints[1]
    inside = group == "all" or (zone == 0 and (group == "zone" or cell == 0))
    may = (
        how in NEVER_RAN_OUTCOMES
        or kind == "idempotent"
        or (kind == "journalled" and inside and now < 5 * SECOND)
    )
    assert (rule.may_retry(tx, now) and rule.may_use_endpoint(tx, other)) is may


@pytest.mark.parametrize("kind, group", KINDS)
@pytest.mark.parametrize("how", [how for how in Outcome if how is not Outcome.SUCCEEDED])
def test_an_early_rollback_promises_that_a_new_try_is_harmless(kind: str, group: str, how: Outcome) -> None:
    may = how in NEVER_RAN_OUTCOMES or kind == "idempotent" or (kind, group) == ("journalled", "all")
    assert RetryPolicy(3, False).may_reject(after(kind, group, how)) is may


@pytest.mark.parametrize(
    "parallel, out, hops, may",
    [
        (False, 0, 1, True),
        (False, 1, 1, False),
        (True, 1, 1, True),
        (True, 0, 3, False),
        (False, 0, 3, False),
    ],
)
def test_hops_out_together_and_in_all(parallel: bool, out: int, hops: int, may: bool) -> None:
    side = sidecar([entry(0)])
    tx = side.start_request(0, profile(), -1, 4 * SECOND)
    tx.attempts = [side.endpoints[0]] * hops
    tx.in_flight = dict.fromkeys(range(out), 0)
    assert RetryPolicy(3, parallel).may_retry(tx, 0) is may


@pytest.mark.parametrize("how", [how for how in Outcome if how is not Outcome.SUCCEEDED])
@pytest.mark.parametrize("kind, group", KINDS)
def test_each_transaction_gets_one_final_answer(kind: str, group: str, how: Outcome) -> None:
    side = sidecar([entry(n, n % 2) for n in range(4)])
    warm_up(side)
    tx = side.start_request(0, profile(kind, group), -1, 4 * SECOND)
    answers, hops = [], len(tx.route(0))
    for hop in range(4):
        for _, what, *_ in tx.on_attempt_finished(hop, 0, how, 1000, False) if hop < hops else []:
            hops += what == "hop"
            answers += [what] if what in ("rolled back", "abandoned") else []
    assert len(answers) == 1 and tx.is_finished and not tx.in_flight
    assert tx.on_attempt_finished(0, 0, how, 1000, True) == []


@pytest.mark.parametrize("remaining_us", [10_000, 100_000, 4 * SECOND])
def test_whoever_waits_in_line_leaves_it_in_time(remaining_us: int) -> None:
    side = sidecar([entry(0)])
    warm_up(side)
    side.endpoints[0].limit, side.endpoints[0].in_flight = 1.0, 1
    waiting = [side.start_request(0, profile(), -1, left) for left in (4 * SECOND, remaining_us)]
    assert [tx.route(0) for tx in waiting] == [[], []]
    now = side.wake_us
    while not waiting[1].is_finished:
        assert now <= remaining_us
        side.on_timer(now)
        now = side.wake_us


@pytest.mark.parametrize("told", [[entry(0, on=False), entry(1)], [entry(1)]])
def test_nothing_new_to_an_endpoint_that_drains_or_is_gone(told: list[EndpointUpdate]) -> None:
    side = sidecar([entry(0), entry(1)])
    side.update_endpoints(0, told, True)
    sent = [
        d[2]
        for _ in range(40)
        for d in side.start_request(0, profile(), -1, SECOND).route(0)
        if d[1] == "hop"
    ]
    assert sent and set(sent) == {1}


@pytest.mark.parametrize("how", list(Outcome))
@pytest.mark.parametrize(
    "told",
    [
        [],
        [entry(0, on=False)],
        [entry(0, on=False, started_us=9)],
        [entry(0, 1), entry(1)],
        [entry(0, started_us=9)],
    ],
)
def test_a_hop_may_end_after_its_endpoint_has_left_or_moved(how: Outcome, told: list[EndpointUpdate]) -> None:
    side = sidecar([entry(0)], instances=50)
    tx = side.start_request(0, profile(), -1, 4 * SECOND)
    tx.route(0)
    side.update_endpoints(10, told, True)
    tx.on_attempt_finished(0, 3 * SECOND, how, 3 * SECOND, how is Outcome.SUCCEEDED)
    assert side.endpoints[0].in_flight == 0 and not tx.in_flight
    assert all(g.in_flight == sum(e.in_flight for e in g.use) for g in side.zone_subsets)


@pytest.mark.parametrize("age_s, most", [(0, 8), (5, 24), (9, 38)])
def test_a_cold_endpoint_gets_its_part_of_what_a_warm_one_gets(age_s: int, most: int) -> None:
    side = sidecar([entry(0), entry(1)], slow_start=cold_rule())
    for ms in range(0, 20_000, 50):
        warm_up(side, 1, ms * 1000)
    start = 20 * SECOND
    side.update_endpoints(start + age_s * SECOND, [entry(1, started_us=start)], False)
    sent = 0
    for ms in range(0, 1000, 25):
        now = start + age_s * SECOND + ms * 1000
        tx = side.start_request(now, profile(), -1, SECOND)
        for _, _, ix, _ in tx.route(now):
            sent += ix == 1
            tx.on_attempt_finished(0, now, Outcome.SUCCEEDED, SECOND // 10, True)
    assert sent <= most


@pytest.mark.parametrize("born_s, least, most", [(19, 1, 3), (0, 0, 1)])
def test_a_copy_that_restarts_among_cold_endpoints_is_not_silent(born_s: int, least: int, most: int) -> None:
    start = 19 * SECOND
    side = sidecar([], slow_start=cold_rule(now=born_s * SECOND))
    side.update_endpoints(start, [entry(0, started_us=start)], True)
    sent = 0
    for ms in range(0, 2000, 10):
        now = start + ms * 1000
        decided = side.on_timer(now) + side.start_request(now, profile(), -1, SECOND).route(now)
        sent += sum(what == "hop" for _, what, *_ in decided)
    assert least <= sent <= most
