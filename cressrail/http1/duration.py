"""Figures in fields: spans of time."""

from __future__ import annotations

import re

DURATION_PATTERN = re.compile(r"(\d{1,12})([mu])\Z")


def parse_duration_us(text: str) -> int | None:
    """A number and a unit: `m` milliseconds or `u` microseconds."""
    found = DURATION_PATTERN.match(text.strip())
    return int(found[1]) * (1000 if found[2] == "m" else 1) if found else None
