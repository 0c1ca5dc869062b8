"""Builds the JSON answers to `/zones` and `/zones/explain` on the admin address.

The keys and the text values of the answers are part of the admin interface and must not change.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from cressrail.failover.labels import REASON_LABELS, STATE_LABELS
from cressrail.failover.messages import Decision, Evidence, ZoneReason, ZoneState, ZoneStatus
from cressrail.failover.state_machine import FailoverStateMachine
from cressrail.failover.topology import Proximity, ZoneTopology
from cressrail.proxy.zone_statistics import AttemptCounts, ZoneStatistics

RATIO_DIGITS = 4


def zones_view(
    state_machine: FailoverStateMachine,
    statistics: ZoneStatistics,
    names: Mapping[int, str],
    now_us: int,
) -> dict[str, Any]:
    """Returns the answer to `/zones`.

    Args:
        state_machine: State machine that holds the current decision.
        statistics: Attempts of this instance since its start, by zone.
        names: Names of the known instances, by instance id.
        now_us: Current time in microseconds.

    Returns:
        The epoch, the leader that decided, whether the decision is fresh, the status of each zone, and the
        shares of successful attempts by proximity.
    """
    settings, decision = state_machine.settings, state_machine.decision
    zones = [
        _zone_row(settings.topology, decision, zone, now_us) for zone in range(len(settings.topology.zones))
    ]
    return {
        "epoch": state_machine.held_epoch.number,
        "decided_by": _instance_name(decision.leader, names) if decision is not None else "",
        "fresh": state_machine.freshness(now_us) >= 1.0,
        "zones": zones,
        "near": _served_by_proximity(settings.topology, settings.zone, statistics),
    }


def evidence_view(
    state_machine: FailoverStateMachine, zone: int, names: Mapping[int, str]
) -> list[dict[str, Any]]:
    """Returns the answer to `/zones/explain`: the evidence about one zone that this instance holds.

    The leader holds the evidence of all instances; every other instance holds only its own.

    Args:
        state_machine: State machine that holds the evidence.
        zone: Index of the zone to explain.
        names: Names of the known instances, by instance id.

    Returns:
        One entry for each reporting instance, ordered by instance id.
    """
    evidence = state_machine.leader.received_evidence
    evidence[state_machine.own_id] = state_machine.local.evidence
    topology = state_machine.settings.topology
    return [
        _evidence_row(topology, _instance_name(instance, names), reported, zone)
        for instance, reported in sorted(evidence.items())
        if zone < len(reported.observations)
    ]


def _instance_name(instance: int, names: Mapping[int, str]) -> str:
    return names.get(instance, f"{instance:016x}")


def _zone_row(topology: ZoneTopology, decision: Decision | None, zone: int, now_us: int) -> dict[str, Any]:
    status = ZoneStatus(ZoneState.SERVING, ZoneReason.NONE, now_us)
    weights: dict[str, float] = {}
    if decision is not None:
        status = decision.zones[zone]
        weights = {name: row[zone] for name, row in zip(topology.zones, decision.weights, strict=True)}
    return {
        "zone": topology.zones[zone],
        "region": topology.regions[zone],
        "state": STATE_LABELS[status.state],
        "share_in": round(sum(weights.values()) / max(1, len(topology.zones)), RATIO_DIGITS),
        "shares": weights,
        "since_ms": (now_us - status.since_us) // 1000,
        "why": REASON_LABELS[status.reason],
    }


def _evidence_row(topology: ZoneTopology, name: str, evidence: Evidence, zone: int) -> dict[str, Any]:
    observation = evidence.observations[zone]
    return {
        "sidecar": name,
        "zone": topology.zones[evidence.zone],
        "hops": observation.attempts,
        "unreached": observation.connect_failures,
        "failed": observation.failures,
        "late": observation.slow_attempts,
        "bears": observation.capacity,
    }


def _served_by_proximity(topology: ZoneTopology, own: int, statistics: ZoneStatistics) -> dict[str, float]:
    """Returns the shares of successful attempts since the start, by proximity.

    `zone` is the share of the own zone, `region` that of the own region including the own zone, and `beyond`
    that of other regions.
    """
    succeeded = {
        zone: statistics.zones.get(zone, AttemptCounts()).succeeded for zone in range(len(topology.zones))
    }
    total = max(1, sum(succeeded.values()))
    in_zone, in_region, beyond = (
        sum(count for zone, count in succeeded.items() if topology.proximity(own, zone) == proximity) / total
        for proximity in Proximity
    )
    return {
        "zone": round(in_zone, RATIO_DIGITS),
        "region": round(in_zone + in_region, RATIO_DIGITS),
        "beyond": round(beyond, RATIO_DIGITS),
    }
