"""A connection to an endpoint: carries one attempt at a time and stays open, idle, between attempts."""

from __future__ import annotations

from cressrail.buffers.pipe import StreamingBody
from cressrail.event_loop.scheduler import MESSAGE, READABLE
from cressrail.network.attempt_exchange import AttemptEnd, AttemptExchange
from cressrail.network.dispatcher import CommandDispatcher
from cressrail.network.socket_stream import (
    DESCRIPTORS_EXHAUSTED,
    IdleState,
    PeerPresence,
    SocketStream,
    StreamInterruptedError,
    StreamTimeoutError,
)
from cressrail.policy.outcome import Outcome
from cressrail.proxy.attempts import AttemptResult
from cressrail.proxy.commands import CancelAttempt, SendAttempt

HOLD_BACK_US = 100_000  # how long an upload is held back for a sign of its client
HOLD_BACK_STEP_US = 2_000
IDLE_TIMEOUT_SHARE = 0.6  # idle connections are closed after this share of the endpoint's idle time-out


class EndpointConnectionTask:
    """Owns a connection to an endpoint, opened by the first attempt. No attempt is sent more than once.

    Attributes:
        number: The number by which the state machine identifies the connection.
        stream: The open connection; None while it is closed.
        established_us: When it was established, in microseconds.
    """

    def __init__(self, dispatcher: CommandDispatcher, number: int) -> None:
        self.dispatcher = dispatcher
        self.number = number
        self.stream: SocketStream | None = None
        self.established_us = 0

    def run(self) -> None:
        """Runs attempts until the connection is closed by either side."""
        try:
            command = self._wait_for_attempt()
            while command is not None and self._run_attempt(command):
                command = self._wait_for_attempt()
        finally:
            self._close()
            self.dispatcher.endpoint_connection_closed(self.number)

    def _wait_for_attempt(self) -> SendAttempt | None:
        """Waits for the next attempt; returns None if the connection is to be closed."""
        scheduler = self.dispatcher.scheduler
        task = scheduler.current_task()
        idle_us = int(self.dispatcher.endpoint_idle_timeout_us * IDLE_TIMEOUT_SHARE)
        until_us = self.dispatcher.now() + idle_us
        while True:
            while task.messages:
                command = task.messages.popleft()
                if isinstance(command, SendAttempt):
                    return command
                if not isinstance(command, CancelAttempt):  # the attempt to cancel has already ended
                    return None
            if self.stream is None:
                return None
            event = scheduler.wait(self.stream.descriptor, READABLE, until_us, is_idle=True)
            if event != MESSAGE:
                self._close_unless_usable()
                self._close()  # idle for too long, or closed by the endpoint

    def _close_unless_usable(self) -> None:
        """Closes an idle connection that the endpoint has closed, and reports it if it was reset."""
        if self.stream is None:
            return
        state = self.stream.idle_state()
        if state is IdleState.RESET:
            dispatcher = self.dispatcher
            dispatcher.dispatch(
                dispatcher.state_machine.on_idle_connection_reset(dispatcher.now(), self.number)
            )
        if state is not IdleState.USABLE:
            self._close()

    def _run_attempt(self, command: SendAttempt) -> bool:
        """Runs one attempt and reports its result; returns whether the connection may carry another."""
        dispatcher = self.dispatcher
        exchange = AttemptExchange(dispatcher, command)
        end = AttemptEnd(Outcome.CANCELLED, "unhandled exception during the attempt")
        try:
            end = self._attempt(command, exchange)
        finally:
            body = exchange.release_body(end.outcome is Outcome.SUCCEEDED)
            if not end.is_connection_reusable:
                self._close()
            result = AttemptResult(
                end.outcome,
                end.is_connection_reusable,
                body,
                exchange.reader.header(b"content-type"),
                end.reason,
                end.has_endpoint_refused,
            )
            dispatcher.dispatch(
                dispatcher.state_machine.on_attempt_finished(dispatcher.now(), command.attempt, result)
            )
        return end.is_connection_reusable

    def _attempt(self, command: SendAttempt, exchange: AttemptExchange) -> AttemptEnd:
        try:
            stream = self._open(command)
            self._hold_back_upload(command)
        except StreamInterruptedError:
            return AttemptEnd(Outcome.CANCELLED)
        except (StreamTimeoutError, OSError) as error:
            return self._connect_failure(error)
        now_us = self.dispatcher.now()
        end = self._check_before_send(command, now_us)
        return exchange.run(stream, now_us) if end is None else end

    def _open(self, command: SendAttempt) -> SocketStream:
        """Returns the existing connection if it is usable, or else opens a new one.

        An existing connection is not used before `not_before_us`.

        Raises:
            StreamInterruptedError: A message, such as the attempt's cancellation, was posted first.
            StreamTimeoutError: The connection was not established before the time limit.
            OSError: The connection failed, or the descriptors are exhausted.
        """
        dispatcher = self.dispatcher
        if (
            self.stream is not None
            and dispatcher.now() < command.not_before_us
            and dispatcher.scheduler.wait(self.stream.descriptor, READABLE, command.not_before_us) == MESSAGE
        ):
            raise StreamInterruptedError
        self._close_unless_usable()
        if self.stream is None:
            until_us = min(command.timeout_at_us, dispatcher.now() + dispatcher.connect_timeout_us)
            self.stream = SocketStream.connect(
                dispatcher.scheduler, dispatcher.pool, command.host, command.port, until_us, True
            )
            self.established_us = dispatcher.now()
        return self.stream

    def _connect_failure(self, error: Exception) -> AttemptEnd:
        if isinstance(error, OSError) and error.errno in DESCRIPTORS_EXHAUSTED:
            dispatcher = self.dispatcher
            dispatcher.dispatch(dispatcher.state_machine.on_descriptors_exhausted(dispatcher.now()))
            return AttemptEnd(Outcome.NOT_SENT, str(error))
        return AttemptEnd(
            Outcome.CONNECT_FAILED,
            str(error) or "connection not established before the time limit",
            has_endpoint_refused=isinstance(error, ConnectionRefusedError),
        )

    def _check_before_send(self, command: SendAttempt, now_us: int) -> AttemptEnd | None:
        """Checks again whether the attempt may be sent; returns None if so.

        The client may have disconnected before its request was read, or since; the endpoint list may have
        changed while the attempt waited for its connection.
        """
        dispatcher, state_machine = self.dispatcher, self.dispatcher.state_machine
        client = state_machine.waiting_client(command.attempt)
        presence = dispatcher.client_presence(client) if client else PeerPresence.THERE
        if presence is PeerPresence.CLOSED:
            dispatcher.dispatch(state_machine.on_client_disconnected(now_us, client))
        elif presence is PeerPresence.UNKNOWN and self._may_have_left(command, client, now_us):
            return AttemptEnd(Outcome.NOT_SENT, "much unread input of the client may hide its close", True)
        unsent = state_machine.check_before_send(now_us, command.attempt, self.established_us)
        if unsent is not None:
            outcome, reason = unsent
            return AttemptEnd(outcome, reason, outcome is not Outcome.REJECTED_BY_ENDPOINT)
        if now_us >= command.timeout_at_us:  # NOT_SENT, because the endpoint did not cause the delay
            return AttemptEnd(
                Outcome.NOT_SENT, "deadline passed before the request was sent", is_connection_reusable=True
            )
        return None

    def _hold_back_upload(self, command: SendAttempt) -> None:
        """Waits for a moment where the client of an upload may have left unseen.

        Its task reads on meanwhile, so that less is unread that may hide its close.

        Raises:
            StreamInterruptedError: The attempt was cancelled.
        """
        if not command.request.is_streaming:
            return
        dispatcher, body = self.dispatcher, command.request.body
        until_us = dispatcher.now() + HOLD_BACK_US
        while dispatcher.now() < until_us and self._is_client_hidden(command):
            if isinstance(body, StreamingBody) and body.pipe is not None:
                body.pipe.widen()
            retry_us = min(until_us, dispatcher.now() + HOLD_BACK_STEP_US)
            if dispatcher.scheduler.wait(until_us=retry_us) == MESSAGE:
                raise StreamInterruptedError

    def _is_client_hidden(self, command: SendAttempt) -> bool:
        dispatcher = self.dispatcher
        client = dispatcher.state_machine.waiting_client(command.attempt)
        is_unknown = bool(client) and dispatcher.client_presence(client) is PeerPresence.UNKNOWN
        return is_unknown and self._may_have_left(command, client, dispatcher.now())

    def _may_have_left(self, command: SendAttempt, client: int, now_us: int) -> bool:
        """Returns whether a client whose close may wait behind unread input may be gone for too long.

        The rest of an upload is unread as a rule, so it counts only if the client was last known to be there
        longer ago.
        """
        if not command.request.is_streaming:
            return True
        return self.dispatcher.client_streams[client].may_have_left_unseen(now_us)

    def _close(self) -> None:
        if self.stream is not None:
            self.stream.close()
            self.stream = None
