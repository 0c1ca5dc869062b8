"""Tests of the order of an experiment's runs and of the files that it writes."""

from __future__ import annotations

from pathlib import Path

import orjson
import pytest

from cressrail.experiment import run as experiment_run
from cressrail.experiment.fleet_process import SidecarVersion
from cressrail.experiment.run import run_experiment
from cressrail.experiment.scenario_run import ScenarioRun
from cressrail.testbed.scenario import FleetScenario
from tests.experiment.support import experiment, scenario_run


@pytest.fixture
def run_seeds(monkeypatch: pytest.MonkeyPatch) -> list[tuple[int, bool]]:
    """Replaces the runs; lists the seed of each run, and whether tenants had quotas."""
    calls: list[tuple[int, bool]] = []

    def run(scenario: FleetScenario, folder: Path, _version: SidecarVersion) -> ScenarioRun:
        folder.mkdir(parents=True, exist_ok=True)
        calls.append((scenario.seed, any(tenant.quota_per_s for tenant in scenario.tenants)))
        return scenario_run()

    monkeypatch.setattr(experiment_run, "run_scenario", run)
    return calls


def test_variants_rotate_within_rounds_of_one_seed(tmp_path: Path, run_seeds: list[tuple[int, bool]]) -> None:
    lines: list[str] = []

    run_experiment(experiment(), tmp_path / "out", lines.append)

    assert run_seeds == [(5, True), (5, False), (6, False), (6, True)]
    assert [line.partition(":")[0] for line in lines] == [
        "round 1 of 2, own",
        "round 1 of 2, other",
        "round 2 of 2, other",
        "round 2 of 2, own",
    ]


@pytest.mark.usefixtures("run_seeds")
@pytest.mark.parametrize("keeps_runs", [False, True])
def test_result_file_has_the_keys_of_earlier_versions(tmp_path: Path, keeps_runs: bool) -> None:
    run_experiment(experiment(), tmp_path, lambda _text: None, keeps_runs=keeps_runs)

    result = orjson.loads((tmp_path / "result.json").read_bytes())
    assert list(result) == ["name", "seconds", "rounds", "seed", "faults", "arms", "differences"]
    assert list(result["arms"]["other"]) == [
        "name",
        "policy",
        "broken",
        "revision",
        "settings",
        "members_shares",
        "failover",
        "rounds",
    ]
    run_keys = ["seed", "figures", "broken", "load", "series", "failed"]
    assert list(result["arms"]["own"]["rounds"][1]) == run_keys
    assert list(result["differences"]) == ["other"]
    assert (tmp_path / "report.html").read_text().startswith("<!doctype html>")
    assert (tmp_path / "runs" / "1-own").exists() is keeps_runs
