"""A client's connection: one request after another, each answered before the next is read."""

from __future__ import annotations

import socket
import struct
from typing import Any

from cressrail.buffers.pipe import Kept, Pipe
from cressrail.buffers.pool import BufferPoolExhaustedError
from cressrail.event_loop.scheduler import LEFT, MAIL, NEVER, READ, TIMED_OUT
from cressrail.http1.body import chunk
from cressrail.http1.head import MalformedMessageError
from cressrail.http1.request import Request, RequestReader
from cressrail.network.dispatcher import (
    BUFFER_RETRY_US,
    PIPE_CHANGED,
    CommandDispatcher,
    discard_pipe_messages,
)
from cressrail.network.socket_stream import SocketStream, StreamInterruptedError, StreamTimeoutError
from cressrail.proxy.commands import CloseClient, ReadRequest, SendResponse

LINGER_US = 500_000
UPLOAD_LINGER_US = 2_000_000  # the rest of a request that is answered before it is whole
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
MAX_UPLOAD_LAG_US = (
    4_000_000  # a large request may halt for so long, if it made good what it was behind before
)
MIN_UPLOAD_BYTES_PER_S = (
    48_000  # good clients send 64 kB a second; one that stays below this is ended in time
)
PROGRESS_STEP_BYTES = 16 << 10  # bytes of a body that is kept, by which it makes good progress


