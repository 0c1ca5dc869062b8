"""Tests of traces: malformed rows, scaling and memory use."""

from __future__ import annotations

import tracemalloc
from pathlib import Path

import orjson
import pytest

from cressrail.load.trace import MalformedTraceError, TraceScale, read_trace

ROW = {"time_us": 5, "profile": "read", "member": "acme", "size": 10}
CSV_HEADER = "time_us,profile,member,size\n"


@pytest.mark.parametrize(
    ("name", "text", "reason"),
    [
        pytest.param(
            "t.csv",
            "time_us,profile,member\n",
            "row 1: column size is missing from the header",
            id="CSV column missing",
        ),
        pytest.param(
            "t.csv",
            f"{CSV_HEADER}1,read,acme,0\nx,read,acme,0\n",
            "row 3: invalid literal",
            id="time is not a number",
        ),
        pytest.param(
            "t.csv",
            f"{CSV_HEADER}5,read,a,0\n4,read,a,0\n",
            "row 3: time_us must not decrease: 4 after 5",
            id="time decreases",
        ),
        pytest.param(
            "t.csv",
            f"{CSV_HEADER}-1,read,a,0\n",
            "row 2: time_us must not be negative: -1",
            id="negative time",
        ),
        pytest.param(
            "t.csv",
            f"{CSV_HEADER}5,read,a,-1\n",
            "row 2: size must be between 0 and 65536: -1",
            id="negative size",
        ),
        pytest.param(
            "t.jsonl",
            '{"time_us":1,"profile":"read","member":"a"}\n',
            "row 1: column size is missing",
            id="JSON key missing",
        ),
        pytest.param(
            "t.jsonl",
            '{"time_us":1,"profile":"","member":"a","size":0}\n',
            "row 1: profile must be a non-empty string and member a string: '', 'a'",
            id="empty request class",
        ),
        pytest.param("t.jsonl", "[]\n", "row 1: expected a JSON object, got list", id="JSON array"),
        pytest.param("t.jsonl", "{\n", "row 1: not valid JSON", id="not JSON"),
    ],
)
def test_error_names_file_row_and_reason_of_malformed_row(
    tmp_path: Path, name: str, text: str, reason: str
) -> None:
    path = tmp_path / name
    path.write_text(text)

    with pytest.raises(MalformedTraceError) as error:
        list(read_trace(path, {}, {}))

    assert str(error.value).startswith(f"{path}: {reason}")
    assert "\n" not in str(error.value)


def test_trace_is_scaled_in_time_and_rate(tmp_path: Path) -> None:
    path = tmp_path / "t.jsonl"
    rows = [{**ROW, "time_us": 1000 * number} for number in range(1, 101)]
    path.write_bytes(b"".join(orjson.dumps(row) + b"\n" for row in rows))
    class_indices, tenant_indices = {"x": 0}, dict[str, int]()

    schedule = list(read_trace(path, class_indices, tenant_indices, TraceScale(time=2.0, rate=1.5)))

    assert len(schedule) == 150
    assert (schedule[0].due_us, schedule[-1].due_us) == (0, 2 * 99_000)
    assert (class_indices, tenant_indices) == ({"x": 0, "read": 1}, {"acme": 0})
    # Requests added by scaling have keys of their own, so that they do not look like retries.
    assert len({request.idempotency_key for request in schedule}) == 150


def test_memory_does_not_grow_with_the_trace(tmp_path: Path) -> None:
    path = tmp_path / "t.csv"
    with path.open("w") as file:
        file.write(CSV_HEADER)
        file.writelines(f"{number},read,acme,0\n" for number in range(60_000))

    tracemalloc.start()
    try:
        count = sum(1 for _ in read_trace(path, {}, {}))
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()

    assert count == 60_000
    assert peak_bytes < 500_000
