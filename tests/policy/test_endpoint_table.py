"""Sharing of the endpoints among instances."""

from __future__ import annotations

import pytest

from tests.policy.support import make_entry, make_load_balancer


@pytest.mark.parametrize(
    ("zone_count", "own_limit", "other_limit"), [(1, 2.0, None), (2, 4.0, 2.0), (3, 6.0, 2.0)]
)
def test_initial_limits_of_the_own_zone_are_shared_by_its_own_instances_only(
    zone_count: int, own_limit: float, other_limit: float | None
) -> None:
    load_balancer = make_load_balancer(
        [make_entry(index, index % zone_count) for index in range(6)], instance_count=3, zone_count=zone_count
    )
    assert load_balancer.endpoints[0].limit == own_limit
    assert other_limit is None or load_balancer.endpoints[1].limit == other_limit
