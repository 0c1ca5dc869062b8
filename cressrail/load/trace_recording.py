"""Converts the attempt log of a load run, or a sidecar's log, into a trace."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import orjson

from cressrail.load.attempt_id import is_first_attempt
from cressrail.load.trace import MalformedTraceError, TraceRow
from cressrail.logs import events

# Log events of requests that end without an endpoint's response, and their names in earlier versions.
END_EVENTS = (events.REQUEST_REJECTED, events.REQUEST_FAILED)
OLD_END_EVENTS = (events.OLD_REQUEST_REJECTED, events.OLD_REQUEST_FAILED)


def read_recorded_requests(path: Path, default_body_bytes: int = 0) -> Iterator[TraceRow]:
    """Yields the requests of a run or a log as rows of a trace, ordered by time from the first request.

    A sidecar's log contains neither body sizes nor idempotency keys, and only requests that were rejected or
    failed.

    Args:
        path: The attempt log that `--ledger` writes, or a sidecar's log; both are JSON lines.
        default_body_bytes: The body size of requests for which the source has none.

    Raises:
        MalformedTraceError: At the first malformed line.
    """
    rows: list[TraceRow] = []
    with path.open("rb") as file:
        for number, line in enumerate(file, 1):
            try:
                row = _parse_line(orjson.loads(line), default_body_bytes)
            except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
                raise MalformedTraceError(f"{path}: row {number}: {type(error).__name__}: {error}") from None
            if row is not None:
                rows.append(row)
    rows.sort()
    start_us = rows[0].time_us if rows else 0
    yield from (row._replace(time_us=row.time_us - start_us) for row in rows)


def _parse_line(fields: Mapping[str, Any], default_body_bytes: int) -> TraceRow | None:
    if "event" in fields:
        return _parse_log_event(fields, default_body_bytes)
    return _parse_attempt(fields, default_body_bytes)


def _parse_attempt(fields: Mapping[str, Any], default_body_bytes: int) -> TraceRow | None:
    # A replay of the trace generates its own retries, so only first attempts are included.
    if not is_first_attempt(str(fields["id"])):
        return None
    return TraceRow(
        int(str(fields["due_us"])),
        str(fields["profile"]),
        str(fields["member"]),
        int(str(fields.get("size", default_body_bytes))),
        str(fields.get("key", "")),
    )


def _parse_log_event(fields: Mapping[str, Any], default_body_bytes: int) -> TraceRow | None:
    if fields["event"] in END_EVENTS:
        request_class, tenant = fields["request_class"], fields["tenant"]
    elif fields["event"] in OLD_END_EVENTS:
        request_class, tenant = fields["profile"], fields["member"]
    else:
        return None
    return TraceRow(int(str(fields["at_us"])), str(request_class), str(tenant or ""), default_body_bytes, "")
