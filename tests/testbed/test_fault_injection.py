"""Sidecar faults: random drawing, and validation of the sidecars that a scenario names."""

from __future__ import annotations

from typing import Any

import pytest

from cressrail.testbed.fault import Fault, FaultSchedule
from cressrail.testbed.fault_injection import draw_faults
from tests.testbed.fleet_scripts import make_scenario

SIDECARS = [f"door{index}" for index in range(6)]
DURATION_S = 30.0
LAST_DRAWN_S = 24.0


def draw(seed: int) -> list[Fault]:
    return draw_faults(FaultSchedule(seed=seed, faults=40), DURATION_S, SIDECARS)


def test_drawn_faults_are_the_same_for_the_same_seed() -> None:
    assert draw(1) == draw(1)
    assert draw(1) != draw(2)


def test_drawn_faults_include_all_kinds_and_leave_time_to_recover() -> None:
    faults = draw(1)

    assert {fault.kind for fault in faults} == {"wire", "stall-process", "kill", "restart"}
    assert all(fault.at_s >= 0 for fault in faults)
    assert all(fault.at_s + fault.duration_s <= LAST_DRAWN_S + 1e-6 for fault in faults)


def test_drawn_faults_are_valid_in_scenario_files() -> None:
    for fault in draw(1):
        assert Fault.model_validate(fault.model_dump(by_alias=True)) == fault


@pytest.mark.parametrize(
    ("change", "expected_error"),
    [
        pytest.param(
            {"faults": [{"at_s": 1, "kind": "kill", "who": ["door9"]}]},
            "no sidecar matches door9;",
            id="no such sidecar",
        ),
        pytest.param(
            {"faults": [{"at_s": 1, "kind": "wire", "to": ["zone:z"]}]},
            "no sidecar matches zone:z;",
            id="no such zone",
        ),
        pytest.param(
            {"fleet": {"doors": 2, "tiers": [{"name": "x"}]}, "faults": [{"at_s": 1, "kind": "wire"}]},
            "fleet.membership",
            id="network fault without membership",
        ),
    ],
)
def test_fault_without_valid_targets_is_rejected(change: dict[str, Any], expected_error: str) -> None:
    with pytest.raises(ValueError, match=expected_error):
        make_scenario(2, **change)


def test_network_fault_is_a_cut_unless_another_effect_is_named() -> None:
    assert Fault(at_s=1, kind="wire").share == 1.0
    assert Fault.model_validate({"at_s": 1, "kind": "wire", "delay_ms": 5}).share == 0.0
