"""Tests of the HTML report of an experiment."""

from __future__ import annotations

from typing import Any, cast

import pytest

from cressrail.experiment.comparison import compare_variants
from cressrail.experiment.figures import compute_figures
from cressrail.experiment.html_report import build_figures_table, render_report
from cressrail.experiment.result import ExperimentResult
from cressrail.experiment.time_series import build_time_series
from tests.experiment.support import experiment, scenario_run


@pytest.fixture
def result() -> ExperimentResult:
    """Two variants with the same two runs, and a violation whose text looks like HTML."""
    run = {
        "figures": compute_figures(experiment(), scenario_run(), {}),
        "series": build_time_series(experiment(), scenario_run()),
        "broken": [{"rule": 2, "tx": "5-3-1", "evidence": "<twice>"}],
    }
    variants: dict[str, Any] = {"own": {"rounds": [run, run]}, "other": {"rounds": [run, run]}}
    figures = {
        name: [round_result["figures"] for round_result in variant["rounds"]]
        for name, variant in variants.items()
    }
    fields = {
        "name": "<x>",
        "seconds": 3.0,
        "rounds": 2,
        "seed": 5,
        "arms": variants,
        "faults": [fault.report_row() for fault in experiment().faults],
        "differences": compare_variants(figures),
    }
    return cast(ExperimentResult, fields)


def test_page_contains_plots_and_escaped_violations(result: ExperimentResult) -> None:
    page = render_report(result)

    assert page.count("data:image/png;base64,") == 5
    assert "&lt;twice&gt;" in page
    assert "<twice>" not in page


def test_name_of_variant_is_escaped_once(result: ExperimentResult) -> None:
    result["arms"] = {"a<b": result["arms"]["own"], "other": result["arms"]["other"]}

    page = render_report(result)

    assert "<th>a&lt;b</th>" in page
    assert "&amp;lt;" not in page


def test_page_loads_no_external_resources(result: ExperimentResult) -> None:
    page = render_report(result)

    assert "src='http" not in page
    assert "href" not in page


def test_table_has_a_column_for_each_variant(result: ExperimentResult) -> None:
    assert build_figures_table(result)[0] == ["", "own", "other"]
