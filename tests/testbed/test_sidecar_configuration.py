"""The configuration that is built from a scenario for one sidecar."""

from __future__ import annotations

from typing import Any

import pytest

from cressrail.testbed.scenario import FleetScenario
from cressrail.testbed.scenario_file import ScenarioError
from cressrail.testbed.sidecar_configuration import build_configuration, check_settings, override_setting
from cressrail.testbed.sidecar_process import SidecarProcess
from tests.testbed.event_rows import ONE_TIER


def make_sidecar() -> SidecarProcess:
    return SidecarProcess("door1", 0, 1, "a", ("127.0.0.9", 9000), ("127.0.0.1", 8000), [("127.0.0.8", 7947)])


def scenario_with(**fleet: Any) -> FleetScenario:
    """Returns the scenario of one tier with further keys in its section `fleet`."""
    return FleetScenario.model_validate({**ONE_TIER, "fleet": {**ONE_TIER["fleet"], **fleet}})


def test_configuration_contains_addresses_and_position_in_the_tier() -> None:
    configuration = build_configuration(scenario_with(), make_sidecar(), instance_count=3, seed=255)

    assert configuration["name"] == "door1"
    assert configuration["listen"] == "127.0.0.9:9000"
    assert configuration["discovery"] == "127.0.0.1:8000"
    assert configuration["seed"] == "ff"
    settings = configuration["settings"]
    assert (settings["n_instances"], settings["slot_no"], settings["stage"]) == (3, 1, 0)
    assert settings["contract"]["warm_within_us"] == 4_000_000
    assert [row["hard_limit_us"] for row in settings["profiles"]] == [500_000, 500_000]
    assert "membership" not in configuration
    assert "failover" not in configuration


def test_configuration_contains_sections_for_membership_and_failover() -> None:
    scenario = scenario_with(membership={"bear_pause_ms": 900, "use": ["copies"]}, failover={"way_ms": 7})

    configuration = build_configuration(scenario, make_sidecar(), instance_count=3, seed=1)

    assert configuration["ops"] == "127.0.0.9:9001"
    assert configuration["membership"] == {
        "listen": "127.0.0.9:7946",
        "advertise": "127.0.0.9:7947",
        "seeds": ["127.0.0.8:7947"],
        "keys": "keys",
        "bear_pause_ms": 900,
        "most_bytes": 1400,
        "use": ("copies",),
    }
    assert configuration["failover"] == {"way_ms": 7}


def test_override_sets_list_items() -> None:
    configuration: dict[str, Any] = {"settings": {"profiles": [{"revenue": 1.0}]}}

    override_setting(configuration, "settings.profiles.0.revenue", 2.0)

    assert configuration == {"settings": {"profiles": [{"revenue": 2.0}]}}


@pytest.mark.parametrize(
    "path",
    [
        pytest.param("limit.sockets", id="unknown-section"),
        pytest.param("settings.profiles.9.revenue", id="index-out-of-range"),
        pytest.param("settings.profiles.first.revenue", id="list-index-not-a-number"),
        pytest.param("name.first", id="inside-a-text"),
    ],
)
def test_override_of_missing_setting_is_rejected(path: str) -> None:
    with pytest.raises(
        ScenarioError, match=f"^settings: {path} does not exist in the sidecar's configuration$"
    ):
        check_settings(scenario_with(settings={path: 1}))
