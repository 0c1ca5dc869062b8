"""Receives the rest of a request that was forwarded before it was complete, and writes it to a pipe."""

from __future__ import annotations

from enum import Enum, auto

from cressrail.buffers.pipe import Pipe
from cressrail.buffers.pool import BufferPoolExhaustedError
from cressrail.event_loop.scheduler import MESSAGE, NEVER, PEER_CLOSED, READABLE, TIMED_OUT
from cressrail.http1.errors import MalformedMessageError, RequestTimeoutError
from cressrail.http1.request import RequestReader
from cressrail.logs import events
from cressrail.network.dispatcher import BUFFER_RETRY_US, PIPE_CHANGED, CommandDispatcher
from cressrail.network.late_reads import LATE_READ_US, request_arrived_us
from cressrail.network.socket_stream import SocketStream
from cressrail.network.stale_messages import discard_stale_messages
from cressrail.network.tcp_information import unread_bytes
from cressrail.network.upload_clock import UploadClock
from cressrail.proxy.requests import REQUEST_ID_FIELD

MIN_UPLOAD_BYTES_PER_S = 48_000  # a client that stays below this rate is refused eventually
TIME_CHECK_US = 20_000  # between looks at the time of a request that is still being read
MAX_UPLOAD_LAG_US = 4_000_000  # how far a client may fall behind that rate
US_PER_S = 1_000_000


class UploadState(Enum):
    """Why `RequestUpload.run` has returned."""

    INTERRUPTED = auto()  # a message was posted to the task
    COMPLETE = auto()
    ABORTED = auto()  # the reason was reported to the state machine
    CLIENT_LEFT = auto()


