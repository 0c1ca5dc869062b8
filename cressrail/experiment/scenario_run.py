"""Runs a scenario once: starts the fleet, sends load to its ingress sidecars and checks the rules."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from cressrail.experiment.fleet_process import SidecarVersion, running_fleet
from cressrail.load.plan import LoadPlan, RequestClassLoad, StrictModel, TenantLoad
from cressrail.load.report import LoadReport
from cressrail.load.run import LoadJob, run_load
from cressrail.testbed.event_record import read_events
from cressrail.testbed.membership_evidence import MembershipEvidence, collect_membership_evidence
from cressrail.testbed.rule_checker import Rule, RuleViolation, check_rules
from cressrail.testbed.run_evidence import RunEvidence, collect_evidence
from cressrail.testbed.scenario import FleetScenario

ATTEMPT_LOG, REQUEST_RECORDS, FLEET_RECORD = "load.jsonl", "spool", "fleet.jsonl"
OWN_VERSION = SidecarVersion()
Model = TypeVar("Model", bound=StrictModel)


@dataclass
class ScenarioRun:
    """The results of a run.

    Attributes:
        load_report: The report of the load generator.
        evidence: The records of clients, endpoints and discovery.
        violations: The rule violations.
    """

    load_report: LoadReport
    evidence: RunEvidence
    violations: list[RuleViolation]


def run_scenario(
    scenario: FleetScenario, folder: Path, version: SidecarVersion = OWN_VERSION, *, is_quiet: bool = True
) -> ScenarioRun:
    """Runs a scenario and checks the rules; records and logs are kept in `folder`.

    Raises:
        RuntimeError: If the fleet does not start.
    """
    attempt_log, fleet_record = folder / ATTEMPT_LOG, folder / FLEET_RECORD
    with running_fleet(scenario, folder, version) as fleet:
        job = LoadJob(
            build_load_plan(scenario),
            fleet.ingress_addresses,
            attempt_log=attempt_log,
            records=folder / REQUEST_RECORDS,
            start_us=fleet.start_us,
            is_quiet=is_quiet,
        )
        load_report = run_load(job)
    evidence = collect_evidence(read_events(attempt_log), read_events(fleet_record))
    violations = check_rules(scenario, evidence)
    if scenario.fleet.membership is not None:
        excused_ids = calls_to_stopped_processes(
            evidence, collect_membership_evidence(read_events(fleet_record))
        )
        violations = [
            violation
            for violation in violations
            if violation.rule is not Rule.ONE_RESPONSE or violation.request_id not in excused_ids
        ]
    return ScenarioRun(load_report, evidence, violations)


def build_load_plan(scenario: FleetScenario) -> LoadPlan:
    """Returns the load plan of a scenario."""
    return LoadPlan.model_validate(
        {
            "rate": scenario.load.rate_per_s,
            "seconds": scenario.duration_s,
            "seed": scenario.seed,
            "shape": scenario.load.shape,
            "with": scenario.load.shape_parameters,
            "clients": scenario.load.client_behaviour,
            "connections": scenario.load.max_connections,
            "profiles": [_reduce_to(RequestClassLoad, item) for item in scenario.request_classes],
            "members": [_reduce_to(TenantLoad, item) for item in scenario.tenants],
        }
    )


def _reduce_to(model: type[Model], extended: Model) -> Model:
    """Returns an instance of `model` with the values of its fields in `extended`."""
    fields = extended.model_dump(include=set(model.model_fields), by_alias=True)
    return model.model_validate(fields)


def calls_to_stopped_processes(evidence: RunEvidence, membership: MembershipEvidence) -> set[str]:
    """Returns the ids of calls to a sidecar whose process did not run for the whole timeout of the call.

    Such calls cannot be expected to have a response.
    """
    names = {target: row["sidecar"] for target, row in evidence.sidecars.items()}
    return {
        call["id"]
        for call in evidence.calls
        if call["target"] in names
        and not membership.processes[names[call["target"]]].has_run_for(
            call["sent_us"] + call["limit_us"], call["limit_us"]
        )
    }
