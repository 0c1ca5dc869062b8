"""The list of known faults: tests that are expected to fail, each for a cause and with an issue."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

MOST = 3
LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"


@dataclass(frozen=True)
class Known:
    test: str
    cause: str
    issue: str


def known(path: Path) -> list[Known]:
    """Raises `pytest.UsageError` with one line: file, line and reason."""
    if not path.is_file():
        return []
    found = []
    for n, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{path}: line {n}: not a test, a cause and an issue")
        found.append(Known(*parts))
    if len(found) > MOST:
        raise pytest.UsageError(f"{path}: {len(found)} tests, {MOST} at most")
    if len({one.test for one in found}) < len(found):
        raise pytest.UsageError(f"{path}: a test stands there twice")
    return found


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    listed = known(LIST)
    by_id = {item.nodeid: item for item in items}
    whole = (
        not config.option.keyword
        and not config.option.markexpr
        and not config.option.deselect
        and all(Path(arg).is_dir() for arg in config.args)
    )
    for one in listed:
        if one.test in by_id:
            # Strict: one that passes is to leave the list.
            by_id[one.test].add_marker(pytest.mark.xfail(reason=f"{one.cause} ({one.issue})", strict=True))
        elif whole:
            raise pytest.UsageError(f"{LIST}: no test is {one.test}")


def pytest_terminal_summary(terminalreporter: Any) -> None:
    for one in known(LIST):
        terminalreporter.write_line(f"known red: {one.test}: {one.cause} ({one.issue})")
