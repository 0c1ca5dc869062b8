"""One attempt over an open connection: sends the request with its body and reads the response."""

from __future__ import annotations

from contextlib import suppress
from typing import NamedTuple

from cressrail.buffers.pipe import KEPT_BODY_BYTES, Pipe, StreamingBody
from cressrail.buffers.pool import BufferPoolExhaustedError
from cressrail.event_loop.scheduler import MESSAGE, NEVER, READABLE, TIMED_OUT, WRITABLE
from cressrail.http1.body import MAX_BODY_BYTES, encode_chunk
from cressrail.http1.errors import MalformedMessageError
from cressrail.http1.response import Response, ResponseReader
from cressrail.network.dispatcher import (
    BUFFER_RETRY_US,
    PIPE_CHANGED,
    CommandDispatcher,
    discard_pipe_messages,
)
from cressrail.network.pipe_sender import PipeSender
from cressrail.network.socket_stream import SocketStream, StreamInterruptedError, StreamTimeoutError
from cressrail.policy.outcome import Outcome
from cressrail.proxy.commands import SendAttempt, SendResponse

OK = 200
DECLINED_STATUSES = (503, 504)  # with `Srv-Declined: 1`: the endpoint has not started the request
FIRST_CLIENT_ERROR, FIRST_SERVER_ERROR = 400, 500
# Client errors by status that the endpoint may itself have caused: request timeout, too many requests.
AMBIGUOUS_CLIENT_ERRORS = (408, 429)
# How long a response of unknown length is kept, so that another attempt may replace it. Then it is passed on
# as it comes, and is no longer cut off at the deadline, like one that is known to be long.
KEPT_RESPONSE_US = 100_000


class AttemptEnd(NamedTuple):
    """How an attempt ended on its connection.

    Attributes:
        outcome: The outcome of the attempt.
        reason: Why the attempt failed, for the log; empty if there is nothing to add to the outcome.
        is_connection_reusable: Whether the connection may carry another attempt.
        has_endpoint_refused: Whether the endpoint refused the connection.
    """

    outcome: Outcome
    reason: str = ""
    is_connection_reusable: bool = False
    has_endpoint_refused: bool = False


