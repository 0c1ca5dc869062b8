"""A connection to an endpoint: carries one hop at a time, rests between them, never sends anything twice."""

from __future__ import annotations

from typing import NamedTuple

from cressrail.brain import Outcome
from cressrail.buffers.pool import Chain, Exhausted
from cressrail.http1.answer import AnswerReader
from cressrail.http1.head import Malformed
from cressrail.loop.scheduler import MAIL, READ
from cressrail.sockets.net import Net
from cressrail.sockets.stream import SHORT, Called, Late, Rest, Stream
from cressrail.traffic.effects import CallOff, Carry

REST_SHARE = 0.6  # of the time after which an endpoint may close an idle connection


class End(NamedTuple):
    how: Outcome
    why: str = ""
    keep: bool = False
    refused: bool = False


class LinkTask:
    def __init__(self, net: Net, number: int) -> None:
        self.net = net
        self.number = number
        self.stream: Stream | None = None

    def run(self) -> None:
        try:
            job = self._next()
            while job is not None and self._carry(job):
                job = self._next()
        finally:
            self._close()
            self.net.link_gone(self.number)

    def _next(self) -> Carry | None:
        """Rests until there is a hop to carry; nothing once the connection is to be closed."""
        task = self.net.loop.current
        assert task is not None
        until_us = self.net.now() + int(self.net.idle_us * REST_SHARE)
        while True:
            while task.mail:
                message = task.mail.popleft()
                if isinstance(message, Carry):
                    return message
                if not isinstance(message, CallOff):  # of a hop that had ended by then
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
            self.net.tell(self.net.reducer.link_reset(self.net.now(), self.number))
        if rest is not Rest.QUIET:
            self._close()

    def _carry(self, job: Carry) -> bool:
        """One hop; true if the connection is fit for another."""
        body, kind = Chain(self.net.pool), b""
        reader = AnswerReader(body, self.net.answer_most, job.request.method == b"HEAD")
        end = End(Outcome.CALLED_OFF, "fault")
        try:
            end = self._attempt(job, reader)
            kind = reader.get(b"content-type")
        finally:
            if end.how is not Outcome.COMMITTED:
                body.give_back()
            if not end.keep:
                self._close()
            self.net.tell(self.net.reducer.hop_ended(
                self.net.now(), job.hop, end.how, end.keep,
                body if end.how is Outcome.COMMITTED else None, kind, end.why, end.refused))
        return end.keep

    def _attempt(self, job: Carry, reader: AnswerReader) -> End:
        try:
            self._prepare(job)
        except (Late, OSError) as fault:
            if isinstance(fault, OSError) and fault.errno in SHORT:
                self.net.tell(self.net.reducer.short(self.net.now()))
                return End(Outcome.NEVER_SENT, str(fault))
            return End(Outcome.UNREACHED, str(fault) or "no connection in time",
                       refused=isinstance(fault, ConnectionRefusedError))
        except Called:
            return End(Outcome.CALLED_OFF)
        stream = self.stream
        assert stream is not None
        if not self.net.reducer.still_wanted(job.hop, job.host, job.port):
            return End(Outcome.TURNED_AWAY, "drains, or has left")
        now = self.net.now()
        if now >= job.until_us:  # guards against an endpoint blamed for the time that its hop was given
            return End(Outcome.NEVER_SENT, "no time left")
        try:
            host = f"[{job.host}]" if ":" in job.host else job.host
            head = job.request.onward(f"{host}:{job.port}", job.until_us - now)
            stream.send([memoryview(head), *job.request.body.views()], job.until_us, mail=True)
        except (Late, OSError) as fault:  # before the last byte was written: it never ran
            return End(Outcome.UNREACHED, str(fault) or "not written in time")
        except Called:
            return End(Outcome.CALLED_OFF)
        self.net.reducer.hop_written()
        return self._answer(job, stream, reader)

    def _prepare(self, job: Carry) -> None:
        self._check()
        if self.stream is None:
            until_us = min(job.until_us, self.net.now() + self.net.connect_us)
            self.stream = Stream.connect(self.net.loop, self.net.pool, job.host, job.port, until_us, True)

    def _answer(self, job: Carry, stream: Stream, reader: AnswerReader) -> End:
        try:
            stream.await_(READ, job.until_us, mail=True)  # a look so soon would find nothing
            while not reader.done:
                n = stream.read()
                if n == 0:
                    reader.ended()
                elif n < 0:
                    stream.await_(READ, job.until_us, mail=True)
                else:
                    stream.inlet.use(reader.feed(stream.inlet.unread()))
        except Late:
            return End(Outcome.TIMED_OUT)
        except Called:
            return End(Outcome.CALLED_OFF)
        except Exhausted:
            return End(Outcome.CALLED_OFF, "no buffer left")
        except (OSError, Malformed) as fault:
            return End(Outcome.DROPPED, str(fault))
        keep = reader.keep and not stream.inlet.unread()
        if reader.status == 200:
            return End(Outcome.COMMITTED, keep=keep)
        declined = reader.status in (503, 504) and reader.get(b"srv-declined") == b"1"
        # Guards against endpoints left out, and retries spent, for what bad clients send.
        rejected = 400 <= reader.status < 500 and reader.status not in (408, 429)
        how = (Outcome.TURNED_AWAY if declined else Outcome.REJECTED if rejected else Outcome.ERROR)
        return End(how, f"status {reader.status}", keep)

    def _close(self) -> None:
        if self.stream is not None:
            self.stream.close()
            self.stream = None
