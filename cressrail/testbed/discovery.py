"""Simulated discovery: the whole endpoint list, and a watch with a line for each change, as specified.

Each sidecar has an agent of its own, so each can be told late, not at all, in pieces, or with revisions
counted anew. What was told to whom, and when, goes into the event record.
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

KEEPALIVE_INTERVAL_S = 2.0  # between empty lines while nothing changes
LIST_PATH = "/catalog/members"
FIRST_REVISION = 1
WHOLE_LIST = -1  # in place of a revision, the whole list and not the changes since
WATCH_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n"
KEEPALIVE_CHUNK = b"1\r\n\n\r\n"


@dataclass
class ListedEndpoint:
    """An endpoint as discovery lists it.

    Attributes:
        name: Unique.
        addresses: Host and port by the zone of the client that asks.
        zone: Where it runs.
        cell: Within the zone.
        phase: `up`, `draining` or `removed`, in discovery's words.
        up_since_ms: When it started, Unix time.
    """

    name: str
    addresses: dict[str, tuple[str, int]]
    zone: str
    cell: int
    phase: str = "up"
    up_since_ms: int = 0

    def as_entry(self, client_zone: str) -> dict[str, Any]:
        """By the keys of discovery's JSON, for clients of a zone."""
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
    """Discovery as one sidecar sees it.

    Attributes:
        zone: Of the sidecar.
        tier_index: Of the endpoints that are listed.
        delay_s: By which changes are announced late.
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
        self._changed_in = dict.fromkeys(self._entries, FIRST_REVISION)  # the revision, by endpoint
        self._watches: dict[ServerConnection, int] = {}  # and the revision that each has been told
        # All connections: one that is not read would otherwise have no owner, and be closed when collected.
        self._connections: set[ServerConnection] = set()
        self._is_silent = False
        self._server: asyncio.Server | None = None
        self._keepalive_timer: asyncio.TimerHandle | None = None

    async def listen(self, host: str) -> tuple[str, int]:
        """Serves on a free port of this host; returns the address."""
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
        """Announces an endpoint's present state, after the delay."""
        entry = endpoint.as_entry(self.zone)
        if self.delay_s:
            asyncio.get_running_loop().call_later(self.delay_s, self.apply_change, entry)
        else:
            self.apply_change(entry)

    def apply_change(self, entry: dict[str, Any]) -> None:
        """Lists an entry under a new revision and tells all watches."""
        self._revision += 1
        self._entries[entry["id"]] = entry
        self._changed_in[entry["id"]] = self._revision
        self._update_watches()

    def set_silent(self, is_silent: bool) -> None:
        """Answers nothing from now on; or answers again, and tells what changed meanwhile."""
        self._is_silent = is_silent
        if not is_silent:
            self._update_watches()

    def break_watches(self) -> None:
        """Ends each watch in the middle of a line."""
        for connection in list(self._watches):
            connection.write(b'40\r\n{"revision":%d,"complete":fal' % (self._revision + 1))
            connection.close()

    def restart_revisions(self) -> None:
        """Counts revisions from the first one again, as after a restart; all watches end."""
        self._revision = FIRST_REVISION
        self._changed_in = dict.fromkeys(self._entries, FIRST_REVISION)
        for connection in list(self._watches):
            connection.close()

    def list_line(self, after_revision: int) -> bytes:
        """What changed after a revision, as JSON; for `WHOLE_LIST` and 0 all endpoints but removed ones.

        Notes in the event record what the sidecar learns by it, of absent endpoints too.
        """
        is_whole = after_revision <= 0
        entries = [
            entry
            for name, entry in self._entries.items()
            if (entry["phase"] != "removed" if is_whole else self._changed_in[name] > after_revision)
        ]
        told_us = now_us()
        listed_names = {entry["id"] for entry in entries}
        absent = [entry for name, entry in self._entries.items() if is_whole and name not in listed_names]
        for entry in [*entries, *absent]:
            self._event_record.append(
                told=self._sidecar, endpoint=entry["id"], phase=entry["phase"], at_us=told_us
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
            # A revision of another count: the sidecar is told the whole list.
            self._watches[connection] = WHOLE_LIST if revision > self._revision else revision
            self._update_watch(connection)

    def _on_closed(self, connection: ServerConnection) -> None:
        self._watches.pop(connection, None)
        self._connections.discard(connection)

    def _update_watches(self) -> None:
        for connection in list(self._watches):
            self._update_watch(connection)

    def _update_watch(self, connection: ServerConnection) -> None:
        told_revision = self._watches[connection]
        if self._is_silent or told_revision == self._revision:
            return
        line = self.list_line(told_revision)
        self._watches[connection] = self._revision
        connection.write(b"%x\r\n%b\r\n" % (len(line), line))

    def _send_keepalive(self) -> None:
        self._keepalive_timer = asyncio.get_running_loop().call_later(
            KEEPALIVE_INTERVAL_S, self._send_keepalive
        )
        if not self._is_silent:
            for connection in self._watches:
                connection.write(KEEPALIVE_CHUNK)
