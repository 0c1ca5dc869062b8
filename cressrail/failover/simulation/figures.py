"""Computes the result figures of a simulation."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from cressrail.failover.simulation.decisions import DecisionRecord
from cressrail.failover.simulation.scenario import Scenario
from cressrail.simulation.virtual_clock import SECOND_US

RECOVERED_RATIO = 0.9  # fraction of the servable rate at which traffic counts as recovered
RECOVERED_TICKS = 10  # consecutive ticks at or above `RECOVERED_RATIO` that are required for a recovery
BASELINE_START_DIVISOR = 10  # the baseline begins after 1 / 10 of the scenario and ends at the first fault
NEGLIGIBLE_RATE = 1e-9


@dataclass(frozen=True, slots=True)
class TickFigures:
    """Figures of one tick; rates are per second.

    Attributes:
        at_s: Simulated time of the tick in seconds.
        offered: Rate of requests from clients.
        served: Rate of successful attempts.
        served_in_zone: Rate of successful attempts within the caller's zone.
        served_in_region: Rate of successful attempts within the caller's region.
        servable: Greatest rate that the zones could serve.
        overload: Greatest utilization of a zone that is caused by decisions, or 0 if there is none.
    """

    at_s: float
    offered: float
    served: float
    served_in_zone: float
    served_in_region: float
    servable: float
    overload: float


def summarize(
    scenario: Scenario,
    ticks: Sequence[TickFigures],
    decisions: DecisionRecord,
    disagreement_us: int,
    digest: str,
) -> dict[str, Any]:
    """Summarizes a simulation.

    Args:
        scenario: Simulated scenario.
        ticks: Figures of each tick.
        decisions: Record of all decisions.
        disagreement_us: Longest time for which an instance lacked a decision, in microseconds.
        digest: Digest of the trace.

    Returns:
        The figures, under the keys of the JSON output.
    """
    first_fault_s = min((fault.at_s for fault in scenario.faults), default=0.0)
    baseline_start_s, baseline_end_s = (
        scenario.seconds / BASELINE_START_DIVISOR,
        first_fault_s or scenario.seconds,
    )
    baseline = [tick for tick in ticks if baseline_start_s < tick.at_s <= baseline_end_s]
    after = [tick for tick in ticks if tick.at_s > first_fault_s]
    recovery_s = _recovery_s(after, first_fault_s)
    served = sum(tick.served for tick in ticks)
    return {
        "name": scenario.name,
        "epochs": decisions.count,
        "disagreed_s": disagreement_us / SECOND_US,
        "moves": decisions.zone_moves,
        "goodput": _ratio(served, sum(tick.offered for tick in ticks)),
        "of_best": _ratio(served, sum(tick.servable for tick in ticks)),
        "near_share": _ratio(
            sum(tick.served_in_zone for tick in baseline), sum(tick.served for tick in baseline)
        ),
        "peak_over_bound": round(max((tick.overload for tick in after), default=0.0), 3),
        "recovery_s": round(recovery_s, 1) if recovery_s is not None else None,
        "digest": digest,
    }


def _ratio(part: float, total: float) -> float:
    return round(part / max(NEGLIGIBLE_RATE, total), 4)


def _recovery_s(after: Sequence[TickFigures], first_fault_s: float) -> float | None:
    """Returns the seconds from the first fault until the served rate has recovered, or None if it has not."""
    for index, tick in enumerate(after):
        following = after[index : index + RECOVERED_TICKS]
        if all(later.served >= RECOVERED_RATIO * later.servable for later in following):
            return tick.at_s - first_fault_s
    return None
