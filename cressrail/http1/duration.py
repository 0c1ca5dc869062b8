"""Parsing of durations in header fields, such as a request's deadline."""

from __future__ import annotations

import re

DURATION_PATTERN = re.compile(r"(\d{1,12})([mu])\Z")
US_PER_MS = 1000


def parse_duration_us(text: str) -> int | None:
    """Returns a duration in microseconds, or None if `text` is not a valid duration.

    A duration is a whole number followed by a unit, `m` for milliseconds or `u` for microseconds, as in
    `480m`.
    """
    found = DURATION_PATTERN.match(text.strip())
    if found is None:
        return None
    return int(found[1]) * (US_PER_MS if found[2] == "m" else 1)
