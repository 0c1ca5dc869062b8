"""Limit on the number of retries."""

from __future__ import annotations

import pytest

from cressrail.policy.retry_budget import RetryBudget
from tests.policy.support import SECOND


@pytest.mark.parametrize(("requests", "retries"), [(0, 0), (9, 0), (10, 1), (19, 1), (20, 2), (1000, 100)])
@pytest.mark.parametrize(("age_us", "is_kept"), [(0, True), (10 * SECOND - 1, True), (10 * SECOND, False)])
def test_budget_is_a_tenth_of_the_windows_requests_rounded_down(
    requests: int, retries: int, age_us: int, is_kept: bool
) -> None:
    budget = RetryBudget()
    for _ in range(requests):
        budget.count_request(0)
    assert sum(budget.spend(age_us) for _ in range(requests + 1)) == (retries if is_kept else 0)
