"""Tests of traces that are recorded from a run's attempt log and from a sidecar's log."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson
import pytest

from cressrail.load.trace import read_trace, write_trace
from cressrail.load.trace_recording import read_recorded_requests


@pytest.mark.parametrize(
    "log_event",
    [
        pytest.param({"event": "rolled_back", "profile": "read", "member": None}, id="earlier version"),
        pytest.param(
            {"event": "request_rejected", "request_class": "read", "tenant": None}, id="current version"
        ),
    ],
)
def test_attempts_and_log_events_are_recorded_as_trace(log_event: dict[str, Any], tmp_path: Path) -> None:
    rows: list[dict[str, Any]] = [
        {"id": "1-2-1", "due_us": 900, "profile": "read", "member": "a", "size": 4, "key": "k"},
        {"id": "1-1-1", "due_us": 500, "profile": "note", "member": "b", "size": 0, "key": "j"},
        {"id": "1-1-2", "due_us": 500, "profile": "note", "member": "b", "size": 0, "key": "j"},
        {**log_event, "at_us": 700},
        {"event": "hop", "at_us": 701},
    ]
    source, trace = tmp_path / "ledger", tmp_path / "t.jsonl"
    source.write_bytes(b"".join(orjson.dumps(row) + b"\n" for row in rows))

    with trace.open("wb") as file:
        count = write_trace(file, read_recorded_requests(source, default_body_bytes=7))

    assert count == 3
    schedule = list(read_trace(trace, {}, {}))
    from_attempts = [(item.due_us, item.body_bytes, item.idempotency_key) for item in schedule][::2]
    assert from_attempts == [(0, 0, "j"), (400, 4, "k")]
    assert (schedule[1].due_us, schedule[1].body_bytes) == (200, 7)
