"""Marks the tests listed in KNOWN-RED.txt as expected failures.

Each line of the file names a test, the command that shows the failure, what was seen and an issue, separated
by "|".
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

MAX_KNOWN_FAILURES = 3
KNOWN_FAILURES_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"


@dataclass(frozen=True)
class KnownFailure:
    """One line of the list.

    Attributes:
        test: Node id of the test.
        command: Command, with its seed, that shows the failure.
        observed: What was seen.
        issue: The issue that tracks the failure.
    """

    test: str
    command: str
    observed: str
    issue: str

    def __str__(self) -> str:
        return f"{self.observed} ({self.command}; {self.issue})"


def read_known_failures(path: Path) -> list[KnownFailure]:
    """Reads the list; a missing file is an empty list.

    Raises:
        pytest.UsageError: A line is malformed, a test is listed more than once or the list is too long. The
            message is one line with the path and the reason.
    """
    if not path.is_file():
        return []
    failures = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        columns = [column.strip() for column in line.split("|")]
        if len(columns) != 4 or not all(columns):
            raise pytest.UsageError(
                f"{path}: line {number}: expected 'test | command | what was seen | issue'"
            )
        failures.append(KnownFailure(*columns))
    if len(failures) > MAX_KNOWN_FAILURES:
        raise pytest.UsageError(
            f"{path}: {len(failures)} tests are listed, at most {MAX_KNOWN_FAILURES} are allowed"
        )
    if len({failure.test for failure in failures}) < len(failures):
        raise pytest.UsageError(f"{path}: a test is listed more than once")
    return failures


def pytest_configure() -> None:
    """Reports a malformed list once, before any worker starts."""
    read_known_failures(KNOWN_FAILURES_FILE)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Marks the listed tests as expected failures."""
    items_by_id = {item.nodeid: item for item in items}
    for failure in read_known_failures(KNOWN_FAILURES_FILE):
        if failure.test in items_by_id:
            # Strict: a listed test that passes counts as a failure, so that it is taken off the list.
            marker = pytest.mark.xfail(reason=str(failure), strict=True)
            items_by_id[failure.test].add_marker(marker)
    # With xdist, workers skip this check: the controller process checks the tests that they collected.
    if not hasattr(config, "workerinput"):
        check_listed_tests_exist(config, items_by_id)


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_node_collection_finished(node: Any, ids: list[str]) -> None:
    """Checks the list in the xdist controller, which collects no tests itself."""
    check_listed_tests_exist(node.config, ids)


def check_listed_tests_exist(config: pytest.Config, collected_ids: Container[str]) -> None:
    """Checks that each listed test exists, unless only a part of the tests was selected.

    Raises:
        pytest.UsageError: A listed test was not collected.
    """
    selects_all_tests = (
        not config.option.keyword
        and not config.option.markexpr
        and not config.option.deselect
        and all(Path(arg).is_dir() for arg in config.args)
    )
    for failure in read_known_failures(KNOWN_FAILURES_FILE) if selects_all_tests else []:
        if failure.test not in collected_ids:
            raise pytest.UsageError(f"{KNOWN_FAILURES_FILE}: {failure.test} does not exist")


def pytest_terminal_summary(terminalreporter: Any) -> None:
    """Prints the listed tests below the results."""
    for failure in read_known_failures(KNOWN_FAILURES_FILE):
        terminalreporter.write_line(f"known red: {failure.test}: {failure}")
