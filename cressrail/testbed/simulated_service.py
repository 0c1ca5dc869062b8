"""One endpoint: a machine behind listeners, one for callers of each zone, so that a zone can be cut off.

It begins a request when its last byte has come, calls the next tier through its own sidecar, and answers. A
repeat of a journalled transaction that its group has seen within the window is dropped: it is answered and
runs nothing.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from cressrail.http_testing.client import CallOutcome, HttpClient, Response, now_us
from cressrail.http_testing.server import ReceivedRequest, ServerConnection
from cressrail.load.plan import Idempotency
from cressrail.testbed.event_record import EventRecord
from cressrail.testbed.processor_sharing import Job, ProcessorSharingServer, draw_work_us
from cressrail.testbed.scenario import EndpointContract, RequestClass, Tier

BACKLOG = 1024
FAULTS = ("refuse", "reset", "err", "spoil")
LAST_US = 250_000  # on top of what a call is told, as clients wait
CONNECTIONS = 512  # of an endpoint to its own sidecar


class IdempotencyKeys:
    """The idempotency keys that the endpoints of one key scope have seen.

    Attributes:
        first_seen_us: When each key was seen, the oldest first.
    """

    def __init__(self) -> None:
        self.first_seen_us: OrderedDict[str, int] = OrderedDict()

    def is_repeat(self, key: str, now_us: int, window_us: int) -> bool:
        """Returns whether the key was seen within the window; keeps it from now on if not."""
        while self.first_seen_us:
            oldest_key, oldest_us = next(iter(self.first_seen_us.items()))
            if oldest_us + window_us >= now_us:
                break
            del self.first_seen_us[oldest_key]
        if key in self.first_seen_us:
            return True
        self.first_seen_us[key] = now_us
        return False


@dataclass(eq=False)
class Work:
    """One hop as its endpoint sees it."""

    asked: ReceivedRequest
    name: str
    profile: RequestClass
    came_us: int
    limit_us: int  # when the caller's time is up
    row: dict[str, Any]
    job: Job = field(init=False)
    rest_us: float = 0.0  # of work after the call to the next tier
    calls: bool = False
    left: bool = False  # the caller has gone


class SimulatedEndpoint:
    def __init__(
        self,
        name: str,
        tier_no: int,
        tier: Tier,
        contract: EndpointContract,
        zone: str,
        cell: int,
        profiles: dict[str, RequestClass],
        journals: Callable[[SimulatedEndpoint, RequestClass], IdempotencyKeys],
        ledger: EventRecord,
        seed: int,
        hosts: dict[str, tuple[str, int]],
    ) -> None:
        """`hosts`: where callers of each zone reach it; port 0 is settled by the first `listen`."""
        self.name, self.tier_no, self.tier, self.contract = name, tier_no, tier, contract
        self.zone, self.cell, self.profiles, self.journals, self.ledger = (
            zone,
            cell,
            profiles,
            journals,
            ledger,
        )
        self.chance = random.Random(seed)
        self.hosts = hosts
        self.machine = ProcessorSharingServer(tier, contract)
        self.servers: dict[str, asyncio.Server] = {}
        self.served: dict[ServerConnection, str] = {}  # and the zone from which it came
        self.cut: set[str] = set()  # zones from which nothing comes through
        self.blocks: list[socket.socket] = []
        self.works: dict[Job, Work] = {}
        self.below: HttpClient | None = None
        self.below_name = ""
        self.draining = False
        self.faults: dict[str, float] = dict.fromkeys(FAULTS, 0.0)
        self.timer: asyncio.TimerHandle | None = None
        self.timer_us = 0
        self.calls = 0
        self.up = False

    # Up and down

    async def listen(self) -> None:
        """For callers of every zone that is not cut off and for which it does not listen already."""
        loop = asyncio.get_running_loop()
        for zone, (host, port) in self.hosts.items():
            if zone in self.servers or zone in self.cut:
                continue
            server = await loop.create_server(
                lambda zone=zone: ServerConnection(self._asked, self._left, lambda s: self._came(s, zone)),  # type: ignore[misc]
                host,
                port,
                backlog=BACKLOG,
                reuse_address=True,
            )
            self.servers[zone] = server
            self.hosts[zone] = (host, server.sockets[0].getsockname()[1])
        self.up = True

    def die(self) -> None:
        """As a process does: listeners gone, connections reset, work lost."""
        self.up = False
        for server in self.servers.values():
            server.close()
        self.servers.clear()
        for work in list(self.works.values()):
            self._over(work, "died")
        for served in list(self.served):
            served.reset()
        if self.below is not None:
            self.below.close()
            self.below = None
        self._unblock()

    async def start(self, started_us: int) -> None:
        """Again, with nothing: cold from `started_us` on."""
        self.machine = ProcessorSharingServer(self.tier, self.contract, started_us)
        self.draining = False
        await self.listen()

    def cut_from(self, zones: set[str]) -> None:
        """Nothing comes through from there: what is open stays open and silent, nothing new comes up. When it
        is back, what was open is reset."""
        for zone in zones - self.cut:
            server = self.servers.pop(zone, None)
            if server is not None:
                server.close()
                self._block(zone)
            for served, of in self.served.items():
                if of == zone:
                    served.stop_reading()
        back = self.cut - zones
        self.cut = set(zones)
        if back:
            self._unblock()
            for served, of in list(self.served.items()):
                if of in back:
                    served.reset()

    def _block(self, zone: str) -> None:
        """A listener whose queue is full, so that the system drops what would connect."""
        deaf = socket.socket()
        deaf.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.blocks.append(deaf)
        try:
            deaf.bind(self.hosts[zone])
        except OSError:
            return  # refused then, which is the next best
        deaf.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.hosts[zone])
            self.blocks.append(filler)

    def _unblock(self) -> None:
        for sock in self.blocks:
            sock.close()
        self.blocks.clear()

    # Requests

    def _came(self, served: ServerConnection, zone: str) -> None:
        self.served[served] = zone
        if zone in self.cut:
            served.stop_reading()

    def _left(self, served: ServerConnection) -> None:
        self.served.pop(served, None)
        work = served.context
        if work is not None:
            work.left = True
            work.row["left_us"] = now_us()
            if self.contract.stops_on_cancel or not work.job.has_slot:
                self._over(work, "left")

    def _asked(self, asked: ReceivedRequest) -> None:
        now = now_us()
        name, profile = asked.header(b"req-id"), self.profiles.get(asked.header(b"req-kind"))
        if profile is None or not name:
            asked.connection.respond(404 if not name else 400)
            return
        span = asked.header(b"req-deadline").rstrip("u")
        limit_us = now + (int(span) if span.isdigit() else int(profile.deadline_ms * 1000))
        key = asked.header(b"idempotency-key")
        row = {
            "endpoint": self.name,
            "tier": self.tier_no,
            "zone": self.zone,
            "cell": self.cell,
            "id": name,
            "profile": profile.name,
            "key": key,
            "came_us": now,
            "limit_us": limit_us,
            "ran": False,
            "cold": self.machine.available_share(now),
            "work_us": 0,
        }
        work = Work(asked, name, profile, now, limit_us, row)
        work.job = Job(work, 0.0)
        if self.draining or self._strikes("refuse"):
            self._decline(work)
            return
        whole = draw_work_us(self.tier.service_time, self.chance) * self.tier.work_factors.get(
            profile.name, 1.0
        )
        row["work_us"] = int(whole)
        if profile.idempotency == Idempotency.WITH_KEY and key:
            journal = self.journals(self, profile)
            if journal.is_repeat(key, now, int(profile.idempotency_window_ms * 1000)):
                row["repeat"] = True
                self._end(work, 200, "repeat")
                return
        work.calls = self.below is not None
        first = whole * self.tier.work_before_call if work.calls else whole
        work.rest_us = whole - first
        work.job = Job(work, first)
        asked.connection.context = work
        self.works[work.job] = work
        if not self.machine.offer(now, work.job):
            self._decline(work)
            return
        row["ran"] = work.job.has_slot
        self.look()

    def _strikes(self, kind: str) -> bool:
        return self.faults[kind] > 0 and self.chance.random() < self.faults[kind]

    def _decline(self, work: Work) -> None:
        work.asked.connection.respond(503, header_lines=b"Srv-Declined: 1\r\n")
        self._over(work, "turned away")

    def look(self) -> None:
        """What has computed its part goes on; then waits for the next."""
        now = now_us()
        for job in self.machine.pop_completed(now):
            work = self.works[job]
            work.row["ran"] = True
            if work.calls:
                work.calls = False
                self._call_below(work, now)
            else:
                self._answer(work)
        now = now_us()
        due = self.machine.next_completion_us(now)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if due is not None:
            self.timer = asyncio.get_running_loop().call_later((due - now) / 1e6, self.look)

    def _call_below(self, work: Work, now: int) -> None:
        self.calls += 1
        name = f"{work.name}.{self.name}-{self.calls}"
        left_us = max(1000, work.limit_us - now)
        fields = work.asked.headers
        text = (
            f"{work.asked.method.decode()} {work.asked.target.decode('latin-1')} HTTP/1.1\r\n"
            f"Host: app.svc\r\nReq-Id: {name}\r\nReq-Kind: {work.profile.name}\r\n"
            f"Req-Owner: {fields.get(b'req-owner', b'').decode('latin-1')}\r\nReq-Deadline: {left_us}u\r\n"
            + (f"Idempotency-Key: {work.row['key']}\r\n" if work.row["key"] else "")
            + (f"Content-Length: {len(work.asked.body)}\r\n" if work.asked.body else "")
            + "\r\n"
        )
        if work.asked.method != b"GET" and not work.asked.body:
            text = text[:-2] + "Content-Length: 0\r\n\r\n"
        below, at = self.below, self.below_name
        if below is None:
            self._heard(work, Response())
            return
        began = now_us()

        def heard(answer: Response) -> None:
            self.ledger.append(
                call=name,
                id=name,
                profile=work.profile.name,
                member=fields.get(b"req-owner", b"").decode("latin-1"),
                key=work.row["key"],
                target=at,
                due_us=began,
                began_us=began,
                sent_us=answer.sent_us,
                again_us=answer.resent_us,
                ended_us=answer.finished_us,
                status=answer.status,
                how=answer.outcome if self.up else "caller died",
                limit_us=left_us,
                echo=answer.body[:200].partition(b" ")[0].decode("latin-1"),
            )
            if work.job in self.works:
                self._heard(work, answer)

        # A little longer than told, so that an answer in the last moment is seen and not mistaken for none.
        below.send(text.encode("latin-1") + work.asked.body, left_us + LAST_US, heard)

    def _heard(self, work: Work, answer: Response) -> None:
        if answer.outcome == CallOutcome.ANSWERED and answer.status == 200:
            self.machine.resume(now_us(), work.job, work.rest_us)
            self.look()
        else:
            self._end(work, 500, "failed below")

    def _answer(self, work: Work) -> None:
        if self._strikes("reset"):
            work.asked.connection.reset()
            self._over(work, "reset")
        elif self._strikes("err"):
            self._end(work, 500, "error")
        elif self._strikes("spoil"):
            work.asked.connection.write(
                b"HTTP/1.1 2x0 %d\r\n\x00\x01 nothing that can be read\r\n\r\n" % len(work.name)
            )
            self._over(work, "spoilt")
        else:
            self._end(work, 200, "committed")

    def _end(self, work: Work, status: int, how: str) -> None:
        """An answer that has the request's id up front, so that a client can tell whose it is."""
        body = f"{work.name} {self.name} {how}\n".encode() if status == 200 else b""
        work.asked.connection.respond(status, body)
        self._over(work, how)

    def _over(self, work: Work, how: str) -> None:
        """The one place where a hop's work ends, slot and place given back, and its row is written."""
        now = now_us()
        self.machine.release(now, work.job)
        if self.works.pop(work.job, None) is not None and self.up:
            asyncio.get_running_loop().call_soon(self.look)  # its slot may have let another begin
        if work.asked.connection.context is work:
            work.asked.connection.context = None
        row = work.row
        row["ran"] = row["ran"] or how in ("committed", "error", "reset", "spoilt", "failed below")
        row.setdefault("left_us", now)
        late = now - max(work.limit_us, work.came_us)
        row.update(how=how, ended_us=now, late_us=max(0, late) if row["ran"] else 0)
        self.ledger.append(**row)

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.up:
            self.die()
