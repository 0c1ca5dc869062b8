"""Which violations of a run do not count."""

from __future__ import annotations

from cressrail.experiment.scenario_run import calls_to_stopped_processes
from cressrail.testbed.membership_verdicts import Life, Views
from cressrail.testbed.rule_checker import Evidence


def test_only_calls_to_a_process_that_stopped_meanwhile_are_excused() -> None:
    collected = Evidence(sidecars={"t": {"sidecar": "door0"}})
    collected.calls = [
        {"id": f"{sent_us}", "target": "t", "sent_us": sent_us, "limit_us": 10} for sent_us in (10, 45, 80)
    ]
    stopped_from_50_to_75 = Views(lives={"door0": Life(turns=[(0, True), (50, False), (75, True)])})

    assert calls_to_stopped_processes(collected, stopped_from_50_to_75) == {"45"}
