"""Combines clock, zones, fleet, faults and traffic into a simulation."""

from __future__ import annotations

from typing import Any

from cressrail.failover.simulation.faults import FaultInjector
from cressrail.failover.simulation.figures import summarize
from cressrail.failover.simulation.fleet import SimulatedFleet
from cressrail.failover.simulation.scenario import Scenario
from cressrail.failover.simulation.trace import Trace
from cressrail.failover.simulation.traffic import Traffic
from cressrail.failover.simulation.zones import SimulatedZones
from cressrail.policy.random_generator import RandomGenerator
from cressrail.simulation.virtual_clock import SECOND_US, VirtualClock


class FailoverSimulation:
    """One run of a scenario.

    Attributes:
        scenario: Simulated scenario.
        fleet: Simulated instances.
    """

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self._clock = VirtualClock()
        self._trace = Trace()
        rng = RandomGenerator(seed)
        zones = SimulatedZones(scenario, self._clock)
        self.fleet = SimulatedFleet(scenario, zones.topology, self._clock, rng, self._trace)
        faults = FaultInjector(self._clock, zones, self.fleet, self._trace)
        self._traffic = Traffic(scenario, self._clock, rng, zones, self.fleet)
        # Simultaneous events run in the order of scheduling, so faults are scheduled before the first tick.
        for fault in scenario.faults:
            faults.schedule(fault)
        self._traffic.start()

    def run(self) -> None:
        """Runs the scenario until its end."""
        self._clock.run_until(int(self.scenario.seconds * SECOND_US))

    def figures(self) -> dict[str, Any]:
        """Returns the figures of the run so far, under the keys of the JSON output."""
        return summarize(
            self.scenario,
            self._traffic.ticks,
            self.fleet.decisions,
            self._traffic.disagreement_us,
            self._trace.digest(),
        )


def simulate(scenario: Scenario, seed: int) -> dict[str, Any]:
    """Runs a scenario and returns its figures, under the keys of the JSON output."""
    simulation = FailoverSimulation(scenario, seed)
    simulation.run()
    return simulation.figures()
