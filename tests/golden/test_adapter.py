"""Tests that the simulator adapter answers recorded input with the recorded bytes, for a chain and a mesh."""

from __future__ import annotations

import subprocess
import sys
from hashlib import sha256
from pathlib import Path

import pytest

HERE = Path(__file__).parent
INPUT_CHECKSUMS = {  # SHA-256 in hex digits
    "chain": "d443a2f4f2224f949998dfe2788bd5aef56a108d89427266ac1a6de08c2e2559",
    "mesh": "d226a7120411c44ed77ff19900c97b14bda1720b646bfdc9d5032d13567cfccb",
}


def recorded(name: str) -> tuple[bytes, bytes]:
    return (HERE / f"adapter-{name}.in.txt").read_bytes(), (HERE / f"adapter-{name}.out.txt").read_bytes()


@pytest.mark.parametrize("name", INPUT_CHECKSUMS)
def test_recorded_input_is_unchanged(name: str) -> None:
    assert sha256(recorded(name)[0]).hexdigest() == INPUT_CHECKSUMS[name]


@pytest.mark.parametrize("name", INPUT_CHECKSUMS)
def test_adapter_answers_as_recorded(name: str) -> None:
    recorded_input, expected_output = recorded(name)
    completed = subprocess.run(
        [sys.executable, "-m", "cressrail.wirehost"],
        input=recorded_input,
        capture_output=True,
        timeout=120,
        check=False,
    )
    assert (completed.returncode, completed.stderr) == (0, b"")
    for number, (line, expected_line) in enumerate(
        zip(completed.stdout.split(b"\n"), expected_output.split(b"\n"), strict=False), start=1
    ):
        assert line == expected_line, f"line {number} of the output differs from the recording"
    assert completed.stdout == expected_output


@pytest.mark.parametrize(
    ("name", "minimum_counts"),
    [
        ("chain", {b"ISSUE": 1000, b"NOT_NOW": 100, b"REPORT_FAILURE": 50, b"ABANDON": 20, b"LISTEN": 4}),
        ("mesh", {b"ISSUE": 800, b"NOT_NOW": 200, b"REPORT_FAILURE": 40, b"ABANDON": 20, b"LISTEN": 4}),
    ],
)
def test_recording_covers_each_action(name: str, minimum_counts: dict[bytes, int]) -> None:
    lines = recorded(name)[1].split(b"\n")
    for action, count in minimum_counts.items():
        assert sum(line.startswith(action + b" ") for line in lines) >= count, action
