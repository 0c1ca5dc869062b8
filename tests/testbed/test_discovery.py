"""The simulated discovery agent: the updates that it sends to its sidecar, and their event records."""

from __future__ import annotations

from pathlib import Path

from cressrail.testbed.discovery import WHOLE_LIST, DiscoveryAgent, ListedEndpoint
from cressrail.testbed.event_record import EventRecord, read_events


def test_agent_sends_changes_and_a_complete_list_without_removed_endpoints(tmp_path: Path) -> None:
    endpoints = [ListedEndpoint(name, {"a": ("127.0.0.1", 1)}, "a", 1) for name in "xyz"]
    path = tmp_path / "fleet.jsonl"
    record = EventRecord(path)
    agent = DiscoveryAgent("s", "a", 0, endpoints, record)
    endpoints[1].phase = "draining"
    agent.apply_change(endpoints[1].as_entry("a"))
    endpoints[2].phase = "removed"
    agent.apply_change(endpoints[2].as_entry("a"))

    complete, changes, nothing = agent.list_line(WHOLE_LIST), agent.list_line(2), agent.list_line(3)
    record.close()

    assert b'"revision":3,"complete":true' in complete
    assert b'"x"' in complete
    assert b'"z"' not in complete
    assert b'"complete":false' in changes
    assert b'"z"' in changes
    assert b'"y"' not in changes
    assert b'"members":[]' in nothing
    announced = [(row["endpoint"], row["phase"]) for row in read_events(path)]
    # An endpoint that is missing from a complete list is also recorded as announced to be removed.
    assert announced == [("x", "up"), ("y", "draining"), ("z", "removed"), ("z", "removed")]
