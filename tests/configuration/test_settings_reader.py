"""Tests of reading single settings by path."""

from __future__ import annotations

from cressrail.configuration.settings_reader import SettingsReader


def test_from_nested_makes_nested_settings_available_by_path() -> None:
    settings = SettingsReader.from_nested(
        {"a": {"b": 1, "on": True, "x": None}, "list": ["p, q", "r"], "deep": [{"n": 2.5}, {}]}
    )
    assert settings.whole_number("a.b", 0) == 1
    assert settings.flag("a.on")
    assert "a.x" not in settings.values
    assert settings.names("list") == ["p, q", "r"]
    assert settings.number("deep.0.n", 0, 9) == 2.5
    assert settings.whole_number("deep.count", 0) == 2
