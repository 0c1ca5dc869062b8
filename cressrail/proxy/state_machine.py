"""All state of a running sidecar changes here: each call tells of one happening and returns what to do.

Clients, connections to endpoints ('links') and hops are numbers handed out by whoever opens them; the
sockets behind them belong to the tasks that carry the effects out.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from cressrail.buffers.pool import Chain
from cressrail.discovery.endpoint_list import EndpointListUpdate
from cressrail.handover import state as estate
from cressrail.handover.frame import HandoverError
from cressrail.http1.answer import Response
from cressrail.http1.figures import span_us
from cressrail.http1.request import Request
from cressrail.policy.concurrency_limit import MAX_THRESHOLD
from cressrail.policy.decision import CancelAttempt, Decision, RejectRequest, StartAttempt
from cressrail.policy.load_balancer import LoadBalancer
from cressrail.policy.outcome import Outcome
from cressrail.policy.random_generator import RandomGenerator
from cressrail.policy.request_class import Idempotency, RequestClass
from cressrail.policy.routed_request import RoutedRequest
from cressrail.proxy import admin as control
from cressrail.proxy import commands as do
from cressrail.proxy.commands import Command
from cressrail.proxy.endpoint_registry import EndpointRegistry, RegisteredEndpoint
from cressrail.proxy.request_counters import RequestCounters

if TYPE_CHECKING:
    from cressrail.proxy.zone_statistics import ZoneStatistics

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
    keep_alive: bool = True
    is_over_limit: bool = False  # beyond the room for clients: answered, not carried
    request: RoutedRequest | None = None


@dataclass(slots=True)
class PendingRequest:
    """A transaction with what belongs to it outside the module."""

    client: int
    request: Request
    attempts: dict[int, int] = field(default_factory=dict)  # the transaction's numbers to this process's
    attempt_count: int = 0
    is_invalid: bool = False
    arrived_us: int = 0
    time_limit_us: int = 0  # the time it has once the client has sent it whole
    streaming_attempt: int = 0  # the hop whose answer is being passed on; the module has done with it


@dataclass(slots=True)
class Attempt:
    request: RoutedRequest
    number: int
    endpoint: int
    connection: int
    sent_us: int


@dataclass(slots=True)
class EndpointConnection:
    endpoint: int
    host: str
    port: int
    started_us: int  # of the process it was made to, as listed
    settled_us: int = 0  # it may carry another hop from then on


@dataclass(slots=True)
class ConnectionLimits:
    """How many connections of each side may be open. They are counted here and nowhere else."""

    clients: int
    extra_clients: int  # clients beyond these: answered at once, not carried
    endpoint_connections: int


class StateMachine:
    def __init__(
        self,
        load_balancer: LoadBalancer,
        request_classes: dict[str, RequestClass],
        tenants: dict[str, int],
        registry: EndpointRegistry,
        limits: ConnectionLimits,
        rng: RandomGenerator,
        now: int,
        max_deadline_us: int,
        discovery: tuple[str, int],
        grace_us: int = AGAIN_US,
    ) -> None:
        self.load_balancer = load_balancer
        self.request_classes = request_classes
        self.tenants = tenants
        self.registry = registry
        self.limits = limits
        self.rng = rng
        self.born_us = now
        self.max_deadline_us = max_deadline_us  # that any transaction may take
        self.grace_us = grace_us  # in which a drain that was told has to be heeded
        self.clients: dict[int, Client] = {}
        self.idle_clients: dict[int, None] = {}  # the longest idle first
        self.fresh_clients: dict[int, int] = {}  # new, or amid sending a request, and since when
        self.pending_requests: dict[RoutedRequest, PendingRequest] = {}
        self.open_request_ids: dict[
            str, int
        ] = {}  # of the requests that wait for an answer, and whose they are
        self.attempts: dict[int, Attempt] = {}
        self.connections: dict[int, EndpointConnection] = {}
        self.idle_connections: dict[int, None] = {}  # the longest idle first
        self.numbers = 0
        self.discovery = discovery
        self.revision = 0
        self.anew = True  # the whole list is asked for, as its source may count revisions otherwise
        self.has_endpoint_list = False
        self.watch_failures = 0  # in a row, with no news between them
        self.watched_us = now  # when it was last asked for
        self.listening = False
        self.has_predecessor = False  # another process serves until it is asked to hand over
        self.asked = False  # it has been
        self.handed_over_us = -1  # since when another process has taken over from this one
        self.predecessor_request_ids: dict[str, int] = {}  # of requests open there, and until when at most
        self.stop_us = self.quiet_us = -1
        self.door = True  # open to new clients, but for a full house
        self.closing = False  # those who are left are answered for the last time
        self.hang_up_us = -1  # of a stop: closing, from then on
        self.end_us = -1  # of a stop, whoever has not finished by then
        self.left = False
        self.drain_us = -1  # out of service since then
        self.drained = False  # idle clients have been closed for it
        self.counters = RequestCounters(request_classes)
        self.zone_statistics: ZoneStatistics | None = None  # counts by zone, where something goes by them
        self.wake_us = -1

    # The list

    def start(self, now: int, known: EndpointListUpdate, elder: bool = False) -> list[Command]:
        self.revision, self.has_predecessor = known.revision, elder
        entries, _, _ = self.registry.apply(known)
        self.load_balancer.update_endpoints(now, entries, is_complete=True, is_poll_answer=False)
        return self._out(now, [self._watch(now)])

    def on_endpoint_list(self, now: int, news: EndpointListUpdate) -> list[Command]:
        out: list[Command] = [
            do.LogEvent("junk", {"from": "discovery", "what": what}) for what in news.faults[:3]
        ]
        self.watch_failures = 0
        first, self.has_endpoint_list = not self.has_endpoint_list, True
        if not news.is_complete and not self.anew and news.revision < self.revision:
            # Guards against drains unheard where discovery has begun to count anew.
            self.anew = True
            return [
                *out,
                do.LogEvent("list", {"revision": news.revision, "older_than": self.revision}),
                self._watch(now + AGAIN_US),
            ]  # not at once: it may go on telling such news
        self.anew = self.anew and not news.is_complete
        self.revision = news.revision
        entries, stale, gone = self.registry.apply(news)
        if entries or news.is_complete or first:
            self.load_balancer.update_endpoints(now, entries, is_complete=news.is_complete)
            out.append(
                do.LogEvent(
                    "list", {"revision": news.revision, "full": news.is_complete, "entries": len(entries)}
                )
            )
        out += [do.CloseEndpointConnection(link) for link in stale if self._claim(link)]
        for ix in gone:
            self._forget(ix)
        return self._out(now, out)

    def on_watch_ended(self, now: int, why: str) -> list[Command]:
        self.load_balancer.on_list_failed(now)
        pause = min(
            AGAIN_US << min(self.watch_failures, AGAIN_DOUBLINGS), max(AGAIN_US, self.grace_us // AGAIN_PART)
        )
        pause = pause // 2 + self.rng.below(pause)
        if not self.watch_failures and now - self.watched_us >= LASTED_US:
            pause = 0
        self.watch_failures += 1
        return self._out(
            now, [do.LogEvent("watch_lost", {"why": why, "again_in_us": pause}), self._watch(now + pause)]
        )

    def on_instance_count(self, now: int, all_: float, near: float) -> list[Command]:
        """So many sidecars of this kind are up, and so many of them in the own zone."""
        self.load_balancer.update_instance_count(now, all_, near)
        return self._out(now, [])

    def set_zone_statistics(self, now: int, towards: ZoneStatistics | None) -> list[Command]:
        """Hops are counted by zone from now on, or no more; then nothing decided in common holds here either.
        Guards against shares that nobody goes on to renew."""
        self.zone_statistics = towards
        return self.on_zone_weights(now, (), 0.0)

    def on_zone_weights(self, now: int, shares: tuple[float, ...], part: float) -> list[Command]:
        """What part of the own zone's traffic goes to which zone, decided in common."""
        self.load_balancer.apply_zone_weights(shares, part)
        return self._out(now, [])

    def on_peer_reports(
        self, now: int, failing: list[int], cold: dict[int, tuple[float, float]]
    ) -> list[Command]:
        """What the other sidecars say of endpoints, by their indices here."""
        self.load_balancer.apply_peer_warmup_load(cold)
        self.load_balancer.apply_peer_ejections(now, failing)
        return self._out(now, [])

    def on_discovery_address(self, now: int, discovery: tuple[str, int]) -> list[Command]:
        if discovery == self.discovery:
            return []
        self.discovery, self.anew, self.watch_failures = discovery, True, 0
        return self._out(now, [self._watch(now)])

    def _watch(self, at_us: int) -> do.WatchEndpoints:
        self.watched_us = at_us
        return do.WatchEndpoints(
            -1 if self.anew else self.revision, at_us, self.discovery, self.watch_failures
        )

    # Clients

    def on_client_connected(self, now: int, client: int) -> list[Command]:
        out: list[Command] = []
        self.quiet_us = now
        held = self.clients[client] = Client()
        over = len(self.clients) - self.limits.clients
        if over > 0 and (idle := self._spare_client(now)) is not None:
            out.append(self._shut_idle(idle))
        elif over > 0:
            held.is_over_limit = True
        self.fresh_clients[client] = now
        return self._out(now, [*out, do.ReadRequest(client)])

    def on_request_started(self, now: int, client: int) -> list[Command]:
        if client not in self.fresh_clients:  # its first request is due from when it came
            self.idle_clients.pop(client, None)
            self.fresh_clients[client] = now
        return self._out(now, [])

    def on_request_progress(self, now: int, client: int) -> list[Command]:
        """More of it has come. Guards against slow clients who make progress being taken for those who halt,
        who are closed first where places are short."""
        if self.fresh_clients.pop(client, None) is not None:
            self.fresh_clients[client] = now
        return self._out(now, [])

    def on_request(self, now: int, client: int, request: Request, arrived_us: int) -> list[Command]:
        held = self.clients[client]
        # One that is answered before it has come whole is the last: what is left of it may never come.
        held.keep_alive = request.keep and not request.streams
        self.fresh_clients.pop(client, None)  # it may just have been told to give its place up
        if request.path == HEALTH:
            return self._reply(now, client, 200 if self.is_ready(now) else 503, request.body)
        kind = request.get(b"req-kind")
        if kind is None and request.path != b"/api":
            return self._reply(now, client, 404, request.body)
        profile = self.request_classes.get(kind or "")
        counted = kind if profile is not None else None
        span = request.get(b"req-deadline")
        name = request.get(b"req-id")
        if profile is None or not name:
            return self._reply(now, client, 400, request.body, counted)
        limit_us = span_us(span) if span is not None else profile.deadline_us
        elsewhere = self.predecessor_request_ids.get(name, 0) > now
        if limit_us is None or name in self.open_request_ids or elsewhere:  # an id is of one request only
            return self._reply(now, client, 400, request.body, counted)
        limit_us = min(limit_us, profile.deadline_us, self._answer_all_us() - now)
        if held.is_over_limit:
            return [
                do.LogEvent("no_room", {"side": "clients", "open": len(self.clients)}),
                *self._reply(now, client, 503, request.body, counted),
            ]
        if profile.idempotency is Idempotency.WITH_KEY and not request.get(b"idempotency-key"):
            # Guards against a repeat that nothing marks as one.
            profile = replace(profile, idempotency=Idempotency.NON_IDEMPOTENT)
        member = self.tenants.get(request.get(b"req-owner") or "", -1)
        left_us = -1 if request.streams else max(0, limit_us - (now - arrived_us))
        tx = self.load_balancer.start_request(now, profile, member, left_us)
        held.request = tx
        self.pending_requests[tx] = PendingRequest(
            client, request, arrived_us=arrived_us, time_limit_us=limit_us
        )
        self.open_request_ids[name] = client
        return self._out(now, self._decided(now, tx.route(now)))

    def on_request_complete(self, now: int, client: int, arrived_us: int) -> list[Command]:
        """The last byte of one that was taken before it was whole, if it still waits for its answer."""
        tx = self.clients[client].request
        if tx is None or tx.is_finished:
            return []
        held = self.pending_requests[tx]
        self.clients[client].keep_alive = held.request.keep
        tx.start_clock(now, max(0, min(held.time_limit_us, self._answer_all_us() - now) - (now - arrived_us)))
        return self._out(now, [])

    def on_request_aborted(self, now: int, client: int, status: int, why: str) -> list[Command]:
        """One that was taken before it was whole, and never will be. An endpoint begins nothing that has not
        come whole, so nothing of it has run."""
        held = self.clients[client]
        tx, held.keep_alive = held.request, False
        out: list[Command] = [do.LogEvent("junk", {"from": "client", "what": why})]
        if tx is None or tx.is_finished:  # it has its answer already
            return self._out(now, out)
        kind = self.pending_requests[tx].request.get(b"req-kind")
        self._shut_id(tx)
        held.request = None
        out += self._decided(now, tx.on_client_disconnected())
        out += self._release(tx)
        return [*out, *self._reply(now, client, status, None, kind)]

    def on_malformed_request(self, now: int, client: int, status: int, why: str) -> list[Command]:
        self.clients[client].keep_alive = False
        self.idle_clients.pop(client, None)
        self.fresh_clients.pop(client, None)
        return [do.LogEvent("junk", {"from": "client", "what": why}), *self._reply(now, client, status, None)]

    def on_response_written(self, now: int, client: int) -> list[Command]:
        held = self.clients[client]
        if self._last(held):
            return self._out(now, [do.CloseClient(client, False)])
        self.idle_clients[client] = None
        return self._out(now, [do.ReadRequest(client)])

    def on_client_closed(self, now: int, client: int) -> list[Command]:
        """Its connection has ended, by whichever side; the one place where it stops counting."""
        held = self.clients.pop(client)
        self.idle_clients.pop(client, None)
        self.fresh_clients.pop(client, None)
        out: list[Command] = []
        if held.request is not None:
            out = self._vanished(now, held.request)
        return self._out(now, out)

    def on_client_disconnected(self, now: int, client: int) -> list[Command]:
        """It has closed its connection, which its task is still to hear of."""
        held = self.clients[client]
        tx, held.request = held.request, None
        return self._out(now, self._vanished(now, tx) if tx is not None else [])

    def _vanished(self, now: int, tx: RoutedRequest) -> list[Command]:
        self._shut_id(tx)
        out = self._decided(now, tx.on_client_disconnected())
        if (hop := self.pending_requests[tx].streaming_attempt) and self.load_balancer.may_cancel:
            out.append(do.CancelAttempt(self.attempts[hop].connection, hop))
        return out + self._release(tx)

    # Hops

    def attempt_deadline_us(self, hop: int) -> int:
        """Until when a hop is waited for, once its request has come whole."""
        return self.attempts[hop].request.deadline_us

    def waiting_client(self, now: int, hop: int) -> int:
        """The client that a hop is for, if it has waited for some time, and may have left in it; 0 if not."""
        tx = self.attempts[hop].request
        waited = not tx.is_finished and now - self.pending_requests[tx].arrived_us >= LOOK_US
        return self.pending_requests[tx].client if waited else 0

    def check_before_send(self, now: int, hop: int) -> tuple[Outcome, str] | None:
        """Asked just before a hop's first byte, the one place that no hop gets past: how it ends without it;
        nothing if it may be written. While it waited, as for a connection, much may have crossed it."""
        held = self.attempts[hop]
        at, link = self.registry.endpoints[held.endpoint], self.connections[held.connection]
        if (
            held.request.is_finished
        ):  # answered, or its client has left: also where what runs may not be called off
            return Outcome.CANCELLED, "nobody waits for it"
        if not self.load_balancer.endpoints[held.endpoint].accepts_requests or (
            at.host,
            at.port,
            at.entry.started_us,
        ) != (
            link.host,
            link.port,
            link.started_us,
        ):
            return Outcome.REJECTED_BY_ENDPOINT, "drains, has left or was started anew"
        if not held.request.may_send(held.number, now):
            return Outcome.NOT_SENT, "out of its group or its window by now"
        return None

    def on_attempt_sent(self, now: int, hop: int) -> None:
        """Its last byte has gone to its endpoint, which begins a request only then."""
        self.counters.sends += 1
        held = self.attempts[hop]
        if self.pending_requests[held.request].request.streams:
            held.sent_us = now

    def on_response_started(self, now: int, hop: int, answer: Response) -> list[Command]:
        """An answer too large to keep has begun. From here on it is the client's; there is no other."""
        held = self.attempts[hop]
        tx = held.request
        if tx.is_finished:
            return [do.CancelAttempt(held.connection, hop)]
        of = self.pending_requests[tx]
        of.streaming_attempt = hop
        client = self.clients[of.client]
        if answer.length is None and not of.request.modern:
            client.keep_alive = False  # its end is told by the end of the connection alone
        # To the module it has ended: the endpoint's work is done. Guards against places that slow readers
        # hold while endpoints have nothing to do.
        decided = tx.on_attempt_finished(held.number, now, Outcome.SUCCEEDED, now - held.sent_us, True)
        return self._out(
            now,
            [
                *self._decided(now, decided),
                do.SendResponse(of.client, answer, self._last(client), of.request.modern),
            ],
        )

    def on_attempt_finished(
        self,
        now: int,
        hop: int,
        how: Outcome,
        keep: bool,
        body: Chain | None = None,
        kind: bytes = b"",
        why: str = "",
        refused: bool = False,
    ) -> list[Command]:
        """`keep`: the link it went over may carry another. `refused`: its endpoint let none come up."""
        ended = self.attempts.pop(hop)
        tx = ended.request
        held = self.pending_requests[tx]
        out: list[Command] = self._died(now, self.connections[ended.connection]) if refused else []
        if keep:
            out += self._rest(now, ended.connection)
        complete = how is Outcome.SUCCEEDED and not tx.is_finished
        tx.is_body_gone = tx.is_body_gone or held.request.spent
        if held.streaming_attempt == hop:  # to its end or not: there is no other answer
            held.streaming_attempt = 0
            if self.open_request_ids.get(held.request.get(b"req-id") or "") == held.client:
                self._finish(tx, 200 if how is Outcome.SUCCEEDED else 502)
        if complete and body is not None:
            out += self._answer(tx, Response(200, body, kind))
        elif body is not None:
            out.append(do.ReleaseBody(body))
        if how is not Outcome.SUCCEEDED:
            out.append(
                do.LogEvent(
                    "hop",
                    {
                        "tx": held.request.get(b"req-id"),
                        "how": how.value,
                        "why": why,
                        "endpoint": self.registry.endpoints[ended.endpoint].name,
                        "us": now - ended.sent_us,
                    },
                )
            )
        held.is_invalid = how is Outcome.INVALID_REQUEST
        if self.zone_statistics is not None:
            took_us = now - ended.sent_us
            # Not what the module's limits go by, which swings about the usual: what endangers the goal.
            late = body is not None and took_us > MAX_THRESHOLD * tx.request_class.latency_objective_us
            self.zone_statistics.on_attempt_finished(tx.attempts[ended.number].zone, how, took_us, late)
        out += self._decided(
            now, tx.on_attempt_finished(ended.number, now, how, now - ended.sent_us, complete)
        )
        self._forget(ended.endpoint)
        return self._out(now, [*out, *self._release(tx)])

    def on_idle_connection_reset(self, now: int, link: int) -> list[Command]:
        """Reset with nothing out on it: the process behind it has died."""
        self._claim(link)
        return self._out(now, self._died(now, self.connections[link]))

    def on_connection_closed(self, link: int) -> list[Command]:
        """A connection to an endpoint is closed; the one place where it stops counting."""
        self._claim(link)
        del self.connections[link]
        return []

    def on_descriptors_exhausted(self, now: int) -> list[Command]:
        """The system has no descriptor left: those that nobody needs go, the longest idle first."""
        out: list[Command] = [
            do.LogEvent("no_descriptors", {"clients": len(self.clients), "links": len(self.connections)})
        ]
        if self.idle_connections:
            oldest = next(iter(self.idle_connections))
            self._claim(oldest)
            out.append(do.CloseEndpointConnection(oldest))
        if (idle := self._spare_client(now)) is not None:
            out.append(self._shut_idle(idle))
        return self._out(now, out)

    # The operators' calls

    def on_admin_call(
        self, now: int, method: bytes, path: bytes
    ) -> tuple[control.AdminResponse, list[Command]]:
        told = control.refused(method, path)
        if told is not None:
            return told, []
        if path == control.COUNTERS:
            return control.AdminResponse(200, self._figures(now)), []
        if path == control.READY:
            fit = self.can_serve(now) and self.stop_us < 0 and not self.has_predecessor
            return control.AdminResponse(200 if fit else 503, b"ready\n" if fit else b"not ready\n"), []
        if self.handed_over_us >= 0:  # what is told here would end with this process
            return control.AdminResponse(503, b"another process has taken over\n"), []
        if path == control.OUT:
            return control.AdminResponse(200, b"out of service\n"), self._out_of_service(now)
        return control.AdminResponse(200, b"in service\n"), self._in_service(now)

    def _figures(self, now: int) -> bytes:
        addresses = self.registry.endpoints
        listed = sum(not at.entry.is_removed for at in addresses.values())
        avoided = sum(
            not addresses[ix].entry.is_removed
            for ix in self.load_balancer.unavailable_endpoints(now)
            if ix in addresses
        )
        return self.counters.text(len(self.open_request_ids), listed, avoided)

    def _out_of_service(self, now: int) -> list[Command]:
        """Those who come are still served, each answer the last on its connection; health says no."""
        if self.drain_us >= 0:
            return []
        self.drain_us = now
        return self._out(
            now,
            [
                do.LogEvent(
                    "out_of_service", {"clients": len(self.clients), "txs": len(self.pending_requests)}
                )
            ],
        )

    def _in_service(self, now: int) -> list[Command]:
        if self.drain_us < 0:
            return []
        self.drain_us, self.drained = -1, False
        return self._out(now, [do.LogEvent("in_service", {"clients": len(self.clients)})])

    # Two processes

    def endpoint_list(self) -> dict[str, Any]:
        return estate.listed((at.entry for at in self.registry.endpoints.values()), self.revision)

    def take_over(self, now: int, told: dict[str, Any] | None, clients: int, links: int) -> list[Command]:
        """The elder process has stopped taking clients, and left this; nothing if it has gone or does not
        answer. So many clients and links are its own until `elder_left`."""
        out: list[Command] = []
        self.has_predecessor = False
        try:
            if told is not None:
                estate.restore(told, self.load_balancer, self.registry.names(), now)
                self.predecessor_request_ids = {
                    str(name): now + self.max_deadline_us for name in told.get("open", [])
                }
                if told.get("drained") is True:
                    self.drain_us = now
                out.append(
                    do.LogEvent("took_over", {"open": len(self.predecessor_request_ids), "clients": clients})
                )
        except HandoverError as fault:
            out.append(do.LogEvent("took_over", {"lost": str(fault)}))
        self.limits.clients = max(1, self.limits.clients - clients)
        self.limits.endpoint_connections = max(1, self.limits.endpoint_connections - links)
        return self._out(now, out)

    def on_predecessor_exited(self, now: int, clients: int, links: int) -> list[Command]:
        self.limits.clients += clients
        self.limits.endpoint_connections += links
        self.predecessor_request_ids = {}
        return self._out(now, [])

    def hand_over(self, now: int) -> tuple[dict[str, Any], list[Command]]:
        """Another process serves from here on. No idle client is closed for it: each answer is the last on
        its connection, so no close crosses a request, and those who ask again go there."""
        told = {
            **estate.capture(self.load_balancer, self.registry.names()),
            "open": list(self.open_request_ids),
            "drained": self.drain_us >= 0,
        }
        self.load_balancer.yield_to_successor(True)
        self.handed_over_us = now
        return told, self._out(
            now,
            [do.LogEvent("handed_over", {"clients": len(self.clients), "txs": len(self.pending_requests)})],
        )

    def on_successor_failed(self, now: int) -> list[Command]:
        """It never served, or does so no more: this process goes on, unless it was told to stop."""
        if self.handed_over_us < 0 or self.stop_us >= 0:
            return []
        self.handed_over_us = -1
        self.load_balancer.yield_to_successor(False)
        return self._out(now, [do.LogEvent("heir_died", {})])

    # Time and the end

    def on_timer(self, now: int) -> list[Command]:
        out: list[Command] = []
        if now >= self.load_balancer.wake_us:
            out += self._decided(now, self.load_balancer.on_timer(now))
        if now >= self._answer_all_us():
            # Guards against transactions that the platform's kill would cut off unanswered.
            for tx in [held.request for held in self.clients.values() if held.request is not None]:
                out += (
                    self._decided(now, tx.finish_now())
                    if not self.pending_requests[tx].streaming_attempt
                    else []
                )
        if self.handed_over_us >= 0 and self.stop_us < 0 and now >= self.handed_over_us + HEIR_IDLE_US:
            out += [self._shut_idle(client) for client in list(self.idle_clients)]
        if self.stop_us >= 0 and self.door and now >= self._close_us():
            self.door = False
            self.hang_up_us = now + self._last_us()
            out.append(do.LogEvent("closing", {"clients": len(self.clients)}))
            if self.handed_over_us < 0:  # else who waits in the queue is the other's
                out.append(do.AcceptClients(False, closed=True))
        if not self.door and not self.closing and now >= self.hang_up_us:
            # Not sooner: clients who are left may have nobody else to go to while others restart.
            self.closing = True
            self.end_us = now + self.max_deadline_us
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

    def on_stop_requested(self, now: int) -> list[Command]:
        """Asked to end: clients still come and are answered for a while; the front learns of it late."""
        if self.stop_us >= 0:
            return []
        self.stop_us = now
        return self._out(
            now, [do.LogEvent("stopping", {"clients": len(self.clients), "txs": len(self.pending_requests)})]
        )

    def is_ready(self, now: int) -> bool:
        """What the front is told: whether to deal out clients to this sidecar. Where another process has
        taken over, a stop of this one is no reason to go elsewhere."""
        return self.can_serve(now) and (self.stop_us < 0 or self.handed_over_us >= 0) and self.drain_us < 0

    def can_serve(self, now: int) -> bool:
        return self.has_endpoint_list or (bool(self.registry.endpoints) and self._informed(now))

    def _informed(self, now: int) -> bool:
        """What discovery says at once is known, or it is silent."""
        return self.has_endpoint_list or now - self.born_us >= READY_WITHOUT_NEWS_US

    # Within

    def _died(self, now: int, link: EndpointConnection) -> list[Command]:
        """The process that a link was for is gone, unless a later one is listed by now."""
        at = self.registry.endpoints.get(link.endpoint)
        if at is None or (at.host, at.port, at.entry.started_us) != (link.host, link.port, link.started_us):
            return []
        known = now < self.load_balancer.endpoints[link.endpoint].unavailable_until_us
        self.load_balancer.on_connection_lost(now, link.endpoint)
        return [] if known else [do.LogEvent("died", {"endpoint": at.name})]

    def _forget(self, endpoint: int) -> None:
        """All that is kept of one that has left, once no hop to it is out. Guards against a list that grows
        with every replacement."""
        at = self.registry.endpoints.get(endpoint)
        # Not by hops in flight, as the module counts them: none of those is one whose request still comes.
        if (
            at is not None
            and at.entry.is_removed
            and all(hop.endpoint != endpoint for hop in self.attempts.values())
        ):
            self.registry.forget(endpoint)
            self.load_balancer.forget_endpoint(endpoint)

    def _close_us(self) -> int:
        if self.handed_over_us >= 0:  # nobody comes any more
            return self.stop_us
        quiet_us = max(self.stop_us + STOP_LEAST_US, self.quiet_us + STOP_QUIET_US)
        return min(quiet_us, self.stop_us + STOP_MOST_US)

    def _answer_all_us(self) -> int:
        """Of a stop: when all that still waits gets its answer, since the platform kills soon after."""
        killed_us = STOP_MOST_US + min(self.max_deadline_us, STOP_KILLED_US)
        return self.stop_us + killed_us - STOP_SPARE_US if self.stop_us >= 0 else NEVER_US

    def _last_us(self) -> int:
        """Of a stop, once the door is closed: so long those who are left are served; so long again what they
        ask for last may take."""
        return min(self.max_deadline_us, STOP_KILLED_US) // 2

    def _stays(self) -> bool:
        """Neither emptied nor at its end: clients may keep their connections."""
        return self.door and self.drain_us < 0

    def _last(self, held: Client) -> bool:
        return (
            self.closing
            or self.drain_us >= 0
            or self.handed_over_us >= 0
            or held.is_over_limit
            or not held.keep_alive
        )

    def _reply(
        self, now: int, client: int, status: int, body: Chain | None, counted: str | None = None
    ) -> list[Command]:
        """Without a transaction; `counted` is the profile that it stands under in the figures."""
        held = self.clients[client]
        if counted is not None:
            self.counters.on_final_answer(counted, status)
        out: list[Command] = [do.ReleaseBody(body)] if body else []
        return self._out(now, [*out, do.SendResponse(client, Response(status), self._last(held))])

    def _answer(self, tx: RoutedRequest, answer: Response) -> list[Command]:
        self._finish(tx, answer.status)
        client = self.pending_requests[tx].client
        return [do.SendResponse(client, answer, self._last(self.clients[client]))]

    def _finish(self, tx: RoutedRequest, status: int) -> None:
        """Its answer is final; the one place where a transaction with a client is counted."""
        held = self.pending_requests[tx]
        self.clients[held.client].request = None
        self.counters.on_final_answer(held.request.get(b"req-kind") or "", status)
        self._shut_id(tx)

    def _shut_id(self, tx: RoutedRequest) -> None:
        del self.open_request_ids[self.pending_requests[tx].request.get(b"req-id") or ""]

    def _decided(self, now: int, decisions: list[Decision]) -> list[Command]:
        out: list[Command] = []
        left = deque(decisions)
        while left:
            decision = left.popleft()
            tx = decision.request
            held = self.pending_requests[tx]
            if isinstance(decision, StartAttempt):
                self.numbers += 1
                hop, number = self.numbers, held.attempt_count
                held.attempt_count += 1
                link, fresh = self._link(now, decision.endpoint_index, out)
                if link < 0:  # no descriptor to be had: nothing was sent, and the endpoint is not to blame
                    left += tx.on_attempt_finished(number, now, Outcome.NOT_SENT, 0, False)
                    out.append(do.LogEvent("no_room", {"side": "endpoints", "open": len(self.connections)}))
                    continue
                at = self.registry.endpoints[decision.endpoint_index]
                held.attempts[number] = hop
                self.attempts[hop] = Attempt(tx, number, decision.endpoint_index, link, now)
                out.append(
                    do.SendAttempt(
                        link,
                        fresh,
                        hop,
                        at.host,
                        at.port,
                        held.request,
                        now + decision.timeout_us,
                        self.connections[link].settled_us,
                    )
                )
            elif isinstance(decision, CancelAttempt):
                hop = held.attempts[decision.attempt_number]
                if hop in self.attempts:
                    out.append(do.CancelAttempt(self.attempts[hop].connection, hop))
            else:
                is_rejected = isinstance(decision, RejectRequest)
                retry_after_us = decision.retry_after_us if isinstance(decision, RejectRequest) else 0
                status = 400 if held.is_invalid else 503 if is_rejected else 502
                out += self._answer(tx, Response(status, retry_after_us=retry_after_us))
                out.append(
                    do.LogEvent(
                        "rolled_back" if is_rejected else "abandoned",
                        {
                            "tx": held.request.get(b"req-id"),
                            "profile": held.request.get(b"req-kind"),
                            "member": held.request.get(b"req-owner"),
                            "hops": held.attempt_count,
                            "left_us": tx.deadline_us - now,
                        },
                    )
                )
                out += self._release(tx)
        return out

    def _release(self, tx: RoutedRequest) -> list[Command]:
        """Forgets a transaction that has its answer and no hop out, and gives its request's body back."""
        if (
            tx not in self.pending_requests
            or not tx.is_finished
            or tx.in_flight
            or self.pending_requests[tx].streaming_attempt
        ):
            return []
        return [do.ReleaseBody(self.pending_requests.pop(tx).request.body)]

    def _link(self, now: int, endpoint: int, out: list[Command]) -> tuple[int, bool]:
        """The latest used of those that rest, so that others may end; of those that have settled, if any."""
        at = self.registry.endpoints[endpoint]
        if at.idle:
            settled = (link for link in reversed(at.idle) if self.connections[link].settled_us <= now)
            link = next(settled, at.idle[0])
            self._claim(link)
            return link, False
        if len(self.connections) >= self.limits.endpoint_connections:
            if not self.idle_connections:
                return -1, False
            oldest = next(iter(self.idle_connections))
            self._claim(oldest)
            out.append(do.CloseEndpointConnection(oldest))
        self.numbers += 1
        self.connections[self.numbers] = EndpointConnection(endpoint, at.host, at.port, at.entry.started_us)
        return self.numbers, True

    def _at(self, link: int) -> RegisteredEndpoint:
        return self.registry.endpoints[self.connections[link].endpoint]

    def _rest(self, now: int, link: int) -> list[Command]:
        """Nothing is out on it any more. One whose endpoint has left or moved is not used again; others once
        they have settled. Guards against a second answer to this hop being taken for one to the next:
        nothing in an answer tells which request it is for."""
        at = self._at(link)
        self.connections[link].settled_us = now + SETTLE_US
        if at.entry.is_removed or (at.host, at.port) != (
            self.connections[link].host,
            self.connections[link].port,
        ):
            return [do.CloseEndpointConnection(link)]
        at.idle.append(link)
        self.idle_connections[link] = None
        return []

    def _claim(self, link: int) -> bool:
        """Takes an idle link out of those that may be used."""
        if link not in self.idle_connections:
            return False
        del self.idle_connections[link]
        self._at(link).idle.remove(link)
        return True

    def is_full(self) -> bool:
        """New clients may wait for the place of one who is closed."""
        return len(self.clients) >= self.limits.clients

    def _spare_client(self, now: int) -> int | None:
        """One that may be closed. Guards against closing a new one whose request is on its way, and against
        places that are held for long by those that send slowly or have vanished amid it."""
        if self.idle_clients:
            return next(iter(self.idle_clients))
        oldest = next(iter(self.fresh_clients), None)
        return oldest if oldest is not None and self.fresh_clients[oldest] + FRESH_US <= now else None

    def _shut_idle(self, client: int) -> Command:
        self.idle_clients.pop(client, None)
        self.fresh_clients.pop(client, None)
        return do.CloseClient(client, True)

    def _out(self, now: int, out: list[Command]) -> list[Command]:
        """What every happening may bring: an earlier time to be woken, and the end."""
        wake_us = self.load_balancer.wake_us
        if self.door:
            # Guards against a listener that waits for room while clients that may be closed sit idle.
            most = self.limits.clients + self.limits.extra_clients
            # Not before the list has come, if it comes: who asks meanwhile waits in the system's queue.
            # Guards against requests sent, by a list from before the start, to what has begun to drain since.
            on = (
                not self.has_predecessor
                and self.handed_over_us < 0
                and self._informed(now)
                and (len(self.clients) < most or self._spare_client(now) is not None)
            )
            if on is not self.listening:
                self.listening = on
                out.append(do.AcceptClients(on))
        if not self._informed(now):
            wake_us = min(wake_us, self.born_us + READY_WITHOUT_NEWS_US)
        if self.has_predecessor and not self.asked:
            if self.can_serve(now):
                self.asked = True
                out.append(do.BeginTakeover())
            else:
                wake_us = min(wake_us, self.born_us + READY_WITHOUT_NEWS_US)
        if self.stop_us >= 0:
            wake_us = min(
                wake_us, self._close_us() if self.door else self.end_us if self.closing else self.hang_up_us
            )
            if any(
                held.request is not None and not self.pending_requests[held.request].streaming_attempt
                for held in self.clients.values()
            ):
                wake_us = min(wake_us, self._answer_all_us())
        if self.drain_us >= 0 and not self.drained:
            wake_us = min(wake_us, self.drain_us + DRAIN_IDLE_US)
        if self.fresh_clients:
            most_us = SILENT_US if self._stays() and self.listening else FRESH_US
            wake_us = min(wake_us, next(iter(self.fresh_clients.values())) + most_us)
        if wake_us != self.wake_us:
            self.wake_us = wake_us
            out.append(do.SetTimer(wake_us))
        # Guards against a stop that waits for a client who never sends the rest of a request.
        over = (self.closing and now >= self.end_us) or (not self.clients and not self.pending_requests)
        if not self.door and over and not self.left:
            self.left = True
            out.append(do.Exit())
        return out
