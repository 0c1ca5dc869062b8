"""What a request costs one sidecar, beside a bare relay and an earlier revision.

Contenders take turns, round by round, so that what else goes on at the machine meets them alike.
"""

from __future__ import annotations

import os
import statistics
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import TypedDict

from cressrail.experiment.checkouts import REPOSITORY, checkout
from cressrail.experiment.cost_measurement import CostCase, measure_cost

IDLE_CLIENTS = (10, 400, 4000)
LISTED_ENDPOINTS = (2, 50, 500)
CASES = [
    *(CostCase(f"{idle} idle, 2 listed", idle, 2) for idle in IDLE_CLIENTS),
    *(CostCase(f"10 idle, {listed} listed", 10, listed) for listed in LISTED_ENDPOINTS[1:]),
]
RELAY, SIDECAR = "relay", "sidecar"


class CaseFigures(TypedDict):
    """By the keys of figures files: CPU and median latency in each round, and the highest peak memory."""

    us: list[float]
    p50_us: list[float]
    mb: float


CostFigures = dict[str, dict[str, CaseFigures]]  # by contender and case


@dataclass(frozen=True)
class Contender:
    """A sidecar's checkout, or the bare relay where there is none."""

    name: str
    checkout: Path | None


def compare_costs(
    against: str, rounds: int, report_progress: Callable[[str], None], *, is_quick: bool
) -> CostFigures:
    """Measures all contenders in all cases; the relay has no list, so it is measured in the first one.

    Args:
        against: An earlier revision, or empty for none.
        rounds: How often each contender is measured.
        report_progress: Called with a line of text after each measurement.
        is_quick: Whether only the first case is measured.

    Raises:
        RevisionError: If `against` does not exist.
        RuntimeError: If a contender does not come up or answers too little.
    """
    cores = sorted(os.sched_getaffinity(0))
    cases = CASES[:1] if is_quick else CASES
    found: CostFigures = {}
    with ExitStack() as stack:
        contenders = [Contender(RELAY, None), Contender(SIDECAR, REPOSITORY)]
        if against:
            contenders.append(Contender(f"sidecar at {against}", stack.enter_context(checkout(against))))
        for round_index in range(rounds):
            for case, contender in _turns(cases, contenders, round_index):
                cost = measure_cost(contender.checkout, case, cores)
                by_case = found.setdefault(contender.name, {})
                figures = by_case.setdefault(case.name, {"us": [], "p50_us": [], "mb": 0.0})
                figures["us"].append(cost.cpu_us)
                figures["p50_us"].append(cost.median_latency_us)
                figures["mb"] = max(figures["mb"], cost.peak_memory_mb)
                report_progress(
                    f"round {round_index + 1}, {case.name}, {contender.name}: "
                    f"{cost.cpu_us:.1f} us, {cost.peak_memory_mb:.1f} MB"
                )
    return found


def _turns(
    cases: list[CostCase], contenders: list[Contender], round_index: int
) -> Iterator[tuple[CostCase, Contender]]:
    first = round_index % len(contenders)
    for case in cases:
        for contender in contenders[first:] + contenders[:first]:
            if contender.checkout is not None or case is cases[0]:
                yield case, contender


def build_cost_table(found: CostFigures) -> list[list[str]]:
    """Returns medians over rounds by case and contender; the first row is the header."""
    case_names = dict.fromkeys(name for by_case in found.values() for name in by_case)
    rows = [[name, *(_cell(by_case.get(name)) for by_case in found.values())] for name in case_names]
    return [["CPU us a request (peak MB)", *found], *rows]


def _cell(figures: CaseFigures | None) -> str:
    return f"{statistics.median(figures['us']):.1f} ({figures['mb']:.1f})" if figures else ""
