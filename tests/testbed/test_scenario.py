"""Scenario files: an error is one line with the file, the setting and the reason."""

from __future__ import annotations

from pathlib import Path

import pytest

from cressrail.testbed.scenario import FleetScenario
from cressrail.testbed.scenario_file import ScenarioError, read_scenario

SMALLEST_SCENARIO = """
[[fleet.tiers]]
name = "x"
[[profiles]]
name = "read"
[[members]]
name = "m"
"""


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        pytest.param("seconds = -1", "seconds: Input should be greater than 0", id="duration"),
        pytest.param("colour = 1", "colour: Extra inputs", id="unknown-key"),
        pytest.param("duration_s = 1", "duration_s: Extra inputs", id="term-in-place-of-key"),
        pytest.param(
            'faults = [{at_s=1, kind="die", tier=4}]',
            "faults.0.tier: must be below 1, the number of tiers, not 4",
            id="unknown-tier",
        ),
        pytest.param(
            'faults = [{at_s=1, kind="cut"}]',
            "faults.0.zone: a fault of kind cut must name the zone",
            id="cut-without-zone",
        ),
        pytest.param(
            'faults = [{at_s=1, kind="die", zone="q"}]',
            "faults.0.zone: must be one of a, b, not q",
            id="unknown-zone",
        ),
        pytest.param(
            'faults = [{at_s=1, kind="die", endpoints=[9]}]',
            "faults.0.endpoints: an index must be from 0 to 3 for tier 0, which has 4 endpoints",
            id="unknown-endpoint",
        ),
        pytest.param('faults = [{at_s=1, kind="burn"}]', "faults.0.kind: Input should be", id="unknown-kind"),
        pytest.param("seed = ", "not valid TOML: ", id="invalid-toml"),
    ],
)
def test_invalid_file_is_rejected_with_a_one_line_message(tmp_path: Path, line: str, reason: str) -> None:
    path = tmp_path / "scenario.toml"
    path.write_text(line + "\n" + SMALLEST_SCENARIO)

    with pytest.raises(ScenarioError) as raised:
        read_scenario(path, FleetScenario)

    message = str(raised.value)
    assert message.startswith(f"{path}: ")
    assert reason in message
    assert "\n" not in message


def test_sidecars_are_named_by_ingress_number_and_by_calling_endpoint() -> None:
    scenario = FleetScenario.model_validate(
        {
            "fleet": {"doors": 2, "tiers": [{"name": "x", "endpoints": 2}, {"name": "y", "endpoints": 3}]},
            "profiles": [{"name": "read"}],
            "members": [{"name": "m"}],
        }
    )

    assert scenario.sidecar_names() == ["door0", "door1", "x0-calls", "x1-calls"]


def test_scenario_is_written_by_the_keys_of_its_file(tmp_path: Path) -> None:
    path = tmp_path / "scenario.toml"
    path.write_text(SMALLEST_SCENARIO)
    scenario = read_scenario(path, FleetScenario)

    written = scenario.model_dump(mode="json", by_alias=True)

    assert {"seconds", "profiles", "members"} <= written.keys()
    assert {"doors", "settings"} <= written["fleet"].keys()
    assert {"endpoints", "room", "service", "choke_at"} <= written["fleet"]["tiers"][0].keys()
    assert FleetScenario.model_validate(written) == scenario
