"""Tests of which calls are exempt from the rule that each request gets exactly one response."""

from __future__ import annotations

from cressrail.experiment.scenario_run import calls_to_stopped_processes
from cressrail.testbed.membership_evidence import MembershipEvidence, ProcessChange, ProcessHistory
from cressrail.testbed.run_evidence import RunEvidence


def test_only_calls_to_a_process_that_stopped_during_them_are_excused() -> None:
    collected = RunEvidence(sidecars={"t": {"sidecar": "door0"}})
    collected.calls = [
        {"id": f"{sent_us}", "target": "t", "sent_us": sent_us, "limit_us": 10} for sent_us in (10, 45, 80)
    ]
    changes = [ProcessChange(0, True), ProcessChange(50, False), ProcessChange(75, True)]
    stopped_from_50_to_75 = MembershipEvidence(processes={"door0": ProcessHistory(changes=changes)})

    assert calls_to_stopped_processes(collected, stopped_from_50_to_75) == {"45"}
