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
from cressrail.network.dispatcher import SHORT_US, STIR, CommandDispatcher, purge
from cressrail.network.socket_stream import (
    SHORT,
    Rest,
    SocketStream,
    StreamInterruptedError,
    StreamTimeoutError,
)
from cressrail.policy.outcome import Outcome
from cressrail.proxy.commands import CancelAttempt, SendAttempt, SendResponse

REST_SHARE = 0.6  # of the time after which an endpoint may close an idle connection


class End(NamedTuple):
    how: Outcome
    why: str = ""
    keep: bool = False
    refused: bool = False


class EndpointConnectionTask:
    def __init__(self, net: CommandDispatcher, number: int) -> None:
        self.net = net
        self.number = number
        self.stream: SocketStream | None = None
        self.passed = False  # the answer is the client's, who gets it as it comes

    def run(self) -> None:
        try:
            job = self._next()
            while job is not None and self._carry(job):
                job = self._next()
        finally:
            self._close()
            self.net.endpoint_connection_closed(self.number)

    def _next(self) -> SendAttempt | None:
        """Rests until there is a hop to carry; nothing once the connection is to be closed."""
        task = self.net.loop.current
        assert task is not None
        until_us = self.net.now() + int(self.net.idle_us * REST_SHARE)
        while True:
            while task.mail:
                message = task.mail.popleft()
                if isinstance(message, SendAttempt):
                    return message
                if not isinstance(message, CancelAttempt):  # of a hop that had ended by then
                    return None
            if self.stream is None:
                return None
            if self.net.loop.wait(self.stream.fd, READ, until_us, rest=True) != MAIL:
                self._check()
                self._close()  # idle long enough, or closed by the endpoint; unless a hop has just come

    def _check(self) -> None:
        """Guards against a request written to a connection that its endpoint has closed meanwhile."""
        rest = self.stream.at_rest() if self.stream is not None else Rest.QUIET
        if rest is Rest.RESET:
            self.net.dispatch(self.net.state_machine.on_idle_connection_reset(self.net.now(), self.number))
        if rest is not Rest.QUIET:
            self._close()

    def _carry(self, job: SendAttempt) -> bool:
        """One hop; true if the connection is fit for another."""
        body, kind = Kept(self.net.pool), b""
        reader = ResponseReader(body, MOST, job.request.method == b"HEAD")
        end = End(Outcome.CANCELLED, "fault")
        self.passed = False
        try:
            end = self._attempt(job, reader, body)
            kind = reader.get(b"content-type")
        finally:
            whole = end.how is Outcome.SUCCEEDED
            if self.passed and body.rest is not None:  # it is the client's, who learns how it ended
                (body.rest.close if whole else body.rest.fail)()
            elif not whole:
                body.give_back()
            if not end.keep:
                self._close()
            self.net.dispatch(
                self.net.state_machine.on_attempt_finished(
                    self.net.now(),
                    job.attempt,
                    end.how,
                    end.keep,
                    body if whole and not self.passed else None,
                    kind,
                    end.why,
                    end.refused,
                )
            )
        return end.keep

    def _attempt(self, job: SendAttempt, reader: ResponseReader, body: Kept) -> End:
        try:
            self._prepare(job)
        except (StreamTimeoutError, OSError) as fault:
            if isinstance(fault, OSError) and fault.errno in SHORT:
                self.net.dispatch(self.net.state_machine.on_descriptors_exhausted(self.net.now()))
                return End(Outcome.NOT_SENT, str(fault))
            return End(
                Outcome.CONNECT_FAILED,
                str(fault) or "no connection in time",
                refused=isinstance(fault, ConnectionRefusedError),
            )
        except StreamInterruptedError:
            return End(Outcome.CANCELLED)
        stream = self.stream
        assert stream is not None
        now, until_us = self.net.now(), job.until_us
        if (client := self.net.state_machine.waiting_client(now, job.attempt)) and self.net.has_left(client):
            # Guards against work for those who left while their request lay unread, or a connection came up.
            self.net.dispatch(self.net.state_machine.on_client_disconnected(now, client))
        if (unsent := self.net.state_machine.check_before_send(now, job.attempt)) is not None:
            return End(*unsent, keep=unsent[0] is not Outcome.REJECTED_BY_ENDPOINT)
        if now >= until_us:  # guards against an endpoint blamed for the time that its hop was given
            return End(Outcome.NOT_SENT, "no time left", keep=True)
        try:
            host = f"[{job.host}]" if ":" in job.host else job.host
            left_us = min(until_us - now, self.net.patience_us)  # one that still comes has no end yet
            head = memoryview(job.request.onward(f"{host}:{job.port}", left_us))
            kept = job.request.body.views()
            if job.request.chunked:
                kept = chunk(kept, job.request.body.size)
            stream.send([head, *kept], min(until_us, now + self.net.patience_us), mail=True)
        except (StreamTimeoutError, OSError) as fault:  # before the last byte was written: it never ran
            return End(Outcome.CONNECT_FAILED, str(fault) or "not written in time")
        except StreamInterruptedError:
            return End(Outcome.CANCELLED)
        if job.request.streams:
            early = self._upload(job.request, stream, reader)
            if early is not None:
                return early
            until_us = self.net.state_machine.attempt_deadline_us(job.attempt)
        self.net.state_machine.on_attempt_sent(self.net.now(), job.attempt)
        return self._answer(job, stream, reader, body, until_us)

    def _upload(self, request: Request, stream: SocketStream, reader: ResponseReader) -> End | None:
        """The rest of a large request as it comes; nothing once all of it is written, else how the hop ended.
        Before its last byte is written nothing of it runs. An answer that comes before is looked out for."""
        task = self.net.loop.current
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
                        return End(Outcome.CANCELLED, "its client broke off")
                    if last:
                        return None
                    if parts := rest.peek():
                        held = sum(map(len, parts))
                        left = chunk(parts, held) if request.chunked else parts
                    elif rest.closed:
                        last = True
                        left = [memoryview(b"0\r\n\r\n")] if request.chunked else []
                        continue
                if left and stream.some(left):
                    continue
                if not left:
                    rest.on_data = lambda: self.net.loop.post(task, STIR)
                    why = self.net.loop.wait(stream.fd, READ)
                    rest.on_data = None
                else:
                    why = self.net.loop.wait(stream.fd, READ | WRITE, self.net.now() + self.net.patience_us)
                if why == TIMED_OUT:
                    return End(Outcome.CONNECT_FAILED, "not written in time")
                if why == MAIL:
                    purge(task.mail)
                    if task.mail:
                        return End(Outcome.CANCELLED)
                elif why & ~WRITE and self._early(stream, reader):
                    return self._told(reader, False)
        except (OSError, MalformedMessageError) as fault:
            # It may have said why before it closed.
            with suppress(OSError, MalformedMessageError, BufferPoolExhaustedError):
                if reader.done or self._early(stream, reader):
                    return self._told(reader, False)
            return End(Outcome.CONNECT_FAILED, str(fault) or "ended")
        except BufferPoolExhaustedError:
            return End(Outcome.CANCELLED, "no buffer left")
        finally:
            left.clear()
            purge(task.mail)  # guards against a stir that crossed what ended the wait, taken for a call

    def _early(self, stream: SocketStream, reader: ResponseReader) -> bool:
        """Whether an answer is whole by now; raises `Malformed` if the connection ends before."""
        while not reader.done:
            n = stream.read()
            if n < 0:
                return False
            if n == 0:
                reader.ended()
            else:
                stream.inlet.use(reader.feed(stream.inlet.unread()))
        return True

    def _prepare(self, job: SendAttempt) -> None:
        if (
            self.stream is not None
            and self.net.now() < job.not_before_us
            and self.net.loop.wait(self.stream.fd, READ, job.not_before_us) == MAIL
        ):
            raise StreamInterruptedError
        self._check()
        if self.stream is None:
            until_us = min(job.until_us, self.net.now() + self.net.connect_us)
            self.stream = SocketStream.connect(
                self.net.loop, self.net.pool, job.host, job.port, until_us, True
            )

    def _answer(
        self, job: SendAttempt, stream: SocketStream, reader: ResponseReader, body: Kept, until_us: int
    ) -> End:
        try:
            stream.await_(READ, until_us, mail=True)  # a look so soon would find nothing
            while not reader.done:
                if body.rest is not None and not body.rest.roomy():
                    self._room(body.rest)
                    continue
                try:
                    n = stream.read()
                except BufferPoolExhaustedError:
                    if not self.passed:
                        return End(Outcome.CANCELLED, "no buffer left")
                    self.net.loop.wait(until_us=self.net.now() + SHORT_US, mail=False)
                    continue
                if n == 0:
                    reader.ended()
                elif n < 0:
                    # One that is passed on has no limit but silence: its client waits for its end.
                    stream.await_(
                        READ, self.net.now() + self.net.patience_us if self.passed else until_us, mail=True
                    )
                else:
                    stream.inlet.use(reader.feed(stream.inlet.unread()))
                    if reader.begun and not self.passed and not self._pass_on(job, reader, body):
                        break
        except StreamTimeoutError:
            return End(
                Outcome.CONNECTION_RESET if self.passed else Outcome.TIMED_OUT,
                "silent" if self.passed else "",
            )
        except StreamInterruptedError:
            return End(Outcome.CANCELLED)
        except BufferPoolExhaustedError:
            return End(Outcome.CANCELLED, "no buffer left")
        except (OSError, MalformedMessageError) as fault:
            return End(Outcome.CONNECTION_RESET, str(fault))
        if reader.status == 200 and not reader.done:
            return End(Outcome.CANCELLED)  # nobody wants it any more
        return self._told(reader, reader.done and reader.keep and not stream.inlet.unread())

    def _pass_on(self, job: SendAttempt, reader: ResponseReader, body: Kept) -> bool:
        """Whether to read on. An answer too large to keep is the client's from here on; of one that is not to
        be passed on, the status is all that counts."""
        if body.rest is None and (reader.length or 0) <= KEPT:
            return True
        if reader.status != 200:
            return False
        body.open()
        effects = self.net.state_machine.on_response_started(
            self.net.now(),
            job.attempt,
            Response(200, body, reader.get(b"content-type"), length=reader.length),
        )
        self.passed = any(isinstance(effect, SendResponse) for effect in effects)
        self.net.dispatch(effects)
        return self.passed

    def _room(self, rest: Pipe) -> None:
        """Waits for the client to take what there is. Raises `Called` if it is not to go on."""
        task = self.net.loop.current
        assert task is not None
        if not rest.crowded():  # the pool is short, and anybody's giving back ends that
            self.net.loop.wait(until_us=self.net.now() + SHORT_US, mail=False)
            return
        rest.on_room = lambda: self.net.loop.post(task, STIR)
        self.net.loop.wait()
        rest.on_room = None
        purge(task.mail)
        if task.mail:
            raise StreamInterruptedError

    def _told(self, reader: ResponseReader, keep: bool) -> End:
        if reader.status == 200:
            return End(Outcome.SUCCEEDED, keep=keep)
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
        return End(how, f"status {reader.status}", keep)

    def _close(self) -> None:
        if self.stream is not None:
            self.stream.close()
            self.stream = None
