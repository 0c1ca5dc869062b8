"""A connection to an endpoint: carries one hop at a time, rests between them, never sends anything twice."""

from __future__ import annotations

from contextlib import suppress
from typing import NamedTuple

from cressrail.buffers.pipe import KEPT, Kept, Pipe
from cressrail.buffers.pool import BufferPoolExhaustedError
from cressrail.event_loop.scheduler import MAIL, READ, TIMED_OUT, WRITE
from cressrail.http1.answer import Response, ResponseReader
from cressrail.http1.body import MOST, chunk
from cressrail.http1.head import MalformedMessageError
from cressrail.http1.request import Request
from cressrail.network.dispatcher import (
    BUFFER_RETRY_US,
    PIPE_CHANGED,
    CommandDispatcher,
    discard_pipe_messages,
)
from cressrail.network.socket_stream import (
    DESCRIPTORS_EXHAUSTED,
    IdleState,
    SocketStream,
    StreamInterruptedError,
    StreamTimeoutError,
)
from cressrail.policy.outcome import Outcome
from cressrail.proxy.attempts import AttemptResult
from cressrail.proxy.commands import CancelAttempt, SendAttempt, SendResponse

REST_SHARE = 0.6  # of the time after which an endpoint may close an idle connection


class AttemptEnd(NamedTuple):
    outcome: Outcome
    reason: str = ""
    is_connection_reusable: bool = False
    has_endpoint_refused: bool = False


