"""Helpers for the tests of configurations."""

from __future__ import annotations

from typing import Any


class RecordedEvents:
    """A substitute for the dispatcher during a reload, which records the names of logged events."""

    def __init__(self) -> None:
        self.events: list[str] = []
        self.log = self

    def write_event(self, event: str, _fields: dict[str, Any]) -> None:
        """Records the name of an event."""
        self.events.append(event)


def set_path(config: dict[str, Any], path: str, value: Any) -> None:
    """Sets the value at a path such as `settings.profiles.0.name` in a nested configuration."""
    *parents, last = path.split(".")
    inner: Any = config
    for name in parents:
        inner = inner[int(name) if name.isdigit() else name]
    inner[last] = value
