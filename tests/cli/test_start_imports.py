"""What `serve` needs is imported without the libraries and packages of other sub-commands."""

from __future__ import annotations

import subprocess
import sys

import pytest

IMPORT_AND_LIST = """
import sys
import cressrail.cli.launch, cressrail.network.configuration_reload, cressrail.network.server
print(*sys.modules, sep="\\n")
"""
# Each takes some milliseconds of the start, or belongs to sub-commands alone.
NOT_NEEDED = ["asyncio", "numpy", "pathlib", "pydantic", "rich", "typer", "urllib.parse"]
NOT_NEEDED += [
    f"cressrail.{package}" for package in ("experiment", "failover", "load", "membership", "testbed")
]


@pytest.fixture(scope="module")
def imported() -> set[str]:
    """Modules that are loaded once a sidecar without membership could start."""
    command = [sys.executable, "-c", IMPORT_AND_LIST]
    return set(subprocess.run(command, capture_output=True, text=True, check=True).stdout.splitlines())


@pytest.mark.parametrize("module", NOT_NEEDED)
def test_serve_starts_without_module(module: str, imported: set[str]) -> None:
    assert "cressrail.network.server" in imported
    assert module not in imported
