"""The event record of a run: a JSON line for each event, on the monotonic clock.

It is the evidence that the rule checker and the membership verdicts go by. Its keys are stored data: files of
earlier versions are read as well.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import orjson

# One event by the keys of the file.
Event = dict[str, Any]


class ProcessState(StrEnum):
    """What became of a sidecar's process; the values stand in the event record."""

    UP = "up"
    RUNNING = "running"  # again, after a pause
    STALLED = "stalled"
    KILLED = "killed"
    STOPPED = "stopped"
    SILENT = "silent"  # up, without membership


class EventRecord:
    """A file of events that is being written; also a context manager that closes it."""

    def __init__(self, path: Path) -> None:
        """Creates the file, or empties it."""
        self._file = path.open("wb")

    def append(self, **fields: Any) -> None:
        """Writes one event."""
        self._file.write(orjson.dumps(fields, option=orjson.OPT_APPEND_NEWLINE))

    def close(self) -> None:
        """Writes what is buffered and closes the file."""
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
    """Reads a file of events line by line.

    Raises:
        OSError: The file cannot be read.
        orjson.JSONDecodeError: A line is no JSON.
    """
    with path.open("rb") as file:
        for line in file:
            yield orjson.loads(line)
