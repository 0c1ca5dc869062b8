"""Distributes the traffic of all callers' zones over the zones of endpoints, for one plan.

Each zone serves its own traffic first. Excess traffic spills over to zones of the same region, then to zones
of other regions, in proportion to their spare capacity and never above it. Traffic that no zone can take
stays unserved.
"""

from __future__ import annotations

from collections.abc import Sequence

from cressrail.failover.evidence import AggregatedEvidence
from cressrail.failover.messages import WEIGHT_UNITS, ZoneReason, ZoneState
from cressrail.failover.topology import Proximity, ZoneTopology
from cressrail.failover.zone_condition import SECOND_US, ZoneCondition

SPARE_UTILIZATION = 0.9  # utilization of a zone up to which other zones may send it traffic
MAX_INBOUND_GROWTH_PER_SECOND = 0.3  # growth of traffic from other zones, as a fraction of the capacity
PROBING_SHARE = 0.01  # share of all traffic sent to a zone that is away, to detect its recovery
MIN_PROBES_PER_SECOND = 2.0  # lower bound of the rate of probes to a zone that is away, over all instances
SPILLOVER_ROUNDS = 4  # rounds of offering excess traffic to the zones of one proximity
CHANGE_TOLERANCE = 0.05  # smaller differences between shares are ignored
NEGLIGIBLE_RATE = 1e-9  # attempts per second that are treated as 0


