"""The event record of a run: one line of JSON per event, with times on the monotonic clock.

The rule checker and the membership verdicts evaluate it. Its keys are a stored format: files written by
earlier versions must remain readable.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import orjson

# One event: its values by key, as stored in the event record.
Event = dict[str, Any]


class ProcessState(StrEnum):
    """State of a sidecar's process after a change; the values appear in the event record."""

    UP = "up"
    RUNNING = "running"  # resumed after a pause
    STALLED = "stalled"
    KILLED = "killed"
    STOPPED = "stopped"
    SILENT = "silent"  # up, but without membership


class EventRecord:
    """Writes events to a file; as a context manager it closes the file."""

    def __init__(self, path: Path) -> None:
        """Creates the file, or truncates an existing one."""
        self._file = path.open("wb")

    def append(self, **fields: Any) -> None:
        """Writes one event as a line of JSON."""
        self._file.write(orjson.dumps(fields, option=orjson.OPT_APPEND_NEWLINE))

    def close(self) -> None:
        """Flushes buffered events and closes the file."""
        self._file.close()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()


def read_events(path: Path) -> Iterator[Event]:
    """Reads an event record line by line.

    Raises:
        OSError: The file cannot be read.
        orjson.JSONDecodeError: A line is not valid JSON.
    """
    with path.open("rb") as file:
        for line in file:
            yield orjson.loads(line)
