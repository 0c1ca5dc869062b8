"""Checks that paths in the documentation exist and that the README's table lists every package."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1]
PAGES = [
    "README.md",
    "CONTRIBUTING.md",
    *(str(path.relative_to(ROOT)) for path in (ROOT / "docs").glob("*.md")),
]
TOP_FOLDERS = ("cressrail", "tests", "tools", "example", "deploy", "docs", "journal")
# A path relative to the repository's root, in a code span, a command or plain text.
PATH = re.compile(rf"(?<![\w./-])(?:{'|'.join(TOP_FOLDERS)})/[\w./*-]*[\w*/-]")
TABLE_CELL = re.compile(r"^\| ([^|]*) \|", re.MULTILINE)


def named_paths(text: str) -> set[str]:
    """Returns the repository paths that a text mentions, without trailing slashes."""
    return {match.rstrip("/") for match in PATH.findall(text)}


def exists(path: str) -> bool:
    """Returns whether a path exists; for a pattern, whether anything matches it."""
    return any(ROOT.glob(path)) if "*" in path else (ROOT / path).exists()


@pytest.mark.parametrize("page", PAGES)
def test_paths_named_on_a_page_exist(page: str) -> None:
    missing = sorted(
        path for path in named_paths((ROOT / page).read_text(encoding="utf-8")) if not exists(path)
    )
    assert not missing


def test_contributing_page_names_paths_and_is_linked() -> None:
    assert len(named_paths((ROOT / "CONTRIBUTING.md").read_text(encoding="utf-8"))) > 20
    assert "(CONTRIBUTING.md)" in (ROOT / "README.md").read_text(encoding="utf-8")


def test_readme_table_names_every_package_and_no_other() -> None:
    cells = TABLE_CELL.findall((ROOT / "README.md").read_text(encoding="utf-8"))
    named = {path for cell in cells for path in named_paths(cell) if path.startswith("cressrail/")}
    packages = {str(path.parent.relative_to(ROOT)) for path in ROOT.glob("cressrail/*/__init__.py")}
    assert named == packages


@pytest.mark.parametrize(
    ("text", "paths"),
    [
        pytest.param(
            "see `docs/design.md`, docs/load.md.", {"docs/design.md", "docs/load.md"}, id="two pages"
        ),
        pytest.param("`cressrail/policy/` decides", {"cressrail/policy"}, id="folder"),
        pytest.param("`tests/golden*` pin", {"tests/golden*"}, id="pattern"),
        pytest.param("kept in ../given/kit and try-out/report.html", set(), id="outside the repository"),
    ],
)
def test_named_paths_are_found_in_text(text: str, paths: set[str]) -> None:
    assert named_paths(text) == paths
