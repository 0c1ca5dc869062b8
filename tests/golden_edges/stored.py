"""Comparison of results with stored JSON files, as text."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

DATA = Path(__file__).parent / "data"


def json_text(value: Any) -> str:
    """Formats a value as in the stored files."""
    return json.dumps(value, indent=1) + "\n"


def assert_matches_stored(found: dict[str, Any], name: str) -> None:
    """Fails if a value, a key or the order of the keys differs from the stored file."""
    text = (DATA / name).read_text()
    for key, value in json.loads(text).items():
        assert found.get(key) == value, f"{key!r} differs from {name}"
    assert json_text(found) == text
