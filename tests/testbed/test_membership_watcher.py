"""Membership events that the membership watcher reads from sidecars' logs."""

from __future__ import annotations

from pathlib import Path

import pytest

from cressrail.testbed.event_record import EventRecord, read_events
from cressrail.testbed.membership_watcher import MembershipWatcher


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        pytest.param(
            b'{"at_us":9,"event":"instance_dead","instance":"door1"}',
            [("door0", "instance_dead", "door1", 0)],
            id="death",
        ),
        pytest.param(
            b'{"at_us":9,"event":"copy_lost","copy":"door1"}',
            [("door0", "copy_lost", "door1", 0)],
            id="death in a log of an earlier version",
        ),
        pytest.param(
            b'{"at_us":9,"event":"instance_paused","paused_ms":300}',
            [("door0", "instance_paused", "", 300)],
            id="pause",
        ),
        pytest.param(
            b'{"at_us":9,"event":"copy_paused","for_ms":300}',
            [("door0", "copy_paused", "", 300)],
            id="pause in a log of an earlier version",
        ),
        pytest.param(b'{"at_us":9,"event":"instance_dead","inst', [], id="truncated by a kill"),
        pytest.param(b'{"at_us":9,"event":"start"}', [], id="unrelated to membership"),
    ],
)
def test_membership_events_in_logs_are_recorded(
    tmp_path: Path, line: bytes, expected: list[tuple[str, str, str, int]]
) -> None:
    (tmp_path / "door0.log").write_bytes(line)
    record_path = tmp_path / "fleet.jsonl"

    with EventRecord(record_path) as record:
        MembershipWatcher(record, tmp_path).read_logs(["door0"])

    recorded = [
        (event["said"], event["event"], event["copy"], event["for_ms"]) for event in read_events(record_path)
    ]
    assert recorded == expected
