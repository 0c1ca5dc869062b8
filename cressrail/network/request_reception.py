"""Receives one request from a client, from its first byte until it is complete or too large to keep."""

from __future__ import annotations

from enum import Enum, auto

from cressrail.buffers.pipe import StreamingBody
from cressrail.buffers.pool import BufferPoolExhaustedError
from cressrail.event_loop.scheduler import NEVER, READABLE
from cressrail.http1.errors import MalformedMessageError
from cressrail.http1.request import Request, RequestReader
from cressrail.network.dispatcher import CommandDispatcher
from cressrail.network.late_reads import request_arrived_us
from cressrail.network.request_upload import RequestUpload
from cressrail.network.socket_stream import SocketStream, StreamInterruptedError, StreamTimeoutError
from cressrail.network.upload_clock import UploadClock

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
PROGRESS_STEP_BYTES = 16 << 10  # growth of a kept body that restarts the request's time limit
REQUEST_TIMEOUT_STATUS, SERVICE_UNAVAILABLE_STATUS = 408, 503
NO_BUFFER_REASON = "buffer pool exhausted while receiving a request"


class ReceptionResult(Enum):
    """How the reception of a request ended."""

    RECEIVED = auto()  # the complete request was passed to the state machine
    UPLOAD_STARTED = auto()  # the request was passed on while the rest of its body is still to be received
    REFUSED = auto()  # an error response is sent, then the connection closes
    STALLED = auto()  # the same, but its place is wanted and the client has stopped sending or takes long
    CLIENT_LEFT = auto()
    CLOSED_WHILE_IDLE = auto()  # the state machine requested it before a request started


