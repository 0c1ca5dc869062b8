"""Counts of attempts by zone."""

from __future__ import annotations

from cressrail.proxy.zone_statistics import ZoneStatistics
from tests.proxy.support import ProxyDriver


def test_zone_weights_end_with_zone_statistics() -> None:
    driver, statistics = ProxyDriver(), ZoneStatistics()
    state_machine = driver.state_machine
    state_machine.set_zone_statistics(0, statistics)
    state_machine.on_zone_weights(0, (0.0, 1.0), 1.0)
    assert state_machine.attempts.zone_statistics is statistics
    assert state_machine.load_balancer.spillover.weighted_fraction == 1.0
    state_machine.set_zone_statistics(1, None)
    assert state_machine.attempts.zone_statistics is None
    assert state_machine.load_balancer.spillover.weighted_fraction == 0.0
