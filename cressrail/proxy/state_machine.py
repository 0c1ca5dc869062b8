"""The proxy as one state machine: each method is an event, and returns the commands that follow from it.

Clients and connections to endpoints are numbers, handed out by whoever opens them; so are attempts. The
sockets behind them belong to the tasks in `network` that carry the commands out. Times are in us.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from cressrail.discovery.endpoint_list import EndpointListUpdate
from cressrail.http1.request import Request
from cressrail.http1.response import Response
from cressrail.logs import events
from cressrail.policy.load_balancer import LoadBalancer
from cressrail.policy.outcome import Outcome
from cressrail.policy.random_generator import RandomGenerator
from cressrail.proxy import admin, clients, commands
from cressrail.proxy.attempts import AttemptResult, Attempts
from cressrail.proxy.commands import Command, LogEvent
from cressrail.proxy.connection_limits import ConnectionLimits
from cressrail.proxy.endpoint_connections import EndpointConnections
from cressrail.proxy.endpoint_list import EndpointListWatch
from cressrail.proxy.endpoint_registry import EndpointRegistry
from cressrail.proxy.forwarding import RequestForwarder
from cressrail.proxy.id_sequence import IdSequence
from cressrail.proxy.intake import RequestIntake
from cressrail.proxy.lifecycle import Lifecycle
from cressrail.proxy.listener_control import ListenerControl
from cressrail.proxy.process_handover import ProcessHandover
from cressrail.proxy.request_counters import RequestCounters
from cressrail.proxy.requests import PendingRequests
from cressrail.proxy.settings import ProxySettings
from cressrail.proxy.timers import Timers

if TYPE_CHECKING:
    from cressrail.proxy.zone_statistics import ZoneStatistics

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
        self.endpoint_watch = EndpointListWatch(
            now_us, settings.discovery, settings.drain_notice_us, registry, random
        )
        self.ids = IdSequence()
        self.clients = clients.Clients(limits)
        self.connections = EndpointConnections(registry, limits, self.ids)
        self.requests = PendingRequests()
        self.attempts = Attempts(load_balancer, registry, self.connections, self.ids)
        self.counters = RequestCounters(settings.request_classes)
        self.forwarder = RequestForwarder(
            load_balancer, self.lifecycle, self.clients, self.requests, self.attempts, self.counters
        )
        self.intake = RequestIntake(
            settings,
            load_balancer,
            self.lifecycle,
            self.endpoint_watch,
            self.clients,
            self.requests,
            self.forwarder,
        )
        self.admin_calls = admin.AdminCalls(
            load_balancer,
            registry,
            self.endpoint_watch,
            self.lifecycle,
            self.clients,
            self.requests,
            self.counters,
        )
        self.handover = ProcessHandover(load_balancer, registry, self.requests, self.lifecycle)
        self.listener_control = ListenerControl(self.lifecycle, self.endpoint_watch, self.clients)
        self.timers = Timers(load_balancer, self.lifecycle, self.endpoint_watch, self.clients, self.forwarder)
        self.timer_us = -1

    # The endpoint list

    def start(self, now_us: int, known: EndpointListUpdate, has_predecessor: bool = False) -> list[Command]:
        """Begins with the list that is known; `has_predecessor`: another process is to hand over first."""
        if has_predecessor:
            self.lifecycle.wait_for_predecessor()
        updates, _, _ = self.registry.apply(known)
        self.load_balancer.update_endpoints(now_us, updates, is_complete=True, is_poll_answer=False)
        return self._complete(now_us, [self.endpoint_watch.start(now_us, known.revision)])

    def on_endpoint_list(self, now_us: int, update: EndpointListUpdate) -> list[Command]:
        """Discovery has sent the list, or changes of it."""
        out: list[Command] = [
            LogEvent(events.MALFORMED_MESSAGE, {"from": "discovery", "reason": fault})
            for fault in update.errors[:LOGGED_FAULTS]
        ]
        is_first, held_revision = not self.endpoint_watch.has_list, self.endpoint_watch.revision
        if not self.endpoint_watch.accept(update):
            older = {"revision": update.revision, "older_than": held_revision}
            watch = self.endpoint_watch.open_after_old_revision(now_us)
            return [*out, LogEvent(events.ENDPOINT_LIST_UPDATED, older), watch]
        updates, stale_connections, removed = self.registry.apply(update)
        if updates or update.is_complete or is_first:
            self.load_balancer.update_endpoints(now_us, updates, is_complete=update.is_complete)
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
        return self.handover.endpoint_list(self.endpoint_watch.revision)

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
        """Whether a client may be closed, the last byte of whose incomplete request came at that time."""
        return now_us - last_progress_us >= clients.CLIENT_STALL_US

    def on_request(self, now_us: int, client: int, request: Request, arrived_us: int) -> list[Command]:
        """A complete request has come at `arrived_us`, or the head of one that is forwarded as it comes."""
        return self._complete(now_us, self.intake.take(now_us, client, request, arrived_us))

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
        return self._complete(now_us, self.forwarder.drop_request(now_us, routed_request))

    def on_client_disconnected(self, now_us: int, client: int) -> list[Command]:
        """A client has closed its connection, which its task has not noticed yet."""
        routed_request = self.clients.clear_request(client)
        return self._complete(now_us, self.forwarder.drop_request(now_us, routed_request))

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
        response, out = self.admin_calls.answer(now_us, method, path)
        return response, self._complete(now_us, out) if out else []

    def is_ready(self, now_us: int) -> bool:
        """Whether the ingress is to send clients here, as the health check says."""
        return self.intake.is_healthy(now_us)

    def can_serve(self, now_us: int) -> bool:
        """Whether requests can be routed by what is known of endpoints."""
        return self.endpoint_watch.can_serve(now_us)

    def _open_counts(self) -> dict[str, int]:
        return {"clients": len(self.clients.open), "requests": len(self.requests.pending)}

    # Hand-over between two processes

    def take_over(
        self, now_us: int, state: dict[str, Any] | None, clients_held: int, connections_held: int
    ) -> list[Command]:
        """The predecessor process accepts no clients any more.

        `state` is its hand-over state; None if it has gone or does not answer. So many of its clients and
        connections stay with it until `on_predecessor_exited`.
        """
        out: list[Command] = []
        self.lifecycle.take_over()
        if state is not None:
            out.append(self.handover.restore(now_us, state, clients_held))
        self.limits.lend(clients_held, connections_held)
        return self._complete(now_us, out)

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
        state = self.handover.capture()
        self.load_balancer.yield_to_successor(True)
        self.lifecycle.hand_over(now_us)
        return state, self._complete(now_us, [LogEvent(events.HANDED_OVER, self._open_counts())])

    def keep_connections(self, parts: int) -> int:
        """Leaves all but one of so many parts of connections to the successor; returns how many stay."""
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
        return self._complete(now_us, self.timers.run_due(now_us))

    # What every event may bring

    def _complete(self, now_us: int, out: list[Command]) -> list[Command]:
        """Adds what follows from any event: the listener, a hand-over to ask for, the timer, and the end."""
        accept = self.listener_control.update(now_us)
        if accept is not None:
            out.append(accept)
        lifecycle = self.lifecycle
        if lifecycle.is_taking_over and not lifecycle.has_asked_predecessor and self.can_serve(now_us):
            lifecycle.ask_predecessor()
            out.append(commands.BeginTakeover())
        timer_us = self.timers.next_us(now_us)
        if timer_us != self.timer_us:
            self.timer_us = timer_us
            out.append(commands.SetTimer(timer_us))
        if not lifecycle.has_open_listener and lifecycle.end(
            now_us, has_work=bool(self.clients.open or self.requests.pending)
        ):
            out.append(commands.Exit())
        return out
