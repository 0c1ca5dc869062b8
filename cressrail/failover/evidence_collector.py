"""Collects the evidence of this instance from its zone statistics and its load balancer."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from cressrail.failover.leader import EVIDENCE_WINDOW_PERIODS
from cressrail.failover.messages import Evidence, ZoneObservation
from cressrail.failover.settings import FailoverSettings
from cressrail.policy.load_balancer import LoadBalancer
from cressrail.proxy.zone_statistics import AttemptCounts, ZoneStatistics

SECOND_US = 1_000_000


class _Snapshot(NamedTuple):
    taken_us: int
    counts: dict[int, AttemptCounts]


class EvidenceCollector:
    """Derives evidence from snapshots of the zone statistics taken over the evidence window."""

    def __init__(self, settings: FailoverSettings) -> None:
        self._settings = settings
        self._snapshots: deque[_Snapshot] = deque(maxlen=EVIDENCE_WINDOW_PERIODS + 1)
        self._latency_us: dict[int, float] = {}

    def collect(self, now_us: int, load_balancer: LoadBalancer, statistics: ZoneStatistics) -> Evidence:
        """Takes a snapshot and returns the evidence gathered since the oldest snapshot in the window."""
        self._snapshots.append(_Snapshot(now_us, dict(statistics.zones)))
        since_us, before = self._snapshots[0]
        span_us = max(1, now_us - since_us)
        requests = sum(1 for taken_us in load_balancer.budget.request_times_us if taken_us > since_us)
        observations = []
        for zone in range(len(self._settings.topology.zones)):
            counts = statistics.zones.get(zone, AttemptCounts()).since(before.get(zone, AttemptCounts()))
            if counts.succeeded:
                self._latency_us[zone] = counts.took_us / counts.succeeded
            capacity = self._capacity(zone, load_balancer)
            observations.append(
                ZoneObservation(counts.attempts, counts.connect_failed, counts.failed, counts.late, capacity)
            )
        return Evidence(self._settings.zone, requests * SECOND_US / span_us, tuple(observations))

    def _capacity(self, zone: int, load_balancer: LoadBalancer) -> float:
        """Returns the attempts per second that the concurrency limits of a zone allow this instance.

        The rate is the limit divided by the mean latency of the zone, or by that of the fastest zone if this
        instance has no latency for the zone yet. It is 0 before any latency is known.
        """
        if zone >= len(load_balancer.zone_subsets) or not self._latency_us:
            return 0.0
        latency_us = self._latency_us.get(zone) or min(self._latency_us.values())
        return load_balancer.zone_subsets[zone].limit * SECOND_US / max(1.0, latency_us)