class EndpointConnectionTask:
    def __init__(self, dispatcher: CommandDispatcher, number: int) -> None:
        self.dispatcher = dispatcher
        self.number = number
        self.stream: SocketStream | None = None
        self.is_streaming = False  # the answer is the client's, who gets it as it comes

    def run(self) -> None:
        try:
            command = self._wait_for_attempt()
            while command is not None and self._run_attempt(command):
                command = self._wait_for_attempt()
        finally:
            self._close()
            self.dispatcher.endpoint_connection_closed(self.number)

    def _wait_for_attempt(self) -> SendAttempt | None:
        """Rests until there is a hop to carry; nothing once the connection is to be closed."""
        task = self.dispatcher.scheduler.current
        assert task is not None
        until_us = self.dispatcher.now() + int(self.dispatcher.endpoint_idle_timeout_us * REST_SHARE)
        while True:
            while task.mail:
                message = task.mail.popleft()
                if isinstance(message, SendAttempt):
                    return message
                if not isinstance(message, CancelAttempt):  # of a hop that had ended by then
                    return None
            if self.stream is None:
                return None
            if self.dispatcher.scheduler.wait(self.stream.fd, READ, until_us, rest=True) != MAIL:
                self._check_idle_connection()
                self._close()  # idle long enough, or closed by the endpoint; unless a hop has just come

    def _check_idle_connection(self) -> None:
        """Guards against a request written to a connection that its endpoint has closed meanwhile."""
        rest = self.stream.idle_state() if self.stream is not None else IdleState.QUIET
        if rest is IdleState.RESET:
            self.dispatcher.dispatch(
                self.dispatcher.state_machine.on_idle_connection_reset(self.dispatcher.now(), self.number)
            )
        if rest is not IdleState.QUIET:
            self._close()

    def _run_attempt(self, command: SendAttempt) -> bool:
        """One hop; true if the connection is fit for another."""
        body, kind = Kept(self.dispatcher.pool), b""
        reader = ResponseReader(body, MOST, command.request.method == b"HEAD")
        end = AttemptEnd(Outcome.CANCELLED, "fault")
        self.is_streaming = False
        try:
            end = self._attempt(command, reader, body)
            kind = reader.get(b"content-type")
        finally:
            whole = end.outcome is Outcome.SUCCEEDED
            if self.is_streaming and body.rest is not None:  # it is the client's, who learns how it ended
                (body.rest.close if whole else body.rest.fail)()
            elif not whole:
                body.give_back()
            if not end.is_connection_reusable:
                self._close()
            self.dispatcher.dispatch(
                self.dispatcher.state_machine.on_attempt_finished(
                    self.dispatcher.now(),
                    command.attempt,
                    AttemptResult(
                        end.outcome,
                        end.is_connection_reusable,
                        body if whole and not self.is_streaming else None,
                        kind,
                        end.reason,
                        end.has_endpoint_refused,
                    ),
                )
            )
        return end.is_connection_reusable

    def _attempt(self, command: SendAttempt, reader: ResponseReader, body: Kept) -> AttemptEnd:
        try:
            self._open(command)
        except (StreamTimeoutError, OSError) as fault:
            if isinstance(fault, OSError) and fault.errno in DESCRIPTORS_EXHAUSTED:
                self.dispatcher.dispatch(
                    self.dispatcher.state_machine.on_descriptors_exhausted(self.dispatcher.now())
                )
                return AttemptEnd(Outcome.NOT_SENT, str(fault))
            return AttemptEnd(
                Outcome.CONNECT_FAILED,
                str(fault) or "no connection in time",
                has_endpoint_refused=isinstance(fault, ConnectionRefusedError),
            )
        except StreamInterruptedError:
            return AttemptEnd(Outcome.CANCELLED)
        stream = self.stream
        assert stream is not None
        now, until_us = self.dispatcher.now(), command.until_us
        if (
            client := self.dispatcher.state_machine.waiting_client(now, command.attempt)
        ) and self.dispatcher.has_client_disconnected(client):
            # Guards against work for those who left while their request lay unread, or a connection came up.
            self.dispatcher.dispatch(self.dispatcher.state_machine.on_client_disconnected(now, client))
        if (unsent := self.dispatcher.state_machine.check_before_send(now, command.attempt)) is not None:
            return AttemptEnd(*unsent, is_connection_reusable=unsent[0] is not Outcome.REJECTED_BY_ENDPOINT)
        if now >= until_us:  # guards against an endpoint blamed for the time that its hop was given
            return AttemptEnd(Outcome.NOT_SENT, "no time left", is_connection_reusable=True)
        try:
            host = f"[{command.host}]" if ":" in command.host else command.host
            left_us = min(
                until_us - now, self.dispatcher.peer_timeout_us
            )  # one that still comes has no end yet
            head = memoryview(command.request.onward(f"{host}:{command.port}", left_us))
            kept = command.request.body.views()
            if command.request.chunked:
                kept = chunk(kept, command.request.body.size)
            stream.send([head, *kept], min(until_us, now + self.dispatcher.peer_timeout_us), mail=True)
        except (StreamTimeoutError, OSError) as fault:  # before the last byte was written: it never ran
            return AttemptEnd(Outcome.CONNECT_FAILED, str(fault) or "not written in time")
        except StreamInterruptedError:
            return AttemptEnd(Outcome.CANCELLED)
        if command.request.streams:
            early = self._upload(command.request, stream, reader)
            if early is not None:
                return early
            until_us = self.dispatcher.state_machine.attempt_deadline_us(command.attempt)
        self.dispatcher.state_machine.on_attempt_sent(self.dispatcher.now(), command.attempt)
        return self._read_response(command, stream, reader, body, until_us)

    def _upload(self, request: Request, stream: SocketStream, reader: ResponseReader) -> AttemptEnd | None:
        """The rest of a large request as it comes; nothing once all of it is written, else how the hop ended.
        Before its last byte is written nothing of it runs. An answer that comes before is looked out for."""
        task = self.dispatcher.scheduler.current
        rest = request.body.rest if isinstance(request.body, Kept) else None
        assert task is not None and rest is not None
        left: list[memoryview] = []
        held, last = 0, False
        try:
            while True:
                if not left:
                    rest.used(held)  # not before: what is not written whole may be sent anew
                    held = 0
                    if rest.failed:
                        return AttemptEnd(Outcome.CANCELLED, "its client broke off")
                    if last:
                        return None
                    if parts := rest.peek():
                        held = sum(map(len, parts))
                        left = chunk(parts, held) if request.chunked else parts
                    elif rest.closed:
                        last = True
                        left = [memoryview(b"0\r\n\r\n")] if request.chunked else []
                        continue
                if left and stream.send_some(left):
                    continue
                if not left:
                    rest.on_data = lambda: self.dispatcher.scheduler.post(task, PIPE_CHANGED)
                    why = self.dispatcher.scheduler.wait(stream.fd, READ)
                    rest.on_data = None
                else:
                    why = self.dispatcher.scheduler.wait(
                        stream.fd, READ | WRITE, self.dispatcher.now() + self.dispatcher.peer_timeout_us
                    )
                if why == TIMED_OUT:
                    return AttemptEnd(Outcome.CONNECT_FAILED, "not written in time")
                if why == MAIL:
                    discard_pipe_messages(task.mail)
                    if task.mail:
                        return AttemptEnd(Outcome.CANCELLED)
                elif why & ~WRITE and self._read_early_response(stream, reader):
                    return self._result_of(reader, False)
        except (OSError, MalformedMessageError) as fault:
            # It may have said why before it closed.
            with suppress(OSError, MalformedMessageError, BufferPoolExhaustedError):
                if reader.done or self._read_early_response(stream, reader):
                    return self._result_of(reader, False)
            return AttemptEnd(Outcome.CONNECT_FAILED, str(fault) or "ended")
        except BufferPoolExhaustedError:
            return AttemptEnd(Outcome.CANCELLED, "no buffer left")
        finally:
            left.clear()
            discard_pipe_messages(
                task.mail
            )  # guards against a stir that crossed what ended the wait, taken for a call

    def _read_early_response(self, stream: SocketStream, reader: ResponseReader) -> bool:
        """Whether an answer is whole by now; raises `Malformed` if the connection ends before."""
        while not reader.done:
            n = stream.read()
            if n < 0:
                return False
            if n == 0:
                reader.ended()
            else:
                stream.input_buffer.use(reader.feed(stream.input_buffer.unread()))
        return True

    def _open(self, command: SendAttempt) -> None:
        if (
            self.stream is not None
            and self.dispatcher.now() < command.not_before_us
            and self.dispatcher.scheduler.wait(self.stream.fd, READ, command.not_before_us) == MAIL
        ):
            raise StreamInterruptedError
        self._check_idle_connection()
        if self.stream is None:
            until_us = min(command.until_us, self.dispatcher.now() + self.dispatcher.connect_timeout_us)
            self.stream = SocketStream.connect(
                self.dispatcher.scheduler, self.dispatcher.pool, command.host, command.port, until_us, True
            )

    def _read_response(
        self, command: SendAttempt, stream: SocketStream, reader: ResponseReader, body: Kept, until_us: int
    ) -> AttemptEnd:
        try:
            stream.wait(READ, until_us, mail=True)  # a look so soon would find nothing
            while not reader.done:
                if body.rest is not None and not body.rest.roomy():
                    self._wait_for_client(body.rest)
                    continue
                try:
                    n = stream.read()
                except BufferPoolExhaustedError:
                    if not self.is_streaming:
                        return AttemptEnd(Outcome.CANCELLED, "no buffer left")
                    self.dispatcher.scheduler.wait(
                        until_us=self.dispatcher.now() + BUFFER_RETRY_US, mail=False
                    )
                    continue
                if n == 0:
                    reader.ended()
                elif n < 0:
                    # One that is passed on has no limit but silence: its client waits for its end.
                    stream.wait(
                        READ,
                        self.dispatcher.now() + self.dispatcher.peer_timeout_us
                        if self.is_streaming
                        else until_us,
                        mail=True,
                    )
                else:
                    stream.input_buffer.use(reader.feed(stream.input_buffer.unread()))
                    if (
                        reader.begun
                        and not self.is_streaming
                        and not self._start_streaming(command, reader, body)
                    ):
                        break
        except StreamTimeoutError:
            return AttemptEnd(
                Outcome.CONNECTION_RESET if self.is_streaming else Outcome.TIMED_OUT,
                "silent" if self.is_streaming else "",
            )
        except StreamInterruptedError:
            return AttemptEnd(Outcome.CANCELLED)
        except BufferPoolExhaustedError:
            return AttemptEnd(Outcome.CANCELLED, "no buffer left")
        except (OSError, MalformedMessageError) as fault:
            return AttemptEnd(Outcome.CONNECTION_RESET, str(fault))
        if reader.status == 200 and not reader.done:
            return AttemptEnd(Outcome.CANCELLED)  # nobody wants it any more
        return self._result_of(reader, reader.done and reader.keep and not stream.input_buffer.unread())

    def _start_streaming(self, command: SendAttempt, reader: ResponseReader, body: Kept) -> bool:
        """Whether to read on. An answer too large to keep is the client's from here on; of one that is not to
        be passed on, the status is all that counts."""
        if body.rest is None and (reader.length or 0) <= KEPT:
            return True
        if reader.status != 200:
            return False
        body.open()
        effects = self.dispatcher.state_machine.on_response_started(
            self.dispatcher.now(),
            command.attempt,
            Response(200, body, reader.get(b"content-type"), length=reader.length),
        )
        self.is_streaming = any(isinstance(effect, SendResponse) for effect in effects)
        self.dispatcher.dispatch(effects)
        return self.is_streaming

    def _wait_for_client(self, rest: Pipe) -> None:
        """Waits for the client to take what there is. Raises `Called` if it is not to go on."""
        task = self.dispatcher.scheduler.current
        assert task is not None
        if not rest.crowded():  # the pool is short, and anybody's giving back ends that
            self.dispatcher.scheduler.wait(until_us=self.dispatcher.now() + BUFFER_RETRY_US, mail=False)
            return
        rest.on_room = lambda: self.dispatcher.scheduler.post(task, PIPE_CHANGED)
        self.dispatcher.scheduler.wait()
        rest.on_room = None
        discard_pipe_messages(task.mail)
        if task.mail:
            raise StreamInterruptedError

    def _result_of(self, reader: ResponseReader, keep: bool) -> AttemptEnd:
        if reader.status == 200:
            return AttemptEnd(Outcome.SUCCEEDED, is_connection_reusable=keep)
        declined = reader.status in (503, 504) and reader.get(b"srv-declined") == b"1"
        # Guards against endpoints left out, and retries spent, for what bad clients send.
        rejected = 400 <= reader.status < 500 and reader.status not in (408, 429)
        how = (
            Outcome.REJECTED_BY_ENDPOINT
            if declined
            else Outcome.INVALID_REQUEST
            if rejected
            else Outcome.ERROR
        )
        return AttemptEnd(how, f"status {reader.status}", keep)

    def _close(self) -> None:
        if self.stream is not None:
            self.stream.close()
            self.stream = None
