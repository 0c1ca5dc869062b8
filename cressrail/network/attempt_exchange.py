"""One attempt over an open connection: sends the request, its upload if there is one, reads the response."""

from __future__ import annotations

from contextlib import suppress
from typing import NamedTuple

from cressrail.buffers.pipe import KEPT_BODY_BYTES, Pipe, StreamingBody
from cressrail.buffers.pool import BufferPoolExhaustedError
from cressrail.event_loop.scheduler import MESSAGE, READABLE, TIMED_OUT, WRITABLE
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
DECLINED_STATUSES = (503, 504)  # with `Srv-Declined: 1`: the endpoint has not begun the request
FIRST_CLIENT_ERROR, FIRST_SERVER_ERROR = 400, 500
# Client errors by status that may be the endpoint's doing: request timeout, too many requests.
AMBIGUOUS_CLIENT_ERRORS = (408, 429)


class AttemptEnd(NamedTuple):
    """How an attempt ended on its connection.

    Attributes:
        outcome: What the endpoint made of it.
        reason: For the log.
        is_connection_reusable: Whether the connection may carry another attempt.
        has_endpoint_refused: Whether the endpoint refused the connection.
    """

    outcome: Outcome
    reason: str = ""
    is_connection_reusable: bool = False
    has_endpoint_refused: bool = False


class AttemptExchange:
    """The request and the response of one attempt.

    Attributes:
        body: Of the response; owned by the exchange until `release_body`.
        reader: Parses the response.
        is_streaming: The client receives the response as it comes, so there can be no other answer.
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

    def run(self, stream: SocketStream, now_us: int) -> AttemptEnd:
        """Sends the request and reads the response.

        Args:
            stream: An open connection on which nothing is expected.
            now_us: The time from which the attempt's time limit counts.
        """
        end = self._send_request(stream, now_us)
        if end is not None:
            return end
        until_us = self.command.timeout_at_us
        if self.request.is_streaming:
            end = self._upload(stream)
            if end is not None:
                return end
            until_us = self.state_machine.attempt_deadline_us(self.command.attempt)
        self.state_machine.on_attempt_sent(self.dispatcher.now(), self.command.attempt)
        return self._read_response(stream, until_us)

    def release_body(self, is_complete: bool) -> StreamingBody | None:
        """Ends the exchange; returns the body of a complete response that has not been streamed."""
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
        """Sends the head and what is kept of the body; returns None once that is written."""
        command, request = self.command, self.request
        peer_timeout_us = self.dispatcher.peer_timeout_us
        host = f"[{command.host}]" if ":" in command.host else command.host
        remaining_us = min(command.timeout_at_us - now_us, peer_timeout_us)  # an upload has no limit yet
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
        except (StreamTimeoutError, OSError) as error:  # endpoints begin a request with its last byte
            return AttemptEnd(Outcome.CONNECT_FAILED, str(error) or "not written in time")
        return None

    def _upload(self, stream: SocketStream) -> AttemptEnd | None:
        """Sends the rest of a large request as it comes; returns None once all of it is written.

        The endpoint does not begin the request before its last byte, but may answer early.
        """
        pipe = self.request.body.pipe if isinstance(self.request.body, StreamingBody) else None
        if pipe is None:
            raise ValueError("a streaming request without a pipe")
        messages = self.scheduler.current_task().messages
        sender = PipeSender(pipe, self.request.is_chunked)
        try:
            while not sender.is_finished():
                if sender.unsent and stream.send_some(sender.unsent):
                    continue
                end = self._wait_during_upload(stream, sender)
                if end is not None:
                    return end
        except (OSError, MalformedMessageError) as error:
            # The endpoint may have answered before it closed the connection.
            with suppress(OSError, MalformedMessageError, BufferPoolExhaustedError):
                if self.reader.is_complete or self._read_early_response(stream):
                    return self._end_of_response(is_connection_reusable=False)
            return AttemptEnd(Outcome.CONNECT_FAILED, str(error) or "ended")
        except BufferPoolExhaustedError:
            return AttemptEnd(Outcome.CANCELLED, "no buffer left")
        finally:
            sender.unsent.clear()
            discard_pipe_messages(messages)  # else one would look like a command later
        return AttemptEnd(Outcome.CANCELLED, "client aborted the request") if pipe.has_failed else None

    def _wait_during_upload(self, stream: SocketStream, sender: PipeSender) -> AttemptEnd | None:
        """Waits until more can be sent; returns how the attempt ended, if it ended meanwhile."""
        task = self.scheduler.current_task()
        if sender.unsent:
            until_us = self.dispatcher.now() + self.dispatcher.peer_timeout_us
            event = self.scheduler.wait(stream.descriptor, READABLE | WRITABLE, until_us)
        else:
            sender.pipe.on_data = lambda: self.scheduler.post(task, PIPE_CHANGED)
            event = self.scheduler.wait(stream.descriptor, READABLE)
            sender.pipe.on_data = None
        if event == TIMED_OUT:
            return AttemptEnd(Outcome.CONNECT_FAILED, "not written in time")
        if event == MESSAGE:
            discard_pipe_messages(task.messages)
            return AttemptEnd(Outcome.CANCELLED) if task.messages else None
        if event & ~WRITABLE and self._read_early_response(stream):
            return self._end_of_response(is_connection_reusable=False)
        return None

    def _read_early_response(self, stream: SocketStream) -> bool:
        """Reads what has come during an upload; returns whether the response is complete.

        Raises:
            MalformedMessageError: The connection ended before.
        """
        while not self.reader.is_complete:
            count = stream.receive()
            if count < 0:
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
                return AttemptEnd(Outcome.CONNECTION_RESET, "silent")
            return AttemptEnd(Outcome.TIMED_OUT)
        except StreamInterruptedError:
            return AttemptEnd(Outcome.CANCELLED)
        except BufferPoolExhaustedError:
            return AttemptEnd(Outcome.CANCELLED, "no buffer left")
        except (OSError, MalformedMessageError) as error:
            return AttemptEnd(Outcome.CONNECTION_RESET, str(error))
        if self.reader.status == OK and not self.reader.is_complete:
            return AttemptEnd(Outcome.CANCELLED)  # the client is gone
        is_reusable = self.reader.is_complete and self.reader.keep_alive and not stream.input_buffer.unread()
        return self._end_of_response(is_reusable)

    def _receive_response(self, stream: SocketStream, until_us: int) -> bool:
        """Receives once, or waits; returns False where the rest of the response is not wanted."""
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
            if self.is_streaming:  # its client waits for the end: only silence is limited
                until_us = self.dispatcher.now() + self.dispatcher.peer_timeout_us
            stream.wait(READABLE, until_us, wakes_on_message=True)
        else:
            stream.feed_to(self.reader.feed)
            if self.reader.has_head and not self.is_streaming:
                return self._is_rest_wanted()
        return True

    def _is_rest_wanted(self) -> bool:
        """Decides whether to read on after the head; a response too large to keep begins to stream."""
        reader = self.reader
        if self.body.pipe is None and (reader.content_length or 0) <= KEPT_BODY_BYTES:
            return True
        if reader.status != OK:
            return False  # the status is all that counts
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
        """Waits until the client's task has taken something from the pipe.

        Raises:
            StreamInterruptedError: The attempt is cancelled.
        """
        task = self.scheduler.current_task()
        if not pipe.is_full():  # the pool is exhausted: any task may return a buffer
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
            outcome = Outcome.INVALID_REQUEST  # neither a fault of the endpoint nor worth a retry
        else:
            outcome = Outcome.ERROR
        return AttemptEnd(outcome, f"status {status}", is_connection_reusable)
