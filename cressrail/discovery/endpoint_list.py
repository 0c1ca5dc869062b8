"""Reads and writes the endpoint list in the JSON format of discovery's protocol.

The JSON member names of the protocol are defined in this module only.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from ipaddress import ip_address
from typing import Any, NamedTuple

import orjson

# JSON members of a list.
REVISION, IS_COMPLETE, ENTRIES = "revision", "complete", "members"
# JSON members of an entry.
NAME, ADDRESS, ZONE, CELL = "id", "host_port", "locality", "cell"
PHASE, SCALE, STARTED_MS = "phase", "size", "up_since_ms"

MAX_PORT = 65535
MAX_SCALE = 1e12
MAX_SHOWN_CHARS = 80  # part of a malformed entry that is quoted in an error message


class Phase(NamedTuple):
    """The meaning of an endpoint's phase in the protocol.

    Attributes:
        accepts_requests: Whether new requests may be sent to the endpoint.
        is_removed: Whether the endpoint has been removed from the list.
    """

    accepts_requests: bool
    is_removed: bool


PHASES = {"up": Phase(True, False), "draining": Phase(False, False), "removed": Phase(False, True)}
PHASE_NAMES = {phase: name for name, phase in PHASES.items()}


class MalformedEndpointListError(Exception):
    """Discovery sent something other than an endpoint list; the previously known list stays in use."""


class EndpointEntry(NamedTuple):
    """One endpoint of a list.

    Attributes:
        name: Identifier of the endpoint, which it keeps across restarts.
        host: IP address.
        port: TCP port.
        zone: Name of the endpoint's zone; empty if the entry names none.
        cell: Number of the group of endpoints that share state. An idempotency key with the key scope `cell`
            is valid only within one such group.
        scale: Capacity relative to the other endpoints.
        accepts_requests: Whether new requests may be sent to the endpoint.
        is_removed: Whether the endpoint has been removed from the list.
        started_us: Unix time in microseconds of the endpoint's last start; zero if unknown.
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
    """A whole list, or only the entries that have changed.

    Attributes:
        revision: Revision number of the list, which increases with each change.
        is_complete: Whether this is a whole list, so that endpoints that are not in it are removed.
        entries: The entries that could be parsed.
        unreadable_names: Names of endpoints whose entry could not be parsed; these endpoints stay unchanged.
        errors: One line for each entry that could not be parsed, with the reason.
    """

    revision: int
    is_complete: bool
    entries: Sequence[EndpointEntry] = ()
    unreadable_names: Sequence[str] = ()
    errors: Sequence[str] = ()


def parse_update_line(line: bytes) -> EndpointListUpdate:
    """Parses an update from one line of discovery's response.

    Raises:
        MalformedEndpointListError: The line is not an endpoint list in JSON.
    """
    try:
        return parse_update(orjson.loads(line))
    except orjson.JSONDecodeError as error:
        raise MalformedEndpointListError(f"endpoint list is not JSON: {error}") from None


def parse_update(value: Any) -> EndpointListUpdate:
    """Parses an update from a decoded JSON object.

    Malformed entries are skipped, and reported in the update.

    Raises:
        MalformedEndpointListError: The value is not an endpoint list.
    """
    if not isinstance(value, dict) or not isinstance(value.get(ENTRIES), list):
        raise MalformedEndpointListError(f'endpoint list is not an object with an array "{ENTRIES}"')
    revision, is_complete = value.get(REVISION), value.get(IS_COMPLETE)
    if not isinstance(revision, int) or not isinstance(is_complete, bool):
        raise MalformedEndpointListError(
            f'endpoint list needs an integer "{REVISION}" and a boolean "{IS_COMPLETE}"'
        )
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
    host = str(ip_address(host.strip("[]")))  # refuses host names, because a DNS look-up could block
    is_named = isinstance(name, str) and name
    if not (is_named and 0 < int(port) <= MAX_PORT and 0 <= scale < MAX_SCALE):
        raise ValueError(
            f"entry needs a non-empty {NAME}, a port from 1 to {MAX_PORT} and a {SCALE} from 0 to below "
            f"{MAX_SCALE:g}: {str(entry)[:MAX_SHOWN_CHARS]}"
        )
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
    """Encodes entries as a complete list in discovery's format, which `parse_update` can read."""
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
