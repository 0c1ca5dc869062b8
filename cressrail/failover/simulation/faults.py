"""Injects the faults of a scenario into the simulation."""

from __future__ import annotations

from collections.abc import Callable

from cressrail.failover.simulation.fleet import SimulatedFleet
from cressrail.failover.simulation.instance import SimulatedInstance
from cressrail.failover.simulation.scenario import (
    EVERY_SECOND_INSTANCE,
    LEADER,
    FaultKind,
    FaultScenario,
)
from cressrail.failover.simulation.trace import Trace
from cressrail.failover.simulation.zones import SimulatedZones
from cressrail.simulation.virtual_clock import SECOND_US, VirtualClock

_InstanceFault = Callable[[SimulatedInstance, bool], None]


class FaultInjector:
    """Schedules faults of zones, of instances and of the network between them."""

    def __init__(
        self, clock: VirtualClock, zones: SimulatedZones, fleet: SimulatedFleet, trace: Trace
    ) -> None:
        self._clock = clock
        self._zones = zones
        self._fleet = fleet
        self._trace = trace
        self._instance_faults: dict[FaultKind, _InstanceFault] = {
            FaultKind.FALSE_EVIDENCE: self._set_false_evidence,
            FaultKind.INSTANCE_STALLED: self._set_stalled,
            FaultKind.INSTANCE_KILLED: self._set_killed,
        }

    def schedule(self, fault: FaultScenario) -> None:
        """Schedules the start and end of a fault; a flapping zone alternates in between."""
        begin_us, end_us = int(fault.at_s * SECOND_US), int((fault.at_s + fault.for_s) * SECOND_US)
        affected: list[SimulatedInstance] = []
        if fault.kind == FaultKind.ZONE_FLAPPING:
            self._schedule_flaps(fault, begin_us, end_us)
        else:
            self._clock.schedule(begin_us, lambda: self._apply(fault, True, affected))
        self._clock.schedule(end_us, lambda: self._apply(fault, False, affected))

    def _schedule_flaps(self, fault: FaultScenario, begin_us: int, end_us: int) -> None:
        def change(is_on: bool) -> Callable[[], None]:
            return lambda: self._apply(fault, is_on, [])

        is_on = True
        for at_us in range(begin_us, end_us, int(fault.every_s * SECOND_US)):
            self._clock.schedule(at_us, change(is_on))
            is_on = not is_on

    def _apply(self, fault: FaultScenario, is_on: bool, affected: list[SimulatedInstance]) -> None:
        """Starts or ends a fault.

        Args:
            fault: Fault to start or end.
            is_on: Whether the fault starts.
            affected: Instances affected by an instance fault. Filled when the fault starts, so that the same
                instances are restored at its end.
        """
        self._trace.add_fault(self._clock.now_us, fault.kind, is_on)
        if fault.kind in self._instance_faults:
            self._set_on_instances(fault, is_on, affected)
        elif fault.kind == FaultKind.PARTITION:
            self._set_partition(fault, is_on)
        elif fault.kind == FaultKind.DRAIN:
            self._set_drain(fault, is_on)
        elif fault.kind in (FaultKind.ENDPOINTS_UNREACHABLE, FaultKind.ONE_WAY_LOSS):
            self._set_path(fault, is_on)
        else:
            self._set_on_zone(fault, is_on)

    def _zone_index(self, name: str) -> int:
        return self._zones.topology.zones.index(name)

    def _set_on_zone(self, fault: FaultScenario, is_on: bool) -> None:
        index = self._zone_index(fault.zone)
        zone = self._zones.zones[index]
        if fault.kind in (FaultKind.ZONE_DOWN, FaultKind.ZONE_FLAPPING):
            self._zones.set_down(index, is_on)
        elif fault.kind == FaultKind.ZONE_FAILING:
            zone.is_failing = is_on
        elif fault.kind == FaultKind.ZONE_SLOW:
            zone.capacity_factor = fault.value if is_on else 1.0
        elif fault.kind == FaultKind.DEMAND_SURGE:
            zone.demand_factor = fault.value if is_on else 1.0

    def _set_path(self, fault: FaultScenario, is_on: bool) -> None:
        zone, other = self._zone_index(fault.zone), self._zone_index(fault.other_zone)
        if fault.kind == FaultKind.ENDPOINTS_UNREACHABLE:
            paths, path = self._zones.unreachable, (zone, other)
        else:
            paths, path = self._fleet.one_way_losses, (other, zone)
        if is_on:
            paths.add(path)
        else:
            paths.discard(path)

    def _set_partition(self, fault: FaultScenario, is_on: bool) -> None:
        self._fleet.set_partition(frozenset(self._zone_index(name) for name in fault.zones), is_on)

    def _set_drain(self, fault: FaultScenario, is_on: bool) -> None:
        until_us = int((fault.at_s + fault.for_s) * SECOND_US) if is_on else 0
        for instance in self._fleet.running()[:1]:
            commands = instance.state_machine.request_drain(
                self._clock.now_us, self._zone_index(fault.zone), until_us
            )
            self._fleet.carry_out(instance, commands)

    def _set_on_instances(self, fault: FaultScenario, is_on: bool, affected: list[SimulatedInstance]) -> None:
        if is_on:
            affected += self._selected(fault.instances)
        for instance in affected:
            self._instance_faults[fault.kind](instance, is_on)

    def _selected(self, selector: str) -> list[SimulatedInstance]:
        alive = [instance for instance in self._fleet.instances.values() if instance.is_up]
        if selector == LEADER:
            return [instance for instance in alive if instance.state_machine.is_leader]
        if selector == EVERY_SECOND_INSTANCE:
            return alive[::2]
        return [instance for instance in alive if instance.number == int(selector)]

    @staticmethod
    def _set_false_evidence(instance: SimulatedInstance, is_on: bool) -> None:
        instance.has_false_evidence = is_on

    def _set_stalled(self, instance: SimulatedInstance, is_on: bool) -> None:
        if is_on:
            instance.is_stalled = True
        else:
            self._fleet.resume(instance)

    def _set_killed(self, instance: SimulatedInstance, is_on: bool) -> None:
        instance.is_up = False
        if not is_on:
            self._fleet.start(instance.number, instance.zone)
