"""Begins and ends the faults of a scenario on a running fleet at their scheduled times."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from cressrail.http_testing.client import now_us
from cressrail.testbed.endpoint_faults import EndpointFaults
from cressrail.testbed.fault import SIDECAR_FAULTS, Fault
from cressrail.testbed.fault_injection import draw_faults
from cressrail.testbed.fleet import Fleet

SECOND_US = 1_000_000


class FaultChange(NamedTuple):
    """The start or end of a fault.

    Changes are sorted by time; at the same time, starts come before ends.

    Attributes:
        at_s: When it takes place, in seconds from the start of the run.
        is_end: Whether the fault ends; otherwise it starts.
        number: Index of the fault among all faults of the run.
    """

    at_s: float
    is_end: bool
    number: int


async def run_faults(fleet: Fleet, start_us: int) -> None:
    """Begins and ends the faults that the fleet's scenario lists and those that it draws at random.

    Args:
        fleet: A started fleet.
        start_us: When the run starts, in microseconds on the monotonic clock.
    """
    fleet.event_record.append(start_us=start_us)
    fleet.network.rules = []
    fleet.record_usage()
    fleet.spawn(fleet.record_usage_repeatedly())
    fleet.udp_relay.max_lag_s = 0.0
    faults = _collect_faults(fleet)
    changes = [FaultChange(fault.at_s, False, number) for number, fault in enumerate(faults)]
    changes += [FaultChange(fault.at_s + fault.duration_s, True, n) for n, fault in enumerate(faults)]
    endpoint_faults = EndpointFaults(fleet)
    for change in sorted(changes):
        await asyncio.sleep(max(0.0, (start_us - now_us()) / SECOND_US + change.at_s))
        fault = faults[change.number]
        if fault.kind in SIDECAR_FAULTS:
            fleet.spawn(_change_sidecar_fault(fleet, fault, change))
        else:
            _change_endpoint_fault(fleet, endpoint_faults, fault, change)


def _collect_faults(fleet: Fleet) -> list[Fault]:
    scenario = fleet.scenario
    faults = list(scenario.faults)
    if scenario.schedule is not None:
        names = [sidecar.name for sidecar in fleet.sidecars.sidecars]
        faults += draw_faults(scenario.schedule, scenario.duration_s, names)
    return faults


def _change_endpoint_fault(
    fleet: Fleet, endpoint_faults: EndpointFaults, fault: Fault, change: FaultChange
) -> None:
    fleet.event_record.append(
        fault=fault.kind,
        over=change.is_end,
        at_us=now_us(),
        tier=fault.tier,
        zone=fault.zone,
        endpoints=[endpoint.name for endpoint in endpoint_faults.affected_endpoints(fault)],
    )
    if change.is_end:
        endpoint_faults.end(fault)
    else:
        endpoint_faults.begin(fault)


async def _change_sidecar_fault(fleet: Fleet, fault: Fault, change: FaultChange) -> None:
    fleet.event_record.append(
        harm=fault.kind,
        number=change.number,
        over=change.is_end,
        at_us=now_us(),
        words=fault.model_dump(by_alias=True, exclude_defaults=True),
    )
    if change.is_end:
        await fleet.fault_injector.end(change.number, fault)
    else:
        affected = await fleet.fault_injector.begin(change.number, fault)
        fleet.event_record.append(met=affected, number=change.number, at_us=now_us())
