"""The admin API: an HTTP server for operators on a separate address, with one request per connection.

The admin API stays responsive however busy the sidecar is: it takes no buffers from the pool, its descriptors
are reserved, and its tasks run before other ready tasks in a round of the event loop.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any

import orjson

from cressrail.event_loop.scheduler import MESSAGE, READABLE, TIMED_OUT, WRITABLE
from cressrail.event_loop.task import Task
from cressrail.http1.errors import MalformedMessageError
from cressrail.http1.headers import parse_head
from cressrail.http1.request import parse_request_line
from cressrail.http1.response import REASON_PHRASES
from cressrail.network.dispatcher import CommandDispatcher
from cressrail.network.listener import NO_DESCRIPTORS_PAUSE_US
from cressrail.network.socket_stream import DESCRIPTORS_EXHAUSTED
from cressrail.proxy.admin import AdminResponse

if TYPE_CHECKING:
    from cressrail.network.membership_transport import MembershipTransport

MAX_OPEN_CALLS = 8  # a further connection closes the oldest unfinished call
DESCRIPTORS = MAX_OPEN_CALLS + 2  # plus the listening socket and a connection that is being accepted
CALL_TIMEOUT_US = 2_000_000  # for receiving the head after the accept, and again for sending the response
DRAIN_TIMEOUT_US = 500_000  # how long input after the response is read and discarded
READ_BYTES = 4096
CLOSE_CALL = "close call"  # message that closes a call to make room for another one
MEMBERSHIP_PATH, ZONES_PATH = b"/membership", b"/zones"  # served only if membership is configured
JSON = b"application/json"


class AdminServerTask:
    """Owns the listening socket of the admin address and keeps track of the open calls."""

    def __init__(
        self,
        dispatcher: CommandDispatcher,
        sock: socket.socket,
        membership: MembershipTransport | None,
    ) -> None:
        self.dispatcher = dispatcher
        self.sock = sock
        self.membership = membership
        self.calls: dict[Task, None] = {}  # used as an ordered set, oldest first

    def run(self) -> None:
        """Accepts connections until a message is posted to the task."""
        try:
            while self.dispatcher.scheduler.wait(self.sock.fileno(), READABLE) != MESSAGE:
                self._accept()
        finally:
            self.sock.close()

    def _accept(self) -> None:
        scheduler = self.dispatcher.scheduler
        try:
            sock, _ = self.sock.accept()
        except OSError as error:
            if error.errno in DESCRIPTORS_EXHAUSTED:  # the queued connection would wake this task at once
                until_us = self.dispatcher.now() + NO_DESCRIPTORS_PAUSE_US
                scheduler.wait(until_us=until_us, wakes_on_message=False)
            return
        if len(self.calls) >= MAX_OPEN_CALLS:
            oldest = next(iter(self.calls))
            del self.calls[oldest]
            scheduler.post(oldest, CLOSE_CALL)
        self.calls[scheduler.spawn(AdminCall(self, sock).run, has_priority=True)] = None


class AdminCall:
    """One connection to the admin address: reads a request, sends the response and closes."""

    def __init__(self, server: AdminServerTask, sock: socket.socket) -> None:
        self.server = server
        self.dispatcher = server.dispatcher
        self.sock = sock
        sock.setblocking(False)

    def run(self) -> None:
        """Handles the call; a caller that is too slow or disconnects gets no response."""
        task = self.dispatcher.scheduler.current_task()
        try:
            response = self._read_call()
            if response is not None:
                self._send(response)
        except OSError:
            pass
        finally:
            self.server.calls.pop(task, None)
            self.sock.close()

    def _read_call(self) -> AdminResponse | None:
        """Reads the request head and executes the call; None if the caller is too slow or disconnects."""
        received, until_us = bytearray(), self.dispatcher.now() + CALL_TIMEOUT_US
        while data := self._receive(until_us):
            received += data
            try:
                head = parse_head(memoryview(received))
                if head is not None:
                    return self._respond(*parse_request_line(head[1]))
            except MalformedMessageError as error:
                return AdminResponse(400, f"{error}\n".encode())
        return None

    def _respond(self, method: bytes, target: bytes) -> AdminResponse:
        membership = self.server.membership
        if membership is not None and target == MEMBERSHIP_PATH:
            if method != b"GET":
                return AdminResponse(405, b"not by this method\n", allow=b"GET")
            return AdminResponse(200, membership.view_json(), JSON)
        if membership is not None and target.startswith(ZONES_PATH):
            return _zones_response(*membership.on_zones_request(method, target))
        path = target.partition(b"?")[0]
        dispatcher = self.dispatcher
        response, commands = dispatcher.state_machine.on_admin_call(dispatcher.now(), method, path)
        dispatcher.dispatch(commands)
        return response

    def _receive(self, until_us: int) -> bytes:
        """Returns received bytes; empty if the caller disconnects, after `until_us` or after `CLOSE_CALL`."""
        scheduler = self.dispatcher.scheduler
        scheduler.begin_read()
        while self.dispatcher.now() < until_us and not scheduler.current_task().messages:
            try:
                return self.sock.recv(READ_BYTES)
            except BlockingIOError:
                scheduler.wait(self.sock.fileno(), READABLE, until_us)
        return b""

    def _send(self, response: AdminResponse) -> None:
        unsent = memoryview(_encode(response))
        until_us = self.dispatcher.now() + CALL_TIMEOUT_US
        while unsent:
            try:
                unsent = unsent[self.sock.send(unsent) :]
            except BlockingIOError:
                if self.dispatcher.scheduler.wait(self.sock.fileno(), WRITABLE, until_us) in (
                    MESSAGE,
                    TIMED_OUT,
                ):
                    return
        # Closing a socket with unread input would reset the connection and lose the response.
        self.sock.shutdown(socket.SHUT_WR)
        until_us = self.dispatcher.now() + DRAIN_TIMEOUT_US
        while self._receive(until_us):
            pass


def _encode(response: AdminResponse) -> bytes:
    lines = [
        b"HTTP/1.1 %d %s" % (response.status, REASON_PHRASES.get(response.status, b"-")),
        b"content-type: " + response.kind,
        b"content-length: %d" % len(response.body),
        b"cache-control: no-store",
        b"connection: close",
    ]
    if response.allow:
        lines.append(b"allow: " + response.allow)
    return b"\r\n".join(lines) + b"\r\n\r\n" + response.body


def _zones_response(status: int, answer: Any) -> AdminResponse:
    """Converts an answer on zones into an HTTP response.

    Args:
        status: The HTTP status.
        answer: A JSON value for 200, the allowed method for 405, otherwise an error message.
    """
    if status == 405:
        return AdminResponse(405, b"not by this method\n", allow=answer.encode())
    if status != 200:
        return AdminResponse(status, f"{answer}\n".encode())
    return AdminResponse(200, orjson.dumps(answer, option=orjson.OPT_APPEND_NEWLINE), JSON)
