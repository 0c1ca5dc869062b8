"""Tests of request record files."""

from __future__ import annotations

from pathlib import Path

from cressrail.load.request_records import RECORD_DTYPE, RequestRecordWriter, read_records
from tests.load.support import EndedRequest


def test_file_contains_every_record_across_write_batches(tmp_path: Path) -> None:
    path = tmp_path / "records"

    with RequestRecordWriter(path) as records:
        for number in range(9000):
            records.add(EndedRequest(number, number, number + 1).record(number))

    assert path.stat().st_size == 9000 * RECORD_DTYPE.itemsize
    assert read_records(path)["number"].tolist() == list(range(9000))
