"""Choice of the endpoints of a zone that an instance uses."""

from __future__ import annotations

import pytest

from tests.policy.support import SECOND, make_entry, make_load_balancer, start_request, starts_in


@pytest.mark.parametrize(
    ("restarts", "after_us", "is_in_use"), [(False, 0, False), (False, 3 * SECOND, True), (True, 0, True)]
)
def test_lost_endpoint_is_unused_until_it_restarts_or_its_ejection_ends(
    restarts: bool, after_us: int, is_in_use: bool
) -> None:
    load_balancer = make_load_balancer([make_entry(0), make_entry(1), make_entry(2)])
    [start] = starts_in(start_request(load_balancer, remaining_us=SECOND).route(0))
    index = start.endpoint_index
    load_balancer.on_connection_lost(0, index)
    if restarts:
        load_balancer.update_endpoints(0, [make_entry(index, started_us=1)], False)
    load_balancer.on_timer(after_us)
    assert (index in [endpoint.index for endpoint in load_balancer.zone_subsets[0].in_use]) is is_in_use


@pytest.mark.parametrize(("instance_count", "size"), [(1, 20), (6, 20), (24, 5), (1000, 4)])
def test_choose_replaces_a_failing_endpoint(instance_count: int, size: int) -> None:
    load_balancer = make_load_balancer(
        [make_entry(index) for index in range(20)], instance_count=instance_count
    )
    subset = load_balancer.zone_subsets[0]
    before = subset.in_use[:]
    assert len(before) == size
    before[0].success_rate, before[0].last_outcome_us = 0.0, 0
    subset.choose(0)
    assert set(before[1:]) <= set(subset.in_use)
    assert before[0] not in subset.in_use
    assert len(subset.in_use) == min(size, 19)


@pytest.mark.parametrize(("instance_count", "endpoint_count"), [(40, 20), (150, 12), (97, 30)])
def test_subsets_of_all_instances_spread_evenly_over_the_endpoints(
    instance_count: int, endpoint_count: int
) -> None:
    users = [0] * endpoint_count
    for number in range(instance_count):
        load_balancer = make_load_balancer(
            [make_entry(index) for index in range(endpoint_count)],
            instance_count=instance_count,
            instance_number=number,
        )
        for endpoint in load_balancer.zone_subsets[0].in_use:
            users[endpoint.index] += 1
    mean = sum(users) / endpoint_count
    assert max(users) <= 1.3 * mean
    assert min(users) >= 0.7 * mean


@pytest.mark.parametrize("removed", range(0, 20, 3))
def test_subset_changes_by_one_endpoint_when_one_leaves(removed: int) -> None:
    for number in range(30):
        load_balancer = make_load_balancer(
            [make_entry(index) for index in range(20)], instance_count=30, instance_number=number
        )
        subset = load_balancer.zone_subsets[0]
        before = {endpoint.index for endpoint in subset.in_use}
        load_balancer.update_endpoints(0, [make_entry(removed, accepts_requests=False)], False)
        after = {endpoint.index for endpoint in subset.in_use}
        assert len(before - after - {removed}) <= 1
