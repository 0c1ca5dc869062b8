"""Injects faults into simulated endpoints, discovery and whole zones of a running fleet."""

from __future__ import annotations

import asyncio

from cressrail.testbed.fault import DISCOVERY_FAULTS, RESPONSE_FAULTS, Fault, FaultKind
from cressrail.testbed.fleet import Fleet
from cressrail.testbed.simulated_service import SimulatedEndpoint


class EndpointFaults:
    """Begins and ends all faults of a fleet except sidecar faults, which `FaultInjector` handles."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._cut_zones: set[str] = set()

    def affected_endpoints(self, fault: Fault) -> list[SimulatedEndpoint]:
        """Returns the endpoints that a fault selects; every endpoint of the fleet for a zone cut."""
        if fault.kind == FaultKind.ZONE_CUT:
            return [endpoint for endpoints in self._fleet.tiers for endpoint in endpoints]
        return [
            endpoint
            for index, endpoint in enumerate(self._fleet.tiers[fault.tier])
            if (not fault.endpoint_indices or index in fault.endpoint_indices)
            and (not fault.zone or endpoint.placement.zone == fault.zone)
        ]

    def begin(self, fault: Fault) -> None:
        """Applies a fault to the endpoints, discovery agents or zone that it selects."""
        if fault.kind in DISCOVERY_FAULTS:
            self._apply_to_discovery(fault, is_begin=True)
        elif fault.kind == FaultKind.ZONE_CUT:
            self._cut_off(self._cut_zones | {fault.zone})
        else:
            for endpoint in self.affected_endpoints(fault):
                self._begin_at(endpoint, fault)

    def end(self, fault: Fault) -> None:
        """Ends a fault that `begin` applied."""
        if fault.kind in DISCOVERY_FAULTS:
            self._apply_to_discovery(fault, is_begin=False)
        elif fault.kind == FaultKind.ZONE_CUT:
            self._cut_off(self._cut_zones - {fault.zone})
        else:
            for endpoint in self.affected_endpoints(fault):
                self._end_at(endpoint, fault)

    def _begin_at(self, endpoint: SimulatedEndpoint, fault: Fault) -> None:
        if fault.kind in RESPONSE_FAULTS:
            endpoint.fault_shares[fault.kind] = fault.value
        elif fault.kind == FaultKind.ENDPOINT_STALL:
            endpoint.set_stalled(True)
        elif fault.kind == FaultKind.ENDPOINT_SLOWDOWN:
            endpoint.set_slowdown(max(1.0, fault.value))
        elif fault.kind == FaultKind.ENDPOINT_CRASH and endpoint.is_up:
            self._fleet.crash_endpoint(endpoint)
            self._fleet.spawn(self._announce_removal(endpoint))
        elif fault.kind == FaultKind.ENDPOINT_DRAIN:
            # The endpoint keeps serving, so that the rule checker sees requests sent after the announcement.
            self._fleet.announce_phase(endpoint, "draining")

    def _end_at(self, endpoint: SimulatedEndpoint, fault: Fault) -> None:
        if fault.kind in RESPONSE_FAULTS:
            endpoint.fault_shares[fault.kind] = 0.0
        elif fault.kind == FaultKind.ENDPOINT_STALL:
            endpoint.set_stalled(False)
        elif fault.kind == FaultKind.ENDPOINT_SLOWDOWN:
            endpoint.set_slowdown(1.0)
        elif fault.kind == FaultKind.ENDPOINT_CRASH:
            self._fleet.spawn(self._fleet.restart_endpoint(endpoint))
        elif fault.kind == FaultKind.ENDPOINT_DRAIN:
            self._fleet.crash_endpoint(endpoint)
            self._fleet.spawn(self._fleet.restart_endpoint(endpoint))

    async def _announce_removal(self, endpoint: SimulatedEndpoint) -> None:
        await asyncio.sleep(self._fleet.scenario.fleet.contract.removal_delay_ms / 1000)
        if not endpoint.is_up:
            self._fleet.announce_phase(endpoint, "removed")

    def _cut_off(self, zones: set[str]) -> None:
        """Cuts these zones off from the rest of the fleet and reconnects all other zones."""
        self._cut_zones = zones
        for endpoints in self._fleet.tiers:
            for endpoint in endpoints:
                own_zone = endpoint.placement.zone
                is_cut = own_zone in zones
                unreachable = {
                    zone
                    for zone in endpoint.listeners.addresses
                    if zone != own_zone and (zone in zones) != is_cut
                }
                endpoint.listeners.cut_off(unreachable)
                if not unreachable and endpoint.is_up:
                    self._fleet.spawn(endpoint.listen())

    def _apply_to_discovery(self, fault: Fault, is_begin: bool) -> None:
        for agent in self._fleet.agents.values():
            if agent.tier_index != fault.tier or (fault.zone and agent.zone != fault.zone):
                continue
            if fault.kind == FaultKind.DISCOVERY_DELAY:
                agent.delay_s = fault.value if is_begin else 0.0
            elif fault.kind == FaultKind.DISCOVERY_SILENCE:
                agent.set_silent(is_begin)
            elif is_begin and fault.kind == FaultKind.DISCOVERY_BREAK:
                agent.break_watches()
            elif is_begin and fault.kind == FaultKind.DISCOVERY_RESTART:
                agent.restart_revisions()
