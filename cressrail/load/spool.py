"""What became of each transaction, in rows of one size on disk: the run's memory stays flat, and nothing is
worked out while it lasts."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import numpy as np
import numpy.typing as npt

ANSWERED, HELD = 1, 2  # flags
ROW = np.dtype(
    [
        ("due_us", "<i8"),
        ("taken_us", "<i8"),
        ("sent_us", "<i8"),
        ("ended_us", "<i8"),
        ("number", "<u4"),
        ("profile", "<u2"),
        ("member", "<u2"),
        ("status", "<u2"),
        ("tries", "<u1"),
        ("flags", "<u1"),
        ("size", "<u4"),
    ]
)
AT_ONCE = 4096


class Spool:
    """`due_us`: when it ought to go; `taken_us`: when the generator turned to it; `sent_us`: when its bytes
    were written (0: never); `ended_us`: its last try's end. All on the run's clock, from its start."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.file = open(path, "w+b")  # noqa: SIM115 - closed by `close`
        self.rows = np.zeros(AT_ONCE, ROW)
        self.used = 0
        self.count = 0

    def add(self, row: tuple[Any, ...]) -> None:
        self.rows[self.used] = row
        self.used += 1
        self.count += 1
        if self.used == AT_ONCE:
            self._flush()

    def _flush(self) -> None:
        self.file.write(self.rows[: self.used].tobytes())
        self.used = 0

    def close(self) -> None:
        if not self.file.closed:
            self._flush()
            self.file.close()


def read(path: Path) -> Iterator[npt.NDArray[Any]]:
    """Blocks of rows."""
    with open(path, "rb") as file:
        while data := file.read(ROW.itemsize * 65536):
            yield np.frombuffer(data[: len(data) // ROW.itemsize * ROW.itemsize], ROW)
