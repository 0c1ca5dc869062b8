"""Detection of requests over their tenant's quota."""

from __future__ import annotations

import pytest

from cressrail.policy.tenant_quota import TenantQuotas
from tests.policy.support import SECOND


@pytest.mark.parametrize(
    ("rate_per_s", "is_sent", "over_quota"), [(5, True, 0), (10, True, 0), (20, True, 100), (90, False, 0)]
)
def test_requests_beyond_the_quota_are_over_quota(rate_per_s: int, is_sent: bool, over_quota: int) -> None:
    quotas = TenantQuotas([20.0], 2, 0.1)
    over_quota_count = 0
    for number in range(rate_per_s * 11):
        is_over_quota = quotas.check_over_quota(0, number * SECOND // rate_per_s)
        over_quota_count += is_over_quota
        if is_sent and not is_over_quota:
            quotas.on_sent(0, False)
    assert abs(over_quota_count - over_quota) <= 1


@pytest.mark.parametrize("instance_count", [1, 40, 1000])
def test_first_few_requests_are_within_quota_whatever_the_instance_count(instance_count: int) -> None:
    quotas = TenantQuotas([20.0], instance_count, 0.1)
    for _ in range(4):
        assert not quotas.check_over_quota(0, 0)
        quotas.on_sent(0, False)


@pytest.mark.parametrize(("is_short", "min_over_quota"), [(False, 0), (True, 100)])
def test_buckets_fill_with_sent_requests_while_capacity_is_short(is_short: bool, min_over_quota: int) -> None:
    quotas = TenantQuotas([50.0, 50.0], 1, 0.1)
    over_quota_count = 0
    for number in range(400):  # only the first tenant sends, at a fifth of the sum of both quotas
        if is_short:
            quotas.on_rejected(SECOND)
        is_over_quota = quotas.check_over_quota(0, number * SECOND // 20)
        quotas.on_sent(0, is_over_quota)
        over_quota_count += is_over_quota
    assert over_quota_count >= min_over_quota if is_short else over_quota_count == 0
