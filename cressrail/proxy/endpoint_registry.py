"""The registry of endpoints, which maps discovery's ids (names) to the indices that the policy uses."""

from __future__ import annotations

from typing import NamedTuple
from zlib import crc32

from cressrail.discovery.endpoint_list import EndpointEntry, EndpointListUpdate
from cressrail.policy.endpoint import EndpointUpdate

MIN_SHARING = 2  # endpoints at one address, of which the one that started last is there


class RegisteredEndpoint:
    """An endpoint's address and idle connections.

    The data that routing decisions use is in the load balancer's `Endpoint` record.

    Attributes:
        name: The endpoint's id at discovery.
        host: Host that connections are opened to.
        port: Port that connections are opened to.
        entry: The endpoint's latest list entry; marked as removed once a complete list no longer contains it.
        idle: Ids of connections with no attempt in flight, the most recently used last; only
            `EndpointConnections` changes this list.
    """

    def __init__(self, name: str, host: str, port: int, entry: EndpointEntry) -> None:
        self.name = name
        self.host = host
        self.port = port
        self.entry = entry
        self.idle: list[int] = []


class RegistryChanges(NamedTuple):
    """The changes that an update of the endpoint list has caused.

    Attributes:
        updates: The changed endpoints, for the load balancer.
        stale_connections: Ids of the idle connections to addresses or processes that are no longer listed.
        removed: Indices of the endpoints that were removed from the list.
    """

    updates: list[EndpointUpdate]
    stale_connections: list[int]
    removed: list[int]


class EndpointRegistry:
    """Assigns an index to each listed endpoint, and keeps its address and list entry.

    Attributes:
        zones: Indices of the zones, by name.
        indices: Indices of the endpoints, by name.
        endpoints: The endpoints, by index.
    """

    def __init__(self, zones: list[str]) -> None:
        self.zones = {zone: index for index, zone in enumerate(zones)}
        self.indices: dict[str, int] = {}
        self.endpoints: dict[int, RegisteredEndpoint] = {}
        self.next_index = 0
        self._at_address: dict[tuple[str, int], list[int]] = {}  # indices of the endpoints at each address

    def apply(self, update: EndpointListUpdate) -> RegistryChanges:
        """Applies an update of the list. Endpoints whose new entry is unreadable keep their current entry."""
        changes = RegistryChanges([], [], [])
        kept = [
            self.endpoints[self.indices[name]].entry
            for name in update.unreadable_names
            if name in self.indices
        ]
        entries = [*update.entries, *kept]
        for entry in entries:
            self._apply_entry(entry, changes)
        if update.is_complete:
            self._remove_all_but({entry.name for entry in entries}, changes)
        self._supersede(entries, changes)
        return changes

    def _supersede(self, entries: list[EndpointEntry], changes: RegistryChanges) -> None:
        """Takes endpoints out of use at whose address a process has started later, under another name.

        Whatever was sent to them would reach the later one, until discovery tells that they have gone.
        """
        changed = dict.fromkeys((entry.host, entry.port) for entry in entries if not entry.is_removed)
        for address in changed:
            if len(self._at_address.get(address, ())) < MIN_SHARING:
                continue
            indices = [index for index in self._at_address[address] if self.is_listed(index)]
            latest_us = max((self.endpoints[index].entry.started_us for index in indices), default=0)
            for index in indices:
                registered = self.endpoints[index]
                if registered.entry.started_us < latest_us and registered.entry.accepts_requests:
                    registered.entry = registered.entry._replace(accepts_requests=False)
                    changes.stale_connections.extend(registered.idle)
                    changes.updates.append(self._update_of(index, registered.entry, has_left_address=True))

    def _apply_entry(self, entry: EndpointEntry, changes: RegistryChanges) -> None:
        index = self.indices.get(entry.name)
        if index is None:
            if entry.is_removed:  # removed before this process ever saw it listed
                return
            index = self._add(entry)
        registered = self.endpoints[index]
        has_moved = (registered.host, registered.port) != (entry.host, entry.port) and not entry.is_removed
        if has_moved or entry.is_removed or registered.entry.started_us != entry.started_us:
            changes.stale_connections.extend(registered.idle)
        if has_moved:
            self._leave_address(index)
            self._at_address.setdefault((entry.host, entry.port), []).append(index)
            registered.host, registered.port = entry.host, entry.port
        registered.entry = entry
        changes.updates.append(self._update_of(index, entry, has_moved or entry.is_removed))
        if entry.is_removed:
            changes.removed.append(index)

    def _update_of(self, index: int, entry: EndpointEntry, has_left_address: bool = False) -> EndpointUpdate:
        return EndpointUpdate(
            index,
            self.zones.setdefault(entry.zone, len(self.zones)),
            entry.cell,
            entry.scale,
            entry.accepts_requests,
            entry.started_us,
            crc32(entry.name.encode()),
            has_left_address,
        )

    def _add(self, entry: EndpointEntry) -> int:
        index = self.indices[entry.name] = self.next_index
        self.next_index += 1
        self.endpoints[index] = RegisteredEndpoint(entry.name, entry.host, entry.port, entry)
        self._at_address.setdefault((entry.host, entry.port), []).append(index)
        return index

    def _leave_address(self, index: int) -> None:
        address = self.endpoints[index].host, self.endpoints[index].port
        self._at_address[address].remove(index)
        if not self._at_address[address]:
            del self._at_address[address]

    def _remove_all_but(self, listed: set[str], changes: RegistryChanges) -> None:
        for index, registered in self.endpoints.items():
            if registered.name not in listed:
                was_removed = registered.entry.is_removed
                registered.entry = registered.entry._replace(accepts_requests=False, is_removed=True)
                changes.stale_connections.extend(registered.idle)
                changes.removed.append(index)
                if not was_removed:
                    changes.updates.append(self._update_of(index, registered.entry, has_left_address=True))

    def names(self) -> dict[int, str]:
        """Returns the endpoints' names, by index."""
        return {index: registered.name for index, registered in self.endpoints.items()}

    def listed_count(self) -> int:
        """Returns how many endpoints are listed now."""
        return sum(not registered.entry.is_removed for registered in self.endpoints.values())

    def is_listed(self, index: int) -> bool:
        """Returns whether an endpoint is listed now."""
        return index in self.endpoints and not self.endpoints[index].entry.is_removed

    def forget(self, index: int) -> None:
        """Drops the record of an endpoint; its index is not used again."""
        self._leave_address(index)
        del self.indices[self.endpoints.pop(index).name]
