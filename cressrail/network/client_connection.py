"""The connection of a client: receives a request and sends its response before reading the next request."""

from __future__ import annotations

import socket
import struct
from typing import Any

from cressrail.buffers.pipe import Pipe, StreamingBody
from cressrail.buffers.pool import BufferPoolExhaustedError
from cressrail.event_loop.scheduler import MESSAGE, PEER_CLOSED
from cressrail.http1.body import encode_chunk
from cressrail.network.dispatcher import PIPE_CHANGED, CommandDispatcher
from cressrail.network.pipe_sender import LAST_CHUNK
from cressrail.network.request_reception import ReceptionResult, RequestReception
from cressrail.network.request_upload import RequestUpload, UploadState
from cressrail.network.socket_stream import PeerPresence, SocketStream, StreamTimeoutError
from cressrail.network.stale_messages import discard_stale_messages
from cressrail.proxy.commands import CloseClient, ReadRequest, SendResponse

LINGER_US = 500_000  # how long further input is read and discarded before a connection is closed
UPLOAD_LINGER_US = 2_000_000  # the same if the rest of a request that was answered early may still arrive
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # struct linger for SO_LINGER: enabled, zero seconds


class ClientConnectionTask:
    """Owns the connection of a client, and the body of a request until the request is complete.

    Attributes:
        number: The number by which the state machine identifies the client.
        stream: The connection.
        upload: Receives the rest of a request that was forwarded before it was complete; None otherwise.
    """

    def __init__(self, dispatcher: CommandDispatcher, number: int, sock: socket.socket) -> None:
        """Sets up the socket.

        Raises:
            OSError: The client has already disconnected.
        """
        self.dispatcher = dispatcher
        self.number = number
        self.stream = SocketStream(dispatcher.scheduler, dispatcher.pool, sock)
        self.stream.needs_open_peer = True
        self.upload: RequestUpload | None = None
        self._reception: RequestReception | None = None
        self._awaits_first_request = True
        self._has_unread_input = False  # whether input of the client may be unread at the close

    def run(self) -> None:
        """Executes commands of the state machine until the connection ends."""
        messages = self.dispatcher.scheduler.current_task().messages
        has_taken_answers = False
        try:
            while self._carry_out(self._next_command(messages)):
                pass
            has_taken_answers = not messages and self.stream.has_delivered_all()
        except (OSError, StreamTimeoutError, BufferPoolExhaustedError):
            return
        finally:
            self.stream.close()
            if self._reception is not None:
                self._reception.release()
            if self.upload is not None:
                self.upload.pipe.fail()
            for command in messages:  # responses that the client is no longer there to receive
                if isinstance(command, SendResponse) and command.response.body is not None:
                    command.response.body.release()
            messages.clear()
            self.dispatcher.client_connection_closed(self.number, has_taken_answers)

    def _next_command(self, messages: Any) -> Any:
        """Returns the next command; None if the client disconnects first."""
        while not messages:
            if self.upload is not None:
                if not self._continue_upload(self.upload):
                    return None
            elif self.dispatcher.scheduler.wait(self.stream.descriptor, PEER_CLOSED) != MESSAGE:
                return None
        return messages.popleft()

    def _carry_out(self, command: Any) -> bool:
        """Executes a command; returns whether the connection stays open."""
        if isinstance(command, ReadRequest):
            return self._read_request()
        if isinstance(command, SendResponse):
            self._send_response(command)
            return True
        if isinstance(command, CloseClient):
            if command.only_if_idle:  # a request has started since the command was sent
                return True
            self._linger(UPLOAD_LINGER_US if self.upload is not None else LINGER_US)
        return False

    # Requests

    def _read_request(self) -> bool:
        """Receives a request or refuses it; returns whether the connection stays open."""
        # A client that has sent several requests lets others have their turn in between.
        if self.stream.input_buffer.buffer is not None:
            self.dispatcher.scheduler.yield_turn()
            self.dispatcher.scheduler.begin_next_input()
            if self.stream.has_peer_closed():
                return False
        self._reception = RequestReception(
            self.dispatcher, self.number, self.stream, self._awaits_first_request
        )
        result = self._reception.run()
        if result is ReceptionResult.CLOSED_WHILE_IDLE:
            self._linger(LINGER_US)
            return False
        if result is ReceptionResult.CLIENT_LEFT:
            return False
        if result in (ReceptionResult.REFUSED, ReceptionResult.STALLED):
            self._has_unread_input = result is ReceptionResult.REFUSED
            return True
        self._awaits_first_request = False
        if result is ReceptionResult.UPLOAD_STARTED:
            self.upload = self._reception.upload
            if self.upload is not None and self.upload.is_complete():
                return self._finish_upload(self.upload)
        return True

    def _continue_upload(self, upload: RequestUpload) -> bool:
        """Forwards the rest of a large request until a command arrives; False if the client disconnects."""
        state = upload.run()
        if state is UploadState.CLIENT_LEFT:
            return False
        if state is UploadState.ABORTED:
            self.upload, self._has_unread_input = None, True
        elif state is UploadState.COMPLETE:
            return self._finish_upload(upload)
        return True

    def _finish_upload(self, upload: RequestUpload) -> bool:
        """Passes on the end of a large request; False if the client has disconnected since it sent it.

        Where its close may wait behind further input, the request is rejected instead: it has not run yet.
        """
        presence = self.stream.peer_presence()
        if presence is PeerPresence.CLOSED:
            return False
        self.upload = None
        if presence is PeerPresence.UNKNOWN and self.stream.may_have_left_unseen(self.dispatcher.now()):
            self._has_unread_input = True
            upload.reject()
        else:
            upload.finish()
        return True

    def _linger(self, span_us: int) -> None:
        """Shuts down the sending side and discards further input before the connection is closed.

        When the client limit is reached, it does so only if more input of the client is certain to arrive,
        because that input would reset the connection and lose the response. Otherwise the connection is
        closed at once, to make room for waiting clients.
        """
        has_more_to_come = self._has_unread_input or self.upload is not None
        may_linger = has_more_to_come or not self.dispatcher.state_machine.is_full()
        self.stream.linger(self.dispatcher.now() + (span_us if may_linger else 0))

    # Responses

    def _send_response(self, command: SendResponse) -> None:
        dispatcher, response = self.dispatcher, command.response
        body, is_chunked = response.body, response.is_chunked(command.is_http11)
        head = memoryview(response.encode_head(not command.closes_connection, command.is_http11))
        try:
            kept = body.views() if body else []
            if is_chunked and body:
                kept = encode_chunk(kept, body.size)
            self.stream.send_while_taken([head, *kept], dispatcher.peer_timeout_us)
            if isinstance(body, StreamingBody) and body.pipe is not None:
                body.release_kept()
                ends_with_connection = response.content_length is None and not command.is_http11
                self._stream_response(body.pipe, is_chunked, ends_with_connection)
        finally:
            if body is not None:
                body.release()
        dispatcher.dispatch(dispatcher.state_machine.on_response_written(dispatcher.now(), self.number))

    def _stream_response(self, pipe: Pipe, is_chunked: bool, ends_with_connection: bool) -> None:
        """Sends the rest of a response as it is received from the endpoint.

        Raises:
            ConnectionError: The response ended before it was complete, or the client disconnected.
        """
        dispatcher = self.dispatcher
        while True:
            if parts := pipe.views():
                size = sum(map(len, parts))
                chunk = encode_chunk(parts, size) if is_chunked else list(parts)
                self.stream.send_while_taken(chunk, dispatcher.peer_timeout_us)
                del parts, chunk
                pipe.consume(size)
            elif pipe.has_failed:
                if ends_with_connection:  # only a reset shows such a client that the response is truncated
                    self.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                raise ConnectionError("the response from the endpoint ended before it was complete")
            elif pipe.is_closed:
                break
            else:
                self._wait_for_response(pipe)
        if is_chunked:
            self.stream.send_while_taken([memoryview(LAST_CHUNK)], dispatcher.peer_timeout_us)

    def _wait_for_response(self, pipe: Pipe) -> None:
        scheduler = self.dispatcher.scheduler
        task = scheduler.current_task()
        pipe.on_data = lambda: scheduler.post(task, PIPE_CHANGED)
        event = scheduler.wait(self.stream.descriptor, PEER_CLOSED)
        pipe.on_data = None
        discard_stale_messages(task.messages)
        if event != MESSAGE:
            raise ConnectionError("the client disconnected before the response was complete")
