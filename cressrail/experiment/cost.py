"""Compares the cost of a request in a sidecar with that in a bare relay and in an earlier revision.

Contenders are measured in turn in each round, so that other load on the machine affects them equally.
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
    """The figures of a contender in a case, by the keys of figures files.

    Attributes:
        us: The CPU time of a request in each round, in microseconds.
        p50_us: The median latency in each round, in microseconds.
        mb: The highest peak memory over the rounds, in megabytes.
    """

    us: list[float]
    p50_us: list[float]
    mb: float


CostFigures = dict[str, dict[str, CaseFigures]]  # by contender and case


@dataclass(frozen=True)
class Contender:
    """A program to measure: the sidecar in `checkout`, or the bare relay if `checkout` is None."""

    name: str
    checkout: Path | None


def compare_costs(
    against: str, rounds: int, report_progress: Callable[[str], None], *, is_quick: bool
) -> CostFigures:
    """Measures all contenders in all cases.

    The relay has no endpoint list, so it is measured in the first case only.

    Args:
        against: An earlier revision to measure as well, or an empty string.
        rounds: The number of rounds.
        report_progress: A callback that is called with a line of text after each measurement.
        is_quick: Whether only the first case is measured.

    Raises:
        RevisionError: If `against` does not exist.
        RuntimeError: If a contender does not start or too few of its responses are successful.
    """
    cores = sorted(os.sched_getaffinity(0))
    cases = CASES[:1] if is_quick else CASES
    costs: CostFigures = {}
    with ExitStack() as stack:
        contenders = [Contender(RELAY, None), Contender(SIDECAR, REPOSITORY)]
        if against:
            contenders.append(Contender(f"sidecar at {against}", stack.enter_context(checkout(against))))
        for round_index in range(rounds):
            for case, contender in _measurement_order(cases, contenders, round_index):
                cost = measure_cost(contender.checkout, case, cores)
                by_case = costs.setdefault(contender.name, {})
                figures = by_case.setdefault(case.name, {"us": [], "p50_us": [], "mb": 0.0})
                figures["us"].append(cost.cpu_us)
                figures["p50_us"].append(cost.median_latency_us)
                figures["mb"] = max(figures["mb"], cost.peak_memory_mb)
                report_progress(
                    f"round {round_index + 1}, {case.name}, {contender.name}: "
                    f"{cost.cpu_us:.1f} us, {cost.peak_memory_mb:.1f} MB"
                )
    return costs


def _measurement_order(
    cases: list[CostCase], contenders: list[Contender], round_index: int
) -> Iterator[tuple[CostCase, Contender]]:
    first = round_index % len(contenders)
    for case in cases:
        for contender in contenders[first:] + contenders[:first]:
            if contender.checkout is not None or case is cases[0]:
                yield case, contender


def build_cost_table(costs: CostFigures) -> list[list[str]]:
    """Returns a table of the medians over rounds, by case and contender; the first row is the header."""
    case_names = dict.fromkeys(name for by_case in costs.values() for name in by_case)
    rows = [[name, *(_cell(by_case.get(name)) for by_case in costs.values())] for name in case_names]
    return [["CPU us a request (peak MB)", *costs], *rows]


def _cell(figures: CaseFigures | None) -> str:
    return f"{statistics.median(figures['us']):.1f} ({figures['mb']:.1f})" if figures else ""
