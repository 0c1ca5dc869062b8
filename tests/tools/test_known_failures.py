"""Tests of how tests/conftest.py applies KNOWN-RED.txt, each on a small generated test suite."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

MALFORMED = "line 1: expected 'test | command | what was seen | issue'"
SUITE = """
def test_good():
    pass

def test_bad():
    assert False

def test_worse():
    assert False
"""


def run_suite(
    folder: Path, known_failures: str | None, *arguments: str, workers: str = "0"
) -> subprocess.CompletedProcess[str]:
    """Runs `SUITE` with the project's conftest.py and this list of known failures; None: no list file."""
    tests = folder / "tests"
    tests.mkdir()
    (tests / "test_suite.py").write_text(SUITE)
    (tests / "conftest.py").write_text((Path(__file__).parents[1] / "conftest.py").read_text())
    if known_failures is not None:
        (folder / "KNOWN-RED.txt").write_text(known_failures)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "-n", workers]
    return subprocess.run(
        [*command, *(arguments or ["tests"])],
        cwd=folder,
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )


def entry(name: str) -> str:
    """Returns the line of the list for a test of `SUITE`."""
    return f"tests/test_suite.py::{name} | its command | its cause | issue 7\n"


BOTH_FAILURES = entry("test_bad") + entry("test_worse")


@pytest.mark.parametrize("workers", ["0", "2"], ids=["one process", "two workers"])
@pytest.mark.parametrize(
    ("known_failures", "arguments", "expected_status", "expected_output"),
    [
        pytest.param(None, [], 1, "2 failed, 1 passed", id="no file"),
        pytest.param("# nothing\n\n", [], 1, "2 failed, 1 passed", id="comment only"),
        pytest.param(entry("test_bad"), [], 1, "1 failed, 1 passed, 1 xfailed", id="one of two listed"),
        pytest.param(BOTH_FAILURES, [], 0, "1 passed, 2 xfailed", id="both listed"),
        pytest.param(
            BOTH_FAILURES, [], 0, "known red: tests/test_suite.py::test_bad: its cause", id="printed"
        ),
        pytest.param(BOTH_FAILURES, ["tests/test_suite.py::test_good"], 0, "1 passed", id="one selected"),
        pytest.param(
            entry("test_bad") + entry("test_good"), [], 1, "XPASS(strict)", id="a listed test passes"
        ),
        pytest.param(
            entry("test_gone"),
            [],
            4,
            "KNOWN-RED.txt: tests/test_suite.py::test_gone does not exist",
            id="no such test",
        ),
        pytest.param(entry("test_bad") * 2, [], 4, "a test is listed more than once", id="listed twice"),
        pytest.param(
            entry("a") + entry("b") + entry("c") + entry("d"),
            [],
            4,
            "4 tests are listed, at most 3 are allowed",
            id="too many",
        ),
        pytest.param(
            "tests/test_suite.py::test_bad | its command | its cause\n",
            [],
            4,
            MALFORMED,
            id="column missing",
        ),
        pytest.param(
            "tests/test_suite.py::test_bad | its command || 7\n", [], 4, MALFORMED, id="column empty"
        ),
    ],
)
def test_only_listed_failures_are_tolerated(
    tmp_path: Path,
    known_failures: str | None,
    arguments: list[str],
    expected_status: int,
    expected_output: str,
    workers: str,
) -> None:
    completed = run_suite(tmp_path, known_failures, *arguments, workers=workers)
    output = completed.stdout + completed.stderr
    assert completed.returncode == expected_status, output
    assert expected_output in output
