"""The simulated zones of endpoints: their availability, capacity and reachability."""

from __future__ import annotations

from dataclasses import dataclass

from cressrail.failover.simulation.scenario import Scenario, ZoneScenario
from cressrail.failover.topology import ZoneTopology
from cressrail.simulation.virtual_clock import SECOND_US, VirtualClock

ALWAYS_WARM_US = -(1 << 50)  # start of a warm-up that ended before the simulation began
SLOW_FROM_UTILIZATION = 0.85  # utilization above which some attempts are slow
SLOW_AT_CAPACITY = 0.1  # share of slow attempts at a utilization of 1
COLLAPSE_UTILIZATION = 1.3  # utilization above which the on-time share is multiplied by COLLAPSE_FACTOR
COLLAPSE_FACTOR = 0.7
OVERLOADED_UTILIZATION = 2.0  # assumed utilization of a zone without capacity that receives traffic


@dataclass(slots=True)
class SimulatedZone:
    """State of one simulated zone of endpoints and of its clients.

    Attributes:
        scenario: Capacity and demand of the zone without faults.
        is_up: Whether the endpoints are up.
        is_failing: Whether the endpoints answer with errors.
        capacity_factor: Factor on the capacity of the zone.
        demand_factor: Factor on the demand of the zone's clients.
        warm_up_start_us: Time at which the endpoints last came up, in microseconds.
    """

    scenario: ZoneScenario
    is_up: bool = True
    is_failing: bool = False
    capacity_factor: float = 1.0
    demand_factor: float = 1.0
    warm_up_start_us: int = ALWAYS_WARM_US


class SimulatedZones:
    """All zones of a scenario.

    Attributes:
        topology: Names and regions.
        zones: State of each zone.
        unreachable: Pairs of a caller's zone and a target zone that is unreachable from it.
    """

    def __init__(self, scenario: Scenario, clock: VirtualClock) -> None:
        self._scenario = scenario
        self._clock = clock
        names = tuple(zone.name for zone in scenario.zones)
        self.topology = ZoneTopology(names, tuple(zone.region for zone in scenario.zones))
        self.zones = [SimulatedZone(zone) for zone in scenario.zones]
        self.unreachable: set[tuple[int, int]] = set()

    def set_down(self, zone: int, is_down: bool) -> None:
        """Takes the endpoints of a zone down, or brings them up with a cold start."""
        state = self.zones[zone]
        if is_down is state.is_up:
            state.is_up = not is_down
            if state.is_up:
                state.warm_up_start_us = self._clock.now_us

    def can_reach(self, source: int, target: int) -> bool:
        """Returns whether the endpoints of the target zone are reachable from the source zone."""
        return (source, target) not in self.unreachable

    def demand(self, zone: int) -> float:
        """Returns the requests per second from the clients of a zone."""
        state = self.zones[zone]
        return state.scenario.demand * state.demand_factor

    def capacity(self, zone: int) -> float:
        """Returns the current capacity of a zone in attempts per second."""
        state = self.zones[zone]
        if not state.is_up:
            return 0.0
        start = self._scenario.slow_start_fraction
        passed = (self._clock.now_us - state.warm_up_start_us) / (self._scenario.warm_up_s * SECOND_US)
        return state.scenario.capacity * state.capacity_factor * min(1.0, start + (1 - start) * passed)


def on_time_share(load: float, capacity: float) -> float:
    """Returns the share of attempts answered in time, which falls from `SLOW_FROM_UTILIZATION` on."""
    utilization = load / capacity if capacity else OVERLOADED_UTILIZATION * bool(load)
    if utilization <= SLOW_FROM_UTILIZATION:
        return 1.0
    if utilization <= 1:
        return 1 - SLOW_AT_CAPACITY * (utilization - SLOW_FROM_UTILIZATION) / (1 - SLOW_FROM_UTILIZATION)
    collapse = COLLAPSE_FACTOR if utilization > COLLAPSE_UTILIZATION else 1.0
    return (1 - SLOW_AT_CAPACITY) / utilization * collapse
