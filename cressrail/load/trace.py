"""Traces: transactions as they were recorded, a row each, read and written a row at a time."""

from __future__ import annotations

import csv
from collections.abc import Iterator
from pathlib import Path
from typing import IO, Any

import orjson

from cressrail.load.plan import Due

FIELDS = ("time_us", "profile", "member", "size", "key")  # the key may be missing


class BadRow(Exception):
    """The text names the file, the row's number and the reason."""


def rows(path: Path) -> Iterator[tuple[int, dict[str, Any]]]:
    """(number of the row, its fields); CSV with a header line, or JSON lines where the name ends in
    .jsonl."""
    with open(path, "rb" if path.suffix == ".jsonl" else "r", newline=None) as file:
        if path.suffix != ".jsonl":
            table = csv.DictReader(file)
            missing = [f for f in FIELDS[:4] if f not in (table.fieldnames or [])]
            if missing:
                raise BadRow(f"{path}: row 1: no column {missing[0]}")
            yield from ((table.line_num, row) for row in table)
            return
        for n, line in enumerate(file, 1):
            try:
                row = orjson.loads(line)
            except orjson.JSONDecodeError as fault:
                raise BadRow(f"{path}: row {n}: not JSON: {fault}") from None
            if not isinstance(row, dict):
                raise BadRow(f"{path}: row {n}: no JSON object")
            yield n, row


def read(
    path: Path,
    profiles: dict[str, int],
    members: dict[str, int],
    time_scale: float = 1.0,
    rate_scale: float = 1.0,
) -> Iterator[Due]:
    """Transactions with their times from the first row on. Times stretch by `time_scale`; of every row
    `rate_scale` copies are sent, a fraction kept by running sum so that the same rows stay. Names that are
    not in the tables get the next index, so tables grow as names come. Raises `BadRow`."""
    first = latest = -1
    owed = 0.0
    for n, row in rows(path):
        try:
            time_us, size = int(row["time_us"]), int(row["size"])
            profile, member = row["profile"], row["member"]
            if not (isinstance(profile, str) and profile and isinstance(member, str)):
                raise ValueError("profile or member is no name")
            if not 0 <= size <= 65536:
                raise ValueError(f"size is not within 0 and 65536: {size}")
            if time_us < latest:
                raise ValueError(f"time_us goes back: {time_us} after {latest}")
        except KeyError as fault:
            raise BadRow(f"{path}: row {n}: no {fault.args[0]}") from None
        except (TypeError, ValueError) as fault:
            raise BadRow(f"{path}: row {n}: {fault}") from None
        first = time_us if first < 0 else first
        latest = time_us
        owed += rate_scale
        for copy in range(int(owed)):
            key = str(row.get("key") or f"t{n:x}")
            yield Due(
                int((time_us - first) * time_scale),
                profiles.setdefault(profile, len(profiles)),
                members.setdefault(member, len(members)),
                size,
                key if not copy else f"{key}.{copy}",
            )
        owed -= int(owed)


def write(file: IO[bytes], found: Iterator[tuple[int, str, str, int, str]]) -> int:
    """JSON lines; how many. Each row as (time_us, profile, member, size, key)."""
    n = 0
    for row in found:
        file.write(orjson.dumps(dict(zip(FIELDS, row, strict=True)), option=orjson.OPT_APPEND_NEWLINE))
        n += 1
    return n
