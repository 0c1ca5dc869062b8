"""Settings of failover. All timeouts are derived from the process pause that membership tolerates."""

from __future__ import annotations

from dataclasses import dataclass

from cressrail.failover.topology import ZoneTopology


@dataclass(frozen=True, slots=True)
class FailoverSettings:
    """Settings of failover at one instance.

    Attributes:
        topology: Zones and regions of the tier.
        zone: Index of this instance's zone.
        slow_start_fraction: Fraction of its capacity that a returning zone receives at first.
        warm_up_us: Time in which a returning zone reaches its full capacity, in microseconds.
        tolerated_pause_us: Longest process pause in microseconds that membership does not treat as a failure.
    """

    topology: ZoneTopology
    zone: int
    slow_start_fraction: float = 0.2
    warm_up_us: int = 10_000_000
    tolerated_pause_us: int = 3_000_000

    @property
    def report_period_us(self) -> int:
        """Interval between the reports of a follower, and between the planning rounds of the leader."""
        return self.tolerated_pause_us // 6

    @property
    def lease_us(self) -> int:
        """Time for which an answer from an instance counts towards the majority of the leader."""
        return self.tolerated_pause_us // 2

    @property
    def freshness_us(self) -> int:
        """Time for which a decision keeps full weight without confirmation by a leader with a majority."""
        return 3 * self.tolerated_pause_us

    @property
    def fade_us(self) -> int:
        """Time over which local judgement gradually replaces a decision that is no longer fresh."""
        return 6 * self.tolerated_pause_us
