"""Traces from what is there already: a run's ledger, or a sidecar's log."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import orjson

from cressrail.load.trace import BadRow
from cressrail.proxy import events

Row = tuple[int, str, str, int, str]
# Events of an instance's log that end a request without an answer of an endpoint, and those of earlier
# versions.
ENDED = (events.REQUEST_REJECTED, events.REQUEST_FAILED)
OLD_ENDED = (events.OLD_REQUEST_REJECTED, events.OLD_REQUEST_FAILED)


def recorded(path: Path, size: int = 0) -> Iterator[Row]:
    """Rows of a trace, in order of time. A log tells neither sizes nor keys, and nothing of committed
    transactions; what it lacks is `size`. Raises `BadRow`."""
    found: list[Row] = []
    with open(path, "rb") as file:
        for n, line in enumerate(file, 1):
            try:
                said = orjson.loads(line)
                row = _row(said, size)
            except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as fault:
                raise BadRow(f"{path}: row {n}: {type(fault).__name__}: {fault}") from None
            if row is not None:
                found.append(row)
    found.sort()
    first = found[0][0] if found else 0
    yield from ((at - first, *rest) for at, *rest in found)  # type: ignore[misc]


def _row(said: dict[str, object], size: int) -> Row | None:
    # of a ledger, a try a row; a client's repeats are its own affair and are drawn anew
    if "event" not in said:
        if not str(said["id"]).endswith("-1"):
            return None
        return (
            int(str(said["due_us"])),
            str(said["profile"]),
            str(said["member"]),
            int(str(said.get("size", size))),
            str(said.get("key", "")),
        )
    if said["event"] in ENDED:
        request_class, tenant = said["request_class"], said["tenant"]
    elif said["event"] in OLD_ENDED:
        request_class, tenant = said["profile"], said["member"]
    else:
        return None
    return int(str(said["at_us"])), str(request_class), str(tenant or ""), size, ""
