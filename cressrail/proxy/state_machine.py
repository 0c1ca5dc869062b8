"""The proxy as one state machine: each method is an event, and returns the commands that follow from it.

Clients and connections to endpoints are numbers, handed out by whoever opens them; so are attempts. The
sockets behind them belong to the tasks in `network` that carry the commands out. Times are in us, on the
clock of the event loop.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from cressrail.discovery.endpoint_list import EndpointListUpdate
from cressrail.handover import state as handover_state
from cressrail.handover.frame import HandoverError
from cressrail.http1.answer import Response
from cressrail.http1.figures import span_us
from cressrail.http1.request import Request
from cressrail.policy.load_balancer import (
    IDEMPOTENT_WITH_KEY,
    NON_IDEMPOTENT,
    LoadBalancer,
    Outcome,
    RandomGenerator,
    RequestClass,
)
from cressrail.proxy import admin, clients, commands, events
from cressrail.proxy.attempts import AttemptResult, Attempts
from cressrail.proxy.commands import Command, LogEvent
from cressrail.proxy.connection_limits import ConnectionLimits
from cressrail.proxy.endpoint_connections import EndpointConnections
from cressrail.proxy.endpoint_list import EndpointListWatch
from cressrail.proxy.endpoint_registry import EndpointRegistry
from cressrail.proxy.forwarding import RequestForwarder
from cressrail.proxy.id_sequence import IdSequence
from cressrail.proxy.lifecycle import Lifecycle
from cressrail.proxy.request_counters import RequestCounters
from cressrail.proxy.requests import (
    DEADLINE_FIELD,
    IDEMPOTENCY_KEY_FIELD,
    REQUEST_CLASS_FIELD,
    REQUEST_ID_FIELD,
    TENANT_FIELD,
    PendingRequest,
    PendingRequests,
)
from cressrail.proxy.settings import ProxySettings

if TYPE_CHECKING:
    from cressrail.proxy.zone_statistics import ZoneStatistics

HEALTH_PATH = b"/_health"
REQUEST_PATH = b"/api"
NO_TENANT = -1
STILL_COMING = -1  # in place of a request's remaining time, which does not run yet
LOGGED_FAULTS = 3  # of an update's entries that can't be read


class StateMachine:
    """Joins the owners of the proxy's resources.

    Attributes:
        load_balancer: Decides which endpoint a request goes to, and when it is answered without one.
        registry: The endpoints' addresses.
        limits: How many connections may be open.
        lifecycle: The state of the process.
        endpoint_watch: The watch on the endpoint list.
        clients: The clients' connections.
        connections: The connections to endpoints.
        requests: Requests that wait for their answer.
        attempts: Attempts in flight.
        counters: What operators read.
        timer_us: When `on_timer` is to be called.
    """

    def __init__(
        self,
        settings: ProxySettings,
        load_balancer: LoadBalancer,
        registry: EndpointRegistry,
        limits: ConnectionLimits,
        random: RandomGenerator,
        now_us: int,
    ) -> None:
        self.settings = settings
        self.load_balancer = load_balancer
        self.registry = registry
        self.limits = limits
        self.lifecycle = Lifecycle(now_us, settings.max_deadline_us)
        self.endpoint_watch = EndpointListWatch(now_us, settings.discovery, settings.drain_notice_us, random)
        self.ids = IdSequence()
        self.clients = clients.Clients(limits)
        self.connections = EndpointConnections(registry, limits, self.ids)
        self.requests = PendingRequests()
        self.attempts = Attempts(load_balancer, registry, self.connections, self.ids)
        self.counters = RequestCounters(settings.request_classes)
        self.forwarder = RequestForwarder(
            load_balancer, self.lifecycle, self.clients, self.requests, self.attempts, self.counters
        )
        self.timer_us = -1

    # The endpoint list

    def start(self, now_us: int, known: EndpointListUpdate, has_predecessor: bool = False) -> list[Command]:
        """Begins with the list that is known; `has_predecessor`: another process is to hand over first."""
        if has_predecessor:
            self.lifecycle.wait_for_predecessor()
        updates, _, _ = self.registry.apply(known)
        self.load_balancer.update_endpoints(now_us, updates, full=True, answer=False)
        return self._complete(now_us, [self.endpoint_watch.start(now_us, known.revision)])

    def on_endpoint_list(self, now_us: int, update: EndpointListUpdate) -> list[Command]:
        """Discovery has sent the list, or changes of it."""
        out: list[Command] = [
            LogEvent(events.MALFORMED_MESSAGE, {"from": "discovery", "reason": fault})
            for fault in update.faults[:LOGGED_FAULTS]
        ]
        is_first, held_revision = not self.endpoint_watch.has_list, self.endpoint_watch.revision
        if not self.endpoint_watch.accept(update):
            older = {"revision": update.revision, "older_than": held_revision}
            watch = self.endpoint_watch.open_after_old_revision(now_us)
            return [*out, LogEvent(events.ENDPOINT_LIST_UPDATED, older), watch]
        updates, stale_connections, removed = self.registry.apply(update)
        if updates or update.is_complete or is_first:
            self.load_balancer.update_endpoints(now_us, updates, full=update.is_complete)
            what = {"revision": update.revision, "complete": update.is_complete, "entries": len(updates)}
            out.append(LogEvent(events.ENDPOINT_LIST_UPDATED, what))
        out += self.connections.close_idle(stale_connections)
        for endpoint in removed:
            self.attempts.forget_if_removed(endpoint)
        return self._complete(now_us, out)

    def on_watch_ended(self, now_us: int, reason: str) -> list[Command]:
        """The watch on the list has ended, and is opened again after a pause."""
        self.load_balancer.on_list_failed(now_us)
        delay_us = self.endpoint_watch.retry_delay_us(now_us)
        line = LogEvent(events.WATCH_ENDED, {"reason": reason, "retry_in_us": delay_us})
        return self._complete(now_us, [line, self.endpoint_watch.open(now_us + delay_us)])

    def on_discovery_address(self, now_us: int, discovery: tuple[str, int]) -> list[Command]:
        """The configuration was read again, and names this address of discovery."""
        watches = self.endpoint_watch.change_discovery(now_us, discovery)
        return self._complete(now_us, [*watches]) if watches else []

    def endpoint_list(self) -> dict[str, Any]:
        """Returns the list in discovery's form, for the successor process."""
        entries = (registered.entry for registered in self.registry.endpoints.values())
        return handover_state.listed(entries, self.endpoint_watch.revision)

    # Other instances

    def on_instance_count(self, now_us: int, total: float, in_zone: float) -> list[Command]:
        """So many instances of this load balancer are up, and so many of them in its own zone."""
        self.load_balancer.update_instance_count(now_us, total, in_zone)
        return self._complete(now_us, [])

    def set_zone_statistics(self, now_us: int, zone_statistics: ZoneStatistics | None) -> list[Command]:
        """Attempts are counted by zone from now on, or (None) no more.

        Zone weights go with it, as nobody would renew them.
        """
        self.attempts.set_zone_statistics(zone_statistics)
        return self.on_zone_weights(now_us, (), 0.0)

    def on_zone_weights(self, now_us: int, weights: Sequence[float], share: float) -> list[Command]:
        """The failover leader gives this share of the own zone's traffic to the zones, by weight."""
        self.load_balancer.apply_zone_weights(weights, share)
        return self._complete(now_us, [])

    def on_peer_reports(
        self, now_us: int, ejected: list[int], warmup_load: dict[int, tuple[float, float]]
    ) -> list[Command]:
        """Peers report endpoints as failing, and how much they send to those that warm up; by index."""
        self.load_balancer.apply_peer_warmup_load(warmup_load)
        self.load_balancer.apply_peer_ejections(now_us, ejected)
        return self._complete(now_us, [])

    # Clients

    def on_client_connected(self, now_us: int, client: int) -> list[Command]:
        """A client was accepted; another one may have to close for it."""
        self.lifecycle.note_client(now_us)
        closed = self.clients.connect(now_us, client)
        read = commands.ReadRequest(client)
        return self._complete(now_us, [read] if closed is None else [closed, read])

    def on_request_started(self, now_us: int, client: int) -> list[Command]:
        """The first byte of a request has come."""
        self.clients.start_receiving(now_us, client)
        return self._complete(now_us, [])

    def on_request_progress(self, now_us: int, client: int) -> list[Command]:
        """More of a request has come."""
        self.clients.note_progress(now_us, client)
        return self._complete(now_us, [])

    def has_client_stalled(self, now_us: int, last_progress_us: int) -> bool:
        """Whether a client amid its request may be closed, the last byte having come at that time."""
        return now_us - last_progress_us >= clients.CLIENT_STALL_US

    def on_request(self, now_us: int, client: int, request: Request, arrived_us: int) -> list[Command]:
        """A request has come whole at `arrived_us`, or the head of one that is forwarded as it comes."""
        # If it is answered before all of it has come, it is the last: what is left of it may never come.
        self.clients.set_keep_alive(client, request.keep and not request.streams)
        self.clients.finish_receiving(client)  # also if it was asked to close just now
        if request.path == HEALTH_PATH:
            status = 200 if self.is_ready(now_us) else 503
            return self._complete(now_us, self.forwarder.reply(client, status, request.body))
        class_name = request.get(REQUEST_CLASS_FIELD)
        if class_name is None and request.path != REQUEST_PATH:
            return self._complete(now_us, self.forwarder.reply(client, 404, request.body))
        request_class = self.settings.request_classes.get(class_name or "")
        limit_us = self._time_limit_us(now_us, request, request_class)
        if request_class is None or limit_us is None:
            counted = class_name if request_class is not None else None
            return self._complete(now_us, self.forwarder.reply(client, 400, request.body, counted))
        if self.clients.open[client].is_over_limit:
            line = LogEvent(
                events.CONNECTION_LIMIT_REACHED, {"side": "clients", "open": len(self.clients.open)}
            )
            reply = self.forwarder.reply(client, 503, request.body, class_name)
            return self._complete(now_us, [line, *reply])
        if request_class.idempotency == IDEMPOTENT_WITH_KEY and not request.get(IDEMPOTENCY_KEY_FIELD):
            # Without a key the endpoint could not tell a retry from another request.
            request_class = replace(request_class, idempotency=NON_IDEMPOTENT)
        tenant = self.settings.tenants.get(request.get(TENANT_FIELD) or "", NO_TENANT)
        remaining_us = STILL_COMING if request.streams else max(0, limit_us - (now_us - arrived_us))
        routed_request = self.load_balancer.start_request(now_us, request_class, tenant, remaining_us)
        pending = PendingRequest(client, request, arrived_us, limit_us)
        return self._complete(now_us, self.forwarder.start(now_us, routed_request, pending))

    def _time_limit_us(self, now_us: int, request: Request, request_class: RequestClass | None) -> int | None:
        """Returns the time that a request has; None if it is invalid: its class, its id or its deadline."""
        request_id = request.get(REQUEST_ID_FIELD)
        if request_class is None or not request_id:
            return None
        deadline = request.get(DEADLINE_FIELD)
        limit_us = span_us(deadline) if deadline is not None else request_class.deadline_us
        if limit_us is None or self.requests.is_id_in_use(now_us, request_id):
            return None
        return min(limit_us, request_class.deadline_us, self.lifecycle.answer_all_us - now_us)

    def on_request_complete(self, now_us: int, client: int, arrived_us: int) -> list[Command]:
        """The last byte has come of a request that was forwarded before."""
        is_waiting = self.forwarder.complete(now_us, client, arrived_us)
        return self._complete(now_us, []) if is_waiting else []

    def on_request_aborted(self, now_us: int, client: int, status: int, reason: str) -> list[Command]:
        """The rest of a request that was forwarded before will not come."""
        self.clients.set_keep_alive(client, False)
        line = LogEvent(events.MALFORMED_MESSAGE, {"from": "client", "reason": reason})
        return self._complete(now_us, [line, *self.forwarder.abort(now_us, client, status)])

    def on_malformed_request(self, now_us: int, client: int, status: int, reason: str) -> list[Command]:
        """What a client sent is no request, or too slow or large to be one."""
        self.clients.set_keep_alive(client, False)
        self.clients.forget_waiting(client)
        line = LogEvent(events.MALFORMED_MESSAGE, {"from": "client", "reason": reason})
        return self._complete(now_us, [line, *self.forwarder.reply(client, status, None)])

    def on_response_written(self, now_us: int, client: int) -> list[Command]:
        """An answer has gone to its client."""
        if self.forwarder.closes_after_response(self.clients.open[client]):
            return self._complete(now_us, [commands.CloseClient(client, only_if_idle=False)])
        self.clients.rest(client)
        return self._complete(now_us, [commands.ReadRequest(client)])

    def on_client_closed(self, now_us: int, client: int) -> list[Command]:
        """The connection of a client has ended, by whichever side."""
        routed_request = self.clients.remove(client).routed_request
        out = self.forwarder.drop(now_us, routed_request) if routed_request is not None else []
        return self._complete(now_us, out)

    def on_client_disconnected(self, now_us: int, client: int) -> list[Command]:
        """A client has closed its connection, which its task has not noticed yet."""
        routed_request = self.clients.clear_request(client)
        out = self.forwarder.drop(now_us, routed_request) if routed_request is not None else []
        return self._complete(now_us, out)

    def is_full(self) -> bool:
        """Whether new clients may have to wait until another one closes."""
        return self.clients.is_full()

    # Attempts

    def attempt_deadline_us(self, attempt: int) -> int:
        """Until when an attempt is waited for, once all of its request has come."""
        return self.attempts.in_flight[attempt].routed_request.deadline_us

    def waiting_client(self, now_us: int, attempt: int) -> int:
        """Returns the client of an attempt if it has waited so long that it may have left; else 0."""
        return self.forwarder.waiting_client(now_us, attempt)

    def check_before_send(self, now_us: int, attempt: int) -> tuple[Outcome, str] | None:
        """Returns how an attempt ends without being sent, and why; None if its first byte may be sent now."""
        return self.attempts.check_before_send(now_us, attempt)

    def on_attempt_sent(self, now_us: int, attempt: int) -> None:
        """The last byte of an attempt has gone to its endpoint."""
        self.forwarder.on_attempt_sent(now_us, attempt)

    def on_response_started(self, now_us: int, attempt: int, response: Response) -> list[Command]:
        """An answer too large to keep has begun, and is passed on as it comes."""
        if self.attempts.in_flight[attempt].routed_request.is_finished:
            return self.attempts.cancel(attempt)
        return self._complete(now_us, self.forwarder.on_response_started(now_us, attempt, response))

    def on_attempt_finished(self, now_us: int, attempt: int, result: AttemptResult) -> list[Command]:
        """An attempt has ended, by an answer or without one."""
        return self._complete(now_us, self.forwarder.on_attempt_finished(now_us, attempt, result))

    # Connections to endpoints

    def on_idle_connection_reset(self, now_us: int, connection: int) -> list[Command]:
        """A connection with no attempt in flight was reset: the process behind it has died."""
        self.connections.claim(connection)
        return self._complete(now_us, self.attempts.report_unavailable(now_us, connection))

    def on_connection_closed(self, connection: int) -> list[Command]:
        """A connection to an endpoint is closed."""
        self.connections.remove(connection)
        return []

    def on_descriptors_exhausted(self, now_us: int) -> list[Command]:
        """The system has no descriptor left: one idle connection on each side is closed."""
        open_counts = {
            "clients": len(self.clients.open),
            "endpoint_connections": len(self.connections.open),
        }
        out: list[Command] = [LogEvent(events.DESCRIPTORS_EXHAUSTED, open_counts)]
        out += self.connections.close_longest_idle()
        spare = self.clients.find_spare(now_us)
        if spare is not None:
            out.append(self.clients.close_if_idle(spare))
        return self._complete(now_us, out)

    # Operators

    def on_admin_call(
        self, now_us: int, method: bytes, path: bytes
    ) -> tuple[admin.AdminResponse, list[Command]]:
        """Answers an operator's call; returns the answer and the commands."""
        refusal = admin.refused(method, path)
        if refusal is not None:
            return refusal, []
        if path == admin.COUNTERS:
            return admin.AdminResponse(200, self._counters_text(now_us)), []
        if path == admin.READY:
            is_ready = self.lifecycle.rules.is_ready and self.can_serve(now_us)
            return admin.IS_READY if is_ready else admin.IS_NOT_READY, []
        if self.lifecycle.has_handed_over:  # a change would end with this process
            return admin.HAS_HANDED_OVER, []
        if path == admin.OUT:
            return admin.IS_OUT_OF_SERVICE, self._leave_service(now_us)
        return admin.IS_IN_SERVICE, self._return_to_service(now_us)

    def _counters_text(self, now_us: int) -> bytes:
        unavailable = self.load_balancer.unavailable_endpoints(now_us)
        unavailable_count = sum(self.registry.is_listed(endpoint) for endpoint in unavailable)
        return self.counters.text(
            len(self.requests.open_ids), self.registry.listed_count(), unavailable_count
        )

    def _leave_service(self, now_us: int) -> list[Command]:
        if not self.lifecycle.leave_service(now_us):
            return []
        return self._complete(now_us, [LogEvent(events.OUT_OF_SERVICE, self._open_counts())])

    def _return_to_service(self, now_us: int) -> list[Command]:
        if not self.lifecycle.return_to_service():
            return []
        line = LogEvent(events.IN_SERVICE, {"clients": len(self.clients.open)})
        return self._complete(now_us, [line])

    def _open_counts(self) -> dict[str, int]:
        return {"clients": len(self.clients.open), "requests": len(self.requests.pending)}

    def is_ready(self, now_us: int) -> bool:
        """Whether the ingress is to send clients here, as the health check says."""
        return self.lifecycle.rules.is_healthy and self.can_serve(now_us)

    def can_serve(self, now_us: int) -> bool:
        """Whether a list of endpoints is known to go by."""
        return self.endpoint_watch.has_list or (
            bool(self.registry.endpoints) and self.endpoint_watch.is_settled(now_us)
        )

    # Hand-over between two processes

    def take_over(
        self, now_us: int, state: dict[str, Any] | None, clients_held: int, connections_held: int
    ) -> list[Command]:
        """The predecessor process accepts no clients any more.

        Args:
            now_us: The time.
            state: Its hand-over state; None if it has gone or does not answer.
            clients_held: Clients that stay with it until `on_predecessor_exited`.
            connections_held: Connections to endpoints that stay with it until then.
        """
        out: list[Command] = []
        self.lifecycle.take_over()
        if state is not None:
            out.append(LogEvent(events.TOOK_OVER, self._restore(now_us, state, clients_held)))
        self.limits.lend(clients_held, connections_held)
        return self._complete(now_us, out)

    def _restore(self, now_us: int, state: dict[str, Any], clients_held: int) -> dict[str, Any]:
        """Goes on from the predecessor's state, and returns what is logged of it."""
        try:
            handover_state.restore(state, self.load_balancer, self.registry.names(), now_us)
        except HandoverError as fault:
            return {"state_rejected": str(fault)}
        self.requests.add_predecessor_ids(state.get("open", []), now_us + self.settings.max_deadline_us)
        if state.get("drained") is True:
            self.lifecycle.inherit_out_of_service(now_us)
        return {"open": len(self.requests.predecessor_ids), "clients": clients_held}

    def on_predecessor_exited(self, now_us: int, clients_held: int, connections_held: int) -> list[Command]:
        """The predecessor process has exited, and holds these connections no longer."""
        self.limits.regain(clients_held, connections_held)
        self.requests.drop_predecessor_ids()
        return self._complete(now_us, [])

    def hand_over(self, now_us: int) -> tuple[dict[str, Any], list[Command]]:
        """Another process accepts clients from here on; returns the hand-over state and the commands.

        No idle client is closed for it. Each answer is the last on its connection, so no close crosses a
        request, and clients that send another request connect to the successor.
        """
        state = {
            **handover_state.capture(self.load_balancer, self.registry.names()),
            "open": list(self.requests.open_ids),
            "drained": self.lifecycle.is_out_of_service,
        }
        self.load_balancer.yield_to_successor(True)
        self.lifecycle.hand_over(now_us)
        return state, self._complete(now_us, [LogEvent(events.HANDED_OVER, self._open_counts())])

    def keep_connections(self, parts: int) -> int:
        """Leaves all but one of so many parts of the connections to endpoints to the successor.

        Returns:
            How many stay with this process.
        """
        self.limits.keep_part(parts, len(self.connections.open))
        return self.limits.endpoint_connections

    def on_successor_failed(self, now_us: int) -> list[Command]:
        """The successor never served, or has died: this process serves again, unless it is to stop."""
        if not self.lifecycle.resume_ownership():
            return []
        self.load_balancer.yield_to_successor(False)
        return self._complete(now_us, [LogEvent(events.SUCCESSOR_FAILED, {})])

    # Time and the end

    def on_stop_requested(self, now_us: int) -> list[Command]:
        """A signal asks the process to stop. Clients still connect for a while: the ingress learns late."""
        if not self.lifecycle.request_stop(now_us):
            return []
        return self._complete(now_us, [LogEvent(events.STOPPING, self._open_counts())])

    def on_timer(self, now_us: int) -> list[Command]:
        """The time that `SetTimer` named has come, or any other."""
        out = self.forwarder.on_timer(now_us)
        if now_us >= self.lifecycle.answer_all_us:
            out += self.forwarder.finish_all_now(now_us)
        if self.lifecycle.closes_idle_clients_handed_over(now_us):
            out += self.clients.close_all_idle()
        if self.lifecycle.close_listener(now_us):
            out.append(LogEvent(events.CLOSING, {"clients": len(self.clients.open)}))
            if not self.lifecycle.has_handed_over:  # else clients in the listener's queue are the successor's
                out.append(commands.AcceptClients(False, closed=True))
        if self.lifecycle.begin_last_answers(now_us):
            out += self.clients.close_all_idle()
        if self.lifecycle.close_idle_out_of_service(now_us):
            out += self.clients.close_all_idle()
        keeps_idle = self.lifecycle.rules.keeps_idle_clients
        limit_us = clients.CLIENT_SILENCE_LIMIT_US if keeps_idle else clients.CLIENT_STALL_US
        out += self.clients.close_silent(now_us, limit_us)
        return self._complete(now_us, out)

    # What every event may bring

    def _complete(self, now_us: int, out: list[Command]) -> list[Command]:
        """Adds what follows from any event: the listener, a hand-over to ask for, the timer, and the end."""
        self._set_listener(now_us, out)
        lifecycle = self.lifecycle
        if lifecycle.is_taking_over and not lifecycle.has_asked_predecessor and self.can_serve(now_us):
            lifecycle.ask_predecessor()
            out.append(commands.BeginTakeover())
        timer_us = self._next_timer_us(now_us)
        if timer_us != self.timer_us:
            self.timer_us = timer_us
            out.append(commands.SetTimer(timer_us))
        if not lifecycle.has_open_listener and lifecycle.end(
            now_us, has_work=bool(self.clients.open or self.requests.pending)
        ):
            out.append(commands.Exit())
        return out

    def _set_listener(self, now_us: int, out: list[Command]) -> None:
        """Accepts clients or pauses, as there is room for one, also by closing another one.

        Not before the list has come, if it comes: clients wait in the system's queue meanwhile, rather than
        being sent to endpoints which, since the list was configured, have begun to drain.
        """
        lifecycle = self.lifecycle
        if not lifecycle.has_open_listener:
            return
        accepts = (
            lifecycle.rules.accepts_clients
            and self.endpoint_watch.is_settled(now_us)
            and self.clients.may_accept(now_us)
        )
        if accepts is not lifecycle.is_accepting:
            lifecycle.set_accepting(accepts)
            out.append(commands.AcceptClients(accepts))

    def _next_timer_us(self, now_us: int) -> int:
        lifecycle = self.lifecycle
        timer_us = self.load_balancer.wake_us
        has_to_ask = lifecycle.is_taking_over and not lifecycle.has_asked_predecessor
        if has_to_ask or not self.endpoint_watch.is_settled(now_us):
            timer_us = min(timer_us, self.endpoint_watch.settles_us)
        if lifecycle.is_stopping:
            timer_us = min(timer_us, lifecycle.next_stop_phase_us)
            if self.forwarder.has_unanswered():
                timer_us = min(timer_us, lifecycle.answer_all_us)
        if lifecycle.is_out_of_service:
            timer_us = min(timer_us, lifecycle.idle_close_us)
        if self.clients.receiving:
            keeps_idle = lifecycle.rules.keeps_idle_clients and lifecycle.is_accepting
            limit_us = clients.CLIENT_SILENCE_LIMIT_US if keeps_idle else clients.CLIENT_STALL_US
            timer_us = min(timer_us, self.clients.silent_since_us() + limit_us)
        return timer_us
