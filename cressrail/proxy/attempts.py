"""Attempts: requests that have been given to an endpoint's connection and have not ended there."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from cressrail.buffers.pool import BufferChain
from cressrail.logs import events
from cressrail.policy.concurrency_limit import MAX_THRESHOLD
from cressrail.policy.load_balancer import LoadBalancer
from cressrail.policy.outcome import Outcome
from cressrail.policy.routed_request import RoutedRequest
from cressrail.proxy.commands import CancelAttempt, Command, LogEvent, SendAttempt
from cressrail.proxy.endpoint_connections import EndpointConnections
from cressrail.proxy.endpoint_registry import EndpointRegistry
from cressrail.proxy.id_sequence import IdSequence
from cressrail.proxy.requests import PendingRequest

if TYPE_CHECKING:
    from cressrail.proxy.zone_statistics import ZoneStatistics


class Attempt:
    """An attempt in flight.

    Attributes:
        routed_request: The request that it is for.
        number: Its number among the attempts of the request.
        endpoint: Index of the endpoint.
        connection: The connection that it goes over.
        sent_us: When it was given to the connection; of a request that its client still sends, when all was
            sent.
    """

    def __init__(
        self, routed_request: RoutedRequest, number: int, endpoint: int, connection: int, sent_us: int
    ) -> None:
        self.routed_request = routed_request
        self.number = number
        self.endpoint = endpoint
        self.connection = connection
        self.sent_us = sent_us


class AttemptResult(NamedTuple):
    """How an attempt ended.

    Attributes:
        outcome: What the endpoint made of it.
        is_connection_reusable: Whether the connection may carry another attempt.
        body: Of the answer, if there is one.
        content_type: Of the body.
        reason: For the log, where the attempt did not succeed.
        has_endpoint_refused: Whether the endpoint refused or reset the connection before it was up.
    """

    outcome: Outcome
    is_connection_reusable: bool
    body: BufferChain | None = None
    content_type: bytes = b""
    reason: str = ""
    has_endpoint_refused: bool = False


class Attempts:
    """Owns the attempts in flight, and what they tell of endpoints.

    Attributes:
        in_flight: By id.
        zone_statistics: Counts by zone, where a failover leader goes by them.
    """

    def __init__(
        self,
        load_balancer: LoadBalancer,
        registry: EndpointRegistry,
        connections: EndpointConnections,
        ids: IdSequence,
    ) -> None:
        self.load_balancer = load_balancer
        self.registry = registry
        self.connections = connections
        self.ids = ids
        self.in_flight: dict[int, Attempt] = {}
        self.zone_statistics: ZoneStatistics | None = None

    def start(
        self,
        now_us: int,
        routed_request: RoutedRequest,
        pending: PendingRequest,
        endpoint: int,
        timeout_us: int,
    ) -> tuple[int, list[Command]]:
        """Starts the next attempt of a request at an endpoint.

        Returns:
            The attempt's number among those of its request, and the commands. There is no `SendAttempt` among
            them
            if no connection can be had.
        """
        attempt = self.ids.next_id()
        number = pending.take_number()
        commands: list[Command] = []
        connection, is_new = self.connections.acquire(now_us, endpoint, commands)
        if connection < 0:
            return number, commands
        registered = self.registry.endpoints[endpoint]
        pending.add_attempt(number, attempt)
        self.in_flight[attempt] = Attempt(routed_request, number, endpoint, connection, now_us)
        commands.append(
            SendAttempt(
                connection,
                is_new,
                attempt,
                registered.host,
                registered.port,
                pending.request,
                now_us + timeout_us,
                self.connections.open[connection].settled_us,
            )
        )
        return number, commands

    def set_sent(self, attempt: int, now_us: int) -> None:
        """The last byte of an attempt has gone whose request was still coming when it started."""
        self.in_flight[attempt].sent_us = now_us

    def remove(self, attempt: int) -> Attempt:
        """The attempt has ended. Returns what it was."""
        return self.in_flight.pop(attempt)

    def cancel(self, attempt: int) -> list[Command]:
        """Returns the command to cancel an attempt, if it is in flight."""
        cancelled = self.in_flight.get(attempt)
        return [] if cancelled is None else [CancelAttempt(cancelled.connection, attempt)]

    def check_before_send(self, now_us: int, attempt: int) -> tuple[Outcome, str] | None:
        """Returns how an attempt ends without being sent, and why; None if it may be sent.

        Asked just before the first byte of each attempt, as much may have changed while it waited for a
        connection.
        """
        checked = self.in_flight[attempt]
        if checked.routed_request.is_finished:  # also where attempts in flight may not be cancelled
            return Outcome.CANCELLED, "request already answered, or client disconnected"
        registered = self.registry.endpoints[checked.endpoint]
        accepts_requests = self.load_balancer.endpoints[checked.endpoint].accepts_requests
        if not accepts_requests or not self.connections.open[checked.connection].leads_to(registered):
            return Outcome.REJECTED_BY_ENDPOINT, "endpoint draining, removed or restarted"
        if not checked.routed_request.may_send(checked.number, now_us):
            return Outcome.NOT_SENT, "outside key scope or idempotency window"
        return None

    def log_failure(
        self, now_us: int, attempt: Attempt, pending: PendingRequest, result: AttemptResult
    ) -> Command:
        """Returns the log line for an attempt that did not succeed."""
        return LogEvent(
            events.ATTEMPT_FAILED,
            {
                "request_id": pending.request_id,
                "outcome": result.outcome.name.lower(),
                "reason": result.reason,
                "endpoint": self.registry.endpoints[attempt.endpoint].name,
                "duration_us": now_us - attempt.sent_us,
            },
        )

    def count_by_zone(self, now_us: int, attempt: Attempt, result: AttemptResult) -> None:
        """Counts an attempt that ended, where a failover leader goes by such counts."""
        if self.zone_statistics is None:
            return
        routed_request = attempt.routed_request
        took_us = now_us - attempt.sent_us
        # Not the limits' latency threshold, which follows the baseline: what endangers the latency objective.
        late_us = MAX_THRESHOLD * routed_request.request_class.latency_objective_us
        is_late = result.body is not None and took_us > late_us
        zone = routed_request.attempts[attempt.number].zone
        self.zone_statistics.on_attempt_finished(zone, result.outcome, took_us, is_late)

    def set_zone_statistics(self, zone_statistics: ZoneStatistics | None) -> None:
        """Attempts are counted by zone from now on, or (None) no more."""
        self.zone_statistics = zone_statistics

    def report_unavailable(self, now_us: int, connection: int) -> list[Command]:
        """The process that a connection was made to is gone, unless a later one is listed by now."""
        lost = self.connections.open[connection]
        registered = self.registry.endpoints.get(lost.endpoint)
        if registered is None or not lost.leads_to(registered):
            return []
        is_known = now_us < self.load_balancer.endpoints[lost.endpoint].unavailable_until_us
        self.load_balancer.on_connection_lost(now_us, lost.endpoint)
        return [] if is_known else [LogEvent(events.ENDPOINT_UNAVAILABLE, {"endpoint": registered.name})]

    def forget_if_removed(self, endpoint: int) -> None:
        """Drops the records of an endpoint that has left the list, once no attempt to it is in flight.

        The load balancer's count of attempts in flight is not asked: it leaves those out whose request still
        comes.
        """
        registered = self.registry.endpoints.get(endpoint)
        if registered is None or not registered.entry.is_removed:
            return
        if all(attempt.endpoint != endpoint for attempt in self.in_flight.values()):
            self.registry.forget(endpoint)
            self.load_balancer.forget_endpoint(endpoint)