class RequestUpload:
    """Receives the rest of a request while the task of its attempt sends it to an endpoint.

    Attributes:
        dispatcher: Provides the event loop and the state machine.
        client: The number of the client.
        stream: The connection of the client.
        reader: The parser of the request, which writes the body to the pipe.
        pipe: The pipe to the attempt's task. The task that ends the upload early marks it as failed.
    """

    def __init__(
        self,
        dispatcher: CommandDispatcher,
        client: int,
        stream: SocketStream,
        reader: RequestReader,
        pipe: Pipe,
        clock: UploadClock,
    ) -> None:
        self.dispatcher = dispatcher
        self.client = client
        self.stream = stream
        self.reader = reader
        self.pipe = pipe
        self._due_us = dispatcher.now() + MAX_UPLOAD_LAG_US  # time by which more bytes must have arrived
        self._has_reported_stall = False
        self._next_check_us = dispatcher.now() + TIME_CHECK_US
        self._clock = clock

    def is_complete(self) -> bool:
        """Returns whether the whole request has been received."""
        return self.reader.request is not None

    def finish(self) -> None:
        """Reports to the state machine that the request is complete, and closes the pipe.

        The pipe is marked as failed instead if no response is wanted any more, so that the last part of the
        request is not sent.
        """
        dispatcher, state_machine = self.dispatcher, self.dispatcher.state_machine
        arrived_us = self.stream.arrived_us
        if self.reader.request is not None:
            arrived_us = request_arrived_us(dispatcher, self.stream, self.reader.request)
            arrived_us = max(arrived_us, self._clock.incomplete_us)
        dispatcher.dispatch(state_machine.on_request_complete(dispatcher.now(), self.client, arrived_us))
        if state_machine.awaits_response(self.client):
            self.pipe.close()
        else:
            self.pipe.fail()

    def run(self) -> UploadState:
        """Receives until the request is complete, the client disconnects, or a message is posted."""
        now, scheduler = self.dispatcher.now, self.dispatcher.scheduler
        messages = scheduler.current_task().messages
        while not messages:
            turn_us = now()
            has_room = self.pipe.has_room()
            if self._is_expired(turn_us, must_look=not has_room):
                self.reject()
                return UploadState.ABORTED
            if not has_room:
                if not self._wait_for_room():
                    return UploadState.CLIENT_LEFT
                self._due_us += now() - turn_us  # the client did not cause this delay
                continue
            try:
                count = self._receive()
            except BufferPoolExhaustedError:
                scheduler.wait(until_us=now() + BUFFER_RETRY_US)
                self._due_us += now() - turn_us
            except MalformedMessageError as error:
                self._abort(error)
                return UploadState.ABORTED
            else:
                if count == 0:
                    return UploadState.CLIENT_LEFT
            if self.is_complete():
                return UploadState.COMPLETE
        return UploadState.INTERRUPTED

    def _receive(self) -> int:
        """Receives and parses once, or waits; returns the result of `SocketStream.receive`.

        Raises:
            MalformedMessageError: The request is malformed, or slower than `MIN_UPLOAD_BYTES_PER_S`.
        """
        count = self.stream.receive()
        if count < 0:
            self.stream.present_us = self.dispatcher.now()  # nothing is unread that could hide a close
            self._clock.on_empty(self.stream.present_us)
            event = self.dispatcher.scheduler.wait(self.stream.descriptor, READABLE, self._due_us)
            if event == TIMED_OUT:
                raise RequestTimeoutError(f"upload slower than {MIN_UPLOAD_BYTES_PER_S} bytes/s")
        elif count > 0:
            self._clock.on_read(count, self.stream.arrived_us)
            # A pause is allowed if faster bytes before or after it make up for it, up to the maximum lag.
            latest_due_us = self.dispatcher.now() + MAX_UPLOAD_LAG_US
            self._due_us = min(self._due_us + count * US_PER_S // MIN_UPLOAD_BYTES_PER_S, latest_due_us)
            self.stream.feed_to(self.reader.feed)
        return count

    def _is_expired(self, now_us: int, must_look: bool) -> bool:
        """Returns whether the request's time may be over; looks every `TIME_CHECK_US` at the least."""
        if not must_look and now_us < self._next_check_us:
            return False
        self._next_check_us = now_us + TIME_CHECK_US
        return now_us >= self._expires_us()

    def _expires_us(self) -> int:
        """Returns when the request's time may be over, given that the sidecar reads no more until then."""
        self._clock.on_received(
            self.dispatcher.now(), self.reader.received_body_bytes, unread_bytes(self.stream.sock)
        )
        limit_us = self.dispatcher.state_machine.upload_time_limit_us(self.client)
        return NEVER if limit_us is None else self._clock.incomplete_us + limit_us

    def reject(self) -> None:
        """Has the request rejected, whose time may be over or client gone: no endpoint has its last byte."""
        dispatcher = self.dispatcher
        self.pipe.fail()
        dispatcher.dispatch(dispatcher.state_machine.on_upload_expired(dispatcher.now(), self.client))

    def _abort(self, error: MalformedMessageError) -> None:
        dispatcher = self.dispatcher
        self.pipe.fail()
        commands = dispatcher.state_machine.on_request_aborted(
            dispatcher.now(), self.client, error.status, str(error)
        )
        dispatcher.dispatch(commands)

    def _wait_for_room(self) -> bool:
        """Waits for data to be sent, or for the end of the time; returns False if the client disconnects."""
        scheduler = self.dispatcher.scheduler
        task = scheduler.current_task()
        if not self.pipe.is_full():  # the pool is exhausted, and any task may return a buffer to it
            scheduler.wait(until_us=self.dispatcher.now() + BUFFER_RETRY_US)
            return True
        self.pipe.on_room = lambda: scheduler.post(task, PIPE_CHANGED)
        stalled_us = self.dispatcher.now() + LATE_READ_US
        until_us = self._expires_us()
        if not self._has_reported_stall:
            until_us = min(until_us, stalled_us)
        event = scheduler.wait(self.stream.descriptor, PEER_CLOSED, until_us)
        self.pipe.on_room = None
        discard_stale_messages(task.messages)
        if event == TIMED_OUT and not self._has_reported_stall and self.dispatcher.now() >= stalled_us:
            self._report_stall()
        return event in (MESSAGE, TIMED_OUT)

    def _report_stall(self) -> None:
        """Logs, once an upload, that the endpoint has taken nothing for `LATE_READ_US`."""
        self._has_reported_stall = True
        self.dispatcher.state_machine.counters.stalled_uploads += 1
        request = self.reader.incomplete_request
        fields = {
            "request_id": request.header_text(REQUEST_ID_FIELD) if request else None,
            "received_bytes": self.reader.received_body_bytes,
            "unread_bytes": unread_bytes(self.stream.sock),
            "content_length": request.content_length if request else None,
        }
        self.dispatcher.log.write_event(events.UPLOAD_STALLED, fields)
