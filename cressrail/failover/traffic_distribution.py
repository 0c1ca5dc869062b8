"""Distributes the traffic of all callers' zones over the zones of endpoints, for one plan.

Own zone first, then zones of the same region, then others; among these by the capacity that they have to
spare, and never above it. What no zone can take stays unserved.
"""

from __future__ import annotations

from collections.abc import Sequence

from cressrail.failover.evidence import AggregatedEvidence
from cressrail.failover.messages import WEIGHT_UNITS, ZoneReason, ZoneState
from cressrail.failover.topology import Proximity, ZoneTopology
from cressrail.failover.zone_condition import SECOND_US, ZoneCondition

SPARE_UTILIZATION = 0.9  # of its capacity up to which other zones send traffic to a zone
MAX_INBOUND_GROWTH_PER_SECOND = 0.3  # of its capacity by which more is sent to a zone from outside
PROBING_SHARE = 0.01  # of all traffic goes to a zone that is away, to find out whether it works again,
MIN_PROBES_PER_SECOND = 2.0  # and at least this many attempts, from all instances together
SPILLOVER_ROUNDS = 4  # in which excess traffic is offered to the zones of one proximity
CHANGE_TOLERANCE = 0.05  # differences of a share below this are ignored
NEGLIGIBLE_RATE = 1e-9  # attempts a second that count as none


class TrafficDistribution:
    """Attempts a second from each zone to each zone.

    Attributes:
        unserved: For each caller's zone, requests a second that no zone takes.
        flows: For each caller's zone, attempts a second to each zone.
        loads: For each zone, attempts a second that it receives from all.
        inbound: For each zone, attempts a second that it receives from others beyond probes.
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
            elapsed_us: Time since the last plan, which bounds how much more a zone receives from outside.
            window_us: Length of the evidence window.
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
        """Returns why the clients of a zone are not all served there; `NONE` where they are."""
        demand = self.evidence.demand[zone]
        if self.unserved[zone] > CHANGE_TOLERANCE * demand:
            return ZoneReason.NO_CAPACITY_LEFT
        if self.flows[zone][zone] < (1 - CHANGE_TOLERANCE) * demand:
            return ZoneReason.OVER_CAPACITY
        return ZoneReason.NONE

    def weights(self, zone: int) -> tuple[float, ...]:
        """Returns the share of a caller's zone to each zone, in whole weight units and none above its flow.

        A zone without traffic gets its own zone, or the closest that is open.
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
        """Sends a probing share to each zone that is away, from the zones closest to it."""
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
            # Traffic of the zone itself is not rejected on an estimate of the capacity alone.
            is_unlimited = not condition.is_capacity_limited and condition.ramp >= 1
            unserved = self.unserved[zone]
            rate = unserved if is_unlimited else min(unserved, max(0.0, condition.usable_capacity))
            self._assign(zone, zone, rate)

    def _spare_rate(self, zone: int, growth: float) -> float:
        """Returns the attempts a second that a zone takes from others, which grows in steps only."""
        if self.evidence.is_silent[zone]:
            return 0.0  # what it serves already is not known
        condition = self.conditions[zone]
        capacity = condition.usable_capacity
        return max(
            0.0,
            min(SPARE_UTILIZATION * capacity - self.loads[zone], condition.inbound_rate + growth * capacity),
        )

    def _spill_over(self, proximity: Proximity) -> None:
        """Offers what each zone has left over to the zones of that proximity, by what they have to spare."""
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
        """Leaves to a zone that is drained what no other zone can take."""
        for zone, condition in enumerate(self.conditions):
            is_unusable = (
                self.evidence.is_failing[zone]
                or self.evidence.is_unreachable[zone]
                or self.evidence.unreachable_from[zone][zone]
            )
            if condition.state == ZoneState.DRAINED and not is_unusable:
                self._assign(zone, zone, min(self.unserved[zone], condition.capacity))


def _rounded_flows(flows: Sequence[float], demand: float) -> list[float]:
    """Rounds flows to whole weight units so that they add up to no more than the demand.

    The largest remainders are rounded up first.
    """
    exact = [flow / demand * WEIGHT_UNITS for flow in flows]
    units = [int(share) for share in exact]
    missing = min(WEIGHT_UNITS, int(sum(exact) + 0.5)) - sum(units)
    by_remainder = sorted(range(len(flows)), key=lambda zone: (units[zone] - exact[zone], zone))
    for zone in by_remainder[: max(0, missing)]:
        units[zone] += 1
    return [share * demand / WEIGHT_UNITS for share in units]
