"""The proxy as one state machine: each event is a method call that returns the commands to execute.

Clients, connections to endpoints and attempts are identified by integer ids. `network` assigns the ids of
clients, and the state machine assigns the others. The sockets belong to the tasks in `network` that execute
the commands. Times are in us.
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
from cressrail.proxy.endpoint_list import Acceptance, Confirmation, EndpointListWatch
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

LOGGED_FAULTS = 3  # maximum number of unreadable entries to log per update of the endpoint list


class StateMachine:
    """Connects the owners of the proxy's resources.

    Attributes:
        load_balancer: Decides which endpoint a request is sent to, and when to answer it without one.
        registry: The endpoints' addresses.
        limits: The limits on open connections.
        lifecycle: The state of the process.
        endpoint_watch: The watch on the endpoint list.
        clients: The connections of clients.
        connections: The connections to endpoints.
        requests: The requests that wait for their response or have an attempt in flight.
        attempts: The attempts in flight.
        counters: The counters that operators read.
        timer_us: Time of the next `on_timer` call; -1 before the first timer is set.
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
            load_balancer,
            self.lifecycle,
            self.endpoint_watch,
            self.clients,
            self.requests,
            self.attempts,
            self.counters,
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
        """Starts with a known endpoint list; with `has_predecessor`, another process must hand over first."""
        if has_predecessor:
            self.lifecycle.wait_for_predecessor()
        updates, _, _ = self.registry.apply(known)
        self.load_balancer.update_endpoints(now_us, updates, is_complete=True, is_poll_answer=False)
        return self._complete(now_us, [self.endpoint_watch.start(now_us, known.revision)])

    def on_endpoint_list(
        self, now_us: int, update: EndpointListUpdate, asked_us: int | None = None
    ) -> list[Command]:
        """Handles a complete or partial update of the endpoint list from discovery.

        Args:
            now_us: The current time.
            update: The update.
            asked_us: When it was asked for, so that its news may be as old as that; None: it is new.
        """
        out: list[Command] = [
            LogEvent(events.MALFORMED_MESSAGE, {"from": "discovery", "reason": fault})
            for fault in update.errors[:LOGGED_FAULTS]
        ]
        is_first, held_revision = not self.endpoint_watch.has_list, self.endpoint_watch.revision
        acceptance = self.endpoint_watch.accept(now_us, update, now_us if asked_us is None else asked_us)
        if acceptance is Acceptance.OUTDATED:
            return out
        if acceptance is Acceptance.REVISIONS_RESTARTED:
            fields: dict[str, Any] = {"revision": update.revision, "older_than": held_revision}
            watch = self.endpoint_watch.open_after_old_revision(now_us)
            return [*out, LogEvent(events.ENDPOINT_LIST_UPDATED, fields), watch]
        updates, stale_connections, removed = self.registry.apply(update)
        if updates or update.is_complete or is_first:
            self.load_balancer.update_endpoints(now_us, updates, is_complete=update.is_complete)
            fields = {"revision": update.revision, "complete": update.is_complete, "entries": len(updates)}
            out.append(LogEvent(events.ENDPOINT_LIST_UPDATED, fields))
        out += self.connections.close_idle(stale_connections)
        for endpoint in removed:
            self.attempts.forget_if_removed(endpoint)
        return self._complete(now_us, out)

    def on_list_unchanged(self, now_us: int) -> None:
        """Handles discovery's heartbeat on the watch: the list in use is still its own."""
        self.endpoint_watch.confirm(now_us, Confirmation.EMPTY_LINE)

    def on_discovery_connected(self, now_us: int) -> None:
        """Handles a connection to discovery having come about."""
        self.endpoint_watch.on_connected(now_us)

    def next_watch_call(self, now_us: int) -> commands.WatchEndpoints:
        """Returns the command for a call to discovery that begins now."""
        return self.endpoint_watch.call(now_us)

    def on_list_change_begun(self) -> None:
        """Handles a part of a change: discovery has news that the list in use does not have."""
        self.endpoint_watch.has_change_begun = True

    def on_watch_ended(self, now_us: int, reason: str, open_calls: int = 0) -> list[Command]:
        """Handles the end of a call for the watch on the endpoint list; has another begun after a delay.

        Args:
            now_us: The current time.
            reason: Why the call ended, for the log.
            open_calls: Number of other calls that are still open.
        """
        if not open_calls:
            self.load_balancer.on_list_failed(now_us)
        age = self.endpoint_watch.age_fields(now_us)
        delay_us = self.endpoint_watch.retry_delay_us(now_us)
        fields = {"reason": reason, "retry_in_us": delay_us, "open_calls": open_calls, **age}
        log_event = LogEvent(events.WATCH_ENDED, fields)
        return self._complete(now_us, [log_event, self.endpoint_watch.open(now_us + delay_us)])

    def on_discovery_address(self, now_us: int, discovery: tuple[str, int]) -> list[Command]:
        """Handles a reload of the configuration, which names this address of discovery."""
        watches = self.endpoint_watch.change_discovery(now_us, discovery)
        return self._complete(now_us, [*watches]) if watches else []

    def endpoint_list(self) -> dict[str, Any]:
        """Returns the endpoint list in the format that discovery sends, for the successor process."""
        return self.handover.endpoint_list(self.endpoint_watch.revision)

    # Other instances

    def on_instance_count(self, now_us: int, total: float, in_zone: float) -> list[Command]:
        """Handles a change in the number of running instances, in total and in this instance's own zone."""
        self.load_balancer.update_instance_count(now_us, total, in_zone)
        return self._complete(now_us, [])

    def set_zone_statistics(self, now_us: int, zone_statistics: ZoneStatistics | None) -> list[Command]:
        """Starts to count attempts by zone, or stops if `zone_statistics` is None.

        This also clears the zone weights, since without a failover leader they would not be updated.
        """
        self.attempts.set_zone_statistics(zone_statistics)
        return self.on_zone_weights(now_us, (), 0.0)

    def on_zone_weights(self, now_us: int, weights: Sequence[float], share: float) -> list[Command]:
        """Applies the failover leader's zone weights to this share of the own zone's traffic."""
        self.load_balancer.apply_zone_weights(weights, share)
        return self._complete(now_us, [])

    def on_peer_reports(
        self, now_us: int, ejected: list[int], warmup_load: dict[int, tuple[float, float]]
    ) -> list[Command]:
        """Handles reports of other instances on failing endpoints and on endpoints that warm up.

        Args:
            now_us: The current time.
            ejected: Indices of the endpoints that other instances report as failing.
            warmup_load: Load on each endpoint that is warming up, by index, as two rates in attempts per us:
                what all other instances send, and what all instances would send if it were warmed up.
        """
        self.load_balancer.apply_peer_warmup_load(warmup_load)
        self.load_balancer.apply_peer_ejections(now_us, ejected)
        return self._complete(now_us, [])

    # Clients

    def on_client_connected(self, now_us: int, client: int, silent_since_us: int) -> list[Command]:
        """Handles a newly accepted client; another one may be closed to make room.

        Args:
            now_us: The current time.
            client: The client's id.
            silent_since_us: When the client connected; `now_us` if it has sent something since.
        """
        self.lifecycle.record_client(now_us)
        closed = self.clients.connect(now_us, client, silent_since_us)
        read = commands.ReadRequest(client)
        return self._complete(now_us, [read] if closed is None else [closed, read])

    def on_request_started(self, now_us: int, client: int, began_us: int | None = None) -> list[Command]:
        """Handles the first byte of a request, which came at `began_us`, or now if that is None."""
        self.clients.start_receiving(now_us, client, now_us if began_us is None else began_us)
        return self._complete(now_us, [])

    def on_request_progress(self, now_us: int, client: int, arrived_us: int) -> list[Command]:
        """Handles further bytes of a request, which arrived at `arrived_us`."""
        self.clients.record_progress(arrived_us, client)
        return self._complete(now_us, [])

    def may_close_amid_request(self, now_us: int, began_us: int, last_progress_us: int) -> bool:
        """Returns whether a client has stalled in its request, or takes so long that it may be closed."""
        has_stalled = now_us - last_progress_us >= clients.CLIENT_STALL_US
        return has_stalled or now_us - began_us >= clients.REQUEST_SPAN_US

    def on_request(self, now_us: int, client: int, request: Request, arrived_us: int) -> list[Command]:
        """Handles a request complete at `arrived_us`, or the head of one that is forwarded as it arrives."""
        return self._complete(now_us, self.intake.handle(now_us, client, request, arrived_us))

    def on_request_complete(self, now_us: int, client: int, arrived_us: int) -> list[Command]:
        """Handles the last byte of a request that is forwarded while it arrives."""
        return self._complete(now_us, self.forwarder.complete(now_us, client, arrived_us))

    def upload_time_limit_us(self, client: int) -> int | None:
        """Returns the time limit of the request that a client is sending; None if no response is wanted."""
        return self.forwarder.upload_time_limit_us(client)

    def on_upload_expired(self, now_us: int, client: int) -> list[Command]:
        """Handles a request that is forwarded while it arrives and whose endpoint took it too slowly."""
        self.clients.set_keep_alive(client, False)
        return self._complete(now_us, self.forwarder.expire(now_us, client))

    def on_request_aborted(self, now_us: int, client: int, status: int, reason: str) -> list[Command]:
        """Handles a request that is forwarded while it arrives and that its client fails to complete."""
        self.clients.set_keep_alive(client, False)
        log_event = LogEvent(events.MALFORMED_MESSAGE, {"from": "client", "reason": reason})
        return self._complete(now_us, [log_event, *self.forwarder.abort(now_us, client, status)])

    def on_malformed_request(self, now_us: int, client: int, status: int, reason: str) -> list[Command]:
        """Handles input from a client that is malformed, too slow or too large."""
        self.clients.set_keep_alive(client, False)
        self.clients.stop_tracking(client)
        log_event = LogEvent(events.MALFORMED_MESSAGE, {"from": "client", "reason": reason})
        return self._complete(now_us, [log_event, *self.forwarder.reply(client, status, None)])

    def on_response_written(self, now_us: int, client: int) -> list[Command]:
        """Handles a response that was written to its client completely."""
        if self.forwarder.closes_after_response(self.clients.open[client]):
            return self._complete(now_us, [commands.CloseClient(client, only_if_idle=False)])
        self.clients.mark_idle(client)
        return self._complete(now_us, [commands.ReadRequest(client)])

    def on_client_closed(self, now_us: int, client: int, has_taken_answers: bool = True) -> list[Command]:
        """Handles the end of a client's connection, whichever side closed it.

        Args:
            now_us: The current time.
            client: The client's id.
            has_taken_answers: Whether the client surely has all that was written to it.
        """
        removed = self.clients.remove(client)
        if removed.answered_id and not has_taken_answers:
            self.forwarder.keep_id(now_us, removed.answered_id)
        return self._complete(now_us, self.forwarder.drop_request(now_us, removed.routed_request))

    def on_client_disconnected(self, now_us: int, client: int) -> list[Command]:
        """Handles a client that has closed its connection before its task has noticed."""
        routed_request = self.clients.clear_request(client)
        return self._complete(now_us, self.forwarder.drop_request(now_us, routed_request))

    def awaits_response(self, client: int) -> bool:
        """Returns whether a client waits for the response to a request that has been forwarded."""
        routed_request = self.clients.open[client].routed_request
        return routed_request is not None and not routed_request.is_finished

    def is_full(self) -> bool:
        """Returns whether new clients may have to wait until another one closes."""
        return self.clients.is_full()

    # Attempts

    def attempt_deadline_us(self, attempt: int) -> int:
        """Returns when an attempt times out, given that its request has arrived completely."""
        return self.attempts.in_flight[attempt].routed_request.deadline_us

    def time_limit_us(self, attempt: int) -> int:
        """Returns the time limit of an attempt's request, which starts when the client has sent all of it."""
        return self.requests.pending[self.attempts.in_flight[attempt].routed_request].time_limit_us

    def waiting_client(self, attempt: int) -> int:
        """Returns the client that waits for the answer to an attempt's request; 0 if none does any more."""
        return self.forwarder.waiting_client(attempt)

    def check_before_send(
        self, now_us: int, attempt: int, established_us: int = 0
    ) -> tuple[Outcome, str] | None:
        """Returns the outcome and reason if an attempt must not be sent any more; None if it may be sent.

        Args:
            now_us: The current time.
            attempt: The attempt.
            established_us: When its connection was established.
        """
        return self.forwarder.check_before_send(now_us, attempt, established_us)

    def is_attempt_wanted(self, attempt: int) -> bool:
        """Returns whether the request of an attempt still lacks its answer, and its client is there."""
        return not self.attempts.in_flight[attempt].routed_request.is_finished

    def on_attempt_sent(self, now_us: int, attempt: int) -> None:
        """Handles the last byte of an attempt having been sent to its endpoint."""
        self.forwarder.on_attempt_sent(now_us, attempt)

    def on_response_started(self, now_us: int, attempt: int, response: Response) -> list[Command]:
        """Handles the start of a response that is too large to buffer and is streamed to the client."""
        if self.attempts.in_flight[attempt].routed_request.is_finished:
            return self.attempts.cancel(attempt)
        return self._complete(now_us, self.forwarder.on_response_started(now_us, attempt, response))

    def on_attempt_finished(self, now_us: int, attempt: int, result: AttemptResult) -> list[Command]:
        """Handles the end of an attempt, with or without a response."""
        return self._complete(now_us, self.forwarder.on_attempt_finished(now_us, attempt, result))

    # Connections to endpoints

    def on_idle_connection_reset(self, now_us: int, connection: int) -> list[Command]:
        """Handles the reset of an idle connection, which means that the endpoint's process has died."""
        self.connections.claim(connection)
        return self._complete(now_us, self.attempts.report_unavailable(now_us, connection))

    def on_connection_closed(self, connection: int) -> list[Command]:
        """Handles a connection to an endpoint having been closed."""
        self.connections.remove(connection)
        return []

    def on_descriptors_exhausted(self, now_us: int) -> list[Command]:
        """Handles a lack of file descriptors by closing one idle connection on each side."""
        open_counts = {
            "clients": len(self.clients.open),
            "endpoint_connections": len(self.connections.open),
        }
        out: list[Command] = [LogEvent(events.DESCRIPTORS_EXHAUSTED, open_counts)]
        out += self.connections.close_longest_idle()
        closable = self.clients.find_closable(now_us)
        if closable is not None:
            out.append(self.clients.close_if_idle(closable))
        return self._complete(now_us, out)

    # Operators

    def on_admin_call(
        self, now_us: int, method: bytes, path: bytes
    ) -> tuple[admin.AdminResponse, list[Command]]:
        """Handles a call of the admin API; returns the response and the commands."""
        response, out = self.admin_calls.answer(now_us, method, path)
        return response, self._complete(now_us, out) if out else []

    def is_healthy(self, now_us: int) -> bool:
        """Returns whether the health check succeeds, so that the ingress tier sends clients here."""
        return self.intake.is_healthy(now_us)

    def can_serve(self, now_us: int) -> bool:
        """Returns whether enough is known of the endpoints to route requests."""
        return self.endpoint_watch.can_serve(now_us)

    def _open_counts(self) -> dict[str, int]:
        return {"clients": len(self.clients.open), "requests": len(self.requests.pending)}

    # Hand-over between two processes

    def take_over(
        self, now_us: int, state: dict[str, Any] | None, clients_held: int, connections_held: int
    ) -> list[Command]:
        """Takes over from the predecessor process, which no longer accepts clients.

        Args:
            now_us: The current time.
            state: The predecessor's hand-over state; None if the predecessor has gone or does not respond.
            clients_held: Number of client descriptors that the predecessor keeps until
                `on_predecessor_exited`.
            connections_held: Number of connections to endpoints that it keeps until then.

        Returns:
            The commands to execute.
        """
        out: list[Command] = []
        self.lifecycle.take_over()
        if state is not None:
            out.append(self.handover.restore(now_us, state, clients_held))
        self.limits.reserve(clients_held, connections_held)
        return self._complete(now_us, out)

    def on_predecessor_exited(self, now_us: int, clients_held: int, connections_held: int) -> list[Command]:
        """Handles the exit of the predecessor process, which frees the connections that it held."""
        self.limits.release_reserved(clients_held, connections_held)
        return self._complete(now_us, [])

    def on_id_taken_elsewhere(self, now_us: int, request_id: str) -> None:
        """Handles a request that the other process of an upgrade has forwarded, with this id."""
        self.handover.reserve_id(now_us, request_id)

    def hand_over(self, now_us: int) -> tuple[dict[str, Any], list[Command]]:
        """Hands over to the successor process; returns the hand-over state and the commands.

        Idle clients are not closed. Instead each connection closes after its next response, so that no close
        crosses a request on its way, and clients reconnect to the successor for further requests.
        """
        state = self.handover.capture()
        self.load_balancer.yield_to_successor(True)
        self.lifecycle.hand_over(now_us)
        return state, self._complete(now_us, [LogEvent(events.HANDED_OVER, self._open_counts())])

    def keep_connections(self, parts: int) -> int:
        """Leaves a part of this process's limit on connections to endpoints to the successor.

        Args:
            parts: Divisor of the limit, which does not fall below the number of open connections.

        Returns:
            The limit that this process keeps.
        """
        self.limits.keep_fraction(parts, len(self.connections.open))
        return self.limits.endpoint_connections

    def on_successor_failed(self, now_us: int) -> list[Command]:
        """Handles the failure of the successor: this process serves again, unless it is stopping."""
        if not self.lifecycle.resume_ownership():
            return []
        self.load_balancer.yield_to_successor(False)
        return self._complete(now_us, [LogEvent(events.SUCCESSOR_FAILED, {})])

    # Timers and stop

    def on_stop_requested(self, now_us: int) -> list[Command]:
        """Handles a stop signal. Clients are accepted for a while: the ingress tier notices with a delay."""
        if not self.lifecycle.request_stop(now_us):
            return []
        return self._complete(now_us, [LogEvent(events.STOPPING, self._open_counts())])

    def on_timer(self, now_us: int) -> list[Command]:
        """Handles the expiry of the timer; may also be called at any other time."""
        return self._complete(now_us, self.timers.run_due(now_us))

    # Common to all events

    def _complete(self, now_us: int, out: list[Command]) -> list[Command]:
        """Appends the commands that any event may require: for listener, take-over, timer and exit."""
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
