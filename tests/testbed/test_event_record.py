"""Writing and reading the file of an event record."""

from __future__ import annotations

from pathlib import Path

import orjson
import pytest

from cressrail.testbed.event_record import EventRecord, ProcessState, read_events


def test_events_are_read_as_they_were_written(tmp_path: Path) -> None:
    path = tmp_path / "fleet.jsonl"
    with EventRecord(path) as record:
        record.append(process="a", how=ProcessState.STALLED, at_us=5)
        record.append(start_us=7)

    assert path.read_bytes() == b'{"process":"a","how":"stalled","at_us":5}\n{"start_us":7}\n'
    assert list(read_events(path)) == [{"process": "a", "how": "stalled", "at_us": 5}, {"start_us": 7}]


def test_truncated_line_is_an_error(tmp_path: Path) -> None:
    path = tmp_path / "fleet.jsonl"
    path.write_bytes(b'{"start_us":7}\n{"process":')
    events = read_events(path)

    assert next(events) == {"start_us": 7}
    with pytest.raises(orjson.JSONDecodeError):
        next(events)
