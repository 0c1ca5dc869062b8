"""Planning of zone states and zone weights from aggregated evidence."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from cressrail.failover.evidence import aggregate
from cressrail.failover.messages import (
    WEIGHT_UNITS,
    Evidence,
    ZoneObservation,
    ZoneReason,
    ZoneState,
)
from cressrail.failover.planner import Plan, Planner
from cressrail.failover.traffic_distribution import MAX_INBOUND_GROWTH_PER_SECOND, SPARE_UTILIZATION
from tests.failover.support import SECOND, TOPOLOGY, UNREACHABLE, WINDOW, healthy, observation

ALL_HEALTHY = healthy(0) + healthy(1) + healthy(2)
FIRST_UNREACHABLE = healthy(0, a=UNREACHABLE) + healthy(1, a=UNREACHABLE) + healthy(2, a=UNREACHABLE)


def new_planner() -> Planner:
    return Planner(TOPOLOGY, 0.2, 10 * SECOND, WINDOW, 0)


def plan_for(
    planner: Planner,
    seconds: float,
    reports: list[Evidence],
    now: int = 0,
    drained: frozenset[int] = frozenset(),
) -> Plan | None:
    """Plans twice per second from the same evidence, and returns the last plan."""
    plan = None
    for _ in range(int(seconds * 2)):
        now += SECOND // 2
        plan = planner.plan(now, aggregate(reports, 3), drained)
    return plan


def test_missing_reports_are_extrapolated_and_silent_zones_get_no_spillover() -> None:
    half = aggregate(healthy(0, 2) + healthy(1) + healthy(2), 3, [4, 4, 4])
    assert half.demand == (60, 60, 60)
    assert half.attempts[0] == half.attempts[1]
    assert not any(half.is_silent)
    lost = healthy(0, a=UNREACHABLE) + healthy(2, a=UNREACHABLE)
    planner, now = new_planner(), 0
    for _ in range(10):
        now += SECOND // 2
        plan = planner.plan(now, aggregate(lost, 3, [4, 4, 4]), frozenset())
    assert plan.weights[0][1] == 0
    assert plan.weights[0][2] > 0
    assert plan.weights[1] == (0, 1, 0)


RATES = st.floats(0, 200, allow_nan=False)
OBSERVATIONS = st.builds(
    lambda attempts, connect_failures, failed, slow, capacity: ZoneObservation(
        attempts, attempts * connect_failures // 9, attempts * failed // 9, attempts * slow // 9, capacity
    ),
    st.integers(0, 300),
    st.integers(0, 3),
    st.integers(0, 3),
    st.integers(0, 3),
    RATES,
)
REPORTS = st.lists(
    st.builds(Evidence, st.integers(0, 2), RATES, st.tuples(OBSERVATIONS, OBSERVATIONS, OBSERVATIONS)),
    min_size=1,
    max_size=6,
)
ROUNDS = st.lists(st.tuples(REPORTS, st.frozensets(st.integers(0, 2))), min_size=1, max_size=8)


def check_weights(planner: Planner, plan: Plan, unreachable_from: tuple[tuple[bool, ...], ...]) -> None:
    """Asserts that the weights of a caller's zone add up to at most 1.

    Also asserts that zones that are away or unreachable receive only probes from other zones, and that
    drained zones receive nothing from them.
    """
    for source, row in enumerate(plan.weights):
        demand = planner.demand[source]
        assert all(0 <= weight <= 1 for weight in row)
        assert sum(row) <= 1 + 1e-9
        for target, weight in enumerate(row):
            condition = planner.conditions[target]
            if target != source and weight and demand and not condition.is_open:
                assert condition.state == ZoneState.AWAY
                probes = max(2.0, 0.01 * sum(planner.demand))
                assert weight * demand <= probes + demand / WEIGHT_UNITS
            if target != source and unreachable_from[source][target] and demand:
                assert weight == 0 or condition.state == ZoneState.AWAY


def check_loads(planner: Planner, plan: Plan) -> None:
    """Asserts that no zone receives more traffic from other zones than its capacity allows."""
    for zone, load in enumerate(plan.loads):
        condition = planner.conditions[zone]
        own = plan.weights[zone][zone] * planner.demand[zone]
        slack = sum(planner.demand) / WEIGHT_UNITS + 1e-6
        assert condition.inbound_rate <= SPARE_UTILIZATION * condition.capacity * condition.ramp + slack
        if condition.inbound_rate > slack:
            assert load <= max(own, condition.capacity * condition.ramp) + 2 * slack


@settings(max_examples=300)
@given(ROUNDS)
def test_plan_respects_zone_capacities_and_weights_add_up_to_at_most_one(
    rounds: list[tuple[list[Evidence], frozenset[int]]],
) -> None:
    planner, now = new_planner(), 0
    for reports, drained in rounds:
        now += SECOND // 2
        aggregated = aggregate(reports, 3)
        plan = planner.plan(now, aggregated, drained)
        check_weights(planner, plan, aggregated.unreachable_from)
        check_loads(planner, plan)


def test_plan_moves_only_excess_traffic_and_prefers_zones_of_the_same_region() -> None:
    planner = new_planner()
    overloaded = observation(45, 100 / 12, slow_attempts=10)  # at a demand of 30 per second
    calm = plan_for(planner, 2, ALL_HEALTHY)
    assert calm is not None
    assert calm.weights == ((1, 0, 0), (0, 1, 0), (0, 0, 1))
    busy = [report._replace(demand=30.0) for report in healthy(0, a=overloaded)]
    plan = plan_for(planner, 6, busy + healthy(1) + healthy(2), 2 * SECOND)
    assert plan is not None
    assert plan.zones[0].state == ZoneState.REDUCED
    assert 0.5 < plan.weights[0][0] < 0.9
    assert plan.weights[0][1] > plan.weights[0][2]
    assert plan.weights[1] == (0, 1, 0)


def test_plan_increases_inbound_traffic_only_gradually() -> None:
    planner = new_planner()
    plan_for(planner, 2, ALL_HEALTHY)
    before, now = 0.0, 2 * SECOND
    for _ in range(6):
        now += SECOND // 2
        planner.plan(now, aggregate(FIRST_UNREACHABLE, 3), frozenset())
        condition = planner.conditions[1]
        growth = MAX_INBOUND_GROWTH_PER_SECOND / 2 * condition.capacity
        assert condition.inbound_rate <= before + growth + 0.5
        before = condition.inbound_rate
    assert before > 20
    assert planner.conditions[0].state == ZoneState.AWAY
    assert planner.conditions[0].reason == ZoneReason.UNREACHABLE


def test_each_return_of_a_zone_takes_longer_until_its_failures_decay() -> None:
    planner, now = new_planner(), 0
    durations = []
    back = healthy(0, a=observation(1, 100 / 12)) + healthy(1) + healthy(2)
    for calm_s in (0, 2, 2, 2000):
        plan_for(planner, calm_s, ALL_HEALTHY, now)
        now += calm_s * SECOND
        planner.plan(now, aggregate(FIRST_UNREACHABLE, 3), frozenset())
        assert planner.conditions[0].state == ZoneState.AWAY
        began, states = now, []
        while planner.conditions[0].state not in (ZoneState.SERVING, ZoneState.REDUCED):
            now += SECOND // 2
            planner.plan(now, aggregate(back, 3), frozenset())
            states.append(planner.conditions[0].state)
            ramp = planner.conditions[0].ramp
            assert ramp <= 0.2 + 0.8 * (now - began) / (10 * SECOND) + 0.05 or ramp >= 1
        assert ZoneState.RETURNING in states
        durations.append(now - began)
    assert durations[0] < durations[1] < durations[2]
    assert durations[3] <= durations[0] * 1.1


def test_drained_zone_keeps_what_no_other_zone_can_take() -> None:
    planner = new_planner()
    plan_for(planner, 2, ALL_HEALTHY)
    plan = plan_for(planner, 20, ALL_HEALTHY, 2 * SECOND, drained=frozenset([0]))
    assert plan is not None
    assert plan.zones[0].state == ZoneState.DRAINED
    assert plan.weights[0][0] < 0.1
    assert sum(plan.weights[0]) > 0.98
    heavy = healthy(0, demand=24.0) + healthy(1, demand=24.0) + healthy(2, demand=24.0)
    plan = plan_for(new_planner(), 20, heavy, 0, drained=frozenset([0]))
    assert plan is not None
    assert plan.zones[0].state == ZoneState.DRAINED
    assert sum(plan.weights[0]) > 0.98
    assert plan.weights[0][0] > 0.5
