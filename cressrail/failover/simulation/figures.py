"""The figures that a simulation results in."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from cressrail.failover.simulation.decisions import DecisionRecord
from cressrail.failover.simulation.scenario import Scenario
from cressrail.simulation.virtual_clock import SECOND_US

RECOVERED_RATIO = 0.9  # of what can be served at best
RECOVERED_TICKS = 10  # in a row
BASELINE_START_DIVISOR = 10  # of this many: after it, and until the first fault, traffic is the baseline
NEGLIGIBLE_RATE = 1e-9


@dataclass(frozen=True, slots=True)
class TickFigures:
    """Figures of one tick; rates a second.

    Attributes:
        at_s: When.
        offered: Requests that clients sent.
        served: Attempts that ended well.
        served_in_zone: Of them in the zone of the caller.
        served_in_region: Of them in the region of the caller.
        servable: What could be served at best.
        overload: The greatest utilization of a zone that is due to decisions; 0 for none.
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
    """Returns the figures of a simulation, with the keys that its JSON has.

    Args:
        scenario: What was simulated.
        ticks: Figures of each tick.
        decisions: All decisions.
        disagreement_us: The longest time for which an instance lacked a decision.
        digest: Digest of the trace.
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
    """Returns the seconds after the first fault until nearly all that can be served is served."""
    for index, tick in enumerate(after):
        following = after[index : index + RECOVERED_TICKS]
        if all(later.served >= RECOVERED_RATIO * later.servable for later in following):
            return tick.at_s - first_fault_s
    return None
