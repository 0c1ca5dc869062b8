"""The attempts in flight: requests that were assigned to a connection to an endpoint and have not ended."""

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
from cressrail.proxy.lifecycle import NEVER_US
from cressrail.proxy.requests import PendingRequest

if TYPE_CHECKING:
    from cressrail.proxy.zone_statistics import ZoneStatistics


class Attempt:
    """An attempt in flight.

    Attributes:
        routed_request: The request that the attempt belongs to.
        number: Number of the attempt among those of its request, from 0.
        endpoint: Index of the endpoint.
        connection: Id of the connection that carries the attempt.
        sent_us: Time at which the attempt was assigned to the connection; if the client was still sending the
            request then, the time at which the last byte was sent to the endpoint.
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
        outcome: The outcome that the load balancer is notified of.
        is_connection_reusable: Whether the connection may carry another attempt.
        body: Body of the response; None if there is no response or it was streamed to the client.
        content_type: Content type of the body.
        reason: Why the attempt did not succeed, for the log.
        has_endpoint_refused: Whether the endpoint refused or reset the connection before it was established.
    """

    outcome: Outcome
    is_connection_reusable: bool
    body: BufferChain | None = None
    content_type: bytes = b""
    reason: str = ""
    has_endpoint_refused: bool = False


class Attempts:
    """Owns the attempts in flight and reports what they reveal about the availability of endpoints.

    Attributes:
        in_flight: The attempts in flight, by id.
        zone_statistics: Counts of attempts by zone, for the failover leader; None if they are not collected.
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
        established_by_us: int = NEVER_US,
    ) -> tuple[int, list[Command]]:
        """Starts the next attempt of a request at an endpoint.

        Args:
            now_us: The current time.
            routed_request: The request.
            pending: The request's state in the proxy.
            endpoint: Index of the endpoint.
            timeout_us: Time limit of the attempt.
            established_by_us: Idle connections that were established by then are preferred.

        Returns:
            The attempt's number among those of its request, and the commands. They contain no `SendAttempt`
            if no connection is available.
        """
        attempt = self.ids.next_id()
        number = pending.next_attempt_number()
        commands: list[Command] = []
        connection, is_new = self.connections.acquire(now_us, endpoint, commands, established_by_us)
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
        """Records when the last byte of an attempt was sent.

        Called only if the request is forwarded while it arrives: the attempt may have started long before.
        """
        self.in_flight[attempt].sent_us = now_us

    def remove(self, attempt: int) -> Attempt:
        """Removes an attempt that has ended, and returns it."""
        return self.in_flight.pop(attempt)

    def cancel(self, attempt: int) -> list[Command]:
        """Returns the command to cancel an attempt; empty if the attempt is not in flight."""
        cancelled = self.in_flight.get(attempt)
        return [] if cancelled is None else [CancelAttempt(cancelled.connection, attempt)]

    def check_before_send(
        self, now_us: int, attempt: int, established_us: int = NEVER_US, confirmed_us: int = NEVER_US
    ) -> tuple[Outcome, str] | None:
        """Returns the outcome and reason if an attempt must not be sent any more; None if it may be sent.

        Called just before the first byte of each attempt is sent, because the request and the endpoint may
        have changed state while the attempt waited for its connection.

        Args:
            now_us: The current time.
            attempt: The attempt.
            established_us: When its connection was established.
            confirmed_us: When the endpoint list was last confirmed, if that is too long ago for an address to
                be trusted; else `NEVER_US`.
        """
        checked = self.in_flight[attempt]
        self.connections.open[checked.connection].established_us = established_us
        if checked.routed_request.is_finished:  # also if attempts in flight may not be cancelled
            return Outcome.CANCELLED, "request already answered, or client disconnected"
        registered = self.registry.endpoints[checked.endpoint]
        accepts_requests = self.load_balancer.endpoints[checked.endpoint].accepts_requests
        if not accepts_requests or not self.connections.open[checked.connection].leads_to(registered):
            return Outcome.REJECTED_BY_ENDPOINT, "endpoint draining, removed or restarted"
        if not checked.routed_request.may_send(checked.number, now_us):
            return Outcome.NOT_SENT, "outside key scope or idempotency window"
        if checked.routed_request.possible_runs and established_us > confirmed_us:
            return Outcome.NOT_SENT, "endpoint list not confirmed of late: its address may lead elsewhere"
        return None

    def log_failure(
        self, now_us: int, attempt: Attempt, pending: PendingRequest, result: AttemptResult
    ) -> Command:
        """Returns the command to log an attempt that did not succeed."""
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
        """Counts an attempt that has ended, if zone statistics are collected."""
        if self.zone_statistics is None:
            return
        routed_request = attempt.routed_request
        took_us = now_us - attempt.sent_us
        # The latency threshold of the concurrency limits would be wrong here, since it follows the latency
        # baseline: an attempt is late if it endangers the latency objective.
        late_us = MAX_THRESHOLD * routed_request.request_class.latency_objective_us
        is_late = result.body is not None and took_us > late_us
        zone = routed_request.attempts[attempt.number].zone
        self.zone_statistics.on_attempt_finished(zone, result.outcome, took_us, is_late)

    def set_zone_statistics(self, zone_statistics: ZoneStatistics | None) -> None:
        """Starts to count attempts by zone, or stops if `zone_statistics` is None."""
        self.zone_statistics = zone_statistics

    def report_unavailable(self, now_us: int, connection: int) -> list[Command]:
        """Marks the endpoint of a lost connection as unavailable.

        Does nothing if discovery has since listed the endpoint with another address or start time: the
        connection then says nothing about the process listed now.
        """
        lost = self.connections.open[connection]
        registered = self.registry.endpoints.get(lost.endpoint)
        if registered is None or not lost.leads_to(registered):
            return []
        is_known = now_us < self.load_balancer.endpoints[lost.endpoint].unavailable_until_us
        self.load_balancer.on_connection_lost(now_us, lost.endpoint)
        return [] if is_known else [LogEvent(events.ENDPOINT_UNAVAILABLE, {"endpoint": registered.name})]

    def forget_if_removed(self, endpoint: int) -> None:
        """Drops the records of an endpoint removed from the list, unless an attempt to it is in flight.

        The load balancer's count of attempts in flight can't be used for this check: it leaves out attempts
        whose request the client is still sending.
        """
        registered = self.registry.endpoints.get(endpoint)
        if registered is None or not registered.entry.is_removed:
            return
        if all(attempt.endpoint != endpoint for attempt in self.in_flight.values()):
            self.registry.forget(endpoint)
            self.load_balancer.forget_endpoint(endpoint)
