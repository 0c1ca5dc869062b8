"""Real sidecars: those with a deliberate defect break the corresponding rule, those without break none.

Responses may arrive up to 200 ms after their deadline, since a machine that stalls is not a sidecar's fault.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from cressrail.experiment.fleet_process import SidecarVersion
from cressrail.experiment.scenario_run import run_scenario
from cressrail.testbed.scenario import FleetScenario
from tests.testbed.event_rows import ONE_TIER, Row

LENIENT: Row = {**ONE_TIER, "rules": {"late_ms": 200}}


def test_sidecars_without_defects_break_no_rule_under_faults(tmp_path: Path) -> None:
    """Two tiers in two zones, in which sidecars crash and restart together with the endpoints they serve."""
    faults = [
        {"at_s": 1, "for_s": 1.5, "kind": "die", "endpoints": [0]},
        {"at_s": 2, "for_s": 1, "kind": "cut", "zone": "b", "tier": 0},
        {"at_s": 3, "for_s": 1, "kind": "silent"},
        {"at_s": 3.2, "kind": "tear"},
        {"at_s": 3.6, "kind": "anew"},
        {"at_s": 0.5, "for_s": 4, "kind": "spoil", "value": 0.03},
        {"at_s": 0.5, "for_s": 4, "kind": "refuse", "value": 0.03},
    ]
    scenario = {
        **LENIENT,
        "faults": faults,
        "load": {"rate": 60},
        "fleet": {
            **ONE_TIER["fleet"],
            "zones": ["a", "b"],
            "doors": 2,
            "tiers": [
                {"name": "x", "endpoints": 2, "service": {"mean_ms": 3}},
                {"name": "y", "endpoints": 2},
            ],
        },
    }

    result = run_scenario(FleetScenario.model_validate(scenario), tmp_path)

    assert result.load_report["answered"] > 100
    assert not result.evidence.failed
    assert result.violations == []
    assert {row["fault"] for row in result.evidence.faults} == {fault["kind"] for fault in faults}


@pytest.mark.parametrize(
    ("defect", "rule", "keys"),
    [
        pytest.param("answers-twice", 1, {}, id="second-response"),
        pytest.param("swallows", 1, {}, id="no-response"),
        pytest.param(
            "repeats",
            2,
            {"faults": [{"at_s": 0, "for_s": 5, "kind": "reset", "value": 0.2}]},
            id="unsafe-retries",
        ),
        pytest.param(
            "deaf",
            3,
            {"faults": [{"at_s": 0.5, "for_s": 3, "kind": "drain", "endpoints": [0]}]},
            id="ignored-drains",
        ),
        pytest.param(
            "rushes",
            4,
            {
                "faults": [{"at_s": 0, "for_s": 1, "kind": "die", "endpoints": [0]}],
                "load": {"rate": 400},  # enough work to exceed the limit for a warming-up endpoint
                "fleet": {
                    **ONE_TIER["fleet"],
                    "contract": {"warm_ms": 9000, "cold_from": 0.05, "notice_ms": 200},
                },
            },
            id="rush-to-new-endpoints",
        ),
    ],
)
def test_defect_breaks_its_rule(tmp_path: Path, defect: str, rule: int, keys: Row) -> None:
    scenario = FleetScenario.model_validate({**LENIENT, **keys})

    result = run_scenario(scenario, tmp_path, SidecarVersion(defect=defect))

    assert result.load_report["answered"] > 100
    assert not result.evidence.failed
    assert rule in {violation.rule for violation in result.violations}
