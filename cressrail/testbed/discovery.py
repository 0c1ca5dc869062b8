"""Simulated discovery: serves the full endpoint list, and a watch that streams one line of JSON per change.

Each sidecar has its own agent, so that faults can be injected for one sidecar alone: late updates, missing
updates, a watch that breaks off within a line, or revisions that restart. The event record lists which state
of which endpoint was sent to which sidecar, and when.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import orjson

from cressrail.http_testing.client import now_us
from cressrail.http_testing.server import ReceivedRequest, ServerConnection
from cressrail.testbed.event_record import EventRecord

KEEPALIVE_INTERVAL_S = 2.0  # between the empty lines that keep a watch alive
LIST_PATH = "/catalog/members"
FIRST_REVISION = 1
WHOLE_LIST = -1  # passed in place of a revision to get the full list instead of the changes since a revision
WATCH_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n"
KEEPALIVE_CHUNK = b"1\r\n\n\r\n"


@dataclass
class ListedEndpoint:
    """An endpoint as discovery lists it.

    Attributes:
        name: Name of the endpoint, unique in the fleet.
        addresses: Host and port at which clients reach the endpoint, by the client's zone.
        zone: Zone in which the endpoint runs.
        cell: Number of its cell, unique across all zones.
        phase: `up`, `draining` or `removed`, as in discovery's JSON.
        up_since_ms: When it started, in milliseconds of Unix time.
    """

    name: str
    addresses: dict[str, tuple[str, int]]
    zone: str
    cell: int
    phase: str = "up"
    up_since_ms: int = 0

    def as_entry(self, client_zone: str) -> dict[str, Any]:
        """Returns the endpoint's entry in discovery's JSON, with its address for clients in `client_zone`."""
        host, port = self.addresses[client_zone]
        return {
            "id": self.name,
            "host_port": f"{host}:{port}",
            "locality": self.zone,
            "flavor": "standin",
            "cell": self.cell,
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": self.up_since_ms,
        }


class DiscoveryAgent:
    """Serves the endpoint list to one sidecar.

    Attributes:
        zone: Zone of the sidecar.
        tier_index: Index of the tier whose endpoints are listed.
        delay_s: Delay before a change is announced, in seconds.
    """

    def __init__(
        self,
        sidecar: str,
        zone: str,
        tier_index: int,
        endpoints: Sequence[ListedEndpoint],
        event_record: EventRecord,
    ) -> None:
        self.zone = zone
        self.tier_index = tier_index
        self.delay_s = 0.0
        self._sidecar = sidecar
        self._event_record = event_record
        self._entries = {endpoint.name: endpoint.as_entry(zone) for endpoint in endpoints}
        self._revision = FIRST_REVISION
        # Revision of the last change, by the endpoint's name.
        self._changed_revisions = dict.fromkeys(self._entries, FIRST_REVISION)
        self._watches: dict[ServerConnection, int] = {}  # the last revision sent, by connection
        # All open connections. Nothing else refers to a connection that is not being read: without this set,
        # the garbage collector would close it.
        self._connections: set[ServerConnection] = set()
        self._is_silent = False
        self._server: asyncio.Server | None = None
        self._keepalive_timer: asyncio.TimerHandle | None = None

    async def listen(self, host: str) -> tuple[str, int]:
        """Starts serving on a free port of this host; returns the host and port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self._on_request, self._on_closed, self._connections.add), host, 0
        )
        self._keepalive_timer = loop.call_later(KEEPALIVE_INTERVAL_S, self._send_keepalive)
        address: tuple[str, int] = self._server.sockets[0].getsockname()[:2]
        return address

    def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        if self._keepalive_timer is not None:
            self._keepalive_timer.cancel()
        for connection in list(self._connections):
            connection.reset()

    def announce(self, endpoint: ListedEndpoint) -> None:
        """Announces an endpoint's current state after `delay_s`."""
        entry = endpoint.as_entry(self.zone)
        if self.delay_s:
            asyncio.get_running_loop().call_later(self.delay_s, self.apply_change, entry)
        else:
            self.apply_change(entry)

    def apply_change(self, entry: dict[str, Any]) -> None:
        """Adds or replaces an entry under a new revision and notifies all watches."""
        self._revision += 1
        self._entries[entry["id"]] = entry
        self._changed_revisions[entry["id"]] = self._revision
        self._update_watches()

    def set_silent(self, is_silent: bool) -> None:
        """Stops answering requests and watches, or resumes and sends the changes made in the meantime."""
        self._is_silent = is_silent
        if not is_silent:
            self._update_watches()

    def break_watches(self) -> None:
        """Closes the connection of each watch in the middle of a line."""
        for connection in list(self._watches):
            connection.write(b'40\r\n{"revision":%d,"complete":fal' % (self._revision + 1))
            connection.close()

    def restart_revisions(self) -> None:
        """Restarts revisions at `FIRST_REVISION`, as a restart of discovery does, and closes all watches."""
        self._revision = FIRST_REVISION
        self._changed_revisions = dict.fromkeys(self._entries, FIRST_REVISION)
        for connection in list(self._watches):
            connection.close()

    def list_line(self, after_revision: int) -> bytes:
        """Returns the entries that changed after a revision, as a line of JSON.

        For `WHOLE_LIST` and 0, the line holds all endpoints except removed ones. Records in the event record
        the state of each endpoint that the sidecar learns from the line, including the endpoints that are
        missing from a full list.
        """
        is_whole = after_revision <= 0
        entries = [
            entry
            for name, entry in self._entries.items()
            if (entry["phase"] != "removed" if is_whole else self._changed_revisions[name] > after_revision)
        ]
        announced_us = now_us()
        listed_names = {entry["id"] for entry in entries}
        absent = [entry for name, entry in self._entries.items() if is_whole and name not in listed_names]
        for entry in [*entries, *absent]:
            self._event_record.append(
                told=self._sidecar, endpoint=entry["id"], phase=entry["phase"], at_us=announced_us
            )
        update = {"revision": self._revision, "complete": is_whole, "members": entries}
        return orjson.dumps(update, option=orjson.OPT_APPEND_NEWLINE)

    def _on_request(self, request: ReceivedRequest) -> None:
        path, _, query = request.target.decode("latin-1").partition("?")
        parameters = dict(part.partition("=")[::2] for part in query.split("&"))
        connection = request.connection
        if path != LIST_PATH:
            connection.respond(404)
        elif self._is_silent:
            connection.stop_reading()
        elif "watch" not in parameters:
            connection.respond(200, self.list_line(WHOLE_LIST))
        else:
            connection.write(WATCH_HEAD)
            after = parameters.get("after", "0")
            revision = int(after) if after.isdigit() else 0
            # A revision above the current one dates from before a restart: the sidecar gets the full list.
            self._watches[connection] = WHOLE_LIST if revision > self._revision else revision
            self._update_watch(connection)

    def _on_closed(self, connection: ServerConnection) -> None:
        self._watches.pop(connection, None)
        self._connections.discard(connection)

    def _update_watches(self) -> None:
        for connection in list(self._watches):
            self._update_watch(connection)

    def _update_watch(self, connection: ServerConnection) -> None:
        sent_revision = self._watches[connection]
        if self._is_silent or sent_revision == self._revision:
            return
        line = self.list_line(sent_revision)
        self._watches[connection] = self._revision
        connection.write(b"%x\r\n%b\r\n" % (len(line), line))

    def _send_keepalive(self) -> None:
        self._keepalive_timer = asyncio.get_running_loop().call_later(
            KEEPALIVE_INTERVAL_S, self._send_keepalive
        )
        if not self._is_silent:
            for connection in self._watches:
                connection.write(KEEPALIVE_CHUNK)
