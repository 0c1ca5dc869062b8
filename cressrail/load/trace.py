"""Traces of recorded requests, with one request per row, read and written row by row.

The names of the columns are defined only here.
"""

from __future__ import annotations

import csv
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import IO, Any, NamedTuple

import orjson

from cressrail.load.plan import MAX_BODY_BYTES
from cressrail.load.schedule import ScheduledRequest

TIME, REQUEST_CLASS, TENANT, SIZE, KEY = "time_us", "profile", "member", "size", "key"
NO_TIME_YET = -1
REQUIRED_COLUMNS = (TIME, REQUEST_CLASS, TENANT, SIZE)


class MalformedTraceError(Exception):
    """Raised for a malformed row; the message names the file, the row number and the reason."""


class TraceRow(NamedTuple):
    """One request of a trace.

    Attributes:
        time_us: When the request was sent, on any monotonic clock.
        request_class: The name of the request class.
        tenant: The name of the tenant.
        body_bytes: The size of the request body.
        idempotency_key: The idempotency key, or an empty string if it is unknown.
    """

    time_us: int
    request_class: str
    tenant: str
    body_bytes: int
    idempotency_key: str


class TraceScale(NamedTuple):
    """The scale at which a trace is replayed.

    Attributes:
        time: The factor for the times.
        rate: The number of requests sent per row; a fraction selects the same rows in every replay.
    """

    time: float = 1.0
    rate: float = 1.0


UNSCALED = TraceScale()


def read_trace(
    path: Path, class_indices: dict[str, int], tenant_indices: dict[str, int], scale: TraceScale = UNSCALED
) -> Iterator[ScheduledRequest]:
    """Yields the requests of a trace, with due times that count from its first row.

    Args:
        path: The trace: JSON lines if the name ends in .jsonl, else CSV with a header line.
        class_indices: Indices of request classes by name; a new name is added with the next index.
        tenant_indices: Indices of tenants by name, extended in the same way.
        scale: The factors for times and rate.

    Raises:
        MalformedTraceError: At the first malformed row.
    """
    first_us = latest_us = NO_TIME_YET
    outstanding = 0.0  # requests to send for the rows so far, minus those already sent
    for number, fields in _numbered_rows(path):
        try:
            row = _parse_row(fields, latest_us)
        except KeyError as error:
            raise MalformedTraceError(f"{path}: row {number}: column {error.args[0]} is missing") from None
        except (TypeError, ValueError) as error:
            raise MalformedTraceError(f"{path}: row {number}: {error}") from None
        first_us = row.time_us if first_us <= NO_TIME_YET else first_us
        latest_us = row.time_us
        outstanding += scale.rate
        for repetition in range(int(outstanding)):
            key = row.idempotency_key or f"t{number:x}"
            yield ScheduledRequest(
                int((row.time_us - first_us) * scale.time),
                class_indices.setdefault(row.request_class, len(class_indices)),
                tenant_indices.setdefault(row.tenant, len(tenant_indices)),
                row.body_bytes,
                f"{key}.{repetition}" if repetition else key,
            )
        outstanding -= int(outstanding)


def write_trace(file: IO[bytes], rows: Iterable[TraceRow]) -> int:
    """Writes rows as JSON lines and returns their number."""
    count = 0
    for row in rows:
        fields = dict(zip((*REQUIRED_COLUMNS, KEY), row, strict=True))
        file.write(orjson.dumps(fields, option=orjson.OPT_APPEND_NEWLINE))
        count += 1
    return count


def _numbered_rows(path: Path) -> Iterator[tuple[int, Mapping[str, Any]]]:
    return _json_rows(path) if path.suffix == ".jsonl" else _csv_rows(path)


def _csv_rows(path: Path) -> Iterator[tuple[int, Mapping[str, Any]]]:
    with path.open() as file:
        table = csv.DictReader(file)
        for column in REQUIRED_COLUMNS:
            if column not in (table.fieldnames or []):
                raise MalformedTraceError(f"{path}: row 1: column {column} is missing from the header")
        yield from ((table.line_num, row) for row in table)


def _json_rows(path: Path) -> Iterator[tuple[int, Mapping[str, Any]]]:
    with path.open("rb") as file:
        for number, line in enumerate(file, 1):
            try:
                row = orjson.loads(line)
            except orjson.JSONDecodeError as error:
                raise MalformedTraceError(f"{path}: row {number}: not valid JSON: {error}") from None
            if not isinstance(row, dict):
                raise MalformedTraceError(
                    f"{path}: row {number}: expected a JSON object, got {type(row).__name__}"
                )
            yield number, row


def _parse_row(fields: Mapping[str, Any], latest_us: int) -> TraceRow:
    """Returns the row of a trace.

    Raises:
        KeyError: If a column is missing.
        TypeError, ValueError: If a value is malformed or out of range.
    """
    time_us, body_bytes = int(fields[TIME]), int(fields[SIZE])
    request_class, tenant = fields[REQUEST_CLASS], fields[TENANT]
    if not (isinstance(request_class, str) and request_class and isinstance(tenant, str)):
        raise ValueError(
            f"profile must be a non-empty string and member a string: {request_class!r:.40}, {tenant!r:.40}"
        )
    if not 0 <= body_bytes <= MAX_BODY_BYTES:
        raise ValueError(f"size must be between 0 and {MAX_BODY_BYTES}: {body_bytes}")
    if time_us < 0:
        raise ValueError(f"time_us must not be negative: {time_us}")
    if time_us < latest_us:
        raise ValueError(f"time_us must not decrease: {time_us} after {latest_us}")
    return TraceRow(time_us, request_class, tenant, body_bytes, str(fields.get(KEY) or ""))