class TrafficDistribution:
    """The traffic from each caller's zone to each zone of endpoints.

    All rates are in attempts per second.

    Attributes:
        topology: Zones and regions of the tier.
        conditions: Condition of each zone.
        evidence: Combined evidence of all instances.
        zones: Indices of the zones.
        unserved: Rate from each caller's zone that is not assigned; in the end, the rate that no zone takes.
        flows: For each caller's zone, the rate to each zone.
        loads: Total rate that each zone receives.
        inbound: Rate that each zone receives from other zones, without probes.
    """

    def __init__(
        self, topology: ZoneTopology, conditions: Sequence[ZoneCondition], evidence: AggregatedEvidence
    ) -> None:
        self.topology = topology
        self.conditions = conditions
        self.evidence = evidence
        self.zones = range(len(topology.zones))
        self.unserved = list(evidence.demand)
        self.flows = [[0.0] * len(self.zones) for _ in self.zones]
        self.loads = [0.0] * len(self.zones)
        self.inbound = [0.0] * len(self.zones)
        self._spare: list[float] = []

    def distribute(self, elapsed_us: int, window_us: int) -> None:
        """Distributes all traffic.

        Args:
            elapsed_us: Time since the last plan in microseconds, which bounds the growth of inbound traffic.
            window_us: Length of the evidence window in microseconds.
        """
        self._assign_probes()
        self._assign_own_zones()
        growth = MAX_INBOUND_GROWTH_PER_SECOND * max(elapsed_us, window_us // 8) / SECOND_US
        self._spare = [self._spare_rate(zone, growth) for zone in self.zones]
        for proximity in (Proximity.SAME_REGION, Proximity.OTHER_REGION):
            for _ in range(SPILLOVER_ROUNDS):
                self._spill_over(proximity)
        self._assign_to_drained_zones()

    def service_reason(self, zone: int) -> ZoneReason:
        """Returns why the clients of a zone are not all served there, or `NONE` if they are."""
        demand = self.evidence.demand[zone]
        if self.unserved[zone] > CHANGE_TOLERANCE * demand:
            return ZoneReason.NO_CAPACITY_LEFT
        if self.flows[zone][zone] < (1 - CHANGE_TOLERANCE) * demand:
            return ZoneReason.OVER_CAPACITY
        return ZoneReason.NONE

    def weights(self, zone: int) -> tuple[float, ...]:
        """Returns the shares of a caller's zone for each zone, rounded to whole weight units.

        The shares add up to no more than 1. A caller's zone without traffic is assigned to the closest open
        zone, which is its own if that is open, or to its own zone if none is open.
        """
        demand = self.evidence.demand[zone]
        if demand > NEGLIGIBLE_RATE:
            rounded = _rounded_flows(self.flows[zone], demand)
            return tuple(int(flow / demand * WEIGHT_UNITS + 0.5) / WEIGHT_UNITS for flow in rounded)
        open_zones = [other for other in self.zones if self.conditions[other].is_open]
        closest = min(
            open_zones, key=lambda other: (self.topology.proximity(zone, other), other), default=zone
        )
        return tuple(float(other == closest) for other in self.zones)

    def _assign(self, source: int, target: int, rate: float) -> None:
        self.flows[source][target] += rate
        self.loads[target] += rate
        self.unserved[source] -= rate

    def _assign_probes(self) -> None:
        """Assigns probes to each zone that is away, preferably from the zones closest to it."""
        probes = max(MIN_PROBES_PER_SECOND, PROBING_SHARE * sum(self.evidence.demand))
        for target, condition in enumerate(self.conditions):
            if condition.state == ZoneState.AWAY:
                self._assign_probes_to(target, probes)

    def _assign_probes_to(self, target: int, rate: float) -> None:
        def closeness(source: int) -> tuple[Proximity, int]:
            return self.topology.proximity(source, target), source

        for source in sorted(self.zones, key=closeness):
            part = min(rate, self.unserved[source])
            self._assign(source, target, part)
            rate -= part

    def _assign_own_zones(self) -> None:
        for zone, condition in enumerate(self.conditions):
            if self.evidence.unreachable_from[zone][zone] or condition.state == ZoneState.AWAY:
                continue
            # A zone rejects its own traffic only after an observed overload or while it is returning, never
            # because of an estimated capacity alone.
            is_unlimited = not condition.is_capacity_limited and condition.ramp >= 1
            unserved = self.unserved[zone]
            rate = unserved if is_unlimited else min(unserved, max(0.0, condition.usable_capacity))
            self._assign(zone, zone, rate)

    def _spare_rate(self, zone: int, growth: float) -> float:
        """Returns the attempts per second that a zone can take from others, which grow only gradually."""
        if self.evidence.is_silent[zone]:
            return 0.0  # the current load of the zone is unknown
        condition = self.conditions[zone]
        capacity = condition.usable_capacity
        return max(
            0.0,
            min(SPARE_UTILIZATION * capacity - self.loads[zone], condition.inbound_rate + growth * capacity),
        )

    def _spill_over(self, proximity: Proximity) -> None:
        """Offers the unserved traffic of each zone to the zones of one proximity, by their spare capacity."""
        wanted = [self._wanted_rates(source, proximity) for source in self.zones]
        for target in self.zones:
            total = sum(row[target] for row in wanted)
            accepted = min(1.0, self._spare[target] / total) if total > NEGLIGIBLE_RATE else 0.0
            for source in self.zones:
                rate = min(self.unserved[source], wanted[source][target] * accepted)
                self._assign(source, target, rate)
                self._spare[target] -= rate
                self.inbound[target] += rate

    def _wanted_rates(self, source: int, proximity: Proximity) -> list[float]:
        targets = [
            target
            for target in self.zones
            if self.topology.proximity(source, target) == proximity
            and not self.evidence.unreachable_from[source][target]
            and self._spare[target] > NEGLIGIBLE_RATE
            and self.conditions[target].is_open
        ]
        total = sum(self._spare[target] for target in targets)
        wanted = [0.0] * len(self.zones)
        for target in targets:
            wanted[target] = self.unserved[source] * self._spare[target] / total
        return wanted

    def _assign_to_drained_zones(self) -> None:
        """Assigns to a drained zone its own traffic that no other zone can take, unless it is unusable."""
        for zone, condition in enumerate(self.conditions):
            is_unusable = (
                self.evidence.is_failing[zone]
                or self.evidence.is_unreachable[zone]
                or self.evidence.unreachable_from[zone][zone]
            )
            if condition.state == ZoneState.DRAINED and not is_unusable:
                self._assign(zone, zone, min(self.unserved[zone], condition.capacity))


def _rounded_flows(flows: Sequence[float], demand: float) -> list[float]:
    """Rounds flows to whole weight units, so that they add up to no more than the demand.

    The flows with the largest remainders are rounded up first.
    """
    exact = [flow / demand * WEIGHT_UNITS for flow in flows]
    units = [int(share) for share in exact]
    missing = min(WEIGHT_UNITS, int(sum(exact) + 0.5)) - sum(units)
    by_remainder = sorted(range(len(flows)), key=lambda zone: (units[zone] - exact[zone], zone))
    for zone in by_remainder[: max(0, missing)]:
        units[zone] += 1
    return [share * demand / WEIGHT_UNITS for share in units]
