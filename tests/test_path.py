"""The ordinary path: ownership, budget, zone groups, two choices; and what stands beside it."""

from __future__ import annotations

import pytest

from cressrail.policy.load_balancer import (
    EndpointListPoller,
    Outcome,
    RandomGenerator,
    RetryBudget,
    TenantQuotas,
    priority_weights,
)
from tests.helpers import SECOND, entry, profile, sidecar, warm_up


@pytest.mark.parametrize(
    "how, last, others_fail, claimed",
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
def test_only_claimed_errors_are_retried(how: Outcome, last: bool, others_fail: bool, claimed: bool) -> None:
    side = sidecar([entry(n) for n in range(4)], last_tier=last)
    warm_up(side)
    for e in side.endpoints.values():
        e.success_rate, e.last_outcome_us = (0.0 if others_fail else 1.0), 0
    side.update_endpoints(0, [], False)
    tx = side.start_request(0, profile(), -1, SECOND)
    tx.route(0)
    retried = [what for _, what, *_ in tx.on_attempt_finished(0, 0, how, 1000, False)] == ["hop"]
    assert retried is claimed


@pytest.mark.parametrize("taken, retries", [(0, 0), (9, 0), (10, 1), (19, 1), (20, 2), (1000, 100)])
@pytest.mark.parametrize("age_us, kept", [(0, True), (10 * SECOND - 1, True), (10 * SECOND, False)])
def test_the_budget_is_a_tenth_of_the_window_rounded_down(
    taken: int, retries: int, age_us: int, kept: bool
) -> None:
    budget = RetryBudget()
    for _ in range(taken):
        budget.take(0)
    assert sum(budget.spend(age_us) for _ in range(taken + 1)) == (retries if kept else 0)


@pytest.mark.parametrize(
    "failing, heard_us, zone",
    [([], 0, 0), ([0], 0, 0), ([0, 1], 0, 1), ([0, 1], -60 * SECOND, 0), ([0, 1, 2, 3, 4], 0, 0)],
)
def test_traffic_moves_when_under_half_of_the_own_group_succeed(
    failing: list[int], heard_us: int, zone: int
) -> None:
    side = sidecar([entry(0), entry(1), entry(2), entry(3, 1), entry(4, 1)])
    for ix in failing:
        side.endpoints[ix].success_rate, side.endpoints[ix].last_outcome_us = 0.0, heard_us
    side.update_endpoints(0, [], False)
    sent = [d[2] for _ in range(10) for d in side.start_request(0, profile(), -1, SECOND).route(0)]
    assert {side.endpoints[ix].zone for ix in sent} == {zone}


@pytest.mark.parametrize(
    "then, after_us, in_use", [(None, 0, False), (None, 3 * SECOND, True), ("starts", 0, True)]
)
def test_an_endpoint_that_died_is_left_out_until_the_list_tells_or_for_a_while(
    then: str | None, after_us: int, in_use: bool
) -> None:
    side = sidecar([entry(0), entry(1), entry(2)])
    out = side.start_request(0, profile(), -1, SECOND)
    ix = out.route(0)[0][2]
    side.on_connection_lost(0, ix)
    if then == "starts":
        side.update_endpoints(0, [entry(ix, started_us=1)], False)
    side.on_timer(after_us)
    assert (ix in [e.index for e in side.zone_subsets[0].use]) is in_use


def test_overflow_waits_rather_than_go_to_a_process_that_is_gone() -> None:
    side = sidecar([entry(0), entry(1, 1)])
    side.on_connection_lost(0, 0)
    sent = [
        d[2]
        for _ in range(50)
        for d in side.start_request(0, profile(), -1, SECOND).route(0)
        if d[1] == "hop"
    ]
    assert set(sent) == {1} and side.queue


@pytest.mark.parametrize(
    "flying, latency, picked",
    [((3, 0), (1.0, 1.0), 1), ((0, 3), (1.0, 1.0), 0), ((1, 1), (0.9, 0.1), 1), ((0, 1), (0.9, 0.1), 0)],
)
def test_the_one_with_fewer_own_hops_wins(
    flying: tuple[int, int], latency: tuple[float, float], picked: int
) -> None:
    side = sidecar([entry(0), entry(1)])
    for ix in (0, 1):
        side.endpoints[ix].in_flight, side.endpoints[ix].latency = flying[ix], latency[ix]
    assert side.start_request(0, profile(), -1, SECOND).route(0)[0][2] == picked


@pytest.mark.parametrize("local, away, spills", [(0.2, 0.2, False), (0.5, 0.2, True), (0.2, 0.0, False)])
def test_a_rising_share_spills_while_local_latency_stands_above(
    local: float, away: float, spills: bool
) -> None:
    side = sidecar([entry(0), entry(1, 1)])
    side.endpoints[0].latency, side.endpoints[1].latency = local, away
    side.endpoints[0].last_outcome_us = side.endpoints[1].last_outcome_us = 0
    shares = []
    for s in range(1, 5):
        side.on_timer(s * SECOND)
        shares.append(side.spill)
    assert (sorted(set(shares)) == shares) is spills and (shares[-1] > 0) is spills


@pytest.mark.parametrize(
    "how, took_us, change",
    [
        (Outcome.SUCCEEDED, SECOND // 10, 1),
        (Outcome.SUCCEEDED, SECOND * 9 // 10, -1),
        (Outcome.REJECTED_BY_ENDPOINT, 1000, -1),
        (Outcome.TIMED_OUT, SECOND, -1),
        (Outcome.CANCELLED, SECOND, 0),
    ],
)
def test_a_limit_grows_by_one_and_is_cut_by_a_share(how: Outcome, took_us: int, change: int) -> None:
    side = sidecar([entry(0)])
    e = side.endpoints[0]
    e.limit = 1.5
    side.update_endpoints(0, [], False)
    tx = side.start_request(0, profile(), -1, 4 * SECOND)
    tx.route(0)
    tx.on_attempt_finished(0, took_us, how, took_us, how is Outcome.SUCCEEDED)
    assert (e.limit > 1.5) - (e.limit < 1.5) == change and e.limit >= 1


@pytest.mark.parametrize("later_took_us, cut", [(SECOND // 10, False), (SECOND * 2, True), (None, True)])
def test_a_hop_without_answer_that_later_ones_have_overtaken_cuts_no_limit(
    later_took_us: int | None, cut: bool
) -> None:
    side = sidecar([entry(0)])
    tx, later = (side.start_request(at, profile(), -1, 4 * SECOND) for at in (0, 1000))
    tx.route(0)
    if later_took_us is not None:
        later.route(1000)
        later.on_attempt_finished(0, 1000 + later_took_us, Outcome.SUCCEEDED, later_took_us, True)
    limit = side.endpoints[0].limit
    tx.on_attempt_finished(0, 4 * SECOND, Outcome.TIMED_OUT, 4 * SECOND, False)
    assert (side.endpoints[0].limit < limit) is cut


@pytest.mark.parametrize("errors", [1, 2, 8])
def test_errors_of_tiers_below_cut_by_how_many_of_late_there_were(errors: int) -> None:
    side = sidecar([entry(0)], last_tier=False)
    for at in range(errors):
        tx = side.start_request(at, profile(), -1, 4 * SECOND)
        tx.route(at)
        was = side.endpoints[0].limit
        tx.on_attempt_finished(0, at, Outcome.ERROR, 0, False)
    cut = side.endpoints[0].limit / was
    assert cut > 0.9 if errors == 1 else cut < 0.9
    assert cut < 0.76 if errors == 8 else cut > 0.76


def test_one_that_failed_is_left_out_for_a_while_and_not_for_the_whole_window() -> None:
    side = sidecar([entry(0), entry(1)])
    e = side.endpoints[0]
    e.success_rate, e.last_outcome_us = 0.4, SECOND
    assert [e.is_available(at * SECOND) for at in (1, 3, 4)] == [False, False, True]


@pytest.mark.parametrize("last, cut", [(True, False), (False, True)])
def test_an_error_of_a_tier_that_calls_on_cuts_its_limit(last: bool, cut: bool) -> None:
    side = sidecar([entry(0)], last_tier=last)
    tx = side.start_request(0, profile(), -1, 4 * SECOND)
    tx.route(0)
    tx.on_attempt_finished(0, 1000, Outcome.ERROR, 1000, False)
    assert (side.endpoints[0].limit < 6.0) is cut


@pytest.mark.parametrize(
    "rate, sent, surplus", [(5, True, 0), (10, True, 0), (20, True, 100), (90, False, 0)]
)
def test_what_a_member_has_sent_beyond_its_share_is_marked(rate: int, sent: bool, surplus: int) -> None:
    shares = TenantQuotas([20.0], 2, 0.1)
    marked = 0
    for n in range(rate * 11):
        beyond = shares.is_over_quota(0, n * SECOND // rate)
        marked += beyond
        if sent and not beyond:
            shares.on_sent(0, False)
    assert abs(marked - surplus) <= 1


@pytest.mark.parametrize("copies", [1, 40, 1000])
def test_a_first_few_within_a_share_are_no_surplus_however_many_copies(copies: int) -> None:
    shares = TenantQuotas([20.0], copies, 0.1)
    for _ in range(4):
        assert not shares.is_over_quota(0, 0)
        shares.on_sent(0, False)


@pytest.mark.parametrize("short, marked", [(False, 0), (True, 100)])
def test_where_capacity_is_short_shares_fill_by_what_is_sent(short: bool, marked: int) -> None:
    shares = TenantQuotas([50.0, 50.0], 1, 0.1)
    beyond = 0
    for n in range(400):  # the first member alone sends, at a fifth of the whole allowance
        if short:
            shares.on_rejected(SECOND)
        mark = shares.is_over_quota(0, n * SECOND // 20)
        shares.on_sent(0, mark)
        beyond += mark
    assert beyond >= marked if short else beyond == 0


@pytest.mark.parametrize("earns, least, most", [(1.0, 200, 200), (0.0, 70, 130)])
def test_of_a_thin_limit_a_poor_earner_has_its_part(earns: float, least: int, most: int) -> None:
    side = sidecar([entry(0)], instances=100)
    hops = 0
    for _ in range(200):
        tx = side.start_request(0, profile(earns=earns), -1, SECOND)
        sent = [d for d in tx.route(0) if d[1] == "hop"]
        hops += len(sent)
        if sent:
            tx.on_attempt_finished(0, 0, Outcome.SUCCEEDED, 1000, True)
        side.queue.clear()
    assert least <= hops <= most


@pytest.mark.parametrize("copies, used", [(1, 20), (6, 20), (24, 5), (1000, 4)])
def test_a_copy_uses_a_part_of_a_zone_and_fills_it_up_again(copies: int, used: int) -> None:
    side = sidecar([entry(n) for n in range(20)], instances=copies)
    before = side.zone_subsets[0].use[:]
    assert len(before) == used
    before[0].success_rate, before[0].last_outcome_us = 0.0, 0
    side.zone_subsets[0].choose(0)
    after = side.zone_subsets[0].use
    assert set(before[1:]) <= set(after) and before[0] not in after and len(after) == min(used, 19)


@pytest.mark.parametrize("copies, fleet", [(40, 20), (150, 12), (97, 30)])
def test_the_parts_of_all_copies_leave_no_endpoint_out_or_crowded(copies: int, fleet: int) -> None:
    met = [0] * fleet
    for number in range(copies):
        side = sidecar([entry(n) for n in range(fleet)], instances=copies, number=number)
        for e in side.zone_subsets[0].use:
            met[e.index] += 1
    assert max(met) <= 1.3 * sum(met) / fleet and min(met) >= 0.7 * sum(met) / fleet


@pytest.mark.parametrize("zones, own, other", [(1, 2.0, None), (2, 4.0, 2.0), (3, 6.0, 2.0)])
def test_the_own_zones_limits_count_its_own_copies_only(zones: int, own: float, other: float | None) -> None:
    side = sidecar([entry(n, n % zones) for n in range(6)], instances=3, zones=zones)
    assert side.endpoints[0].limit == own and (other is None or side.endpoints[1].limit == other)


@pytest.mark.parametrize(
    "how, took_us, limit, told",
    [
        (Outcome.TIMED_OUT, SECOND, 2.0, 0.0),
        (Outcome.TIMED_OUT, SECOND, 1.0, 0.0),
        (Outcome.TIMED_OUT, SECOND, 0.5, 0.5),
        (Outcome.TIMED_OUT, SECOND, 0.1, 0.9),
        (Outcome.SUCCEEDED, 1000, 0.5, 0.5),
        (Outcome.SUCCEEDED, 1000, 0.1, 0.9),
    ],
)
def test_what_a_hop_tells_goes_to_all_in_use_where_limits_are_thin(
    how: Outcome, took_us: int, limit: float, told: float
) -> None:
    side = sidecar([entry(n) for n in range(4)], instances=300)
    for e in side.endpoints.values():
        e.limit = limit
    side.update_endpoints(0, [], False)
    tx = side.start_request(0, profile(), -1, 4 * SECOND)
    at = tx.route(0)[0][2]
    tx.on_attempt_finished(0, took_us, how, took_us, True)
    own, other = (side.endpoints[ix].limit / limit - 1 for ix in (at, (at + 1) % 4))
    assert own and other == pytest.approx(told * own)


@pytest.mark.parametrize("out, zones_used", [(1, 1), (2, 1), (6, 1)])
def test_only_a_copy_with_nothing_out_is_sure_of_a_hop(out: int, zones_used: int) -> None:
    side = sidecar([entry(n, n % 2) for n in range(8)], instances=300)
    for e in side.endpoints.values():
        e.limit = 0.0
    txs = [side.start_request(0, profile(), -1, SECOND) for _ in range(out)]
    assert sum(d[1] == "hop" for tx in txs for d in tx.route(0)) == zones_used


@pytest.mark.parametrize("gone", range(0, 20, 3))
def test_a_part_changes_by_little_when_the_list_changes_by_one(gone: int) -> None:
    for number in range(30):
        side = sidecar([entry(n) for n in range(20)], instances=30, number=number)
        before = {e.index for e in side.zone_subsets[0].use}
        side.update_endpoints(0, [entry(gone, on=False)], False)
        after = {e.index for e in side.zone_subsets[0].use}
        assert len(before - after - {gone}) <= 1


@pytest.mark.parametrize("answer, asks", [(True, False), (False, True)])
def test_the_list_of_a_start_is_no_answer(answer: bool, asks: bool) -> None:
    side = sidecar([], list_poller=EndpointListPoller(True, 10 * SECOND, RandomGenerator(3)))
    side.list_poller.due_us = SECOND
    side.update_endpoints(0, [entry(0)], True, answer)
    assert side.list_poller.is_due(2 * SECOND) is asks


@pytest.mark.parametrize("fails", [0, 1, 3, 20])
def test_the_list_is_asked_for_again_well_before_the_old_one_counts_as_told(fails: int) -> None:
    every = 10 * SECOND
    asking = EndpointListPoller(True, every, RandomGenerator(3))
    asking.start(0)
    now = asking.due_us
    assert 0 <= now <= every // 8 and asking.is_due(now) and not asking.is_due(now)
    for _ in range(fails):
        asking.on_answer(now, True)
        assert now < asking.due_us <= now + every // 2
        now = asking.due_us
        assert asking.is_due(now)


@pytest.mark.parametrize(
    "earns, at_door, leaves_first",
    [((0.1, 1.0), True, 1), ((1.0, 0.1), True, 0), ((0.5, 0.5), True, 0), ((0.1, 1.0), False, 0)],
)
def test_the_line_serves_best_earners_first_at_the_door(
    earns: tuple[float, float], at_door: bool, leaves_first: int
) -> None:
    side = sidecar([entry(0)], is_ingress=at_door)
    warm_up(side)
    side.endpoints[0].limit = 1.0
    busy = side.start_request(0, profile(), -1, 4 * SECOND)
    busy.route(0)
    waiting = [side.start_request(0, profile(earns=part), -1, 4 * SECOND) for part in earns]
    assert [tx.route(0) for tx in waiting] == [[], []]
    sent = [d[0] for d in busy.on_attempt_finished(0, 1000, Outcome.SUCCEEDED, 1000, True) if d[1] == "hop"]
    assert sent[0] is waiting[leaves_first]


@pytest.mark.parametrize(
    "by_work, worst_weight, earns",
    [(False, 0.0, [1.0, 1 / 6]), (True, 0.0, [1.0, 0.25]), (False, 0.4, [1.0, 0.5]), (True, 1.0, [1.0, 1.0])],
)
def test_the_poorest_profile_is_not_starved_outright(
    by_work: bool, worst_weight: float, earns: list[float]
) -> None:
    assert priority_weights([8.0, 2.0], [2 * SECOND, 3 * SECOND], by_work, worst_weight) == pytest.approx(
        earns
    )


@pytest.mark.parametrize("at_door, floor", [(True, 1.0), (False, 6.0)])
def test_behind_the_door_limits_stay_at_their_first_at_least(at_door: bool, floor: float) -> None:
    side = sidecar([entry(0)], is_ingress=at_door)
    for _ in range(40):
        tx = side.start_request(0, profile(), -1, 4 * SECOND)
        tx.route(0)
        tx.on_attempt_finished(0, SECOND, Outcome.TIMED_OUT, SECOND, False)
    assert side.endpoints[0].limit == floor


@pytest.mark.parametrize("how, cuts", [(Outcome.SUCCEEDED, 1), (Outcome.TIMED_OUT, 3)])
def test_hops_out_together_cut_once_but_for_time_outs(how: Outcome, cuts: int) -> None:
    side = sidecar([entry(0)])
    txs = [side.start_request(0, profile(), -1, 4 * SECOND) for _ in range(3)]
    for tx in txs:
        tx.route(0)
    for n, tx in enumerate(txs):
        tx.on_attempt_finished(0, SECOND + n, how, SECOND + n, True)
    assert side.endpoints[0].limit == pytest.approx(6 * 0.75**cuts)


@pytest.mark.parametrize(
    "usual, crowded, late",
    [
        ([0.2], [], 0.2),
        ([0.1, 0.3], [], 0.4),
        ([0.1, 0.3], [0.05, 1.2], 0.4),  # wider swings move nothing
        ([0.4, 0.6], [], 0.5),
        ([0.9], [], 0.5),
    ],
)
def test_late_is_told_by_the_swings_of_what_is_usual_and_by_half_the_goal(
    usual: list[float], crowded: list[float], late: float
) -> None:
    side = sidecar([entry(0)])
    for took in 400 * usual + 200 * crowded:
        side._learn_usual(0, took)
    assert side.late == pytest.approx(late, abs=0.04)
    assert sidecar([entry(0)]).late == 0.5