class RequestReception:
    """Receives and parses one request.

    Attributes:
        upload: Receives the rest of the request; set when the result is `UPLOAD_STARTED`.
    """

    def __init__(
        self, dispatcher: CommandDispatcher, client: int, stream: SocketStream, receives_at_once: bool
    ) -> None:
        """Prepares to receive a request.

        Args:
            dispatcher: Provides the event loop, the buffer pool and the state machine.
            client: The number of the client.
            stream: The connection of the client.
            receives_at_once: Whether to receive before the first wait, because the request may already be
                there.
        """
        self.dispatcher = dispatcher
        self.state_machine = dispatcher.state_machine
        self.client = client
        self.stream = stream
        self.upload: RequestUpload | None = None
        self._receives_at_once = receives_at_once
        self._reader: RequestReader | None = None  # None before the first byte
        self._body: StreamingBody | None = None
        self._began_us = NEVER
        self._until_us = NEVER
        self._progress_steps = 0  # number of steps that the body has begun; 0 before the head is complete
        self._last_progress_us = 0
        self._has_reserved = False  # whether the memory of the request's fields is counted
        self._clock: UploadClock | None = None  # set once a part of the request was read

    def run(self) -> ReceptionResult:
        """Receives until the request is complete, too large to keep, or refused.

        Raises:
            OSError: The connection was reset, or the client has left.
        """
        while True:
            try:
                result = self._parse() if self.stream.input_buffer.unread() else None
                if result is None:
                    result = self._receive()
            except BufferPoolExhaustedError:
                result = self._refuse(SERVICE_UNAVAILABLE_STATUS, NO_BUFFER_REASON)
            except StreamTimeoutError:
                result = self._refuse(REQUEST_TIMEOUT_STATUS, "request not completed before the time limit")
            except StreamInterruptedError:
                result = self._on_close_requested()
            if result is not None:
                return result

    def release(self) -> None:
        """Gives up a request that was not passed to the state machine, with its buffers and fields."""
        if self._body is not None:
            self._body.release()
            self._body = None
        self._reader = None

    def _parse(self) -> ReceptionResult | None:
        """Parses the received bytes; returns None if more are needed."""
        try:
            reader = self._reader or self._start()
            self.stream.feed_to(reader.feed, self._check_limits)
            self._reserve_fields(reader)
        except MalformedMessageError as error:
            return self._refuse(error.status, str(error))
        if reader.incomplete_request is not None and reader.incomplete_request.is_streaming:
            return self._start_upload(reader, reader.incomplete_request)
        if reader.request is not None:
            self._body = None  # now owned by the state machine
            arrived_us = request_arrived_us(self.dispatcher, self.stream, reader.request)
            self._pass_on(reader.request, arrived_us)
            return ReceptionResult.RECEIVED
        self._note_progress(reader)
        if reader.expects_continue:
            reader.expects_continue = False
            self.stream.send([memoryview(CONTINUE_RESPONSE)], self._until_us)
        return None

    def _start(self) -> RequestReader:
        """Starts the reader and the time limit for the request when its first byte has arrived."""
        now_us = self.dispatcher.now()
        self.dispatcher.dispatch(self.state_machine.on_request_started(now_us, self.client))
        self._began_us = now_us
        self._until_us = now_us + self.dispatcher.peer_timeout_us
        self._body = StreamingBody(self.dispatcher.pool)
        self._reader = RequestReader(self._body)
        return self._reader

    def _reserve_fields(self, reader: RequestReader) -> None:
        """Counts the fields of a request as memory, once its head was read."""
        if reader.incomplete_request is not None and self._body is not None and not self._has_reserved:
            self._has_reserved = True
            self._body.reserve_fields(len(reader.incomplete_request.headers))

    def _note_progress(self, reader: RequestReader) -> None:
        self._last_progress_us = self.stream.input_arrived_us()
        if self._clock is None:
            self._clock = UploadClock(self._last_progress_us, None)
        self.dispatcher.dispatch(
            self.state_machine.on_request_progress(self.dispatcher.now(), self.client, self._last_progress_us)
        )
        if reader.incomplete_request is None or self._body is None:
            return
        steps = self._body.size // PROGRESS_STEP_BYTES + 1
        if steps > self._progress_steps:
            self._progress_steps = steps
            self._until_us = self.dispatcher.now() + self.dispatcher.peer_timeout_us

    def _receive(self) -> ReceptionResult | None:
        """Receives once, or waits; returns None if the reception continues."""
        is_idle = self._reader is None
        if not is_idle:
            self._check_limits()
        # The next request arrives a round trip after the response: receiving at once would find nothing.
        receives = self._receives_at_once or not is_idle
        count = self.stream.receive() if receives else -1
        self._receives_at_once = True
        if count == 0:
            return ReceptionResult.CLIENT_LEFT
        if count < 0:
            if self._clock is not None:
                self._clock.on_empty(self.dispatcher.now())
            self.stream.wait(READABLE, self._until_us, wakes_on_message=True, is_idle=is_idle)
        elif self._clock is not None:
            self._clock.on_read(count, self.stream.arrived_us)
        return None

    def _check_limits(self) -> None:
        """Checks the limits of the wait for the rest, where more keeps coming so that there is no wait.

        Raises:
            StreamInterruptedError: The state machine has asked for the close.
            StreamTimeoutError: The time limit is over.
        """
        if self.dispatcher.scheduler.current_task().messages:
            raise StreamInterruptedError
        if self.dispatcher.now() >= self._until_us:
            raise StreamTimeoutError

    def _on_close_requested(self) -> ReceptionResult | None:
        """Handles the command to close an idle connection; returns None if the reception continues."""
        # The state machine posts no other command during the reception of a request.
        self.dispatcher.scheduler.current_task().messages.popleft()
        if self._reader is None:
            count = self.stream.receive()  # a request that has just arrived is still answered
            if count == 0:
                return ReceptionResult.CLIENT_LEFT
            return ReceptionResult.CLOSED_WHILE_IDLE if count < 0 else None
        now_us = self.dispatcher.now()
        if self.state_machine.may_close_amid_request(now_us, self._began_us, self._last_progress_us):
            self._refuse(REQUEST_TIMEOUT_STATUS, "client stopped sending, or took long, amid its request")
            return ReceptionResult.STALLED
        # The reception continues; the state machine may ask for the close again.
        self.dispatcher.dispatch(self.state_machine.on_request_started(now_us, self.client, self._began_us))
        return None

    def _start_upload(self, reader: RequestReader, request: Request) -> ReceptionResult:
        """Passes on a request that is too large to keep; its last byte may or may not have arrived."""
        if self._body is None or self._body.pipe is None:
            raise ValueError("the body of a streaming request has no pipe")
        pipe, self._body = self._body.pipe, None
        self.stream.present_us = self.stream.arrived_us
        clock = self._clock or UploadClock(self.stream.input_arrived_us(), None)
        clock.content_length = request.content_length
        self.upload = RequestUpload(self.dispatcher, self.client, self.stream, reader, pipe, clock)
        self._pass_on(request, self.dispatcher.now())
        return ReceptionResult.UPLOAD_STARTED

    def _pass_on(self, request: Request, arrived_us: int) -> None:
        commands = self.state_machine.on_request(self.dispatcher.now(), self.client, request, arrived_us)
        self.dispatcher.dispatch(commands)

    def _refuse(self, status: int, reason: str) -> ReceptionResult:
        self.release()
        self.dispatcher.dispatch(
            self.state_machine.on_malformed_request(self.dispatcher.now(), self.client, status, reason)
        )
        return ReceptionResult.REFUSED
