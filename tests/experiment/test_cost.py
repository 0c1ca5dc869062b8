"""Tests of the order in which contenders are measured, of their figures, and of the cost table."""

from __future__ import annotations

from pathlib import Path

import pytest

from cressrail.experiment import cost
from cressrail.experiment.cost import CASES, CostFigures, build_cost_table, compare_costs
from cressrail.experiment.cost_measurement import Cost, CostCase


@pytest.fixture
def measured(monkeypatch: pytest.MonkeyPatch) -> list[tuple[bool, str]]:
    """Replaces the measurement; lists for each call whether it measured the relay, and the case name."""
    calls: list[tuple[bool, str]] = []

    def measure(checkout: Path | None, case: CostCase, _cores: list[int]) -> Cost:
        calls.append((checkout is None, case.name))
        return Cost(100.0 + len(calls), 900.0, 30.0 - len(calls))

    monkeypatch.setattr(cost, "measure_cost", measure)
    return calls


def test_contenders_rotate_and_relay_is_measured_in_first_case_only(measured: list[tuple[bool, str]]) -> None:
    compare_costs("", 2, lambda _text: None, is_quick=False)

    first, others = CASES[0].name, [(False, case.name) for case in CASES[1:]]
    assert measured == [(True, first), (False, first), *others, (False, first), (True, first), *others]


def test_figures_contain_each_round_and_the_highest_memory(measured: list[tuple[bool, str]]) -> None:
    lines: list[str] = []

    figures = compare_costs("", 2, lines.append, is_quick=True)

    assert len(measured) == len(lines) == 4
    case = CASES[0].name
    assert figures["relay"][case] == {"us": [101.0, 104.0], "p50_us": [900.0, 900.0], "mb": 29.0}
    assert figures["sidecar"][case] == {"us": [102.0, 103.0], "p50_us": [900.0, 900.0], "mb": 28.0}


def test_table_has_medians_and_leaves_unmeasured_cells_empty() -> None:
    figures: CostFigures = {
        "relay": {"a": {"us": [3.0, 1.0, 2.0], "p50_us": [], "mb": 16.0}},
        "sidecar": {
            "a": {"us": [5.0], "p50_us": [], "mb": 36.5},
            "b": {"us": [7.0], "p50_us": [], "mb": 40.0},
        },
    }

    assert build_cost_table(figures) == [
        ["CPU us a request (peak MB)", "relay", "sidecar"],
        ["a", "2.0 (16.0)", "5.0 (36.5)"],
        ["b", "", "7.0 (40.0)"],
    ]
