"""Order in which zones are tried."""

from __future__ import annotations

import pytest

from tests.policy.support import SECOND, make_entry, make_load_balancer, make_mesh_load_balancer


@pytest.mark.parametrize(("own", "other", "spills"), [(0.2, 0.2, False), (0.5, 0.2, True), (0.2, 0.0, False)])
def test_spilled_fraction_rises_while_own_latency_is_above_that_of_other_zones(
    own: float, other: float, spills: bool
) -> None:
    load_balancer = make_load_balancer([make_entry(0), make_entry(1, zone=1)])
    for index, latency in enumerate((own, other)):
        endpoint = load_balancer.endpoints[index]
        endpoint.latency, endpoint.last_outcome_us = latency, 0
    fractions = []
    for second in range(1, 5):
        load_balancer.on_timer(second * SECOND)
        fractions.append(load_balancer.spillover.spilled_fraction)
    assert (sorted(set(fractions)) == fractions) is spills
    assert (fractions[-1] > 0) is spills


def test_shuffled_order_draws_other_zones_by_their_scale() -> None:
    zones = [0] + [1] * 2 + [2] * 6
    load_balancer = make_mesh_load_balancer(
        [make_entry(index, zone) for index, zone in enumerate(zones)], zone_count=3
    )
    subsets = load_balancer.zone_subsets
    subsets[0].admission.admitted_fraction = 0.0
    orders = [load_balancer.spillover.shuffled_order(subsets) for _ in range(400)]
    assert {order[0] for order in orders} == {0}
    assert 40 < sum(order[1] == 1 for order in orders) < 110
