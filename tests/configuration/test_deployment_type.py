"""Tests of the settings that each deployment type, chain or mesh, allows."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from typing import Any

import pytest

from cressrail.cli.launch import check_configuration, launch
from cressrail.configuration import policy_factory
from cressrail.configuration.deployment_type import is_per_client, read_deployment_type
from cressrail.configuration.settings_reader import SettingsReader
from cressrail.configuration.startup import read_startup_configuration
from cressrail.network.configuration_reload import ConfigurationReload
from tests.configuration.support import RecordedEvents, set_path
from tests.support.configuration import SIDECAR_CONFIGURATION, mesh_configuration

ROOT = Path(__file__).parents[2]
UNUSABLE = 2  # exit status


# Deployment type of the valid configuration, path of the changed setting, new value (None removes the
# setting), and expected message.
MIXED_SETTINGS: list[tuple[str, str, Any, str]] = [
    ("mesh", "limits.multiplex", 1, "limits.multiplex must be from 2 to 1048576 with domain_type mesh: 1"),
    ("mesh", "limits.multiplex", None, "limits.multiplex is missing but required with domain_type mesh"),
    ("mesh", "limits.probes", "often", "limits.probes is not one of true, 1, false, 0: often"),
    ("mesh", "limits.peers", 7, "limits.peers is not one of true, 1, false, 0: 7"),
    ("mesh", "tiers", ["x", "y"], "tiers must contain exactly one tier with domain_type mesh: x,y"),
    ("mesh", "stage", 1, "stage must be 0 with domain_type mesh: 1"),
    ("mesh", "domain_type", "chain", "limits.multiplex must be 1 with domain_type chain: 100"),
    ("mesh", "domain_type", None, "limits.multiplex must be 1 with domain_type chain: 100"),
    ("mesh", "domain_type", "ring", "domain_type is not one of chain, mesh: ring"),
    ("mesh", "profiles.0.overdue_revenue", 2, "profiles.0.overdue_revenue is not within 0 and 1: 2.0"),
    ("chain", "domain_type", "mesh", "limits.multiplex is missing but required with domain_type mesh"),
    ("chain", "limits.multiplex", 100, "limits.multiplex must be 1 with domain_type chain: 100"),
    ("chain", "limits.probes", 2, "limits.probes is not one of true, 1, false, 0: 2"),
    ("chain", "limits.peers", "", "limits.peers is not one of true, 1, false, 0: "),
    ("chain", "limits.parallel_tries", "no", "limits.parallel_tries is not one of true, 1, false, 0: no"),
]


@pytest.mark.parametrize(
    ("base", "setting", "value", "message"),
    MIXED_SETTINGS,
    ids=[f"{base}: {setting} {value}" for base, setting, value, _ in MIXED_SETTINGS],
)
def test_settings_of_the_other_deployment_type_are_refused_at_start_and_on_reload(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], base: str, setting: str, value: Any, message: str
) -> None:
    config = mesh_configuration() if base == "mesh" else copy.deepcopy(SIDECAR_CONFIGURATION)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    before = read_startup_configuration(str(path), {})
    set_path(config["settings"], setting, value)
    path.write_text(json.dumps(config))
    for command in (check_configuration, launch):
        assert command(str(path)) == UNUSABLE
        output = capsys.readouterr().err
        assert output.startswith(f"cressrail: {path}: settings.{message}")
        assert output.count("\n") == 1
    reload, recorded = ConfigurationReload(str(path), before), RecordedEvents()
    reload.reload(recorded)  # type: ignore[arg-type]
    assert recorded.events == ["configuration_rejected"]
    assert reload.start is before


@pytest.mark.parametrize(
    ("values", "name", "per_client"),
    [
        pytest.param({}, "chain", False, id="no settings"),
        pytest.param(
            {"domain_type": "chain", "limits.multiplex": "1", "limits.probes": "true"},
            "chain",
            False,
            id="chain",
        ),
        pytest.param(
            {"domain_type": "mesh", "limits.multiplex": "9", "limits.probes": "false", "tiers": "x"},
            "mesh",
            True,
            id="mesh",
        ),
    ],
)
def test_deployment_type_is_determined_by_the_settings_alone(
    values: dict[str, str], name: str, per_client: bool
) -> None:
    assert read_deployment_type(SettingsReader(values)).name == name
    assert is_per_client(SettingsReader(values)) is per_client


@pytest.mark.parametrize("path", ["probes", "peers", "may_cancel", "parallel_tries", "retry_after"])
@pytest.mark.parametrize("permitted", [True, False], ids=["permitted", "forbidden"])
@pytest.mark.parametrize("make_config", [copy.deepcopy, mesh_configuration], ids=["chain", "mesh"])
def test_permissions_are_allowed_with_both_deployment_types(
    tmp_path: Path, make_config: Any, permitted: bool, path: str
) -> None:
    config = make_config(SIDECAR_CONFIGURATION)
    config["settings"]["limits"].update({"max_retry_after_us": 1_000_000, path: permitted})
    file = tmp_path / "config.json"
    file.write_text(json.dumps(config))
    assert check_configuration(str(file)) == 0


@pytest.mark.parametrize(
    "mixture",
    [
        pytest.param({"domain_type": "mesh"}, id="mesh without streams"),
        pytest.param({"domain_type": "proxy", "limits.multiplex": "9"}, id="unknown type with streams"),
    ],
)
def test_policy_is_built_from_any_mixture_of_deployment_types(mixture: dict[str, str]) -> None:
    settings = {**SettingsReader.from_nested(SIDECAR_CONFIGURATION["settings"]).values, **mixture}
    assert policy_factory.check_policy_settings(SettingsReader(settings), 1)


def test_check_of_a_mesh_reports_requests_per_connection(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(mesh_configuration()))
    assert check_configuration(str(path)) == 0
    output = capsys.readouterr().out
    assert "endpoints known, mesh" in output
    assert "one request at a time here, of the 100" in output


@pytest.mark.parametrize(("name", "deployment_type"), [("config", "chain"), ("mesh", "mesh")])
def test_examples_are_valid_and_have_the_expected_deployment_type(name: str, deployment_type: str) -> None:
    path = ROOT / "example" / f"{name}.json"
    assert check_configuration(str(path)) == 0
    assert read_startup_configuration(str(path), {}).deployment_type == deployment_type
