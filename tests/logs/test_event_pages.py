"""Checks that the on-call pages list exactly the log events that the code declares, with their fields."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path
from types import ModuleType
from typing import NamedTuple

import pytest

from cressrail.failover import log_events as failover_events
from cressrail.logs import events
from cressrail.membership import log_events as membership_events
from cressrail.policy.outcome import Outcome

ROOT = Path(__file__).resolve().parents[2]
ON_CALL, ON_CALL_DAY = ROOT / "docs" / "oncall.md", ROOT / "docs" / "oncall-day.md"
MODULES = [events, membership_events, failover_events]
NOT_EVENTS = ("EARLIER_", "OLD_", "REASON_")  # prefixes of constants that do not name a current event
LOGGING_CALLS = ("LogEvent", "write_event", "log")
EVENT_TABLE = "| event | fields | meaning | what to do |"
HANDOVER_TABLE = "| the log says | means |"
RENAMED_TABLE = "| log event before | now | fields before -> now |"
CHANGELOG = ROOT / "CHANGELOG.md"
# Pages that list earlier event names for readers of old logs.
PAGES_WITH_EARLIER_NAMES = {"failover-operators.md"}
CODE_SPAN = re.compile(r"`([^`]+)`")
IDENTIFIER = re.compile(r"[a-z]+(?:_[a-z]+)*")
# Other identifiers that the prose of the pages mentions, besides events, their fields and outcomes.
LINE_FIELDS = {"at_us", "sidecar", "event"}
FIELD_VALUES = {
    "changes",
    "complete_list",
    "empty_line",
    "none",
    "endpoints",
    "stranger",
    "replayed",
    "away",
    "reduced",
}
SETTINGS = {"name", "ops"}
COUNTERS = {
    "app_cluster_size",
    "app_cluster_unhealthy",
    "app_current",
    "app_deferred",
    "app_sends",
    "app_stalled_uploads",
}
OTHER_WORDS = LINE_FIELDS | FIELD_VALUES | SETTINGS | COUNTERS


def constants(module: ModuleType) -> dict[str, str]:
    """Returns the events that a module declares, as a mapping from constant to event name."""
    return {
        name: value
        for name, value in vars(module).items()
        if name.isupper() and isinstance(value, str) and not name.startswith(NOT_EVENTS)
    }


DECLARED = {event for module in MODULES for event in constants(module).values()}


class TableRow(NamedTuple):
    """A row of a table of events.

    Attributes:
        events: Names in code spans of the first cell.
        fields: Names in code spans of the second cell.
        cells: Text of all cells.
    """

    events: list[str]
    fields: set[str]
    cells: list[str]


def table_rows(page: Path, header: str) -> Iterator[TableRow]:
    """Yields the rows of all tables of a page that have the given header."""
    lines = iter(page.read_text(encoding="utf-8").splitlines())
    for line in lines:
        if line != header:
            continue
        next(lines)
        for row in lines:
            if not row.startswith("|"):
                break
            cells = [cell.strip() for cell in row.strip("|").split("|")]
            yield TableRow(CODE_SPAN.findall(cells[0]), set(CODE_SPAN.findall(cells[1])), cells)


def logging_calls() -> Iterator[tuple[Path, ast.Call]]:
    """Yields all calls in the program that log an event, each with the path of its file."""
    for path in sorted((ROOT / "cressrail").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Call) and node.args:
                called = node.func.attr if isinstance(node.func, ast.Attribute) else ""
                called = node.func.id if isinstance(node.func, ast.Name) else called
                if called in LOGGING_CALLS:
                    yield path, node


def logged_names(path: Path, argument: ast.expr) -> list[str]:
    """Returns the event names of all constants that occur in the first argument of a logging call."""
    module = {"membership": membership_events, "failover": failover_events}
    names: list[str] = []
    for node in ast.walk(argument):
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
            if node.value.id == "events":
                names.append(getattr(events, node.attr))
            elif node.value.id == "log_events":
                owner = module.get(path.parent.name, membership_events)
                names.append(getattr(owner, node.attr))
    return names


def literal_fields(call: ast.Call) -> set[str]:
    """Returns the field names written literally in a logging call, without those taken from a variable."""
    fields = {keyword.arg for keyword in call.keywords if keyword.arg is not None}
    for argument in call.args[1:]:
        for node in ast.walk(argument):
            if isinstance(node, ast.Dict):
                fields |= {str(key.value) for key in node.keys if isinstance(key, ast.Constant)}
    return fields


@pytest.mark.parametrize("module", MODULES, ids=lambda module: module.__name__)
def test_every_declared_event_has_a_row_on_the_page(module: ModuleType) -> None:
    listed = [event for row in table_rows(ON_CALL, EVENT_TABLE) for event in row.events]
    missing = sorted(set(constants(module).values()) - set(listed))
    assert constants(module)
    assert not missing


def test_page_lists_each_declared_event_once_and_no_other() -> None:
    listed = [event for row in table_rows(ON_CALL, EVENT_TABLE) for event in row.events]
    assert sorted(listed) == sorted(DECLARED)


def test_each_row_has_a_meaning_and_an_action() -> None:
    for row in table_rows(ON_CALL, EVENT_TABLE):
        assert len(row.cells) == 4, row
        assert row.cells[2], row
        assert row.cells[3], row


def test_upgrade_table_names_declared_events_and_fields() -> None:
    fields = {field for row in table_rows(ON_CALL, EVENT_TABLE) for field in row.fields}
    rows = list(table_rows(ON_CALL_DAY, HANDOVER_TABLE))
    assert rows
    for row in rows:
        assert set(row.events) <= DECLARED | fields, row


@pytest.mark.parametrize("page", [ON_CALL, ON_CALL_DAY], ids=lambda page: page.name)
def test_words_in_code_spans_are_events_fields_or_known_terms(page: Path) -> None:
    fields = {field for row in table_rows(ON_CALL, EVENT_TABLE) for field in row.fields}
    known = DECLARED | fields | {outcome.name.lower() for outcome in Outcome} | OTHER_WORDS
    spans = CODE_SPAN.findall(page.read_text(encoding="utf-8"))
    unknown = sorted({span for span in spans if IDENTIFIER.fullmatch(span)} - known)
    assert not unknown


@pytest.mark.parametrize("page", sorted((ROOT / "docs").glob("*.md")), ids=lambda page: page.name)
def test_pages_do_not_use_event_names_of_earlier_versions(page: Path) -> None:
    earlier = {event for row in table_rows(CHANGELOG, RENAMED_TABLE) for event in row.events} - DECLARED
    assert earlier
    if page.name not in PAGES_WITH_EARLIER_NAMES:
        assert not earlier & set(CODE_SPAN.findall(page.read_text(encoding="utf-8")))


def test_program_logs_only_declared_events() -> None:
    literals = [
        f"{path.relative_to(ROOT)}:{call.lineno}"
        for path, call in logging_calls()
        if isinstance(call.args[0], ast.Constant) and isinstance(call.args[0].value, str)
    ]
    assert not literals


def test_page_lists_all_fields_that_the_program_logs() -> None:
    listed = {event: row.fields for row in table_rows(ON_CALL, EVENT_TABLE) for event in row.events}
    checked = set()
    for path, call in logging_calls():
        for event in logged_names(path, call.args[0]):
            checked.add(event)
            missing = literal_fields(call) - listed[event]
            assert not missing, f"{path.relative_to(ROOT)}:{call.lineno}: {event}"
    # The two events about drains are logged through a variable, so the search above does not find them.
    assert checked | {failover_events.DRAIN_REQUESTED, failover_events.DRAIN_ENDED} == DECLARED
