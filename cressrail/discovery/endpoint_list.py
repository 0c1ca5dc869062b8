"""Reads and writes the endpoint list in the form of discovery's protocol.

The names of the protocol's members stand in this module alone.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from ipaddress import ip_address
from typing import Any, NamedTuple

import orjson

# Members of a list.
REVISION, IS_COMPLETE, ENTRIES = "revision", "complete", "members"
# Members of an entry.
NAME, ADDRESS, ZONE, CELL = "id", "host_port", "locality", "cell"
PHASE, SCALE, STARTED_MS = "phase", "size", "up_since_ms"

MAX_PORT = 65535
MAX_SCALE = 1e12
MAX_SHOWN_CHARS = 80  # of an entry that can't be read, in a message


class Phase(NamedTuple):
    """What a phase of the protocol means.

    Attributes:
        accepts_requests: New requests may be sent to the endpoint.
        is_removed: The endpoint is no longer in the list.
    """

    accepts_requests: bool
    is_removed: bool


PHASES = {"up": Phase(True, False), "draining": Phase(False, False), "removed": Phase(False, True)}
PHASE_NAMES = {phase: name for name, phase in PHASES.items()}


class MalformedEndpointListError(Exception):
    """What discovery sent is no list; the list known before stays in force."""


class EndpointEntry(NamedTuple):
    """One endpoint of a list.

    Attributes:
        name: Identifies the endpoint, also after a restart.
        host: IP address.
        port: TCP port.
        zone: Name of its zone; empty where none is named.
        cell: Group of endpoints that share their state, for requests whose key holds in one cell.
        scale: Capacity relative to the other endpoints.
        accepts_requests: New requests may be sent to it.
        is_removed: It is no longer in the list.
        started_us: Unix time of its last start; zero where it is not known.
    """

    name: str
    host: str
    port: int
    zone: str
    cell: int
    scale: float
    accepts_requests: bool
    is_removed: bool
    started_us: int


class EndpointListUpdate(NamedTuple):
    """A whole list, or the entries that have changed.

    Attributes:
        revision: Number of the list; grows with each change.
        is_complete: Endpoints that it does not name are removed.
        entries: Those that could be read.
        unreadable_names: Endpoints whose entry can't be read: they stay as they were.
        errors: What was wrong with entries, one line each.
    """

    revision: int
    is_complete: bool
    entries: Sequence[EndpointEntry] = ()
    unreadable_names: Sequence[str] = ()
    errors: Sequence[str] = ()


def parse_update_line(line: bytes) -> EndpointListUpdate:
    """Returns the update in one line of discovery's answer.

    Raises:
        MalformedEndpointListError: The line holds no list.
    """
    try:
        return parse_update(orjson.loads(line))
    except orjson.JSONDecodeError as error:
        raise MalformedEndpointListError(f"not JSON: {error}") from None


def parse_update(value: Any) -> EndpointListUpdate:
    """Returns the update in a JSON object; entries that can't be read are named in it and passed over.

    Raises:
        MalformedEndpointListError: The value is no list.
    """
    if not isinstance(value, dict) or not isinstance(value.get(ENTRIES), list):
        raise MalformedEndpointListError("no members")
    revision, is_complete = value.get(REVISION), value.get(IS_COMPLETE)
    if not isinstance(revision, int) or not isinstance(is_complete, bool):
        raise MalformedEndpointListError("no revision, or not told whether it is complete")
    entries: list[EndpointEntry] = []
    unreadable_names: list[str] = []
    errors: list[str] = []
    for entry in value[ENTRIES]:
        try:
            entries.append(_parse_entry(entry))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            errors.append(f"{type(error).__name__}: {error}")
            if isinstance(entry, dict) and isinstance(entry.get(NAME), str):
                unreadable_names.append(entry[NAME])
    return EndpointListUpdate(revision, is_complete, entries, unreadable_names, errors)


def _parse_entry(entry: dict[str, Any]) -> EndpointEntry:
    name, address = entry[NAME], entry[ADDRESS]
    host, _, port = address.rpartition(":")
    phase = PHASES[entry[PHASE]]
    scale = float(entry.get(SCALE, 1.0))
    host = str(ip_address(host.strip("[]")))  # a host name is refused: a look-up could block
    is_named = isinstance(name, str) and name
    if not (is_named and 0 < int(port) <= MAX_PORT and 0 <= scale < MAX_SCALE):
        raise ValueError(f"entry that is none: {str(entry)[:MAX_SHOWN_CHARS]}")
    return EndpointEntry(
        name=name,
        host=host,
        port=int(port),
        zone=str(entry.get(ZONE, "")),
        cell=int(entry.get(CELL) or 0),
        scale=scale,
        accepts_requests=phase.accepts_requests,
        is_removed=phase.is_removed,
        started_us=int(entry.get(STARTED_MS) or 0) * 1000,
    )


def encode_endpoint_list(entries: Iterable[EndpointEntry], revision: int) -> dict[str, Any]:
    """Returns a complete list in the form of discovery, which `parse_update` reads and checks."""
    return {
        REVISION: revision,
        IS_COMPLETE: True,
        ENTRIES: [_encode_entry(entry) for entry in entries if not entry.is_removed],
    }


def _encode_entry(entry: EndpointEntry) -> dict[str, Any]:
    host = f"[{entry.host}]" if ":" in entry.host else entry.host
    return {
        NAME: entry.name,
        ADDRESS: f"{host}:{entry.port}",
        ZONE: entry.zone,
        CELL: entry.cell,
        PHASE: PHASE_NAMES[Phase(entry.accepts_requests, False)],
        SCALE: entry.scale,
        STARTED_MS: entry.started_us // 1000,
    }
