"""The list of known faults, each rule of it on a small suite of its own."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

MALFORMED = "line 1: expected a test, a command, what was seen and an issue"
SUITE = """
def test_good():
    pass

def test_bad():
    assert False

def test_worse():
    assert False
"""


def run(tmp: Path, text: str | None, *words: str, workers: str = "0") -> subprocess.CompletedProcess[str]:
    tests = tmp / "tests"
    tests.mkdir()
    (tests / "test_suite.py").write_text(SUITE)
    (tests / "conftest.py").write_text((Path(__file__).parent / "conftest.py").read_text())
    if text is not None:
        (tmp / "KNOWN-RED.txt").write_text(text)
    return subprocess.run(
        [
            sys.executable,
            "-m",
            "pytest",
            "-q",
            "-p",
            "no:cacheprovider",
            "-n",
            workers,
            *(words or ["tests"]),
        ],
        cwd=tmp,
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )


def line(name: str) -> str:
    return f"tests/test_suite.py::{name} | its command | its cause | issue 7\n"


@pytest.mark.parametrize("workers", ["0", "2"])
@pytest.mark.parametrize(
    "text, words, code, says",
    [
        (None, [], 1, "2 failed, 1 passed"),
        ("# nothing\n\n", [], 1, "2 failed, 1 passed"),
        (line("test_bad"), [], 1, "1 failed, 1 passed, 1 xfailed"),
        (line("test_bad") + line("test_worse"), [], 0, "1 passed, 2 xfailed"),
        (line("test_bad") + line("test_worse"), [], 0, "known red: tests/test_suite.py::test_bad: its cause"),
        (line("test_bad") + line("test_worse"), ["tests/test_suite.py::test_good"], 0, "1 passed"),
        (line("test_bad") + line("test_good"), [], 1, "XPASS(strict)"),
        (line("test_gone"), [], 4, "KNOWN-RED.txt: no test is tests/test_suite.py::test_gone"),
        (line("test_bad") * 2, [], 4, "a test is listed twice"),
        (line("a") + line("b") + line("c") + line("d"), [], 4, "4 tests, 3 at most"),
        ("tests/test_suite.py::test_bad | its command | its cause\n", [], 4, MALFORMED),
        ("tests/test_suite.py::test_bad | its command || 7\n", [], 4, MALFORMED),
    ],
)
def test_ci_passes_over_what_is_listed_and_nothing_else(
    tmp_path: Path, text: str | None, words: list[str], code: int, says: str, workers: str
) -> None:
    ended = run(tmp_path, text, *words, workers=workers)
    assert ended.returncode == code and says in ended.stdout + ended.stderr, (ended.stdout, ended.stderr)
