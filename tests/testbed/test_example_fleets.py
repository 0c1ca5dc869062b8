"""The scenarios in example/fleets, and invalid arguments of the command that runs them."""

from __future__ import annotations

from pathlib import Path

import pytest

from cressrail.experiment.fleet_faults import main
from cressrail.testbed.scenario import FleetScenario
from cressrail.testbed.scenario_file import ScenarioError, read_scenario
from tests.testbed.fleet_scripts import CHECKOUT


def test_example_scenarios_can_be_read_and_have_membership() -> None:
    paths = sorted((CHECKOUT / "example" / "fleets").glob("*.toml"))

    assert len(paths) >= 9
    assert all(read_scenario(path, FleetScenario).fleet.membership is not None for path in paths)


@pytest.mark.parametrize(
    "arguments",
    [
        pytest.param([str(CHECKOUT / "example" / "experiments" / "zone-cut.toml")], id="without membership"),
        pytest.param([], id="no file"),
    ],
)
def test_command_rejects_unusable_arguments(arguments: list[str]) -> None:
    assert main(arguments) == 2


def test_missing_scenario_is_an_error(tmp_path: Path) -> None:
    with pytest.raises(ScenarioError):
        read_scenario(tmp_path / "none.toml", FleetScenario)
