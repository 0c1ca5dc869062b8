"""A client's connection: one request after another, each answered before the next is read."""

from __future__ import annotations

import socket
from typing import Any

from cressrail.buffers.pool import Chain, Exhausted
from cressrail.http1.head import Malformed
from cressrail.http1.request import RequestReader
from cressrail.loop.scheduler import LEFT, MAIL, NEVER, READ
from cressrail.sockets.net import Net
from cressrail.sockets.stream import Called, Late, Stream
from cressrail.traffic.effects import Read, Shut, Write
from cressrail.traffic.reducer import FRESH_US

LINGER_US = 500_000
GO_ON = b"HTTP/1.1 100 Continue\r\n\r\n"


class ClientTask:
    def __init__(self, net: Net, number: int, sock: socket.socket) -> None:
        self.net = net
        self.number = number
        self.stream = Stream(net.loop, net.pool, sock)
        self.body: Chain | None = None  # of a request that is not whole yet
        self.since_us = net.now()  # its first request is due from here; -1 after that: from its own begin
        self.junk = False  # what it sent is not read to its end

    def run(self) -> None:
        task = self.net.loop.current
        assert task is not None
        try:
            while True:
                message = self._message(task.mail)
                if isinstance(message, Read):
                    if not self._read():
                        return
                elif isinstance(message, Write):
                    self._write(message)
                elif isinstance(message, Shut) and not message.idle:
                    # Guards against closed connections that hold descriptors while new clients wait for them.
                    if self.junk or self.stream.inlet.unread():
                        self.stream.linger(self.net.now() + LINGER_US)
                    return
                elif message is None:
                    return
        except (OSError, Late, Exhausted):
            return
        finally:
            self.stream.close()
            if self.body is not None:
                self.body.give_back()
            for message in task.mail:  # an answer that came too late for its client
                if isinstance(message, Write) and message.answer.body is not None:
                    message.answer.body.give_back()
            task.mail.clear()
            self.net.client_gone(self.number)

    def _message(self, mail: Any) -> Any:
        """The next thing to do, or nothing if the client leaves first."""
        while not mail:
            if self.net.loop.wait(self.stream.fd, LEFT) != MAIL:
                return None
        return mail.popleft()

    def _read(self) -> bool:
        """Until a request is whole, or what came is none; false if the connection is over."""
        stream, reader, until_us, since_us, looked = self.stream, None, NEVER, self.since_us, False
        while True:
            if stream.inlet.unread():
                try:
                    if reader is None:
                        now = self.net.now()
                        since_us = since_us if since_us >= 0 else now
                        self.net.tell(self.net.reducer.request_began(now, self.number))
                        until_us = now + self.net.patience_us
                        self.body = Chain(self.net.pool)
                        reader = RequestReader(self.body)
                    stream.inlet.use(reader.feed(stream.inlet.unread()))
                except Malformed as fault:
                    return self._junk(fault.status, str(fault))
                except Exhausted:
                    return self._junk(503, "no buffer left")
                if reader.whole is not None:
                    self.body, self.since_us = None, -1  # the body is the reducer's from here on
                    self.net.tell(self.net.reducer.request_came(
                        self.net.now(), self.number, reader.whole, stream.arrived_us))
                    return True
                if reader.wants_go_on:
                    reader.wants_go_on = False
                    stream.send([memoryview(GO_ON)], until_us)
            try:
                # After an answer the next request is a round trip away at least: a look would find nothing.
                n = -1 if reader is None and self.since_us < 0 and not looked else stream.read()
                looked = True
                if n == 0:
                    return False
                if n < 0:
                    stream.await_(READ, until_us, mail=True, rest=reader is None)
            except Exhausted:
                return self._junk(503, "no buffer left")
            except Late:
                return self._junk(408, "request not whole in time")
            except Called:
                task = self.net.loop.current
                assert task is not None
                assert isinstance(task.mail.popleft(), Shut)
                if reader is None and stream.read() <= 0:
                    return False  # between requests; what has come meanwhile is still answered
                if reader is not None and self.net.now() - since_us >= FRESH_US:
                    return self._junk(408, "request long in coming")

    def _junk(self, status: int, why: str) -> bool:
        self.junk = True
        if self.body is not None:
            self.body.give_back()
            self.body = None
        self.net.tell(self.net.reducer.request_junk(self.net.now(), self.number, status, why))
        return True

    def _write(self, message: Write) -> None:
        body = message.answer.body
        try:
            parts = [memoryview(message.answer.head(not message.last)), *(body.views() if body else [])]
            self.stream.send(parts, self.net.now() + self.net.patience_us)
        finally:
            if body is not None:
                body.give_back()
        self.net.tell(self.net.reducer.written(self.net.now(), self.number))
