"""Tests of parsing durations in header fields."""

from __future__ import annotations

import pytest

from cressrail.http1.duration import parse_duration_us


@pytest.mark.parametrize(
    ("text", "us"),
    [
        ("480m", 480_000),
        ("480u", 480),
        ("0m", 0),
        (" 5m ", 5000),
        ("480", None),
        ("-1m", None),
        ("1.5m", None),
        ("m", None),
        ("9" * 13 + "m", None),
        ("5s", None),
    ],
)
def test_parse_duration_us_reads_a_number_and_a_unit(text: str, us: int | None) -> None:
    assert parse_duration_us(text) == us
