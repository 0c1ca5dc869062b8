"""The endpoints' names and addresses, small indices on one side and discovery's ids on the other."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from zlib import crc32

from cressrail.discovery.endpoint_list import News, Row
from cressrail.policy.load_balancer import EndpointUpdate


@dataclass(slots=True)
class Address:
    """How an endpoint is reached; what is decided on stands in the module's own record."""

    name: str
    host: str
    port: int
    row: Row
    idle: list[int] = field(default_factory=list)  # connections with nothing out, the latest used last


class Roster:
    def __init__(self, zones: list[str]) -> None:
        self.zones = {zone: n for n, zone in enumerate(zones)}
        self.indices: dict[str, int] = {}
        self.addresses: dict[int, Address] = {}
        self.numbers = 0

    def heard(self, news: News) -> tuple[list[EndpointUpdate], list[int], list[int]]:
        """The entries for the module, the connections to addresses that are no longer used, and those who
        have left."""
        entries, stale, left = [], [], []
        kept = [self.addresses[self.indices[name]].row for name in news.kept if name in self.indices]
        for row in [*news.rows, *kept]:
            ix = self.indices.get(row.name)
            if ix is None:
                if row.gone:  # one that is gone before it was ever named says nothing
                    continue
                ix = self.indices[row.name] = self.numbers
                self.numbers += 1
                self.addresses[ix] = Address(row.name, row.host, row.port, row)
            at = self.addresses[ix]
            moved = (at.host, at.port) != (row.host, row.port) and not row.gone
            if moved or row.gone or at.row.started_us != row.started_us:
                stale += at.idle
            if moved:
                at.host, at.port = row.host, row.port
            at.row = row
            zone = self.zones.setdefault(row.zone, len(self.zones))
            entries.append((ix, zone, row.cell, row.scale, row.on, row.started_us, crc32(row.name.encode())))
            if row.gone:
                left.append(ix)
        if news.full:
            named = {row.name for row in [*news.rows, *kept]}
            for ix, at in self.addresses.items():
                if at.name not in named:
                    at.row = replace(at.row, on=False, gone=True)
                    stale += at.idle
                    left.append(ix)
        return entries, stale, left

    def names(self) -> dict[int, str]:
        return {ix: at.name for ix, at in self.addresses.items()}

    def forget(self, ix: int) -> None:
        del self.indices[self.addresses.pop(ix).name]
