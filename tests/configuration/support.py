"""Helpers of the tests of configurations."""

from __future__ import annotations

from typing import Any


class RecordedEvents:
    """Stands in for the dispatcher that reads a file again; keeps the names of logged events."""

    def __init__(self) -> None:
        self.events: list[str] = []
        self.log = self

    def write_event(self, event: str, _fields: dict[str, Any]) -> None:
        """Keeps the name of an event."""
        self.events.append(event)


def set_path(config: dict[str, Any], path: str, value: Any) -> None:
    """Sets the value at a path such as `settings.profiles.0.name`."""
    *parents, last = path.split(".")
    inner: Any = config
    for name in parents:
        inner = inner[int(name) if name.isdigit() else name]
    inner[last] = value
