"""Tests of experiment files and of the scenarios of their variants."""

from __future__ import annotations

import copy
from pathlib import Path

import pytest
import tomlkit

from cressrail.experiment.plan import Experiment
from cressrail.experiment.scenario_run import build_load_plan
from cressrail.testbed.scenario_file import ScenarioError, read_scenario
from cressrail.testbed.sidecar_configuration import build_configuration, check_settings, override_setting
from cressrail.testbed.sidecar_process import SidecarProcess
from tests.experiment.support import EXPERIMENT_FILE, experiment


@pytest.mark.parametrize(
    ("path", "value", "reason"),
    [
        pytest.param("arms.1.name", "own", "arms: variant names must be unique", id="duplicate name"),
        pytest.param("arms.0.policy", "best", "arms.0.policy: Input should be", id="policy"),
        pytest.param("rounds", 0, "rounds: Input should be greater", id="rounds"),
        pytest.param("members.0.allowance", 3, "members.0.allowance: Extra inputs", id="unknown key"),
        pytest.param(
            "arms.0",
            {"name": "old", "revision": "abc", "policy": "random"},
            "arms.0.revision: a revision requires policy",
            id="revision with policy",
        ),
    ],
)
def test_error_names_file_key_path_and_reason(tmp_path: Path, path: str, value: object, reason: str) -> None:
    changed = copy.deepcopy(EXPERIMENT_FILE)
    override_setting(changed, path, value)
    file = tmp_path / "e.toml"
    file.write_text(tomlkit.dumps(changed))

    with pytest.raises(ScenarioError) as error:
        read_scenario(file, Experiment)

    assert str(error.value).startswith(f"{file}: {reason}")


def test_error_names_setting_path_that_does_not_exist() -> None:
    changed = Experiment.model_validate(
        {**EXPERIMENT_FILE, "arms": [{"name": "own", "settings": {"limit.sockets": 3}}]}
    )

    with pytest.raises(ScenarioError, match=r"settings: limit\.sockets does not exist"):
        check_settings(changed.build_scenario(changed.variants[0], 0))


def test_variants_differ_in_configuration_and_rounds_in_seed() -> None:
    own, other = (experiment().build_scenario(variant, 1) for variant in experiment().variants)
    sidecar = SidecarProcess("s", 0, 0, "a", ("127.0.0.1", 1), ("127.0.0.1", 2))

    own_configuration = build_configuration(own, sidecar, 2, 1)
    other_configuration = build_configuration(other, sidecar, 2, 1)

    assert (own.seed, other.seed) == (6, 6)
    assert build_load_plan(own) == build_load_plan(other)
    assert own_configuration["limits"]["sockets"] == 500
    assert other_configuration["limits"]["sockets"] == 300
    assert len(own_configuration["settings"]["tenants"]) == 2
    assert other_configuration["settings"]["tenants"] == []


def test_variant_can_disable_common_failover() -> None:
    fleet = {"zones": ["a", "b"], "tiers": [{"name": "x"}], "membership": {}, "failover": {}}
    changed = Experiment.model_validate(
        {
            "fleet": fleet,
            "profiles": [{"name": "read"}],
            "members": [{"name": "m"}],
            "arms": [{"name": "one", "failover": False}, {"name": "two"}],
        }
    )

    scenarios = [changed.build_scenario(variant, 0) for variant in changed.variants]

    assert [scenario.fleet.failover is None for scenario in scenarios] == [True, False]
