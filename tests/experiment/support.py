"""An experiment file, and handwritten evidence of one of its runs."""

from __future__ import annotations

from typing import Any

from cressrail.experiment.plan import Experiment
from cressrail.experiment.scenario_run import ScenarioRun
from cressrail.load.report import LoadReport
from cressrail.testbed.rule_checker import Rule, RuleViolation
from cressrail.testbed.run_evidence import collect_evidence
from tests.testbed.event_rows import INGRESS_ROW, attempt_row, call_row

EXPERIMENT_FILE: dict[str, Any] = {
    "name": "<x>",
    "seconds": 3,
    "rounds": 2,
    "seed": 5,
    "fleet": {"tiers": [{"name": "x", "endpoints": 2}], "settings": {"limits.sockets": 500}},
    "profiles": [
        {"name": "read", "goal_ms": 20, "revenue": 1.0},
        {"name": "note", "repeat": "unsafe", "goal_ms": 20, "revenue": 3.0},
    ],
    "members": [{"name": "acme", "allowance_per_s": 1}, {"name": "umea", "allowance_per_s": 10}],
    "faults": [{"at_s": 1, "for_s": 1, "kind": "slow", "value": 3}],
    "arms": [
        {"name": "own"},
        {"name": "other", "settings": {"limits.sockets": 300}, "members_shares": False},
    ],
}
ATTEMPT_LOG: list[dict[str, Any]] = [
    call_row("5-1-1"),
    call_row("5-2-1", status=503),
    call_row("5-2-2", ended_us=15_000),
    call_row("5-3-1", "note", member="umea", ended_us=40_000),
    call_row("5-4-1", member="umea", status=0, how="gave up"),
]
FLEET_RECORD: list[dict[str, Any]] = [
    INGRESS_ROW,
    {"start_us": 0},
    attempt_row("5-1-1"),
    attempt_row("5-1-1", "x1", 300),
    attempt_row("5-2-2"),
    attempt_row("5-3-1", late_us=9, profile="note"),
]
EMPTY_LOAD_REPORT: LoadReport = {"refused": None}


def experiment() -> Experiment:
    """Returns the experiment of `EXPERIMENT_FILE`."""
    return Experiment.model_validate(EXPERIMENT_FILE)


def scenario_run() -> ScenarioRun:
    """Returns a run with the whole evidence and one violation."""
    violations = [RuleViolation(Rule.NO_REPEATED_EFFECT, "5-3-1", "<twice>")]
    return ScenarioRun(EMPTY_LOAD_REPORT, collect_evidence(ATTEMPT_LOG, FLEET_RECORD), violations)


def run_of_first_requests(count: int) -> ScenarioRun:
    """Returns a run with only the first `count` attempts of the attempt log and no violation."""
    return ScenarioRun(EMPTY_LOAD_REPORT, collect_evidence(ATTEMPT_LOG[:count], FLEET_RECORD), [])
