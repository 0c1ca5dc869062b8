"""Tests of the scenario of `cressrail membership simulate`."""

from __future__ import annotations

from pathlib import Path

import orjson
import pytest
from typer.testing import CliRunner

from cressrail.cli.commands import app
from cressrail.membership.scenarios import simulate


@pytest.mark.parametrize("without", ["indirect", "shrinks"])
def test_simulate_is_worse_without_each_refinement(without: str) -> None:
    complete, ablated = (
        simulate(12, 5, 0.3 if without != "shrinks" else 0.0, without=ablations)
        for ablations in ((), (without,))
    )
    assert complete["false_losses"] == 0
    assert complete["detect_s"]["all"] is not None
    if without == "indirect":
        assert ablated["suspicions"] > 1.1 * complete["suspicions"]
    if without == "shrinks":  # one fixed time-out covers both cases, so deaths are usually detected later
        assert ablated["detect_s"]["all"] > complete["detect_s"]["all"] + 0.5


def test_bytes_per_second_do_not_grow_with_the_fleet() -> None:
    small, large = (simulate(size, 1)["bytes_per_s"] for size in (12, 60))
    assert large < 1.2 * small
    assert large < 3000


def test_simulate_command_writes_its_figures(tmp_path: Path) -> None:
    completed = CliRunner().invoke(
        app, ["membership", "simulate", "--size", "8", "--json", str(tmp_path / "result.json")]
    )
    result = orjson.loads((tmp_path / "result.json").read_bytes())
    assert completed.exit_code == 0
    assert result["false_losses"] == 0
    assert result["detect_s"]["all"] < 6
    completed = CliRunner().invoke(app, ["membership", "simulate", "--without", "luck"])
    assert completed.exit_code == 2
