"""State of one endpoint."""

from __future__ import annotations

from tests.policy.support import SECOND, make_entry, make_load_balancer


def test_failing_endpoint_is_available_again_after_the_ejection_time() -> None:
    endpoint = make_load_balancer([make_entry(0), make_entry(1)]).endpoints[0]
    endpoint.success_rate, endpoint.last_outcome_us = 0.4, SECOND
    assert [endpoint.is_available(second * SECOND) for second in (1, 3, 4)] == [False, False, True]
