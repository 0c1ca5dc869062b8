"""What the policy makes of the count of live instances and of its peers' reports."""

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
    made = [make_entry(n, zone=n % 2) for n in range(24)]
    shares = TenantQuotas([240.0], 12, 0.1)
    side = make_load_balancer(
        made, instance_count=12, quotas=shares, slow_start=make_slow_start(shares.total_per_us)
    )
    before = [(g.sharing_instances, g.limit, g.scale_in_use) for g in side.zone_subsets]
    even = side.slow_start.even_rate_per_us
    side.update_instance_count(SECOND, 12.0, 6.0)  # just what the settings say
    assert [(g.sharing_instances, g.limit, g.scale_in_use) for g in side.zone_subsets] == before
    assert side.slow_start.even_rate_per_us == even
    for copies, near in ((4.0, 2.0), (24.0, 12.0), (6.0, 1.0)):
        side.update_instance_count(SECOND, copies, near)
        for zone, group in enumerate(side.zone_subsets):
            assert group.sharing_instances == pytest.approx(
                (copies if zone else near) * group.target_size / len(group.endpoints)
            )
            # What all copies together may have out at an endpoint is what it was.
            for e in group.endpoints:
                assert e.limit * group.sharing_instances == pytest.approx(6.0)
        assert shares.rates_per_us[0] == pytest.approx(240.0 / copies / 1e6)
        assert side.slow_start.even_rate_per_us == min(even, shares.total_per_us)
    side.update_instance_count(SECOND, 12.0, 6.0)
    assert [g.limit for g in side.zone_subsets] == pytest.approx([limit for _, limit, _ in before])


def test_peer_ejection_lasts_until_an_own_attempt_can_be_made() -> None:
    side, now = make_load_balancer([make_entry(n) for n in range(6)]), 20 * SECOND
    side.endpoints[3].last_outcome_us = now - SECOND  # own outcomes of late
    side.apply_peer_ejections(now, [2, 3])
    reports = PeerReportTranslator().own_reports(now, side, registry_of("uvwxyz"))
    assert [
        report for report in reports if report[0] == FAILING
    ] == []  # what others report is not reported on
    assert side.unavailable_endpoints(now) == [2]
    later = now + EJECTION_US + 1
    side.apply_peer_ejections(later, [2])
    assert side.unavailable_endpoints(later) == []
    side.endpoints[2].last_outcome_us = later
    side.apply_peer_ejections(later + 2 * EJECTION_US, [2])
    assert side.unavailable_endpoints(later + 2 * EJECTION_US) == [2]


@pytest.mark.parametrize(
    ("others", "weight", "low", "high"),
    [
        (-1.0, 0.0, 17, 21),  # not known: by the settings' even part
        (0.0, 1.0, 9, 10),
        (0.1, 1.0, 6, 7),  # others give a part of it already
        (50.0, 1.0, 0, 1),
    ],
)
def test_warming_endpoint_gets_no_more_than_a_warm_one_from_all_instances(
    others: float, weight: float, low: int, high: int
) -> None:
    rule = make_slow_start(20 / SECOND)
    side = make_load_balancer(
        [make_entry(0, started_us=SECOND), make_entry(1)], slow_start=rule, zone_count=1
    )
    e = side.endpoints[0]
    side.apply_peer_warmup_load({0: (others * 10 / SECOND, weight * 10 / SECOND)} if others >= 0 else {})
    given, e.slow_start_credit = 0, 0.0
    for now in range(SECOND, 4 * SECOND, SECOND // 100):
        if rule.accrue_credit(e, now, side.zone_subsets[0], True):
            e.slow_start_credit = 0.0
            given += 1
    assert low <= given <= high


def test_lie_on_warmup_load_does_not_take_away_own_load() -> None:
    rule = make_slow_start()
    side = make_load_balancer(
        [make_entry(0, started_us=9 * SECOND), make_entry(1)], slow_start=rule, zone_count=1
    )
    for n in range(100):
        rule.record_success(8 * SECOND + n * SECOND // 100, side.zone_subsets[0])
    side.apply_peer_warmup_load({0: (1e6, 0.0)})
    e, given = side.endpoints[0], 0
    e.slow_start_credit, e.slow_start_credit_us = 0.0, 9 * SECOND
    for now in range(9 * SECOND, 11 * SECOND, SECOND // 100):
        if rule.accrue_credit(e, now, side.zone_subsets[0], True):
            e.slow_start_credit = 0.0
            given += 1
    assert given >= 2
