"""The operators' door: a second address, one call to a connection. It needs no buffer of the pool, holds
descriptors of its own, and its tasks go before others in a round, so that it answers however full the
sidecar is."""

from __future__ import annotations

import socket
from typing import Any

import orjson

from cressrail.event_loop.scheduler import MESSAGE, READABLE, WRITABLE, Task
from cressrail.http1.errors import MalformedMessageError
from cressrail.http1.headers import parse_head
from cressrail.http1.request import parse_request_line
from cressrail.http1.response import REASON_PHRASES
from cressrail.network.dispatcher import CommandDispatcher
from cressrail.network.listener import SHORT_PAUSE_US
from cressrail.network.socket_stream import SHORT
from cressrail.proxy.admin import AdminResponse

CALLS = 8  # at once; the oldest that is unfinished makes room for one more
DESCRIPTORS = CALLS + 2  # the listening one, and one amid being taken in
UNFINISHED_US = 2_000_000  # a call may take so long from its connection to the end of its head,
READ_ON_US = 500_000  # and so long after its answer what still comes is read off
PIECE = 4096
HANG_UP = "hang up"
PAGE, JSON = b"/membership", b"application/json"  # where membership is on
ZONES = b"/zones"


class AdminServerTask:
    """The listener, and the calls that are open."""

    def __init__(self, net: CommandDispatcher, sock: socket.socket) -> None:
        self.net = net
        self.sock = sock
        self.calls: dict[Task, None] = {}  # the oldest first

    def run(self) -> None:
        try:
            while True:
                if self.net.loop.wait(self.sock.fileno(), READABLE) == MESSAGE:
                    return
                self._accept()
        finally:
            self.sock.close()

    def _accept(self) -> None:
        try:
            sock, _ = self.sock.accept()
        except OSError as fault:
            if fault.errno in SHORT:  # guards against a loop that spins on a caller it can't take in
                self.net.loop.wait(until_us=self.net.now() + SHORT_PAUSE_US, wakes_on_message=False)
            return
        if len(self.calls) >= CALLS:
            # Guards against callers that finish no call keeping out those who would.
            oldest = next(iter(self.calls))
            del self.calls[oldest]
            self.net.loop.post(oldest, HANG_UP)
        call = Call(self, sock)
        self.calls[self.net.loop.spawn(call.run, is_first=True)] = None


def _of_zones(status: int, told: Any) -> AdminResponse:
    if status == 405:
        return AdminResponse(405, b"not by this method\n", allow=told.encode())
    if status != 200:
        return AdminResponse(status, f"{told}\n".encode())
    return AdminResponse(200, orjson.dumps(told, option=orjson.OPT_APPEND_NEWLINE), JSON)


class Call:
    def __init__(self, door: AdminServerTask, sock: socket.socket) -> None:
        self.door = door
        self.net = door.net
        self.sock = sock
        sock.setblocking(False)

    def run(self) -> None:
        task = self.net.loop.current
        assert task is not None
        try:
            told = self._asked()
            if told is not None:
                self._say(told)
        except OSError:
            pass
        finally:
            self.door.calls.pop(task, None)
            self.sock.close()

    def _asked(self) -> AdminResponse | None:
        """What the call is answered; nothing for one that is not whole in time or leaves."""
        text, until_us = bytearray(), self.net.now() + UNFINISHED_US
        while True:
            data = self._more(until_us)
            if not data:
                return None
            text += data
            try:
                found = parse_head(memoryview(text))
                if found is None:
                    continue
                method, target = parse_request_line(found[1])
            except MalformedMessageError as fault:
                return AdminResponse(400, f"{fault}\n".encode())
            if target == PAGE and self.net.gossip is not None:
                return (
                    AdminResponse(200, self.net.gossip.page(), JSON)
                    if method == b"GET"
                    else AdminResponse(405, b"not by this method\n", allow=b"GET")
                )
            if target.startswith(ZONES) and self.net.gossip is not None:
                return _of_zones(*self.net.gossip.asked(method, target))
            told, effects = self.net.state_machine.on_admin_call(
                self.net.now(), method, target.partition(b"?")[0]
            )
            self.net.dispatch(effects)
            return told

    def _more(self, until_us: int) -> bytes:
        while True:
            try:
                return self.sock.recv(PIECE)
            except BlockingIOError:
                if self.net.loop.wait(self.sock.fileno(), READABLE, until_us) in (MESSAGE, 0):
                    return b""

    def _say(self, told: AdminResponse) -> None:
        lines = [
            b"HTTP/1.1 %d %s" % (told.status, REASON_PHRASES.get(told.status, b"-")),
            b"content-type: " + told.kind,
            b"content-length: %d" % len(told.body),
            b"cache-control: no-store",
            b"connection: close",
        ]
        if told.allow:
            lines.append(b"allow: " + told.allow)
        left = memoryview(b"\r\n".join(lines) + b"\r\n\r\n" + told.body)
        until_us = self.net.now() + UNFINISHED_US
        while left:
            try:
                left = left[self.sock.send(left) :]
            except BlockingIOError:
                if self.net.loop.wait(self.sock.fileno(), WRITABLE, until_us) in (MESSAGE, 0):
                    return
        # Guards against a close with bytes unread, which would reset the answer on its way.
        self.sock.shutdown(socket.SHUT_WR)
        until_us = self.net.now() + READ_ON_US
        while self._more(until_us):
            pass
