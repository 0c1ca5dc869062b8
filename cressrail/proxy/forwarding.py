"""What happens to a request between its client and the endpoints, as the load balancer decides."""

from __future__ import annotations

from collections import deque

from cressrail.buffers.pool import BufferChain
from cressrail.http1.response import Response
from cressrail.logs import events
from cressrail.policy.decision import (
    CancelAttempt,
    Decision,
    RejectRequest,
    StartAttempt,
)
from cressrail.policy.load_balancer import LoadBalancer
from cressrail.policy.outcome import Outcome
from cressrail.policy.routed_request import RoutedRequest
from cressrail.proxy.attempts import AttemptResult, Attempts
from cressrail.proxy.clients import Client, Clients
from cressrail.proxy.commands import Command, LogEvent, ReleaseBody, SendResponse
from cressrail.proxy.lifecycle import Lifecycle
from cressrail.proxy.request_counters import RequestCounters
from cressrail.proxy.requests import (
    TENANT_FIELD,
    PendingRequest,
    PendingRequests,
)

CLIENT_CHECK_AGE_US = 100_000  # the client of an older request may have left: looked for before a first byte
SUCCESS_STATUS = 200
INVALID_REQUEST_STATUS = 400
FAILED_STATUS = 502  # may have taken effect
REJECTED_STATUS = 503  # has had no effect