class ClientConnectionTask:
    def __init__(self, dispatcher: CommandDispatcher, number: int, sock: socket.socket) -> None:
        self.dispatcher = dispatcher
        self.number = number
        self.stream = SocketStream(dispatcher.scheduler, dispatcher.pool, sock)
        self.body: Kept | None = None  # of a request that is not whole yet
        self.upload: RequestReader | None = None  # of one that goes on before it is whole, and where to
        self.upload_pipe: Pipe | None = None
        self.upload_due_us = 0  # more of it is to have come by then
        self.awaits_first_request = True  # no request of it has come yet
        self.has_unread_input = False  # what it sent is not read to its end

    def run(self) -> None:
        task = self.dispatcher.scheduler.current
        assert task is not None
        try:
            while True:
                message = self._next_command(task.mail)
                if isinstance(message, ReadRequest):
                    if not self._read_request():
                        return
                elif isinstance(message, SendResponse):
                    self._send_response(message)
                elif isinstance(message, CloseClient) and not message.only_if_idle:
                    self._linger(UPLOAD_LINGER_US if self.upload is not None else LINGER_US)
                    return
                elif message is None:
                    return
        except (OSError, StreamTimeoutError, BufferPoolExhaustedError):
            return
        finally:
            self.stream.close()
            if self.body is not None:
                self.body.give_back()
            if self.upload_pipe is not None and self.upload is not None:
                self.upload_pipe.fail()
            for message in task.mail:  # an answer that came too late for its client
                if isinstance(message, SendResponse) and message.response.body is not None:
                    message.response.body.give_back()
            task.mail.clear()
            self.dispatcher.client_connection_closed(self.number)

    def _linger(self, span_us: int) -> None:
        """Closes as far as this side goes, and waits for the client to do so. Not for long where new clients
        wait for its place, unless more is sure to come that would reset the answer."""
        must = self.has_unread_input or self.upload is not None
        self.stream.linger(
            self.dispatcher.now() + (span_us if must or not self.dispatcher.state_machine.is_full() else 0)
        )

    def _next_command(self, mail: Any) -> Any:
        """The next thing to do, or nothing if the client leaves first."""
        while not mail:
            if self.upload is not None:
                if not self._continue_upload(mail):
                    return None
            elif self.dispatcher.scheduler.wait(self.stream.fd, LEFT) != MAIL:
                return None
        return mail.popleft()

    def _continue_upload(self, mail: Any) -> bool:
        """The rest of a large request goes on to where it is wanted, until there is something else to do;
        false if the client leaves amid it."""
        stream, reader, rest, now = self.stream, self.upload, self.upload_pipe, self.dispatcher.now
        assert reader is not None and rest is not None
        while not mail:
            if not rest.roomy():
                since_us = now()
                if not self._wait_for_pipe(rest):
                    return False
                self.upload_due_us += now() - since_us  # it was not the client who halted
                continue
            try:
                n = stream.read()
                if n == 0:
                    return False
                if n < 0:
                    if self.dispatcher.scheduler.wait(stream.fd, READ, self.upload_due_us) == TIMED_OUT:
                        raise MalformedMessageError(408, "request too slow")
                    continue
                # Guards against good clients with a lull taken for slow ones.
                self.upload_due_us = min(
                    self.upload_due_us + n * 1_000_000 // MIN_UPLOAD_BYTES_PER_S, now() + MAX_UPLOAD_LAG_US
                )
                stream.input_buffer.use(reader.feed(stream.input_buffer.unread()))
            except BufferPoolExhaustedError:
                self.dispatcher.scheduler.wait(until_us=now() + BUFFER_RETRY_US)
            except MalformedMessageError as fault:
                self.upload, self.has_unread_input = None, True
                rest.fail()
                self.dispatcher.dispatch(
                    self.dispatcher.state_machine.on_request_aborted(
                        now(), self.number, fault.status, str(fault)
                    )
                )
                return True
            if reader.whole is not None:
                # Guards against a pace that runs on when all is there: slow answers became slow requests.
                self._finish_upload()
                return True
        return True

    def _wait_for_pipe(self, rest: Pipe) -> bool:
        """Waits for what is on its way to go on; false if the client leaves."""
        task = self.dispatcher.scheduler.current
        assert task is not None
        if not rest.crowded():  # the pool is short, and anybody's giving back ends that
            self.dispatcher.scheduler.wait(until_us=self.dispatcher.now() + BUFFER_RETRY_US)
            return True
        rest.on_room = lambda: self.dispatcher.scheduler.post(task, PIPE_CHANGED)
        why = self.dispatcher.scheduler.wait(self.stream.fd, LEFT)
        rest.on_room = None
        _discard_stale_messages(task.mail)
        return why == MAIL

    def _read_request(self) -> bool:
        """Until a request is whole, or what came is none; false if the connection is over."""
        stream, reader, until_us, looked = self.stream, None, NEVER, False
        step = 0  # of the request's bytes, at the last of which its time began anew; 0: no head yet
        moved_us = 0  # something came of it last
        while True:
            if stream.input_buffer.unread():
                try:
                    if reader is None:
                        now = self.dispatcher.now()
                        self.dispatcher.dispatch(
                            self.dispatcher.state_machine.on_request_started(now, self.number)
                        )
                        until_us = now + self.dispatcher.peer_timeout_us
                        self.body = Kept(self.dispatcher.pool)
                        reader = RequestReader(self.body)
                    stream.input_buffer.use(reader.feed(stream.input_buffer.unread()))
                except MalformedMessageError as fault:
                    return self._refuse(fault.status, str(fault))
                except BufferPoolExhaustedError:
                    return self._refuse(503, "no buffer left")
                if reader.begun is not None and reader.begun.streams:
                    return self._start_upload(reader, reader.begun)
                if reader.whole is not None:
                    self.body, self.awaits_first_request = (
                        None,
                        False,
                    )  # the body is the reducer's from here on
                    self.dispatcher.dispatch(
                        self.dispatcher.state_machine.on_request(
                            self.dispatcher.now(), self.number, reader.whole, stream.arrived_us
                        )
                    )
                    return True
                moved_us = self.dispatcher.now()
                self.dispatcher.dispatch(
                    self.dispatcher.state_machine.on_request_progress(moved_us, self.number)
                )
                if (
                    reader.begun is not None
                    and self.body is not None
                    and self.body.size // PROGRESS_STEP_BYTES + 1 > step
                ):
                    step = self.body.size // PROGRESS_STEP_BYTES + 1
                    until_us = moved_us + self.dispatcher.peer_timeout_us
                if reader.wants_go_on:
                    reader.wants_go_on = False
                    stream.send([memoryview(CONTINUE_RESPONSE)], until_us)
            try:
                # After an answer the next request is a round trip away at least: a look would find nothing.
                n = -1 if reader is None and not self.awaits_first_request and not looked else stream.read()
                looked = True
                if n == 0:
                    return False
                if n < 0:
                    stream.wait(READ, until_us, mail=True, rest=reader is None)
            except BufferPoolExhaustedError:
                return self._refuse(503, "no buffer left")
            except StreamTimeoutError:
                return self._refuse(408, "request not whole in time")
            except StreamInterruptedError:
                task = self.dispatcher.scheduler.current
                assert task is not None
                task.mail.popleft()  # a `Shut` of an idle one: nothing else is told while it is read from
                if reader is None and (n := stream.read()) <= 0:
                    if n:
                        self._linger(LINGER_US)
                    return False  # between requests; what has come meanwhile is still answered
                if reader is not None and self.dispatcher.state_machine.has_client_stalled(
                    self.dispatcher.now(), moved_us
                ):
                    return self._refuse(408, "request long in coming")
                if reader is not None:  # it goes on, and may be asked for its place another time
                    self.dispatcher.dispatch(
                        self.dispatcher.state_machine.on_request_started(self.dispatcher.now(), self.number)
                    )

    def _start_upload(self, reader: RequestReader, request: Request) -> bool:
        """One too large to keep goes on before it is whole, or with what came last of it."""
        assert self.body is not None
        self.upload, self.upload_pipe, self.upload_due_us = (
            reader,
            self.body.rest,
            self.dispatcher.now() + MAX_UPLOAD_LAG_US,
        )
        self.body, self.awaits_first_request = None, False
        self.dispatcher.dispatch(
            self.dispatcher.state_machine.on_request(
                self.dispatcher.now(), self.number, request, self.dispatcher.now()
            )
        )
        if reader.whole is not None:
            self._finish_upload()
        return True

    def _finish_upload(self) -> None:
        assert self.upload_pipe is not None
        self.upload = None
        self.dispatcher.dispatch(
            self.dispatcher.state_machine.on_request_complete(
                self.dispatcher.now(), self.number, self.stream.arrived_us
            )
        )
        self.upload_pipe.close()

    def _refuse(self, status: int, why: str) -> bool:
        self.has_unread_input = True
        if self.body is not None:
            self.body.give_back()
            self.body = None
        self.dispatcher.dispatch(
            self.dispatcher.state_machine.on_malformed_request(
                self.dispatcher.now(), self.number, status, why
            )
        )
        return True

    def _send_response(self, message: SendResponse) -> None:
        answer = message.response
        body, chunked = answer.body, answer.chunked(message.is_http11)
        head = memoryview(answer.head(not message.closes_connection, message.is_http11))
        try:
            kept = body.views() if body else []
            self.stream.send(
                [head, *(chunk(kept, body.size) if chunked and body else kept)],
                self.dispatcher.now() + self.dispatcher.peer_timeout_us,
            )
            if isinstance(body, Kept) and body.rest is not None:
                body.give_kept_back()
                self._stream_response(body.rest, chunked, answer.length is None and not message.is_http11)
        finally:
            if body is not None:
                body.give_back()
        self.dispatcher.dispatch(
            self.dispatcher.state_machine.on_response_written(self.dispatcher.now(), self.number)
        )

    def _stream_response(self, rest: Pipe, chunked: bool, ends_with_it: bool) -> None:
        """What still comes of an answer, as it comes. One that breaks off ends the connection short."""
        task = self.dispatcher.scheduler.current
        assert task is not None
        while True:
            if parts := rest.peek():
                size = sum(map(len, parts))
                self.stream.send(
                    chunk(parts, size) if chunked else list(parts),
                    self.dispatcher.now() + self.dispatcher.peer_timeout_us,
                )
                del parts
                rest.used(size)
            elif rest.failed:
                if ends_with_it:  # nothing else tells a client of this kind that it is not whole
                    self.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                raise ConnectionError("the answer broke off")
            elif rest.closed:
                break
            else:
                rest.on_data = lambda: self.dispatcher.scheduler.post(task, PIPE_CHANGED)
                why = self.dispatcher.scheduler.wait(self.stream.fd, LEFT)
                rest.on_data = None
                _discard_stale_messages(task.mail)
                if why != MAIL:
                    raise ConnectionError("the client left")
        if chunked:
            self.stream.send(
                [memoryview(b"0\r\n\r\n")], self.dispatcher.now() + self.dispatcher.peer_timeout_us
            )


def _discard_stale_messages(mail: Any) -> None:
    """Takes out what came for a wait that is over, and calls to close that a request has overtaken. Guards
    against a wait that ends at once for ever."""
    discard_pipe_messages(mail)
    for _ in range(len(mail)):
        if not isinstance(message := mail.popleft(), CloseClient) or not message.only_if_idle:
            mail.append(message)
