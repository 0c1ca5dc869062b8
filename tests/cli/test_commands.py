"""Tests of the command line, run as a separate process."""

from __future__ import annotations

import subprocess

import pytest

from tests.support.processes import COMMAND, PATIENCE_S


@pytest.mark.parametrize(
    ("arguments", "status", "message"),
    [
        pytest.param(["version"], 0, "cressrail 0.", id="version"),
        pytest.param(["check", "/nowhere"], 2, "cressrail: /nowhere: No such file", id="check-missing-file"),
        pytest.param(["serve", "/nowhere"], 2, "cressrail: /nowhere: No such file", id="serve-missing-file"),
        pytest.param(["nonsense"], 2, "No such command", id="unknown-command"),
    ],
)
def test_command_line_exits_with_status_and_message(arguments: list[str], status: int, message: str) -> None:
    ended = subprocess.run(
        [*COMMAND, *arguments], capture_output=True, text=True, timeout=PATIENCE_S, check=False
    )
    assert ended.returncode == status
    assert message in ended.stdout + ended.stderr
