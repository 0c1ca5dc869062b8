"""What discovery says of the endpoints: the whole list, or those that changed."""

from __future__ import annotations

from dataclasses import dataclass, field
from ipaddress import ip_address
from typing import Any

import orjson

PHASES = {"up": (True, False), "draining": (False, False), "removed": (False, True)}  # on, gone


class MalformedEndpointListError(Exception):
    """What discovery sent is no list; the one held stays."""


@dataclass(slots=True)
class EndpointEntry:
    name: str
    host: str
    port: int
    zone: str
    cell: int
    scale: float
    accepts_requests: bool
    is_removed: bool
    started_us: int


@dataclass(slots=True)
class EndpointListUpdate:
    revision: int
    is_complete: bool
    entries: list[EndpointEntry] = field(default_factory=list)
    unreadable_names: list[str] = field(
        default_factory=list
    )  # named by entries that can't be read: as they were
    errors: list[str] = field(default_factory=list)


def parse_update_line(line: bytes) -> EndpointListUpdate:
    try:
        return parse_update(orjson.loads(line))
    except orjson.JSONDecodeError as fault:
        raise MalformedEndpointListError(f"not JSON: {fault}") from None


def parse_update(told: Any) -> EndpointListUpdate:
    if not isinstance(told, dict) or not isinstance(told.get("members"), list):
        raise MalformedEndpointListError("no members")
    revision, full = told.get("revision"), told.get("complete")
    if not isinstance(revision, int) or not isinstance(full, bool):
        raise MalformedEndpointListError("no revision, or not told whether it is complete")
    news = EndpointListUpdate(revision, full)
    for entry in told["members"]:
        try:
            news.entries.append(_row(entry))
        except (KeyError, TypeError, ValueError, AttributeError) as fault:
            news.errors.append(f"{type(fault).__name__}: {fault}")
            if isinstance(entry, dict) and isinstance(entry.get("id"), str):
                news.unreadable_names.append(entry["id"])
    return news


def _row(entry: dict[str, Any]) -> EndpointEntry:
    name, address = entry["id"], entry["host_port"]
    host, _, port = address.rpartition(":")
    on, gone = PHASES[entry["phase"]]
    scale = float(entry.get("size", 1.0))
    host = str(ip_address(host.strip("[]")))  # a name would have to be looked up, which may take its time
    if not (isinstance(name, str) and name and 0 < int(port) < 65536 and 0 <= scale < 1e12):
        raise ValueError(f"entry that is none: {str(entry)[:80]}")
    return EndpointEntry(
        name,
        host,
        int(port),
        str(entry.get("locality", "")),
        int(entry.get("cell") or 0),
        scale,
        on,
        gone,
        int(entry.get("up_since_ms") or 0) * 1000,
    )