class AttemptExchange:
    """Sends the request of one attempt and receives its response.

    Attributes:
        body: The body of the response; owned by the exchange until `release_body`.
        reader: The parser of the response.
        is_streaming: Whether the response is being streamed to the client, so that no other response can
            replace it.
    """

    def __init__(self, dispatcher: CommandDispatcher, command: SendAttempt) -> None:
        self.dispatcher = dispatcher
        self.scheduler = dispatcher.scheduler
        self.state_machine = dispatcher.state_machine
        self.command = command
        self.request = command.request
        self.body = StreamingBody(dispatcher.pool)
        self.reader = ResponseReader(self.body, MAX_BODY_BYTES, command.request.method == b"HEAD")
        self.is_streaming = False
        self._is_upload = command.request.is_streaming
        self._kept_until_us = NEVER  # set for a response of unknown length, when its head has been read

    def run(self, stream: SocketStream, now_us: int) -> AttemptEnd:
        """Sends the request and reads the response.

        Args:
            stream: An open connection without an outstanding response.
            now_us: The time at which the attempt is sent, in microseconds.

        Returns:
            How the attempt ended.
        """
        end = self._send_request(stream, now_us)
        if end is not None:
            return end
        until_us = self.command.timeout_at_us
        if self._is_upload:
            end = self._upload(stream)
            if end is not None:
                return end
            until_us = self.state_machine.attempt_deadline_us(self.command.attempt)
        self.state_machine.on_attempt_sent(self.dispatcher.now(), self.command.attempt)
        return self._read_response(stream, until_us)

    def release_body(self, is_complete: bool) -> StreamingBody | None:
        """Ends the exchange; returns the body if the response is complete and was not streamed, else None."""
        pipe = self.body.pipe
        if self.is_streaming and pipe is not None:
            if is_complete:
                pipe.close()
            else:
                pipe.fail()
        elif not is_complete:
            self.body.release()
        return self.body if is_complete and not self.is_streaming else None

    # The request

    def _send_request(self, stream: SocketStream, now_us: int) -> AttemptEnd | None:
        """Sends the head and the kept part of the body; returns None once they are written."""
        command, request = self.command, self.request
        peer_timeout_us = self.dispatcher.peer_timeout_us
        host = f"[{command.host}]" if ":" in command.host else command.host
        remaining_us = min(command.timeout_at_us - now_us, peer_timeout_us)
        if self._is_upload:  # its deadline starts with its last byte
            remaining_us = min(remaining_us, self.state_machine.time_limit_us(command.attempt))
        head = memoryview(request.encode_head(f"{host}:{command.port}", remaining_us))
        body = request.body.views()
        if request.is_chunked:
            body = encode_chunk(body, request.body.size)
        try:
            stream.send(
                [head, *body], min(command.timeout_at_us, now_us + peer_timeout_us), wakes_on_message=True
            )
        except StreamInterruptedError:
            return AttemptEnd(Outcome.CANCELLED)
        except (StreamTimeoutError, OSError) as error:  # endpoints start a request only after its last byte
            return AttemptEnd(Outcome.CONNECT_FAILED, str(error) or "request not sent before the time limit")
        return None

    def _upload(self, stream: SocketStream) -> AttemptEnd | None:
        """Sends the rest of a large request as it is received; returns None once all of it is written.

        The endpoint does not start the request before it has the last byte, but may respond early.
        """
        pipe = self.request.body.pipe if isinstance(self.request.body, StreamingBody) else None
        if pipe is None:
            raise ValueError("the body of a streaming request has no pipe")
        messages = self.scheduler.current_task().messages
        sender = PipeSender(pipe, self.request.is_chunked)
        try:
            while not sender.is_finished():
                if not self.state_machine.is_attempt_wanted(self.command.attempt):
                    return AttemptEnd(Outcome.CANCELLED, "client disconnected during the upload")
                if sender.unsent and stream.send_some(sender.unsent):
                    continue
                end = self._wait_during_upload(stream, sender)
                if end is not None:
                    return end
        except (OSError, MalformedMessageError) as error:
            # The endpoint may have responded before it closed the connection.
            with suppress(OSError, MalformedMessageError, BufferPoolExhaustedError):
                if self.reader.is_complete or self._read_early_response(stream):
                    return self._end_of_response(is_connection_reusable=False)
            return AttemptEnd(
                Outcome.CONNECT_FAILED, str(error) or "endpoint closed the connection during the upload"
            )
        except BufferPoolExhaustedError:
            return AttemptEnd(Outcome.CANCELLED, "buffer pool exhausted during the upload")
        finally:
            sender.unsent.clear()
            discard_pipe_messages(messages)  # a leftover message would later be taken for a command
        return AttemptEnd(Outcome.CANCELLED, "client aborted the request") if pipe.has_failed else None

    def _wait_during_upload(self, stream: SocketStream, sender: PipeSender) -> AttemptEnd | None:
        """Waits until more can be sent; returns how the attempt ended, or None if it continues."""
        task = self.scheduler.current_task()
        if sender.unsent:
            event = self._wait_until_taken(stream)
        else:
            sender.pipe.on_data = lambda: self.scheduler.post(task, PIPE_CHANGED)
            event = self.scheduler.wait(stream.descriptor, READABLE)
            sender.pipe.on_data = None
        if event == TIMED_OUT:
            return AttemptEnd(
                Outcome.CONNECT_FAILED, "endpoint accepted no more of the upload before the time limit"
            )
        if event == MESSAGE:
            discard_pipe_messages(task.messages)
            return AttemptEnd(Outcome.CANCELLED) if task.messages else None
        if event & ~WRITABLE and self._read_early_response(stream):
            return self._end_of_response(is_connection_reusable=False)
        return None

    def _wait_until_taken(self, stream: SocketStream) -> int:
        """Waits while the endpoint takes something; returns the result of `Scheduler.wait`."""
        try:
            return stream.wait_until_taken(READABLE | WRITABLE, self.dispatcher.peer_timeout_us, True)
        except StreamTimeoutError:
            return TIMED_OUT
        except StreamInterruptedError:
            return MESSAGE

    def _read_early_response(self, stream: SocketStream) -> bool:
        """Reads what has arrived of the response during an upload; returns whether the response is complete.

        Raises:
            MalformedMessageError: The response is malformed, or the connection ended before its end.
            BufferPoolExhaustedError: The pool has no buffer to receive into.
            OSError: The connection was reset.
        """
        while not self.reader.is_complete:
            count = stream.receive()
            if count < 0 or not self.state_machine.is_attempt_wanted(self.command.attempt):
                return False
            if count == 0:
                self.reader.on_connection_closed()
            else:
                stream.feed_to(self.reader.feed)
        return True

    # The response

    def _read_response(self, stream: SocketStream, until_us: int) -> AttemptEnd:
        try:
            stream.wait(READABLE, until_us, wakes_on_message=True)
            while not self.reader.is_complete and self._receive_response(stream, until_us):
                pass
        except StreamTimeoutError:
            if self.is_streaming:
                return AttemptEnd(
                    Outcome.CONNECTION_RESET, "endpoint stopped sending in the middle of its response"
                )
            return AttemptEnd(Outcome.TIMED_OUT)
        except StreamInterruptedError:
            return AttemptEnd(Outcome.CANCELLED)
        except BufferPoolExhaustedError:
            return AttemptEnd(Outcome.CANCELLED, "buffer pool exhausted while receiving the response")
        except (OSError, MalformedMessageError) as error:
            return AttemptEnd(Outcome.CONNECTION_RESET, str(error))
        if self.reader.status == OK and not self.reader.is_complete:
            return AttemptEnd(Outcome.CANCELLED)  # no client receives the response any more
        is_reusable = self.reader.is_complete and self.reader.keep_alive and not stream.input_buffer.unread()
        return self._end_of_response(is_reusable)

    def _receive_response(self, stream: SocketStream, until_us: int) -> bool:
        """Receives once, or waits until it can; returns False if the rest of the response is not needed."""
        pipe = self.body.pipe
        if pipe is not None and not pipe.has_room():
            self._wait_for_client(pipe)
            return True
        try:
            count = stream.receive()
        except BufferPoolExhaustedError:
            if not self.is_streaming:
                raise
            retry_us = self.dispatcher.now() + BUFFER_RETRY_US
            self.scheduler.wait(until_us=retry_us, wakes_on_message=False)
            return True
        if count == 0:
            self.reader.on_connection_closed()
        elif count < 0:
            return self._wait_for_rest(stream, until_us)
        else:
            stream.feed_to(self.reader.feed)
            if self.reader.has_head and not self.is_streaming:
                return self._is_rest_wanted()
            self._check_limits(until_us)
        return True

    def _wait_for_rest(self, stream: SocketStream, until_us: int) -> bool:
        """Waits for more of the response; returns False if the rest of it is not needed."""
        if self.is_streaming:  # the client already has a part of it: only gaps between bytes are limited
            stream.wait(
                READABLE, self.dispatcher.now() + self.dispatcher.peer_timeout_us, wakes_on_message=True
            )
            return True
        try:
            stream.wait(READABLE, min(until_us, self._kept_until_us), wakes_on_message=True)
        except StreamTimeoutError:
            if self._kept_until_us >= until_us:
                raise
            return self._start_streaming()
        return True

    def _check_limits(self, until_us: int) -> None:
        """Checks the limits of the wait for a response, where more keeps coming so that there is no wait.

        Raises:
            StreamInterruptedError: The attempt has been cancelled.
            StreamTimeoutError: The response has not begun before `until_us`.
        """
        if self.scheduler.current_task().messages:
            raise StreamInterruptedError
        if not self.is_streaming and self.dispatcher.now() >= until_us:
            raise StreamTimeoutError

    def _is_rest_wanted(self) -> bool:
        """Returns whether to read on after the head.

        Starts streaming to the client if the response is too large to be kept.
        """
        reader = self.reader
        if self.body.pipe is None and (reader.content_length or 0) <= KEPT_BODY_BYTES:
            if reader.content_length is not None or reader.is_complete or reader.status != OK:
                return True
            if self._kept_until_us == NEVER:
                self._kept_until_us = self.dispatcher.now() + KEPT_RESPONSE_US
            if self.dispatcher.now() < self._kept_until_us:
                return True
        return reader.status == OK and self._start_streaming()  # the body of a failed attempt is not used

    def _start_streaming(self) -> bool:
        """Starts to pass the response on as it comes; returns whether a client receives it."""
        reader = self.reader
        self.body.start_streaming()
        content_type = reader.header(b"content-type")
        response = Response(OK, self.body, content_type, content_length=reader.content_length)
        commands = self.state_machine.on_response_started(
            self.dispatcher.now(), self.command.attempt, response
        )
        self.is_streaming = any(isinstance(command, SendResponse) for command in commands)
        self.dispatcher.dispatch(commands)
        return self.is_streaming

    def _wait_for_client(self, pipe: Pipe) -> None:
        """Waits until the client's task has consumed data from the pipe.

        Raises:
            StreamInterruptedError: The attempt has been cancelled.
        """
        task = self.scheduler.current_task()
        if not pipe.is_full():  # the pool is exhausted, and any task may return a buffer to it
            until_us = self.dispatcher.now() + BUFFER_RETRY_US
            self.scheduler.wait(until_us=until_us, wakes_on_message=False)
            return
        pipe.on_room = lambda: self.scheduler.post(task, PIPE_CHANGED)
        self.scheduler.wait()
        pipe.on_room = None
        discard_pipe_messages(task.messages)
        if task.messages:
            raise StreamInterruptedError

    def _end_of_response(self, is_connection_reusable: bool) -> AttemptEnd:
        status = self.reader.status
        if status == OK:
            return AttemptEnd(Outcome.SUCCEEDED, is_connection_reusable=is_connection_reusable)
        is_client_error = FIRST_CLIENT_ERROR <= status < FIRST_SERVER_ERROR
        if status in DECLINED_STATUSES and self.reader.header(b"srv-declined") == b"1":
            outcome = Outcome.REJECTED_BY_ENDPOINT
        elif is_client_error and status not in AMBIGUOUS_CLIENT_ERRORS:
            outcome = Outcome.INVALID_REQUEST  # the endpoint is not at fault, and a retry would fail too
        else:
            outcome = Outcome.ERROR
        return AttemptEnd(outcome, f"endpoint responded with status {status}", is_connection_reusable)
