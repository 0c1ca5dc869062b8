"""Plans the state of each zone and the zone weights from the aggregated evidence.

Traffic returns gradually to a zone that was away, and more slowly each time the zone fails again.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

from cressrail.failover.evidence import AggregatedEvidence
from cressrail.failover.messages import ZoneReason, ZoneState, ZoneStatus
from cressrail.failover.topology import ZoneTopology
from cressrail.failover.traffic_distribution import CHANGE_TOLERANCE, TrafficDistribution
from cressrail.failover.zone_condition import SECOND_US, ConditionUpdater, ZoneCondition

DEMAND_HALF_LIFE_US = SECOND_US  # half-life of the exponential smoothing of demand


@dataclass(frozen=True, slots=True)
class Plan:
    """The result of one planning round.

    Attributes:
        zones: Status of each zone.
        weights: For each caller's zone, the share of its traffic sent to each zone.
        loads: Attempts per second that each zone receives under these weights.
    """

    zones: tuple[ZoneStatus, ...]
    weights: tuple[tuple[float, ...], ...]
    loads: tuple[float, ...]

    def differs(self, zones: Sequence[ZoneStatus], weights: Sequence[Sequence[float]]) -> bool:
        """Returns whether the plan differs enough from an earlier decision to justify a new one."""
        planned = [(zone.state, zone.reason) for zone in self.zones]
        if planned != [(zone.state, zone.reason) for zone in zones]:
            return True
        return any(
            abs(new - old) > CHANGE_TOLERANCE
            for new_row, old_row in zip(self.weights, weights, strict=True)
            for new, old in zip(new_row, old_row, strict=True)
        )


class Planner:
    """Plans the zones while this instance is the leader; each leader starts with a new planner.

    Attributes:
        topology: Zones and regions of the tier.
        window_us: Length of the evidence window in microseconds.
        conditions: Condition of each zone.
        planned_us: Time of the last planning round in microseconds.
        demand: Smoothed demand of the clients of each zone in requests per second.
    """

    def __init__(
        self,
        topology: ZoneTopology,
        slow_start_fraction: float,
        warm_up_us: int,
        window_us: int,
        now_us: int,
    ) -> None:
        self.topology = topology
        self.window_us = window_us
        self.conditions = [ZoneCondition(since_us=now_us) for _ in topology.zones]
        self.planned_us = now_us
        self.demand: list[float] = []
        self._updater = ConditionUpdater(slow_start_fraction, warm_up_us, window_us)

    def take_over(self, zones: Sequence[ZoneStatus]) -> None:
        """Initializes the zone conditions from the last decision of the previous leader."""
        for condition, status in zip(self.conditions, zones, strict=True):
            condition.change_state(status.since_us, status.state, status.reason)
            condition.ramp = 1.0 if condition.is_open else 0.0
            if status.state == ZoneState.RETURNING:
                condition.ramp = self._updater.initial_ramp(condition)

    def plan(self, now_us: int, evidence: AggregatedEvidence, drained: frozenset[int]) -> Plan:
        """Runs one planning round.

        Args:
            now_us: Current time in microseconds.
            evidence: Combined evidence of all instances.
            drained: Indices of the zones drained by operators.

        Returns:
            The status of each zone and the zone weights.
        """
        elapsed_us = max(0, now_us - self.planned_us)
        self.planned_us = now_us
        for zone, condition in enumerate(self.conditions):
            self._updater.update(now_us, elapsed_us, zone, condition, evidence, zone in drained)
        self._smooth_demand(elapsed_us, evidence.demand)
        distribution = TrafficDistribution(
            self.topology, self.conditions, replace(evidence, demand=tuple(self.demand))
        )
        distribution.distribute(elapsed_us, self.window_us)
        for zone, condition in enumerate(self.conditions):
            condition.inbound_rate = distribution.inbound[zone]
            _update_service_state(now_us, condition, distribution.service_reason(zone))
        return Plan(
            zones=tuple(ZoneStatus(zone.state, zone.reason, zone.since_us) for zone in self.conditions),
            weights=tuple(distribution.weights(zone) for zone in distribution.zones),
            loads=tuple(distribution.loads),
        )

    def _smooth_demand(self, elapsed_us: int, demand: Sequence[float]) -> None:
        part = 1 - 0.5 ** (elapsed_us / DEMAND_HALF_LIFE_US)
        previous = self.demand or list(demand)
        self.demand = [old + (new - old) * part for old, new in zip(previous, demand, strict=True)]


def _update_service_state(now_us: int, condition: ZoneCondition, reason: ZoneReason) -> None:
    """Marks a zone as reduced if its clients are not all served there, and as serving otherwise."""
    if condition.state not in (ZoneState.SERVING, ZoneState.REDUCED):
        return
    state = ZoneState.REDUCED if reason else ZoneState.SERVING
    if (state, reason) != (condition.state, condition.reason):
        condition.change_state(now_us, state, reason)
