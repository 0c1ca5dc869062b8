"""The simulated discovery agent: what it announces to its sidecar and records of it."""

from __future__ import annotations

from pathlib import Path

from cressrail.testbed.discovery import Agent, Listed
from cressrail.testbed.event_record import Ledger, rows


def test_agent_sends_changes_and_a_complete_list_without_removed_endpoints(tmp_path: Path) -> None:
    listed = [Listed(name, {"a": ("127.0.0.1", 1)}, "a", 1) for name in "xyz"]
    ledger = Ledger(tmp_path / "fleet.jsonl")
    agent = Agent("s", "a", 0, listed, ledger)
    listed[1].phase = "draining"
    agent._change(listed[1].entry("a"))
    listed[2].phase = "removed"
    agent._change(listed[2].entry("a"))

    complete, changes, nothing = agent._line(-1), agent._line(2), agent._line(3)
    ledger.close()

    assert b'"revision":3,"complete":true' in complete
    assert b'"x"' in complete
    assert b'"z"' not in complete
    assert b'"complete":false' in changes
    assert b'"z"' in changes
    assert b'"y"' not in changes
    assert b'"members":[]' in nothing
    announced = [(row["endpoint"], row["phase"]) for row in rows(tmp_path / "fleet.jsonl")]
    # An endpoint that is not in a complete list is announced as removed, too.
    assert announced == [("x", "up"), ("y", "draining"), ("z", "removed"), ("z", "removed")]
