"""Fixed-size records on disk, one for each request that has ended.

Records are written during a run and evaluated only after it, so memory use does not grow with its length.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import AbstractContextManager
from enum import IntFlag
from pathlib import Path
from typing import Any, NamedTuple

import numpy as np
import numpy.typing as npt

WRITE_BATCH = 4096  # records per write
READ_BATCH = 65536  # records per read
RECORD_DTYPE = np.dtype(
    [
        ("due_us", "<i8"),
        ("started_us", "<i8"),
        ("sent_us", "<i8"),
        ("ended_us", "<i8"),
        ("number", "<u4"),
        ("request_class", "<u2"),
        ("tenant", "<u2"),
        ("status", "<u2"),
        ("attempts", "<u1"),
        ("flags", "<u1"),
        ("body_bytes", "<u4"),
    ]
)
MAX_ATTEMPTS = 255  # the largest value of the "attempts" field


class RecordFlag(IntFlag):
    """Flags of a request record."""

    ANSWERED = 1
    WAITED_FOR_CONNECTION = 2


class RequestRecord(NamedTuple):
    """One request that has ended; its fields are in the order of `RECORD_DTYPE`.

    All times count from the start of the run.

    Attributes:
        due_us: When the request was due by the schedule.
        started_us: When the generator started to send the request.
        sent_us: When the bytes of the last attempt were written; 0 if they never were.
        ended_us: When the last attempt ended.
        number: The number of the request in the run, from 1.
        request_class: The index of the request class.
        tenant: The index of the tenant.
        status: The status of the last attempt; 0 without a complete response.
        attempts: The number of attempts, at most `MAX_ATTEMPTS`.
        flags: The value of a `RecordFlag`.
        body_bytes: The size of the request body.
    """

    due_us: int
    started_us: int
    sent_us: int
    ended_us: int
    number: int
    request_class: int
    tenant: int
    status: int
    attempts: int
    flags: int
    body_bytes: int


class RequestRecordWriter(AbstractContextManager["RequestRecordWriter"]):
    """Writes records to a new file in batches."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("wb")
        self._batch = np.zeros(WRITE_BATCH, RECORD_DTYPE)
        self._batch_size = 0

    def __exit__(self, *_: object) -> None:
        self.close()

    def add(self, record: RequestRecord) -> None:
        """Appends one record."""
        self._batch[self._batch_size] = record
        self._batch_size += 1
        if self._batch_size == WRITE_BATCH:
            self._flush()

    def _flush(self) -> None:
        self._file.write(self._batch[: self._batch_size].tobytes())
        self._batch_size = 0

    def close(self) -> None:
        """Writes the remaining records and closes the file; does nothing if it is already closed."""
        if not self._file.closed:
            self._flush()
            self._file.close()


def read_records(path: Path) -> npt.NDArray[Any]:
    """Returns all records of a file in the order in which they were written, without a truncated last one."""
    batches = list(_read_batches(path)) or [np.empty(0, RECORD_DTYPE)]
    return np.concatenate(batches)


def _read_batches(path: Path) -> Iterator[npt.NDArray[Any]]:
    record_bytes = RECORD_DTYPE.itemsize
    with path.open("rb") as file:
        while data := file.read(record_bytes * READ_BATCH):
            yield np.frombuffer(data[: len(data) // record_bytes * record_bytes], RECORD_DTYPE)
