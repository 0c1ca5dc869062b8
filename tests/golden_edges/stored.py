"""The stored values that pins are held against: one JSON file each, compared as text."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

DATA = Path(__file__).parent / "data"


def text_of(found: Any) -> str:
    return json.dumps(found, indent=1) + "\n"


def hold(found: dict[str, Any], name: str) -> None:
    """Fails if one value, key or the order of keys differs from the stored file."""
    text = (DATA / name).read_text()
    for key, value in json.loads(text).items():
        assert found.get(key) == value, key
    assert text_of(found) == text
