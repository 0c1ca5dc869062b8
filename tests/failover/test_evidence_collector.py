"""Evidence of one instance, collected from its zone statistics and its load balancer."""

from __future__ import annotations

import pytest

from cressrail.failover.admin_view import zones_view
from cressrail.failover.evidence_collector import EvidenceCollector
from cressrail.failover.settings import FailoverSettings
from cressrail.failover.state_machine import FailoverStateMachine
from cressrail.failover.topology import ZoneTopology
from cressrail.policy.outcome import Outcome
from cressrail.proxy.zone_statistics import AttemptCounts, ZoneStatistics
from tests.policy.support import SECOND, make_entry, make_load_balancer, send_successes


def test_zone_statistics_distinguish_connect_failures_failures_and_slow_attempts() -> None:
    statistics = ZoneStatistics()
    for outcome, is_slow in (
        (Outcome.SUCCEEDED, False),
        (Outcome.SUCCEEDED, True),
        (Outcome.CONNECT_FAILED, False),
        (Outcome.ERROR, False),
        (Outcome.TIMED_OUT, False),
        (Outcome.REJECTED_BY_ENDPOINT, False),
        (Outcome.CANCELLED, False),
    ):
        statistics.on_attempt_finished(1, outcome, 1000, is_slow)
    assert statistics.zones == {1: AttemptCounts(6, 1, 2, 2, 2, 2000)}


def test_collect_counts_the_last_window_and_derives_capacity_from_limits() -> None:
    settings = FailoverSettings(ZoneTopology(("a", "b"), ("", "")), 0)
    load_balancer, statistics = make_load_balancer([make_entry(0), make_entry(1, 1)]), ZoneStatistics()
    collector = EvidenceCollector(settings)
    state_machine = FailoverStateMachine(settings, 1, load_balancer.random_generator, 0)
    send_successes(load_balancer, 30)
    collector.collect(0, load_balancer, statistics)
    for _ in range(20):
        statistics.on_attempt_finished(0, Outcome.SUCCEEDED, 50_000, False)
    collected = collector.collect(SECOND, load_balancer, statistics)
    assert collected.demand == 0
    assert collected.observations[0].attempts == 20
    assert collected.observations[1].attempts == 0
    assert collected.observations[0].capacity == pytest.approx(load_balancer.zone_subsets[0].limit * 20)
    for period in range(1, 9):
        last = collector.collect(SECOND + period * SECOND // 2, load_balancer, statistics)
    assert last.observations[0].attempts == 0
    assert last.observations[0].capacity == collected.observations[0].capacity
    view = zones_view(state_machine, statistics, {}, SECOND)
    assert view["near"] == {"zone": 1.0, "region": 1.0, "beyond": 0.0}
