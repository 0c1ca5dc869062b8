"""Tests of how the policy uses the count of live instances and the load reports of its peers."""

from __future__ import annotations

import pytest

from cressrail.membership.load_reports import (
    FAILING,
)
from cressrail.membership.peer_reports import PeerReportTranslator
from cressrail.membership.simulation import SECOND
from cressrail.policy.endpoint import EJECTION_US
from cressrail.policy.tenant_quota import TenantQuotas
from tests.membership.support import (
    registry_of,
)
from tests.policy.support import make_entry, make_load_balancer, make_slow_start


def test_limits_and_quotas_follow_the_count_and_slow_start_never_gains() -> None:
    entries = [make_entry(number, zone=number % 2) for number in range(24)]
    quotas = TenantQuotas([240.0], 12, 0.1)
    load_balancer = make_load_balancer(
        entries, instance_count=12, quotas=quotas, slow_start=make_slow_start(quotas.total_per_us)
    )
    before = [
        (subset.sharing_instances, subset.limit, subset.scale_in_use) for subset in load_balancer.zone_subsets
    ]
    even_rate = load_balancer.slow_start.even_rate_per_us
    load_balancer.update_instance_count(SECOND, 12.0, 6.0)  # the numbers of the configuration
    assert [
        (subset.sharing_instances, subset.limit, subset.scale_in_use) for subset in load_balancer.zone_subsets
    ] == before
    assert load_balancer.slow_start.even_rate_per_us == even_rate
    for total, in_zone in ((4.0, 2.0), (24.0, 12.0), (6.0, 1.0)):
        load_balancer.update_instance_count(SECOND, total, in_zone)
        for zone, subset in enumerate(load_balancer.zone_subsets):
            assert subset.sharing_instances == pytest.approx(
                (total if zone else in_zone) * subset.target_size / len(subset.endpoints)
            )
            # The concurrency that all instances together allow at an endpoint does not change.
            for endpoint in subset.endpoints:
                assert endpoint.limit * subset.sharing_instances == pytest.approx(6.0)
        assert quotas.rates_per_us[0] == pytest.approx(240.0 / total / 1e6)
        assert load_balancer.slow_start.even_rate_per_us == min(even_rate, quotas.total_per_us)
    load_balancer.update_instance_count(SECOND, 12.0, 6.0)
    assert [subset.limit for subset in load_balancer.zone_subsets] == pytest.approx(
        [limit for _, limit, _ in before]
    )


def test_peer_ejection_lasts_until_an_own_attempt_can_be_made() -> None:
    load_balancer, now_us = make_load_balancer([make_entry(number) for number in range(6)]), 20 * SECOND
    # Recent outcomes of own attempts take precedence over peers' reports.
    load_balancer.endpoints[3].last_outcome_us = now_us - SECOND
    load_balancer.apply_peer_ejections(now_us, [2, 3])
    reports = PeerReportTranslator().own_reports(now_us, load_balancer, registry_of("uvwxyz"))
    # Ejections caused by peers' reports are not reported in turn.
    assert [report for report in reports if report[0] == FAILING] == []
    assert load_balancer.unavailable_endpoints(now_us) == [2]
    later = now_us + EJECTION_US + 1
    load_balancer.apply_peer_ejections(later, [2])
    assert load_balancer.unavailable_endpoints(later) == []
    load_balancer.endpoints[2].last_outcome_us = later
    load_balancer.apply_peer_ejections(later + 2 * EJECTION_US, [2])
    assert load_balancer.unavailable_endpoints(later + 2 * EJECTION_US) == [2]


@pytest.mark.parametrize(
    ("peer_rate", "warm_rate", "low", "high"),
    [
        (-1.0, 0.0, 17, 21),  # no peer reports a load, so the even share from the settings applies
        (0.0, 1.0, 9, 10),
        (0.1, 1.0, 6, 7),  # peers already send a part of the allowed load
        (50.0, 1.0, 0, 1),
    ],
)
def test_warming_endpoint_gets_no_more_than_a_warm_one_from_all_instances(
    peer_rate: float, warm_rate: float, low: int, high: int
) -> None:
    slow_start = make_slow_start(20 / SECOND)
    load_balancer = make_load_balancer(
        [make_entry(0, started_us=SECOND), make_entry(1)], slow_start=slow_start, zone_count=1
    )
    endpoint = load_balancer.endpoints[0]
    loads = {0: (peer_rate * 10 / SECOND, warm_rate * 10 / SECOND)} if peer_rate >= 0 else {}
    load_balancer.apply_peer_warmup_load(loads)
    attempts, endpoint.slow_start_credit = 0, 0.0
    for now_us in range(SECOND, 4 * SECOND, SECOND // 100):
        if slow_start.accrue_credit(endpoint, now_us, load_balancer.zone_subsets[0], True):
            endpoint.slow_start_credit = 0.0
            attempts += 1
    assert low <= attempts <= high


def test_false_report_on_warmup_load_does_not_remove_own_load() -> None:
    slow_start = make_slow_start()
    load_balancer = make_load_balancer(
        [make_entry(0, started_us=9 * SECOND), make_entry(1)], slow_start=slow_start, zone_count=1
    )
    for number in range(100):
        slow_start.record_success(8 * SECOND + number * SECOND // 100, load_balancer.zone_subsets[0])
    load_balancer.apply_peer_warmup_load({0: (1e6, 0.0)})
    endpoint, attempts = load_balancer.endpoints[0], 0
    endpoint.slow_start_credit, endpoint.slow_start_credit_us = 0.0, 9 * SECOND
    for now_us in range(9 * SECOND, 11 * SECOND, SECOND // 100):
        if slow_start.accrue_credit(endpoint, now_us, load_balancer.zone_subsets[0], True):
            endpoint.slow_start_credit = 0.0
            attempts += 1
    assert attempts >= 2
