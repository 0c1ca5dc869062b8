"""Discovery as its specification words it: the whole list, and a watch with a line for each change. Each
sidecar has an agent of its own, so each can be told late, not at all, in pieces, or with revisions counted
anew; what was told to whom, and when, goes into the ledger."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

import orjson

from cressrail.http_testing.client import now_us
from cressrail.http_testing.server import ReceivedRequest, ServerConnection
from cressrail.testbed.event_record import Ledger

EMPTY_S = 2.0  # between empty lines while nothing changes


@dataclass
class Listed:
    name: str
    hosts: dict[str, tuple[str, int]]  # by the zone of the one who asks
    zone: str
    cell: int
    phase: str = "up"
    up_since_ms: int = 0

    def entry(self, zone: str) -> dict[str, Any]:
        host, port = self.hosts[zone]
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


class Agent:
    """What one sidecar asks."""

    def __init__(self, sidecar: str, zone: str, tier_no: int, listed: list[Listed], ledger: Ledger) -> None:
        self.sidecar, self.zone, self.tier_no, self.ledger = sidecar, zone, tier_no, ledger
        self.members = {m.name: m.entry(zone) for m in listed}
        self.changed = dict.fromkeys(self.members, 1)  # the revision of each one's last change
        self.revision = 1
        self.watchers: dict[ServerConnection, int] = {}  # and the revision that each has
        # All of them: one that is not read from would otherwise be owned by nobody, and closed when
        # collected.
        self.open: set[ServerConnection] = set()
        self.late_s = 0.0
        self.silent = False
        self.server: asyncio.Server | None = None
        self.beat: asyncio.TimerHandle | None = None

    async def listen(self, host: str) -> tuple[str, int]:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: ServerConnection(self._asked, self._left, self.open.add), host, 0
        )
        self.beat = loop.call_later(EMPTY_S, self._beat)
        at: tuple[str, int] = self.server.sockets[0].getsockname()[:2]
        return at

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        if self.beat is not None:
            self.beat.cancel()
        for served in list(self.open):
            served.reset()

    def change(self, listed: Listed) -> None:
        entry = listed.entry(self.zone)
        if self.late_s:
            asyncio.get_running_loop().call_later(self.late_s, self._change, entry)
        else:
            self._change(entry)

    def _change(self, entry: dict[str, Any]) -> None:
        self.revision += 1
        self.members[entry["id"]] = entry
        self.changed[entry["id"]] = self.revision
        for served in list(self.watchers):
            self._tell(served)

    def speak(self, silent: bool) -> None:
        self.silent = silent
        for served in [] if silent else list(self.watchers):
            self._tell(served)

    def tear(self) -> None:
        """Half a line, and the end."""
        for served in list(self.watchers):
            served.write(b'40\r\n{"revision":%d,"complete":fal' % (self.revision + 1))
            served.close()

    def anew(self) -> None:
        """Restarted: it counts revisions from 1 again, and watches have to be asked for anew."""
        self.revision = 1
        self.changed = dict.fromkeys(self.members, 1)
        for served in list(self.watchers):
            served.close()

    def _asked(self, asked: ReceivedRequest) -> None:
        path, _, query = asked.target.decode("latin-1").partition("?")
        words = dict(part.partition("=")[::2] for part in query.split("&"))
        if path != "/catalog/members":
            asked.connection.respond(404)
        elif self.silent:
            asked.connection.stop_reading()
        elif "watch" not in words:
            asked.connection.respond(200, self._line(-1))
        else:
            asked.connection.write(
                b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n"
            )
            after = words.get("after", "0")
            self.watchers[asked.connection] = int(after) if after.isdigit() else 0
            if self.watchers[asked.connection] > self.revision:
                self.watchers[asked.connection] = -1  # of another count: it is told the whole
            self._tell(asked.connection)

    def _left(self, served: ServerConnection) -> None:
        self.watchers.pop(served, None)
        self.open.discard(served)

    def _tell(self, served: ServerConnection) -> None:
        after = self.watchers[served]
        if self.silent or after == self.revision:
            return
        line = self._line(after)
        self.watchers[served] = self.revision
        served.write(b"%x\r\n%b\r\n" % (len(line), line))

    def _line(self, after: int) -> bytes:
        """What changed after that revision; the whole list, without those that have gone, for -1 and 0."""
        full = after <= 0
        entries = [
            m
            for name, m in self.members.items()
            if (m["phase"] != "removed" if full else self.changed[name] > after)
        ]
        now = now_us()
        named = {m["id"] for m in entries}
        gone = [m for name, m in self.members.items() if full and name not in named]
        for m in [*entries, *gone]:
            self.ledger.note(told=self.sidecar, endpoint=m["id"], phase=m["phase"], at_us=now)
        return orjson.dumps({"revision": self.revision, "complete": full, "members": entries}) + b"\n"

    def _beat(self) -> None:
        self.beat = asyncio.get_running_loop().call_later(EMPTY_S, self._beat)
        for served in [] if self.silent else self.watchers:
            served.write(b"1\r\n\n\r\n")
