"""Settings of failover. All time spans follow from the pause of a process that membership tolerates."""

from __future__ import annotations

from dataclasses import dataclass

from cressrail.failover.topology import ZoneTopology


@dataclass(frozen=True, slots=True)
class FailoverSettings:
    """Settings of failover at one instance.

    Attributes:
        topology: Zones and regions of the tier.
        zone: Index of the zone of this instance.
        slow_start_fraction: Fraction of its capacity at which a zone that returns begins.
        warm_up_us: Time in which a zone that returns reaches its whole capacity.
        tolerated_pause_us: Longest pause of a process that membership does not take for a failure.
    """

    topology: ZoneTopology
    zone: int
    slow_start_fraction: float = 0.2
    warm_up_us: int = 10_000_000
    tolerated_pause_us: int = 3_000_000

    @property
    def report_period_us(self) -> int:
        """Time between two reports of a follower, and between two planning rounds of the leader."""
        return self.tolerated_pause_us // 6

    @property
    def lease_us(self) -> int:
        """Time for which a leader counts on an instance that answered it."""
        return self.tolerated_pause_us // 2

    @property
    def freshness_us(self) -> int:
        """Time for which a decision counts in full without a sign that its leader still has a majority."""
        return 3 * self.tolerated_pause_us

    @property
    def fade_us(self) -> int:
        """Time in which a decision that is no longer fresh gives way to each instance's own judgement."""
        return 6 * self.tolerated_pause_us
