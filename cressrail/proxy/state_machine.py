"""All state of a running sidecar changes here: each call tells of one happening and returns what to do.

Clients, connections to endpoints ('links') and hops are numbers handed out by whoever opens them; the
sockets behind them belong to the tasks that carry the effects out.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from cressrail.buffers.pool import Chain
from cressrail.discovery.endpoint_list import News
from cressrail.handover import state as estate
from cressrail.handover.frame import Foreign
from cressrail.http1.answer import Answer
from cressrail.http1.figures import span_us
from cressrail.http1.request import Request
from cressrail.policy import load_balancer as brain
from cressrail.policy.load_balancer import (
    NON_IDEMPOTENT,
    RandomGenerator,
    Decision,
    Outcome,
    RequestClass,
    LoadBalancer,
    RoutedRequest,
)
from cressrail.proxy import admin as control
from cressrail.proxy import commands as do
from cressrail.proxy.commands import Effect
from cressrail.proxy.endpoint_registry import Address, Roster
from cressrail.proxy.request_counters import Tally

if TYPE_CHECKING:
    from cressrail.proxy.zone_statistics import Towards

READY_WITHOUT_NEWS_US = 500_000  # a start whose discovery is silent goes by the list it was given
STOP_LEAST_US = 600_000  # clients still come so long after a stop was asked for,
STOP_QUIET_US = 300_000  # or so long after the last one came,
STOP_MOST_US = 700_000  # but no longer than this
STOP_KILLED_US = 3_000_000  # the platform kills so long after that, or the longest hard limit if that is less
STOP_SPARE_US = 200_000  # before that all is to have its answer
AGAIN_US = 50_000  # the pause before the watch is asked for again, unless it had lasted; doubles
AGAIN_DOUBLINGS = 4
AGAIN_PART = 4  # of the time in which a drain has to be heeded: no pause is longer, else one ends unheard
LASTED_US = 2_000_000  # a watch that held for a beat of the protocol is opened again at once
FRESH_US = 1_000_000  # a client may send nothing of a request for so long before it may be closed
SILENT_US = 2_500_000  # before it is, also where there is room; services send at once on a new connection
SETTLE_US = 5_000  # an endpoint may send a second answer some milliseconds after its first
HEIR_IDLE_US = 8_000_000  # so long a client may ask once more of a process that has handed over
DRAIN_IDLE_US = 500_000  # a front has seen the no by then, so clients who are closed go elsewhere
LOOK_US = 100_000  # one that came later than so ago is sent on well within the 0.3 s in which it may be
NEVER_US = 1 << 62  # on the clock
HEALTH = b"/_health"


@dataclass(slots=True)
class Client:
    keep: bool = True
    surplus: bool = False  # beyond the room for clients: answered, not carried
    tx: RoutedRequest | None = None


@dataclass(slots=True)
class Held:
    """A transaction with what belongs to it outside the module."""

    client: int
    request: Request
    hops: dict[int, int] = field(default_factory=dict)  # the transaction's numbers to this process's
    sent: int = 0
    rejected: bool = False
    arrived_us: int = 0
    limit_us: int = 0  # the time it has once the client has sent it whole
    passed: int = 0  # the hop whose answer is being passed on; the module has done with it


@dataclass(slots=True)
class Hop:
    tx: RoutedRequest
    number: int
    endpoint: int
    link: int
    sent_us: int


@dataclass(slots=True)
class Link:
    endpoint: int
    host: str
    port: int
    started_us: int  # of the process it was made to, as listed
    settled_us: int = 0  # it may carry another hop from then on


@dataclass(slots=True)
class Room:
    """How many connections of each side may be open. They are counted here and nowhere else."""

    clients: int
    surplus: int  # clients beyond these: answered at once, not carried
    links: int


class Reducer:
    def __init__(
        self,
        sidecar: LoadBalancer,
        profiles: dict[str, RequestClass],
        members: dict[str, int],
        roster: Roster,
        room: Room,
        chance: RandomGenerator,
        now: int,
        longest_us: int,
        discovery: tuple[str, int],
        grace_us: int = AGAIN_US,
    ) -> None:
        self.sidecar = sidecar
        self.profiles = profiles
        self.members = members
        self.roster = roster
        self.room = room
        self.chance = chance
        self.born_us = now
        self.longest_us = longest_us  # that any transaction may take
        self.grace_us = grace_us  # in which a drain that was told has to be heeded
        self.clients: dict[int, Client] = {}
        self.idle_clients: dict[int, None] = {}  # the longest idle first
        self.fresh_clients: dict[int, int] = {}  # new, or amid sending a request, and since when
        self.txs: dict[RoutedRequest, Held] = {}
        self.open_ids: dict[str, int] = {}  # of the requests that wait for an answer, and whose they are
        self.hops: dict[int, Hop] = {}
        self.links: dict[int, Link] = {}
        self.idle_links: dict[int, None] = {}  # the longest idle first
        self.numbers = 0
        self.discovery = discovery
        self.revision = 0
        self.anew = True  # the whole list is asked for, as its source may count revisions otherwise
        self.heard_news = False
        self.watch_fails = 0  # in a row, with no news between them
        self.watched_us = now  # when it was last asked for
        self.listening = False
        self.elder = False  # another process serves until it is asked to hand over
        self.asked = False  # it has been
        self.heir_us = -1  # since when another process has taken over from this one
        self.foreign_ids: dict[str, int] = {}  # of requests open there, and until when at most
        self.stop_us = self.quiet_us = -1
        self.door = True  # open to new clients, but for a full house
        self.closing = False  # those who are left are answered for the last time
        self.hang_up_us = -1  # of a stop: closing, from then on
        self.end_us = -1  # of a stop, whoever has not finished by then
        self.left = False
        self.drain_us = -1  # out of service since then
        self.drained = False  # idle clients have been closed for it
        self.tally = Tally(profiles)
        self.towards: Towards | None = None  # counts by zone, where something goes by them
        self.wake_us = -1

    # The list

    def start(self, now: int, known: News, elder: bool = False) -> list[Effect]:
        self.revision, self.elder = known.revision, elder
        entries, _, _ = self.roster.heard(known)
        self.sidecar.update_endpoints(now, entries, full=True, answer=False)
        return self._out(now, [self._watch(now)])

    def news(self, now: int, news: News) -> list[Effect]:
        out: list[Effect] = [do.Note("junk", {"from": "discovery", "what": what}) for what in news.faults[:3]]
        self.watch_fails = 0
        first, self.heard_news = not self.heard_news, True
        if not news.full and not self.anew and news.revision < self.revision:
            # Guards against drains unheard where discovery has begun to count anew.
            self.anew = True
            return [
                *out,
                do.Note("list", {"revision": news.revision, "older_than": self.revision}),
                self._watch(now + AGAIN_US),
            ]  # not at once: it may go on telling such news
        self.anew = self.anew and not news.full
        self.revision = news.revision
        entries, stale, gone = self.roster.heard(news)
        if entries or news.full or first:
            self.sidecar.update_endpoints(now, entries, full=news.full)
            out.append(
                do.Note("list", {"revision": news.revision, "full": news.full, "entries": len(entries)})
            )
        out += [do.Drop(link) for link in stale if self._claim(link)]
        for ix in gone:
            self._forget(ix)
        return self._out(now, out)

    def watch_ended(self, now: int, why: str) -> list[Effect]:
        self.sidecar.on_list_failed(now)
        pause = min(
            AGAIN_US << min(self.watch_fails, AGAIN_DOUBLINGS), max(AGAIN_US, self.grace_us // AGAIN_PART)
        )
        pause = pause // 2 + self.chance.below(pause)
        if not self.watch_fails and now - self.watched_us >= LASTED_US:
            pause = 0
        self.watch_fails += 1
        return self._out(
            now, [do.Note("watch_lost", {"why": why, "again_in_us": pause}), self._watch(now + pause)]
        )

    def copies(self, now: int, all_: float, near: float) -> list[Effect]:
        """So many sidecars of this kind are up, and so many of them in the own zone."""
        self.sidecar.update_instance_count(now, all_, near)
        return self._out(now, [])

    def count_zones(self, now: int, towards: Towards | None) -> list[Effect]:
        """Hops are counted by zone from now on, or no more; then nothing decided in common holds here either.
        Guards against shares that nobody goes on to renew."""
        self.towards = towards
        return self.shares(now, (), 0.0)

    def shares(self, now: int, shares: tuple[float, ...], part: float) -> list[Effect]:
        """What part of the own zone's traffic goes to which zone, decided in common."""
        self.sidecar.apply_zone_weights(shares, part)
        return self._out(now, [])

    def heed(self, now: int, failing: list[int], cold: dict[int, tuple[float, float]]) -> list[Effect]:
        """What the other sidecars say of endpoints, by their indices here."""
        self.sidecar.apply_peer_warmup_load(cold)
        self.sidecar.apply_peer_ejections(now, failing)
        return self._out(now, [])

    def discovery_moved(self, now: int, discovery: tuple[str, int]) -> list[Effect]:
        if discovery == self.discovery:
            return []
        self.discovery, self.anew, self.watch_fails = discovery, True, 0
        return self._out(now, [self._watch(now)])

    def _watch(self, at_us: int) -> do.Watch:
        self.watched_us = at_us
        return do.Watch(-1 if self.anew else self.revision, at_us, self.discovery, self.watch_fails)

    # Clients

    def client_came(self, now: int, client: int) -> list[Effect]:
        out: list[Effect] = []
        self.quiet_us = now
        held = self.clients[client] = Client()
        over = len(self.clients) - self.room.clients
        if over > 0 and (idle := self._spare_client(now)) is not None:
            out.append(self._shut_idle(idle))
        elif over > 0:
            held.surplus = True
        self.fresh_clients[client] = now
        return self._out(now, [*out, do.Read(client)])

    def request_began(self, now: int, client: int) -> list[Effect]:
        if client not in self.fresh_clients:  # its first request is due from when it came
            self.idle_clients.pop(client, None)
            self.fresh_clients[client] = now
        return self._out(now, [])

    def request_goes_on(self, now: int, client: int) -> list[Effect]:
        """More of it has come. Guards against slow clients who make progress being taken for those who halt,
        who are closed first where places are short."""
        if self.fresh_clients.pop(client, None) is not None:
            self.fresh_clients[client] = now
        return self._out(now, [])

    def request_came(self, now: int, client: int, request: Request, arrived_us: int) -> list[Effect]:
        held = self.clients[client]
        # One that is answered before it has come whole is the last: what is left of it may never come.
        held.keep = request.keep and not request.streams
        self.fresh_clients.pop(client, None)  # it may just have been told to give its place up
        if request.path == HEALTH:
            return self._reply(now, client, 200 if self.ready(now) else 503, request.body)
        kind = request.get(b"req-kind")
        if kind is None and request.path != b"/api":
            return self._reply(now, client, 404, request.body)
        profile = self.profiles.get(kind or "")
        counted = kind if profile is not None else None
        span = request.get(b"req-deadline")
        name = request.get(b"req-id")
        if profile is None or not name:
            return self._reply(now, client, 400, request.body, counted)
        limit_us = span_us(span) if span is not None else profile.deadline_us
        elsewhere = self.foreign_ids.get(name, 0) > now
        if limit_us is None or name in self.open_ids or elsewhere:  # an id is of one request only
            return self._reply(now, client, 400, request.body, counted)
        limit_us = min(limit_us, profile.deadline_us, self._answer_all_us() - now)
        if held.surplus:
            return [
                do.Note("no_room", {"side": "clients", "open": len(self.clients)}),
                *self._reply(now, client, 503, request.body, counted),
            ]
        if profile.idempotency == brain.IDEMPOTENT_WITH_KEY and not request.get(b"idempotency-key"):
            # Guards against a repeat that nothing marks as one.
            profile = replace(profile, kind=NON_IDEMPOTENT)
        member = self.members.get(request.get(b"req-owner") or "", -1)
        left_us = -1 if request.streams else max(0, limit_us - (now - arrived_us))
        tx = self.sidecar.start_request(now, profile, member, left_us)
        held.tx = tx
        self.txs[tx] = Held(client, request, arrived_us=arrived_us, limit_us=limit_us)
        self.open_ids[name] = client
        return self._out(now, self._decided(now, tx.route(now)))

    def request_whole(self, now: int, client: int, arrived_us: int) -> list[Effect]:
        """The last byte of one that was taken before it was whole, if it still waits for its answer."""
        tx = self.clients[client].tx
        if tx is None or tx.is_finished:
            return []
        held = self.txs[tx]
        self.clients[client].keep = held.request.keep
        tx.start_clock(now, max(0, min(held.limit_us, self._answer_all_us() - now) - (now - arrived_us)))
        return self._out(now, [])

    def request_broke(self, now: int, client: int, status: int, why: str) -> list[Effect]:
        """One that was taken before it was whole, and never will be. An endpoint begins nothing that has not
        come whole, so nothing of it has run."""
        held = self.clients[client]
        tx, held.keep = held.tx, False
        out: list[Effect] = [do.Note("junk", {"from": "client", "what": why})]
        if tx is None or tx.is_finished:  # it has its answer already
            return self._out(now, out)
        kind = self.txs[tx].request.get(b"req-kind")
        self._shut_id(tx)
        held.tx = None
        out += self._decided(now, tx.on_client_disconnected())
        out += self._release(tx)
        return [*out, *self._reply(now, client, status, None, kind)]

    def request_junk(self, now: int, client: int, status: int, why: str) -> list[Effect]:
        self.clients[client].keep = False
        self.idle_clients.pop(client, None)
        self.fresh_clients.pop(client, None)
        return [do.Note("junk", {"from": "client", "what": why}), *self._reply(now, client, status, None)]

    def written(self, now: int, client: int) -> list[Effect]:
        held = self.clients[client]
        if self._last(held):
            return self._out(now, [do.Shut(client, False)])
        self.idle_clients[client] = None
        return self._out(now, [do.Read(client)])

    def client_left(self, now: int, client: int) -> list[Effect]:
        """Its connection has ended, by whichever side; the one place where it stops counting."""
        held = self.clients.pop(client)
        self.idle_clients.pop(client, None)
        self.fresh_clients.pop(client, None)
        out: list[Effect] = []
        if held.tx is not None:
            out = self._vanished(now, held.tx)
        return self._out(now, out)

    def client_went(self, now: int, client: int) -> list[Effect]:
        """It has closed its connection, which its task is still to hear of."""
        held = self.clients[client]
        tx, held.tx = held.tx, None
        return self._out(now, self._vanished(now, tx) if tx is not None else [])

    def _vanished(self, now: int, tx: RoutedRequest) -> list[Effect]:
        self._shut_id(tx)
        out = self._decided(now, tx.on_client_disconnected())
        if (hop := self.txs[tx].passed) and self.sidecar.may_cancel:
            out.append(do.CallOff(self.hops[hop].link, hop))
        return out + self._release(tx)

    # Hops

    def due_us(self, hop: int) -> int:
        """Until when a hop is waited for, once its request has come whole."""
        return self.hops[hop].tx.deadline_us

    def asker(self, now: int, hop: int) -> int:
        """The client that a hop is for, if it has waited for some time, and may have left in it; 0 if not."""
        tx = self.hops[hop].tx
        waited = not tx.is_finished and now - self.txs[tx].arrived_us >= LOOK_US
        return self.txs[tx].client if waited else 0

    def unsent(self, now: int, hop: int) -> tuple[Outcome, str] | None:
        """Asked just before a hop's first byte, the one place that no hop gets past: how it ends without it;
        nothing if it may be written. While it waited, as for a connection, much may have crossed it."""
        held = self.hops[hop]
        at, link = self.roster.addresses[held.endpoint], self.links[held.link]
        if (
            held.tx.is_finished
        ):  # answered, or its client has left: also where what runs may not be called off
            return Outcome.CANCELLED, "nobody waits for it"
        if not self.sidecar.endpoints[held.endpoint].accepts_requests or (
            at.host,
            at.port,
            at.row.started_us,
        ) != (
            link.host,
            link.port,
            link.started_us,
        ):
            return Outcome.REJECTED_BY_ENDPOINT, "drains, has left or was started anew"
        if not held.tx.may_send(held.number, now):
            return Outcome.NOT_SENT, "out of its group or its window by now"
        return None

    def hop_written(self, now: int, hop: int) -> None:
        """Its last byte has gone to its endpoint, which begins a request only then."""
        self.tally.sends += 1
        held = self.hops[hop]
        if self.txs[held.tx].request.streams:
            held.sent_us = now

    def hop_streams(self, now: int, hop: int, answer: Answer) -> list[Effect]:
        """An answer too large to keep has begun. From here on it is the client's; there is no other."""
        held = self.hops[hop]
        tx = held.tx
        if tx.is_finished:
            return [do.CallOff(held.link, hop)]
        of = self.txs[tx]
        of.passed = hop
        client = self.clients[of.client]
        if answer.length is None and not of.request.modern:
            client.keep = False  # its end is told by the end of the connection alone
        # To the module it has ended: the endpoint's work is done. Guards against places that slow readers
        # hold while endpoints have nothing to do.
        decided = tx.on_attempt_finished(held.number, now, Outcome.SUCCEEDED, now - held.sent_us, True)
        return self._out(
            now,
            [
                *self._decided(now, decided),
                do.Write(of.client, answer, self._last(client), of.request.modern),
            ],
        )

    def hop_ended(
        self,
        now: int,
        hop: int,
        how: Outcome,
        keep: bool,
        body: Chain | None = None,
        kind: bytes = b"",
        why: str = "",
        refused: bool = False,
    ) -> list[Effect]:
        """`keep`: the link it went over may carry another. `refused`: its endpoint let none come up."""
        ended = self.hops.pop(hop)
        tx = ended.tx
        held = self.txs[tx]
        out: list[Effect] = self._died(now, self.links[ended.link]) if refused else []
        if keep:
            out += self._rest(now, ended.link)
        complete = how is Outcome.SUCCEEDED and not tx.is_finished
        tx.is_body_gone = tx.is_body_gone or held.request.spent
        if held.passed == hop:  # to its end or not: there is no other answer
            held.passed = 0
            if self.open_ids.get(held.request.get(b"req-id") or "") == held.client:
                self._finish(tx, 200 if how is Outcome.SUCCEEDED else 502)
        if complete and body is not None:
            out += self._answer(tx, Answer(200, body, kind))
        elif body is not None:
            out.append(do.GiveBack(body))
        if how is not Outcome.SUCCEEDED:
            out.append(
                do.Note(
                    "hop",
                    {
                        "tx": held.request.get(b"req-id"),
                        "how": how.value,
                        "why": why,
                        "endpoint": self.roster.addresses[ended.endpoint].name,
                        "us": now - ended.sent_us,
                    },
                )
            )
        held.rejected = how is Outcome.INVALID_REQUEST
        if self.towards is not None:
            took_us = now - ended.sent_us
            # Not what the module's limits go by, which swings about the usual: what endangers the goal.
            late = body is not None and took_us > brain.LATE_MOST * tx.request_class.latency_objective_us
            self.towards.ended(tx.attempts[ended.number].zone, how, took_us, late)
        out += self._decided(
            now, tx.on_attempt_finished(ended.number, now, how, now - ended.sent_us, complete)
        )
        self._forget(ended.endpoint)
        return self._out(now, [*out, *self._release(tx)])

    def link_reset(self, now: int, link: int) -> list[Effect]:
        """Reset with nothing out on it: the process behind it has died."""
        self._claim(link)
        return self._out(now, self._died(now, self.links[link]))

    def link_left(self, link: int) -> list[Effect]:
        """A connection to an endpoint is closed; the one place where it stops counting."""
        self._claim(link)
        del self.links[link]
        return []

    def short(self, now: int) -> list[Effect]:
        """The system has no descriptor left: those that nobody needs go, the longest idle first."""
        out: list[Effect] = [
            do.Note("no_descriptors", {"clients": len(self.clients), "links": len(self.links)})
        ]
        if self.idle_links:
            oldest = next(iter(self.idle_links))
            self._claim(oldest)
            out.append(do.Drop(oldest))
        if (idle := self._spare_client(now)) is not None:
            out.append(self._shut_idle(idle))
        return self._out(now, out)

    # The operators' calls

    def control(self, now: int, method: bytes, path: bytes) -> tuple[control.Told, list[Effect]]:
        told = control.refused(method, path)
        if told is not None:
            return told, []
        if path == control.COUNTERS:
            return control.Told(200, self._figures(now)), []
        if path == control.READY:
            fit = self.can_serve(now) and self.stop_us < 0 and not self.elder
            return control.Told(200 if fit else 503, b"ready\n" if fit else b"not ready\n"), []
        if self.heir_us >= 0:  # what is told here would end with this process
            return control.Told(503, b"another process has taken over\n"), []
        if path == control.OUT:
            return control.Told(200, b"out of service\n"), self._out_of_service(now)
        return control.Told(200, b"in service\n"), self._in_service(now)

    def _figures(self, now: int) -> bytes:
        addresses = self.roster.addresses
        listed = sum(not at.row.gone for at in addresses.values())
        avoided = sum(
            not addresses[ix].row.gone for ix in self.sidecar.unavailable_endpoints(now) if ix in addresses
        )
        return self.tally.text(len(self.open_ids), listed, avoided)

    def _out_of_service(self, now: int) -> list[Effect]:
        """Those who come are still served, each answer the last on its connection; health says no."""
        if self.drain_us >= 0:
            return []
        self.drain_us = now
        return self._out(
            now, [do.Note("out_of_service", {"clients": len(self.clients), "txs": len(self.txs)})]
        )

    def _in_service(self, now: int) -> list[Effect]:
        if self.drain_us < 0:
            return []
        self.drain_us, self.drained = -1, False
        return self._out(now, [do.Note("in_service", {"clients": len(self.clients)})])

    # Two processes

    def listed(self) -> dict[str, Any]:
        return estate.listed((at.row for at in self.roster.addresses.values()), self.revision)

    def take_over(self, now: int, told: dict[str, Any] | None, clients: int, links: int) -> list[Effect]:
        """The elder process has stopped taking clients, and left this; nothing if it has gone or does not
        answer. So many clients and links are its own until `elder_left`."""
        out: list[Effect] = []
        self.elder = False
        try:
            if told is not None:
                estate.settle(told, self.sidecar, self.roster.names(), now)
                self.foreign_ids = {str(name): now + self.longest_us for name in told.get("open", [])}
                if told.get("drained") is True:
                    self.drain_us = now
                out.append(do.Note("took_over", {"open": len(self.foreign_ids), "clients": clients}))
        except Foreign as fault:
            out.append(do.Note("took_over", {"lost": str(fault)}))
        self.room.clients = max(1, self.room.clients - clients)
        self.room.links = max(1, self.room.links - links)
        return self._out(now, out)

    def elder_left(self, now: int, clients: int, links: int) -> list[Effect]:
        self.room.clients += clients
        self.room.links += links
        self.foreign_ids = {}
        return self._out(now, [])

    def hand_over(self, now: int) -> tuple[dict[str, Any], list[Effect]]:
        """Another process serves from here on. No idle client is closed for it: each answer is the last on
        its connection, so no close crosses a request, and those who ask again go there."""
        told = {
            **estate.gather(self.sidecar, self.roster.names()),
            "open": list(self.open_ids),
            "drained": self.drain_us >= 0,
        }
        self.sidecar.yield_to_successor(True)
        self.heir_us = now
        return told, self._out(
            now, [do.Note("handed_over", {"clients": len(self.clients), "txs": len(self.txs)})]
        )

    def heir_died(self, now: int) -> list[Effect]:
        """It never served, or does so no more: this process goes on, unless it was told to stop."""
        if self.heir_us < 0 or self.stop_us >= 0:
            return []
        self.heir_us = -1
        self.sidecar.yield_to_successor(False)
        return self._out(now, [do.Note("heir_died", {})])

    # Time and the end

    def woke(self, now: int) -> list[Effect]:
        out: list[Effect] = []
        if now >= self.sidecar.wake_us:
            out += self._decided(now, self.sidecar.on_timer(now))
        if now >= self._answer_all_us():
            # Guards against transactions that the platform's kill would cut off unanswered.
            for tx in [held.tx for held in self.clients.values() if held.tx is not None]:
                out += self._decided(now, tx.finish_now()) if not self.txs[tx].passed else []
        if self.heir_us >= 0 and self.stop_us < 0 and now >= self.heir_us + HEIR_IDLE_US:
            out += [self._shut_idle(client) for client in list(self.idle_clients)]
        if self.stop_us >= 0 and self.door and now >= self._close_us():
            self.door = False
            self.hang_up_us = now + self._last_us()
            out.append(do.Note("closing", {"clients": len(self.clients)}))
            if self.heir_us < 0:  # else who waits in the queue is the other's
                out.append(do.Listen(False, closed=True))
        if not self.door and not self.closing and now >= self.hang_up_us:
            # Not sooner: clients who are left may have nobody else to go to while others restart.
            self.closing = True
            self.end_us = now + self.longest_us
            out += [self._shut_idle(client) for client in list(self.idle_clients)]
        if self.drain_us >= 0 and not self.drained and now >= self.drain_us + DRAIN_IDLE_US:
            # Not sooner: until the front has seen the no, who is closed would only come again.
            self.drained = True
            out += [self._shut_idle(client) for client in list(self.idle_clients)]
        # Guards against those that say nothing, or never end a request, for as long as they like.
        most_us = SILENT_US if self._stays() else FRESH_US
        silent = [client for client, came_us in self.fresh_clients.items() if came_us + most_us <= now]
        out += [self._shut_idle(client) for client in silent]
        return self._out(now, out)

    def stop(self, now: int) -> list[Effect]:
        """Asked to end: clients still come and are answered for a while; the front learns of it late."""
        if self.stop_us >= 0:
            return []
        self.stop_us = now
        return self._out(now, [do.Note("stopping", {"clients": len(self.clients), "txs": len(self.txs)})])

    def ready(self, now: int) -> bool:
        """What the front is told: whether to deal out clients to this sidecar. Where another process has
        taken over, a stop of this one is no reason to go elsewhere."""
        return self.can_serve(now) and (self.stop_us < 0 or self.heir_us >= 0) and self.drain_us < 0

    def can_serve(self, now: int) -> bool:
        return self.heard_news or (bool(self.roster.addresses) and self._informed(now))

    def _informed(self, now: int) -> bool:
        """What discovery says at once is known, or it is silent."""
        return self.heard_news or now - self.born_us >= READY_WITHOUT_NEWS_US

    # Within

    def _died(self, now: int, link: Link) -> list[Effect]:
        """The process that a link was for is gone, unless a later one is listed by now."""
        at = self.roster.addresses.get(link.endpoint)
        if at is None or (at.host, at.port, at.row.started_us) != (link.host, link.port, link.started_us):
            return []
        known = now < self.sidecar.endpoints[link.endpoint].unavailable_until_us
        self.sidecar.on_connection_lost(now, link.endpoint)
        return [] if known else [do.Note("died", {"endpoint": at.name})]

    def _forget(self, endpoint: int) -> None:
        """All that is kept of one that has left, once no hop to it is out. Guards against a list that grows
        with every replacement."""
        at = self.roster.addresses.get(endpoint)
        # Not by hops in flight, as the module counts them: none of those is one whose request still comes.
        if at is not None and at.row.gone and all(hop.endpoint != endpoint for hop in self.hops.values()):
            self.roster.forget(endpoint)
            self.sidecar.forget_endpoint(endpoint)

    def _close_us(self) -> int:
        if self.heir_us >= 0:  # nobody comes any more
            return self.stop_us
        quiet_us = max(self.stop_us + STOP_LEAST_US, self.quiet_us + STOP_QUIET_US)
        return min(quiet_us, self.stop_us + STOP_MOST_US)

    def _answer_all_us(self) -> int:
        """Of a stop: when all that still waits gets its answer, since the platform kills soon after."""
        killed_us = STOP_MOST_US + min(self.longest_us, STOP_KILLED_US)
        return self.stop_us + killed_us - STOP_SPARE_US if self.stop_us >= 0 else NEVER_US

    def _last_us(self) -> int:
        """Of a stop, once the door is closed: so long those who are left are served; so long again what they
        ask for last may take."""
        return min(self.longest_us, STOP_KILLED_US) // 2

    def _stays(self) -> bool:
        """Neither emptied nor at its end: clients may keep their connections."""
        return self.door and self.drain_us < 0

    def _last(self, held: Client) -> bool:
        return self.closing or self.drain_us >= 0 or self.heir_us >= 0 or held.surplus or not held.keep

    def _reply(
        self, now: int, client: int, status: int, body: Chain | None, counted: str | None = None
    ) -> list[Effect]:
        """Without a transaction; `counted` is the profile that it stands under in the figures."""
        held = self.clients[client]
        if counted is not None:
            self.tally.ended(counted, status)
        out: list[Effect] = [do.GiveBack(body)] if body else []
        return self._out(now, [*out, do.Write(client, Answer(status), self._last(held))])

    def _answer(self, tx: RoutedRequest, answer: Answer) -> list[Effect]:
        self._finish(tx, answer.status)
        client = self.txs[tx].client
        return [do.Write(client, answer, self._last(self.clients[client]))]

    def _finish(self, tx: RoutedRequest, status: int) -> None:
        """Its answer is final; the one place where a transaction with a client is counted."""
        held = self.txs[tx]
        self.clients[held.client].tx = None
        self.tally.ended(held.request.get(b"req-kind") or "", status)
        self._shut_id(tx)

    def _shut_id(self, tx: RoutedRequest) -> None:
        del self.open_ids[self.txs[tx].request.get(b"req-id") or ""]

    def _decided(self, now: int, decisions: list[Decision]) -> list[Effect]:
        out: list[Effect] = []
        left = deque(decisions)
        while left:
            tx, what, which, us = left.popleft()
            held = self.txs[tx]
            if what == brain.ATTEMPT:
                self.numbers += 1
                hop, number = self.numbers, held.sent
                held.sent += 1
                link, fresh = self._link(now, which, out)
                if link < 0:  # no descriptor to be had: nothing was sent, and the endpoint is not to blame
                    left += tx.ended(number, now, Outcome.NOT_SENT, 0, False)
                    out.append(do.Note("no_room", {"side": "endpoints", "open": len(self.links)}))
                    continue
                at = self.roster.addresses[which]
                held.hops[number] = hop
                self.hops[hop] = Hop(tx, number, which, link, now)
                out.append(
                    do.Carry(
                        link,
                        fresh,
                        hop,
                        at.host,
                        at.port,
                        held.request,
                        now + us,
                        self.links[link].settled_us,
                    )
                )
            elif what == brain.CANCEL:
                hop = held.hops[which]
                if hop in self.hops:
                    out.append(do.CallOff(self.hops[hop].link, hop))
            else:
                status = 400 if held.rejected else 503 if what == brain.REJECT else 502
                out += self._answer(tx, Answer(status, come_back_us=us))
                out.append(
                    do.Note(
                        what.replace(" ", "_"),
                        {
                            "tx": held.request.get(b"req-id"),
                            "profile": held.request.get(b"req-kind"),
                            "member": held.request.get(b"req-owner"),
                            "hops": held.sent,
                            "left_us": tx.end_us - now,
                        },
                    )
                )
                out += self._release(tx)
        return out

    def _release(self, tx: RoutedRequest) -> list[Effect]:
        """Forgets a transaction that has its answer and no hop out, and gives its request's body back."""
        if tx not in self.txs or not tx.is_finished or tx.in_flight or self.txs[tx].passed:
            return []
        return [do.GiveBack(self.txs.pop(tx).request.body)]

    def _link(self, now: int, endpoint: int, out: list[Effect]) -> tuple[int, bool]:
        """The latest used of those that rest, so that others may end; of those that have settled, if any."""
        at = self.roster.addresses[endpoint]
        if at.idle:
            settled = (link for link in reversed(at.idle) if self.links[link].settled_us <= now)
            link = next(settled, at.idle[0])
            self._claim(link)
            return link, False
        if len(self.links) >= self.room.links:
            if not self.idle_links:
                return -1, False
            oldest = next(iter(self.idle_links))
            self._claim(oldest)
            out.append(do.Drop(oldest))
        self.numbers += 1
        self.links[self.numbers] = Link(endpoint, at.host, at.port, at.row.started_us)
        return self.numbers, True

    def _at(self, link: int) -> Address:
        return self.roster.addresses[self.links[link].endpoint]

    def _rest(self, now: int, link: int) -> list[Effect]:
        """Nothing is out on it any more. One whose endpoint has left or moved is not used again; others once
        they have settled. Guards against a second answer to this hop being taken for one to the next:
        nothing in an answer tells which request it is for."""
        at = self._at(link)
        self.links[link].settled_us = now + SETTLE_US
        if at.row.gone or (at.host, at.port) != (self.links[link].host, self.links[link].port):
            return [do.Drop(link)]
        at.idle.append(link)
        self.idle_links[link] = None
        return []

    def _claim(self, link: int) -> bool:
        """Takes an idle link out of those that may be used."""
        if link not in self.idle_links:
            return False
        del self.idle_links[link]
        self._at(link).idle.remove(link)
        return True

    def full(self) -> bool:
        """New clients may wait for the place of one who is closed."""
        return len(self.clients) >= self.room.clients

    def _spare_client(self, now: int) -> int | None:
        """One that may be closed. Guards against closing a new one whose request is on its way, and against
        places that are held for long by those that send slowly or have vanished amid it."""
        if self.idle_clients:
            return next(iter(self.idle_clients))
        oldest = next(iter(self.fresh_clients), None)
        return oldest if oldest is not None and self.fresh_clients[oldest] + FRESH_US <= now else None

    def _shut_idle(self, client: int) -> Effect:
        self.idle_clients.pop(client, None)
        self.fresh_clients.pop(client, None)
        return do.Shut(client, True)

    def _out(self, now: int, out: list[Effect]) -> list[Effect]:
        """What every happening may bring: an earlier time to be woken, and the end."""
        wake_us = self.sidecar.wake_us
        if self.door:
            # Guards against a listener that waits for room while clients that may be closed sit idle.
            most = self.room.clients + self.room.surplus
            # Not before the list has come, if it comes: who asks meanwhile waits in the system's queue.
            # Guards against requests sent, by a list from before the start, to what has begun to drain since.
            on = (
                not self.elder
                and self.heir_us < 0
                and self._informed(now)
                and (len(self.clients) < most or self._spare_client(now) is not None)
            )
            if on is not self.listening:
                self.listening = on
                out.append(do.Listen(on))
        if not self._informed(now):
            wake_us = min(wake_us, self.born_us + READY_WITHOUT_NEWS_US)
        if self.elder and not self.asked:
            if self.can_serve(now):
                self.asked = True
                out.append(do.TakeOver())
            else:
                wake_us = min(wake_us, self.born_us + READY_WITHOUT_NEWS_US)
        if self.stop_us >= 0:
            wake_us = min(
                wake_us, self._close_us() if self.door else self.end_us if self.closing else self.hang_up_us
            )
            if any(held.tx is not None and not self.txs[held.tx].passed for held in self.clients.values()):
                wake_us = min(wake_us, self._answer_all_us())
        if self.drain_us >= 0 and not self.drained:
            wake_us = min(wake_us, self.drain_us + DRAIN_IDLE_US)
        if self.fresh_clients:
            most_us = SILENT_US if self._stays() and self.listening else FRESH_US
            wake_us = min(wake_us, next(iter(self.fresh_clients.values())) + most_us)
        if wake_us != self.wake_us:
            self.wake_us = wake_us
            out.append(do.Wake(wake_us))
        # Guards against a stop that waits for a client who never sends the rest of a request.
        over = (self.closing and now >= self.end_us) or (not self.clients and not self.txs)
        if not self.door and over and not self.left:
            self.left = True
            out.append(do.Leave())
        return out
