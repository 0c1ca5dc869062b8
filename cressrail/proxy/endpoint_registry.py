"""The endpoints' names and addresses, small indices on one side and discovery's ids on the other."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from zlib import crc32

from cressrail.discovery.endpoint_list import EndpointEntry, EndpointListUpdate
from cressrail.policy.endpoint import EndpointUpdate


@dataclass(slots=True)
class RegisteredEndpoint:
    """How an endpoint is reached; what is decided on stands in the module's own record."""

    name: str
    host: str
    port: int
    entry: EndpointEntry
    idle: list[int] = field(default_factory=list)  # connections with nothing out, the latest used last


class EndpointRegistry:
    def __init__(self, zones: list[str]) -> None:
        self.zones = {zone: n for n, zone in enumerate(zones)}
        self.indices: dict[str, int] = {}
        self.endpoints: dict[int, RegisteredEndpoint] = {}
        self.numbers = 0

    def apply(self, news: EndpointListUpdate) -> tuple[list[EndpointUpdate], list[int], list[int]]:
        """The entries for the module, the connections to addresses that are no longer used, and those who
        have left."""
        entries, stale, left = [], [], []
        kept = [self.endpoints[self.indices[name]].entry for name in news.kept if name in self.indices]
        for row in [*news.entries, *kept]:
            ix = self.indices.get(row.name)
            if ix is None:
                if row.is_removed:  # one that is gone before it was ever named says nothing
                    continue
                ix = self.indices[row.name] = self.numbers
                self.numbers += 1
                self.endpoints[ix] = RegisteredEndpoint(row.name, row.host, row.port, row)
            at = self.endpoints[ix]
            moved = (at.host, at.port) != (row.host, row.port) and not row.is_removed
            if moved or row.is_removed or at.entry.started_us != row.started_us:
                stale += at.idle
            if moved:
                at.host, at.port = row.host, row.port
            at.entry = row
            zone = self.zones.setdefault(row.zone, len(self.zones))
            entries.append(
                EndpointUpdate(
                    ix,
                    zone,
                    row.cell,
                    row.scale,
                    row.accepts_requests,
                    row.started_us,
                    crc32(row.name.encode()),
                )
            )
            if row.is_removed:
                left.append(ix)
        if news.is_complete:
            named = {row.name for row in [*news.entries, *kept]}
            for ix, at in self.endpoints.items():
                if at.name not in named:
                    at.entry = replace(at.entry, accepts_requests=False, is_removed=True)
                    stale += at.idle
                    left.append(ix)
        return entries, stale, left

    def names(self) -> dict[int, str]:
        return {ix: at.name for ix, at in self.endpoints.items()}

    def forget(self, ix: int) -> None:
        del self.indices[self.endpoints.pop(ix).name]
