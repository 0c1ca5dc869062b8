"""Forwarding of requests from clients to endpoints, and of responses back, as the load balancer decides."""

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
from cressrail.proxy.endpoint_list import EndpointListWatch
from cressrail.proxy.lifecycle import NEVER_US, Lifecycle
from cressrail.proxy.request_counters import RequestCounters
from cressrail.proxy.requests import (
    KEPT_ID_DEADLINES,
    TENANT_FIELD,
    PendingRequest,
    PendingRequests,
)

SUCCESS_STATUS = 200
INVALID_REQUEST_STATUS = 400
FAILED_STATUS = 502  # the request may have taken effect
REJECTED_STATUS = 503  # the request has had no effect
# An attempt ends itself at the deadline; this long after it, the request is answered in its place.
OVERDUE_US = 50_000


class RequestForwarder:
    """Turns the load balancer's decisions into commands, and the results of attempts into responses.

    Attributes:
        deadline_check_us: When to look for requests whose deadline has passed without an answer, whatever
            their attempts wait for.
    """

    def __init__(
        self,
        load_balancer: LoadBalancer,
        lifecycle: Lifecycle,
        endpoint_watch: EndpointListWatch,
        clients: Clients,
        requests: PendingRequests,
        attempts: Attempts,
        counters: RequestCounters,
    ) -> None:
        self.load_balancer = load_balancer
        self.lifecycle = lifecycle
        self.endpoint_watch = endpoint_watch
        self.clients = clients
        self.requests = requests
        self.attempts = attempts
        self.counters = counters
        self.deadline_check_us = NEVER_US

    # Decisions

    def _apply_decisions(self, now_us: int, decisions: list[Decision]) -> list[Command]:
        """Turns decisions into commands; further decisions that result from one are appended to the queue."""
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
        established_by_us = NEVER_US
        if routed_request.possible_runs:
            established_by_us = self._doubted_since_us(now_us, routed_request)
        number, started = self.attempts.start(
            now_us, routed_request, pending, endpoint, timeout_us, established_by_us
        )
        commands += started
        if number in pending.attempts:
            return []
        # No connection is available: nothing was sent, and the endpoint is not at fault.
        decisions = routed_request.on_attempt_finished(number, now_us, Outcome.NOT_SENT, 0, False)
        open_connections = len(self.attempts.connections.open)
        commands.append(
            LogEvent(events.CONNECTION_LIMIT_REACHED, {"side": "endpoints", "open": open_connections})
        )
        return decisions

    def _end_request(
        self, now_us: int, routed_request: RoutedRequest, is_rejected: bool, retry_after_us: int
    ) -> list[Command]:
        """Sends an error response to a request that no endpoint has answered."""
        pending = self.requests.pending[routed_request]
        status = REJECTED_STATUS if is_rejected else FAILED_STATUS
        if pending.is_invalid:
            status = INVALID_REQUEST_STATUS
        commands = self._answer(routed_request, Response(status, retry_after_us=retry_after_us))
        commands.append(self._log_end(pending, is_rejected, routed_request.deadline_us - now_us))
        return commands + self.requests.release(routed_request)

    def _log_end(self, pending: PendingRequest, is_rejected: bool, remaining_us: int) -> Command:
        """Returns the command to log a request that no endpoint has answered."""
        return LogEvent(
            events.REQUEST_REJECTED if is_rejected else events.REQUEST_FAILED,
            {
                "request_id": pending.request_id,
                "request_class": pending.class_name,
                "tenant": pending.request.header_text(TENANT_FIELD),
                "attempts": pending.attempt_count,
                "remaining_us": remaining_us,
            },
        )

    def on_timer(self, now_us: int) -> list[Command]:
        """Applies the load balancer's timed decisions, if any are due."""
        if now_us < self.load_balancer.wake_us:
            return []
        return self._apply_decisions(now_us, self.load_balancer.on_timer(now_us))

    def _watch_deadline(self, routed_request: RoutedRequest) -> None:
        """Has the deadline of a request checked, unless an earlier check finds it first."""
        due_us = routed_request.deadline_us + OVERDUE_US
        self.deadline_check_us = min(due_us, self.deadline_check_us)

    def answer_overdue(self, now_us: int) -> list[Command]:
        """Answers requests whose deadline has passed while an attempt still waits for its endpoint."""
        self.deadline_check_us = NEVER_US
        overdue = []
        for routed_request, pending in self.requests.pending.items():
            if routed_request.is_finished or routed_request.is_uploading or pending.streaming_attempt:
                continue
            if routed_request.deadline_us + OVERDUE_US <= now_us:
                overdue.append(routed_request)
            else:
                self._watch_deadline(routed_request)
        commands: list[Command] = []
        for routed_request in overdue:
            commands += self._apply_decisions(now_us, routed_request.finish_now())
        return commands

    def has_unanswered(self) -> bool:
        """Returns whether a client waits for a response that has not begun."""
        return any(
            client.routed_request is not None
            and not self.requests.pending[client.routed_request].streaming_attempt
            for client in self.clients.open.values()
        )

    def answer_all_now(self, now_us: int) -> list[Command]:
        """Answers all open requests whose response has not begun, before the platform kills the process."""
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

    # Responses

    def closes_after_response(self, client: Client) -> bool:
        """Returns whether the client's connection closes after the response that is sent now."""
        return (
            self.lifecycle.rules.closes_after_response
            or client.is_over_limit
            or client.is_replaced
            or not client.keep_alive
        )

    def reply(
        self, client: int, status: int, body: BufferChain | None, request_class: str | None = None
    ) -> list[Command]:
        """Sends a response without a body to a request that is not forwarded or was aborted.

        Args:
            client: The client's id.
            status: HTTP status of the response.
            body: Body of the request, which is released; None if there is none.
            request_class: Class under which the request is counted; None if it is not counted.
        """
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
        """Completes a request whose response is final, and counts it.

        Every forwarded request that gets a response is counted here, except aborted ones, which `reply`
        counts.
        """
        pending = self.requests.pending[routed_request]
        self.clients.clear_request(pending.client)
        self.clients.open[pending.client].answered_id = (
            "" if status == REJECTED_STATUS else pending.request_id
        )
        self.counters.on_final_answer(pending.class_name, status)
        self.requests.release_id(routed_request)

    # Requests

    def start(self, now_us: int, routed_request: RoutedRequest, pending: PendingRequest) -> list[Command]:
        """Routes a new request."""
        self.clients.set_request(pending.client, routed_request)
        self.requests.add(routed_request, pending)
        if not routed_request.is_uploading:
            self._watch_deadline(routed_request)
        return self._apply_decisions(now_us, routed_request.route(now_us))

    def complete(self, now_us: int, client: int, arrived_us: int) -> list[Command]:
        """Handles the last byte of a request that is forwarded while it arrives.

        The request's time limit runs from `arrived_us`, when that byte arrived. If it is over, the request is
        rejected: no endpoint has started it, since none has the last byte.
        """
        routed_request = self.clients.open[client].routed_request
        if routed_request is None or routed_request.is_finished:
            return []
        pending = self.requests.pending[routed_request]
        limit_us = min(pending.time_limit_us, self.lifecycle.answer_deadline_us - now_us)
        remaining_us = limit_us - (now_us - arrived_us)
        if remaining_us <= 0:
            return self.abort(now_us, client, REJECTED_STATUS)
        self.clients.set_keep_alive(client, pending.request.keep_alive)
        routed_request.start_clock(now_us, remaining_us)
        self._watch_deadline(routed_request)
        return []

    def upload_time_limit_us(self, client: int) -> int | None:
        """Returns the time limit of the request that a client is sending; None if no response is wanted.

        The limit leaves the response as much time to reach the client as the deadline of other requests.
        """
        routed_request = self.clients.open[client].routed_request
        if routed_request is None or routed_request.is_finished:
            return None
        limit_us = self.requests.pending[routed_request].time_limit_us
        return limit_us - routed_request.deadline_margin_us(limit_us)

    def expire(self, now_us: int, client: int) -> list[Command]:
        """Rejects a request that its endpoint takes so slowly that its time may be over.

        No endpoint has its last byte, so it has had no effect.
        """
        routed_request = self.clients.open[client].routed_request
        if routed_request is None or routed_request.is_finished:
            return []
        log_event = self._log_end(self.requests.pending[routed_request], is_rejected=True, remaining_us=0)
        return [*self.abort(now_us, client, REJECTED_STATUS), log_event]

    def abort(self, now_us: int, client: int, status: int) -> list[Command]:
        """Ends a request that was forwarded while it arrived, after its client failed to send the rest.

        Endpoints don't begin to process an incomplete request, so it has had no effect.
        """
        routed_request = self.clients.open[client].routed_request
        if routed_request is None or routed_request.is_finished:  # it already has its response
            return []
        request_class = self.requests.pending[routed_request].class_name
        self.requests.release_id(routed_request)
        self.clients.clear_request(client)
        commands = self._apply_decisions(now_us, routed_request.on_client_disconnected())
        commands += self.requests.release(routed_request)
        return commands + self.reply(client, status, None, request_class)

    def drop_request(self, now_us: int, routed_request: RoutedRequest | None) -> list[Command]:
        """Drops the request of a client that has left, and cancels its attempts where that is allowed."""
        if routed_request is None:
            return []
        self.requests.release_id(routed_request)
        if not routed_request.is_uploading and self.requests.may_run(routed_request):
            self.keep_id(now_us, self.requests.pending[routed_request].request_id)
        commands = self._apply_decisions(now_us, routed_request.on_client_disconnected())
        streaming = self.requests.pending[routed_request].streaming_attempt
        if streaming and self.load_balancer.may_cancel:
            commands += self.attempts.cancel(streaming)
        return commands + self.requests.release(routed_request)

    def keep_id(self, now_us: int, request_id: str) -> None:
        """Keeps the id of a request in use that may have run, and whose client does not know that."""
        until_us = now_us + KEPT_ID_DEADLINES * self.lifecycle.max_deadline_us
        self.requests.keep_left_id(now_us, request_id, until_us)

    def waiting_client(self, attempt: int) -> int:
        """Returns the client that waits for the answer to an attempt's request; 0 if none does any more."""
        routed_request = self.attempts.in_flight[attempt].routed_request
        return 0 if routed_request.is_finished else self.requests.pending[routed_request].client

    # Who stands at an endpoint's address

    def _doubted_since_us(self, now_us: int, routed_request: RoutedRequest) -> int:
        """Returns when the list was last confirmed, if a further attempt has to go by an older connection.

        Of requests that may have run, those have to whose key is known within a scope alone, if the list is
        not confirmed of late; else the result is `NEVER_US`.
        """
        if not self.load_balancer.retry_policy.depends_on_scope(routed_request):
            return NEVER_US
        return self.endpoint_watch.doubted_since_us(now_us)

    def _learn_identities(self, now_us: int) -> int:
        """Tells the policy which endpoints are known; returns when a doubted list was last confirmed."""
        identities = self.load_balancer.retry_policy.identities
        doubted_us = self.endpoint_watch.doubted_since_us(now_us)
        if doubted_us == NEVER_US:
            identities.confirm_list()
        else:
            identities.doubt_list(self.attempts.connections.endpoints_connected_since(doubted_us))
        return doubted_us

    def check_before_send(self, now_us: int, attempt: int, established_us: int) -> tuple[Outcome, str] | None:
        """Returns the outcome and reason if an attempt must not be sent any more; None if it may be sent."""
        routed_request = self.attempts.in_flight[attempt].routed_request
        doubted_us = NEVER_US
        if routed_request.possible_runs:
            doubted_us = self._doubted_since_us(now_us, routed_request)
            # From here on it is the attempt's own connection that counts.
            self.load_balancer.retry_policy.identities.confirm_list()
        return self.attempts.check_before_send(now_us, attempt, established_us, doubted_us)

    # Results of attempts

    def on_attempt_sent(self, now_us: int, attempt: int) -> None:
        """Records the last byte of an attempt; the endpoint processes the request only from then on."""
        self.counters.on_attempt_sent()
        sent = self.attempts.in_flight[attempt]
        if self.requests.pending[sent.routed_request].request.is_streaming:
            self.attempts.set_sent(attempt, now_us)

    def on_response_started(self, now_us: int, attempt: int, response: Response) -> list[Command]:
        """Starts to stream a response that is too large to buffer. It becomes the request's only response.

        For the load balancer the attempt ends here, since the endpoint's work is done: otherwise clients that
        read slowly would use up concurrency limits while the endpoints are idle.
        """
        started = self.attempts.in_flight[attempt]
        routed_request = started.routed_request
        pending = self.requests.pending[routed_request]
        pending.begin_stream(attempt)
        request, client = pending.request, self.clients.open[pending.client]
        if response.content_length is None and not request.is_http11:
            # HTTP/1.0 has no chunked encoding: only closing the connection marks the end of the body.
            self.clients.set_keep_alive(pending.client, False)
        decisions = routed_request.on_attempt_finished(
            started.number, now_us, Outcome.SUCCEEDED, now_us - started.sent_us, True
        )
        commands = self._apply_decisions(now_us, decisions)
        closes = self.closes_after_response(client)
        commands.append(SendResponse(pending.client, response, closes, request.is_http11))
        return commands

    def on_attempt_finished(self, now_us: int, attempt: int, result: AttemptResult) -> list[Command]:
        """Answers the request if the attempt succeeded; otherwise the load balancer decides what follows."""
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
        is_process_known = True
        if not has_succeeded and self.load_balancer.retry_policy.depends_on_scope(routed_request):
            established_us = connections.open[ended.connection].established_us
            is_process_known = established_us <= self._learn_identities(now_us)
        decisions = routed_request.on_attempt_finished(
            ended.number, now_us, result.outcome, now_us - ended.sent_us, is_answer, is_process_known
        )
        commands += self._apply_decisions(now_us, decisions)
        self.attempts.forget_if_removed(ended.endpoint)
        return commands + self.requests.release(routed_request)

    def _finish_stream(
        self, routed_request: RoutedRequest, pending: PendingRequest, has_succeeded: bool
    ) -> None:
        """Completes a request whose response was streamed, whether the stream ended normally or broke off."""
        pending.end_stream()
        if self.requests.is_answer_due(pending):
            self._finish(routed_request, SUCCESS_STATUS if has_succeeded else FAILED_STATUS)