class RequestForwarder:
    """Turns decisions of the load balancer into commands, and ends of attempts into answers."""

    def __init__(
        self,
        load_balancer: LoadBalancer,
        lifecycle: Lifecycle,
        clients: Clients,
        requests: PendingRequests,
        attempts: Attempts,
        counters: RequestCounters,
    ) -> None:
        self.load_balancer = load_balancer
        self.lifecycle = lifecycle
        self.clients = clients
        self.requests = requests
        self.attempts = attempts
        self.counters = counters

    # Decisions

    def _apply_decisions(self, now_us: int, decisions: list[Decision]) -> list[Command]:
        """Turns decisions into commands. What follows from one at once is decided after those at hand."""
        commands: list[Command] = []
        remaining = deque(decisions)
        while remaining:
            decision = remaining.popleft()
            request = decision.request
            if isinstance(decision, StartAttempt):
                remaining += self._start_attempt(
                    now_us, request, decision.endpoint_index, decision.timeout_us, commands
                )
            elif isinstance(decision, CancelAttempt):
                attempt = self.requests.pending[request].attempts[decision.attempt_number]
                commands += self.attempts.cancel(attempt)
            elif isinstance(decision, RejectRequest):
                commands += self._end_request(now_us, request, True, decision.retry_after_us)
            else:
                commands += self._end_request(now_us, request, False, 0)
        return commands

    def _start_attempt(
        self,
        now_us: int,
        routed_request: RoutedRequest,
        endpoint: int,
        timeout_us: int,
        commands: list[Command],
    ) -> list[Decision]:
        pending = self.requests.pending[routed_request]
        number, started = self.attempts.start(now_us, routed_request, pending, endpoint, timeout_us)
        commands += started
        if number in pending.attempts:
            return []
        # No connection can be had: nothing was sent, and the endpoint is not to blame.
        decisions = routed_request.on_attempt_finished(number, now_us, Outcome.NOT_SENT, 0, False)
        open_connections = len(self.attempts.connections.open)
        commands.append(
            LogEvent(events.CONNECTION_LIMIT_REACHED, {"side": "endpoints", "open": open_connections})
        )
        return decisions

    def _end_request(
        self, now_us: int, routed_request: RoutedRequest, is_rejected: bool, retry_after_us: int
    ) -> list[Command]:
        """Answers a request that no endpoint has answered."""
        pending = self.requests.pending[routed_request]
        status = REJECTED_STATUS if is_rejected else FAILED_STATUS
        if pending.is_invalid:
            status = INVALID_REQUEST_STATUS
        commands = self._answer(routed_request, Response(status, retry_after_us=retry_after_us))
        commands.append(
            LogEvent(
                events.REQUEST_REJECTED if is_rejected else events.REQUEST_FAILED,
                {
                    "request_id": pending.request_id,
                    "request_class": pending.class_name,
                    "tenant": pending.request.header_text(TENANT_FIELD),
                    "attempts": pending.attempt_count,
                    "remaining_us": routed_request.deadline_us - now_us,
                },
            )
        )
        return commands + self.requests.release(routed_request)

    def on_timer(self, now_us: int) -> list[Command]:
        """Asks the load balancer for what is decided by time alone."""
        if now_us < self.load_balancer.wake_us:
            return []
        return self._apply_decisions(now_us, self.load_balancer.on_timer(now_us))

    def has_unanswered(self) -> bool:
        """Whether a client waits for an answer that has not begun."""
        return any(
            client.routed_request is not None
            and not self.requests.pending[client.routed_request].streaming_attempt
            for client in self.clients.open.values()
        )

    def finish_all_now(self, now_us: int) -> list[Command]:
        """Answers all that is not answered, before the platform's kill would cut it off."""
        waiting = [
            client.routed_request
            for client in self.clients.open.values()
            if client.routed_request is not None
        ]
        commands: list[Command] = []
        for routed_request in waiting:
            if not self.requests.pending[routed_request].streaming_attempt:
                commands += self._apply_decisions(now_us, routed_request.finish_now())
        return commands

    # Answers

    def closes_after_response(self, client: Client) -> bool:
        """Whether the answer that a client is sent is the last on its connection."""
        return self.lifecycle.rules.closes_after_response or client.is_over_limit or not client.keep_alive

    def reply(
        self, client: int, status: int, body: BufferChain | None, request_class: str | None = None
    ) -> list[Command]:
        """Answers a request that is not forwarded; counted under its request class, if one is given."""
        if request_class is not None:
            self.counters.on_final_answer(request_class, status)
        commands: list[Command] = [ReleaseBody(body)] if body else []
        closes = self.closes_after_response(self.clients.open[client])
        return [*commands, SendResponse(client, Response(status), closes)]

    def _answer(self, routed_request: RoutedRequest, response: Response) -> list[Command]:
        self._finish(routed_request, response.status)
        client = self.requests.pending[routed_request].client
        return [SendResponse(client, response, self.closes_after_response(self.clients.open[client]))]

    def _finish(self, routed_request: RoutedRequest, status: int) -> None:
        """Its answer is final; the one place where a forwarded request is counted."""
        pending = self.requests.pending[routed_request]
        self.clients.clear_request(pending.client)
        self.counters.on_final_answer(pending.class_name, status)
        self.requests.release_id(routed_request)

    # Requests

    def start(self, now_us: int, routed_request: RoutedRequest, pending: PendingRequest) -> list[Command]:
        """Routes a new request."""
        self.clients.set_request(pending.client, routed_request)
        self.requests.add(routed_request, pending)
        return self._apply_decisions(now_us, routed_request.route(now_us))

    def complete(self, now_us: int, client: int, arrived_us: int) -> bool:
        """The last byte of a request has come that was forwarded before: its time runs from here.

        Returns:
            Whether the request still waits for its answer.
        """
        routed_request = self.clients.open[client].routed_request
        if routed_request is None or routed_request.is_finished:
            return False
        pending = self.requests.pending[routed_request]
        self.clients.set_keep_alive(client, pending.request.keep_alive)
        limit_us = min(pending.time_limit_us, self.lifecycle.answer_all_us - now_us)
        routed_request.start_clock(now_us, max(0, limit_us - (now_us - arrived_us)))
        return True

    def abort(self, now_us: int, client: int, status: int) -> list[Command]:
        """A request was forwarded before all of it had come, and the rest never will come.

        An endpoint begins nothing that is incomplete, so nothing of it has run.
        """
        routed_request = self.clients.open[client].routed_request
        if routed_request is None or routed_request.is_finished:  # it has its answer already
            return []
        request_class = self.requests.pending[routed_request].class_name
        self.requests.release_id(routed_request)
        self.clients.clear_request(client)
        commands = self._apply_decisions(now_us, routed_request.on_client_disconnected())
        commands += self.requests.release(routed_request)
        return commands + self.reply(client, status, None, request_class)

    def drop_request(self, now_us: int, routed_request: RoutedRequest | None) -> list[Command]:
        """A client has left: the attempts of its request, if any, are cancelled where that is allowed."""
        if routed_request is None:
            return []
        self.requests.release_id(routed_request)
        commands = self._apply_decisions(now_us, routed_request.on_client_disconnected())
        streaming = self.requests.pending[routed_request].streaming_attempt
        if streaming and self.load_balancer.may_cancel:
            commands += self.attempts.cancel(streaming)
        return commands + self.requests.release(routed_request)

    def waiting_client(self, now_us: int, attempt: int) -> int:
        """Returns the client of an attempt if it has waited so long that it may have left; else 0."""
        routed_request = self.attempts.in_flight[attempt].routed_request
        if routed_request.is_finished:
            return 0
        pending = self.requests.pending[routed_request]
        return pending.client if now_us - pending.arrived_us >= CLIENT_CHECK_AGE_US else 0

    # Ends of attempts

    def on_attempt_sent(self, now_us: int, attempt: int) -> None:
        """The last byte of an attempt has gone to its endpoint, which begins a request only then."""
        self.counters.on_attempt_sent()
        sent = self.attempts.in_flight[attempt]
        if self.requests.pending[sent.routed_request].request.is_streaming:
            self.attempts.set_sent(attempt, now_us)

    def on_response_started(self, now_us: int, attempt: int, response: Response) -> list[Command]:
        """An answer too large to keep has begun. From here on it is the request's only answer.

        To the load balancer the attempt has ended, as the endpoint's work is done: slow readers would hold
        limits while endpoints have nothing to do.
        """
        started = self.attempts.in_flight[attempt]
        routed_request = started.routed_request
        pending = self.requests.pending[routed_request]
        pending.begin_stream(attempt)
        request, client = pending.request, self.clients.open[pending.client]
        if response.content_length is None and not request.is_http11:
            self.clients.set_keep_alive(
                pending.client, False
            )  # only the connection's end tells the answer's end
        decisions = routed_request.on_attempt_finished(
            started.number, now_us, Outcome.SUCCEEDED, now_us - started.sent_us, True
        )
        commands = self._apply_decisions(now_us, decisions)
        closes = self.closes_after_response(client)
        commands.append(SendResponse(pending.client, response, closes, request.is_http11))
        return commands

    def on_attempt_finished(self, now_us: int, attempt: int, result: AttemptResult) -> list[Command]:
        """Answers the request if the attempt has, else does what the load balancer decides."""
        ended = self.attempts.remove(attempt)
        routed_request = ended.routed_request
        pending = self.requests.pending[routed_request]
        connections = self.attempts.connections
        has_succeeded = result.outcome is Outcome.SUCCEEDED
        commands: list[Command] = []
        if result.has_endpoint_refused:
            commands += self.attempts.report_unavailable(now_us, ended.connection)
        if result.is_connection_reusable:
            commands += connections.release(now_us, ended.connection)
        is_answer = has_succeeded and not routed_request.is_finished
        routed_request.is_body_gone = routed_request.is_body_gone or pending.request.is_partly_consumed
        if pending.streaming_attempt == attempt:
            self._finish_stream(routed_request, pending, has_succeeded)
        if result.body is not None:
            if is_answer:
                response = Response(SUCCESS_STATUS, result.body, result.content_type)
                commands += self._answer(routed_request, response)
            else:
                commands.append(ReleaseBody(result.body))
        if not has_succeeded:
            commands.append(self.attempts.log_failure(now_us, ended, pending, result))
        pending.set_invalid(result.outcome is Outcome.INVALID_REQUEST)
        self.attempts.count_by_zone(now_us, ended, result)
        decisions = routed_request.on_attempt_finished(
            ended.number, now_us, result.outcome, now_us - ended.sent_us, is_answer
        )
        commands += self._apply_decisions(now_us, decisions)
        self.attempts.forget_if_removed(ended.endpoint)
        return commands + self.requests.release(routed_request)

    def _finish_stream(
        self, routed_request: RoutedRequest, pending: PendingRequest, has_succeeded: bool
    ) -> None:
        """An answer that was passed on has ended or broken off; there is no other one."""
        pending.end_stream()
        if self.requests.is_answer_due(pending):
            self._finish(routed_request, SUCCESS_STATUS if has_succeeded else FAILED_STATUS)
