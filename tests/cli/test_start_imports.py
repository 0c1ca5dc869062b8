"""Checks that `serve` does not import libraries and packages that only other sub-commands need."""

from __future__ import annotations

import subprocess
import sys

import pytest

IMPORT_AND_LIST = """
import sys
import cressrail.cli.launch, cressrail.network.configuration_reload, cressrail.network.server
print(*sys.modules, sep="\\n")
"""
# Modules that would add some milliseconds to the start, or that only other sub-commands use.
NOT_NEEDED = ["asyncio", "numpy", "pathlib", "pydantic", "rich", "typer", "urllib.parse"]
NOT_NEEDED += [
    f"cressrail.{package}" for package in ("experiment", "failover", "load", "membership", "testbed")
]


@pytest.fixture(scope="module")
def imported() -> set[str]:
    """Returns the modules that a sidecar without membership has loaded by the time it starts."""
    command = [sys.executable, "-c", IMPORT_AND_LIST]
    return set(subprocess.run(command, capture_output=True, text=True, check=True).stdout.splitlines())


@pytest.mark.parametrize("module", NOT_NEEDED)
def test_serve_does_not_import_module(module: str, imported: set[str]) -> None:
    assert "cressrail.network.server" in imported
    assert module not in imported
