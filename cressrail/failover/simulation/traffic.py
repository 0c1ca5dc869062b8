"""Simulates the traffic of all zones tick by tick, and provides each instance with its evidence."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from cressrail.failover.messages import Evidence, ZoneObservation
from cressrail.failover.simulation.figures import TickFigures
from cressrail.failover.simulation.fleet import TICK_US, SimulatedFleet
from cressrail.failover.simulation.instance import SimulatedInstance, ZoneTraffic
from cressrail.failover.simulation.scenario import Scenario
from cressrail.failover.simulation.zones import SimulatedZones, on_time_share
from cressrail.failover.topology import Proximity
from cressrail.policy.random_generator import RandomGenerator
from cressrail.simulation.virtual_clock import SECOND_US, VirtualClock

AVOIDANCE_FAILURE_RATIO = 0.5  # share of failed attempts at which local judgement avoids a zone
MIN_AVOIDANCE_US = 2 * SECOND_US
AVOIDANCE_JITTER_US = 2 * SECOND_US
MIN_FALSE_FAILURES = 50.0  # least number of failures in the reports of an instance with false evidence
MIN_ATTEMPTS_IF_USED = 0.5  # attempts in the window above which an instance counts as using a zone
REPORTED_CAPACITY_IF_USED = 0.9  # fraction of its capacity share that an instance using a zone reports
REPORTED_CAPACITY_IF_UNUSED = 0.75  # the same for an instance that does not use the zone
MIN_INBOUND_UTILIZATION = 0.01  # inbound utilization above which a load counts as caused by decisions


class Served(NamedTuple):
    """Successful attempts per second: in total, within the own zone and within the own region."""

    total: float
    in_zone: float
    in_region: float


class Loads(NamedTuple):
    """Attempts per second to each zone: in total, and those sent from other zones by decisions."""

    total: list[float]
    inbound: list[float]


class Traffic:
    """The traffic from instances to zones.

    Attributes:
        ticks: Figures of each tick.
        disagreement_us: Longest time for which an instance lacked a decision, in microseconds.
    """

    def __init__(
        self,
        scenario: Scenario,
        clock: VirtualClock,
        rng: RandomGenerator,
        zones: SimulatedZones,
        fleet: SimulatedFleet,
    ) -> None:
        self._scenario = scenario
        self._clock = clock
        self._rng = rng
        self._zones = zones
        self._fleet = fleet
        self._indices = range(len(zones.zones))
        self.ticks: list[TickFigures] = []
        self.disagreement_us = 0

    def start(self) -> None:
        """Schedules the first tick."""
        self._clock.schedule(TICK_US, self._on_tick)

    def _on_tick(self) -> None:
        self._clock.schedule(self._clock.now_us + TICK_US, self._on_tick)
        running = self._fleet.running()
        instance_counts = [sum(1 for one in running if one.zone == zone) for zone in self._indices]
        demand = [self._zones.demand(zone) for zone in self._indices]
        per_instance = [
            rate / count if count else 0.0 for rate, count in zip(demand, instance_counts, strict=True)
        ]
        flows = self._route(running, per_instance)
        loads = self._loads(running, flows)
        capacity = [self._zones.capacity(zone) for zone in self._indices]
        on_time = [on_time_share(loads.total[zone], capacity[zone]) for zone in self._indices]
        served = self._serve(running, flows, on_time)
        for instance in running:
            evidence = self._evidence(instance, per_instance[instance.zone], len(running))
            instance.state_machine.update_evidence(evidence)
        offered = sum(rate for rate, count in zip(demand, instance_counts, strict=True) if count)
        self.ticks.append(self._figures(offered, loads, capacity, served))
        self.disagreement_us = max(self.disagreement_us, self._fleet.disagreement_us())

    def _route(
        self, running: Sequence[SimulatedInstance], per_instance: Sequence[float]
    ) -> dict[int, list[float]]:
        """Returns the attempts per second from each instance to each zone, by instance id."""
        flows = {}
        for instance in running:
            self._fleet.update_membership(instance)
            rate = per_instance[instance.zone]
            flows[instance.number] = [rate * weight for weight in self._weights(instance)]
        return flows

    def _weights(self, instance: SimulatedInstance) -> list[float]:
        """Returns the share of an instance's traffic to each zone.

        Decided shares and those of local judgement are mixed in proportion to the freshness of the decision.
        """
        own = self._own_weights(instance)
        if not self._scenario.is_joint:
            return own
        decided, freshness = instance.state_machine.zone_weights(self._clock.now_us)
        if not freshness:
            return own
        return [
            freshness * joint + (1 - freshness) * single for joint, single in zip(decided, own, strict=True)
        ]

    def _own_weights(self, instance: SimulatedInstance) -> list[float]:
        """Returns the shares by local judgement: all traffic goes to the closest zone that is not avoided."""
        count = len(self._indices)

        def closeness(zone: int) -> tuple[Proximity, int]:
            return self._zones.topology.proximity(instance.zone, zone), (zone - instance.zone) % count

        ranked = sorted(self._indices, key=closeness)
        now_us = self._clock.now_us
        usable = [zone for zone in ranked if instance.avoided_until_us.get(zone, 0) <= now_us]
        chosen = (usable or ranked)[0]
        return [1.0 if zone == chosen else 0.0 for zone in self._indices]

    def _loads(self, running: Sequence[SimulatedInstance], flows: dict[int, list[float]]) -> Loads:
        total, inbound = [0.0] * len(self._indices), [0.0] * len(self._indices)
        for instance in running:
            _, freshness = instance.state_machine.zone_weights(self._clock.now_us)
            is_decided = freshness >= 1 and self._scenario.is_joint
            for zone in self._indices:
                if not self._zones.can_reach(instance.zone, zone):
                    continue
                total[zone] += flows[instance.number][zone]
                if is_decided and zone != instance.zone:
                    inbound[zone] += flows[instance.number][zone]
        return Loads(total, inbound)

    def _serve(
        self,
        running: Sequence[SimulatedInstance],
        flows: dict[int, list[float]],
        on_time: Sequence[float],
    ) -> Served:
        """Serves the traffic of all instances and records the outcomes at each instance."""
        total = in_zone = in_region = 0.0
        for instance in running:
            outcomes = []
            for zone in self._indices:
                flow = flows[instance.number][zone]
                traffic = self._attempt(instance.zone, zone, flow, on_time[zone])
                succeeds = not traffic.connect_failures and not traffic.failures
                succeeded = flow * on_time[zone] if succeeds else 0.0
                proximity = self._zones.topology.proximity(instance.zone, zone)
                total += succeeded
                in_zone += succeeded * (proximity == Proximity.SAME_ZONE)
                in_region += succeeded * (proximity <= Proximity.SAME_REGION)
                outcomes.append(traffic)
                self._update_avoidance(instance, zone, traffic)
            instance.recent_traffic.append(outcomes)
        return Served(total, in_zone, in_region)

    def _attempt(self, source: int, target: int, flow: float, on_time: float) -> ZoneTraffic:
        zone = self._zones.zones[target]
        if not zone.is_up or not self._zones.can_reach(source, target):
            return ZoneTraffic(flow, flow, 0.0, 0.0)
        if zone.is_failing:
            return ZoneTraffic(flow, 0.0, flow, 0.0)
        return ZoneTraffic(flow, 0.0, 0.0, flow * (1 - on_time))

    def _update_avoidance(self, instance: SimulatedInstance, zone: int, traffic: ZoneTraffic) -> None:
        """Makes an instance avoid a zone for a while if at least half of its attempts there fail."""
        now_us = self._clock.now_us
        failed = traffic.connect_failures + traffic.failures + traffic.slow_attempts
        has_failed = traffic.sent > 0 and failed >= AVOIDANCE_FAILURE_RATIO * traffic.sent
        if has_failed and instance.avoided_until_us.get(zone, 0) <= now_us:
            jitter_us = self._rng.below(AVOIDANCE_JITTER_US)
            instance.avoided_until_us[zone] = now_us + MIN_AVOIDANCE_US + jitter_us

    def _evidence(self, instance: SimulatedInstance, demand: float, instance_count: int) -> Evidence:
        observations = tuple(self._observation(instance, zone, instance_count) for zone in self._indices)
        return Evidence(instance.zone, demand, observations)

    def _observation(self, instance: SimulatedInstance, zone: int, instance_count: int) -> ZoneObservation:
        sent, connect_failures, failed, slow = (
            sum(tick[zone][index] for tick in instance.recent_traffic) * TICK_US / SECOND_US
            for index in range(len(ZoneTraffic._fields))
        )
        if instance.has_false_evidence:
            connect_failures, failed, slow = 0.0, max(sent, MIN_FALSE_FAILURES), 0.0
            sent = failed
        capacity_fraction = (
            REPORTED_CAPACITY_IF_USED if sent > MIN_ATTEMPTS_IF_USED else REPORTED_CAPACITY_IF_UNUSED
        )
        capacity = self._scenario.zones[zone].capacity / max(1, instance_count) * capacity_fraction
        unsuccessful = round(connect_failures), round(failed), round(slow)
        return ZoneObservation(max(round(sent), sum(unsuccessful)), *unsuccessful, capacity)

    def _figures(
        self, offered: float, loads: Loads, capacity: Sequence[float], served: Served
    ) -> TickFigures:
        usable = sum(
            rate for rate, zone in zip(capacity, self._zones.zones, strict=True) if not zone.is_failing
        )
        return TickFigures(
            at_s=self._clock.now_us / SECOND_US,
            offered=offered,
            served=served.total,
            served_in_zone=served.in_zone,
            served_in_region=served.in_region,
            servable=min(offered, usable),
            overload=_decided_overload(loads, capacity),
        )


def _decided_overload(loads: Loads, capacity: Sequence[float]) -> float:
    """Returns the greatest utilization of a zone that is caused by decisions; 0 if there is none.

    Only zones with traffic from other zones count, and only if their own clients alone do not overload them.
    """
    utilizations = (
        load / limit
        for load, inbound, limit in zip(loads.total, loads.inbound, capacity, strict=True)
        if limit and inbound > MIN_INBOUND_UTILIZATION * limit and load - inbound <= limit
    )
    return max(utilizations, default=0.0)
