"""HTTP/1.1 client with a limited number of keep-alive connections and one request at a time on each."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from enum import StrEnum
from typing import Any

import httptools

FIRST_FINAL_STATUS = 200  # responses with a lower status are interim responses


class CallOutcome(StrEnum):
    """How a call ended; the values appear in the event record."""

    ANSWERED = "answered"
    CONNECT_FAILED = "no connection"
    CONNECTION_RESET = "reset"  # the connection was reset or closed before the response was complete
    TIMED_OUT = "gave up"
    MALFORMED_RESPONSE = "not http"


def now_us() -> int:
    """Returns the microseconds of the monotonic clock, which all processes of a host share."""
    return time.monotonic_ns() // 1000


class Response:
    """The result of a call; times are in microseconds on the monotonic clock.

    Attributes:
        outcome: How the call ended.
        status: Status of the final response; 0 if no final response was received completely.
        headers: Header values by name in lower case; for a repeated header the last value.
        body: The part of the body that was received.
        sent_us: When the request was last written; 0 if it never was.
        first_byte_us: When the first byte of the response arrived; 0 if none did.
        finished_us: When the call ended.
        resent_us: When the request was sent again because a keep-alive connection had been closed; 0 if it
            was not.
    """

    __slots__ = (
        "body",
        "finished_us",
        "first_byte_us",
        "headers",
        "outcome",
        "resent_us",
        "sent_us",
        "status",
    )

    def __init__(self) -> None:
        self.outcome = CallOutcome.ANSWERED
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.sent_us = self.first_byte_us = self.finished_us = self.resent_us = 0


ResponseCallback = Callable[[Response], None]


class PendingCall:
    """A request with its timeout and the callback for its response."""

    __slots__ = ("_on_response", "connection", "request", "response", "timer", "was_resent")

    def __init__(self, request: bytes, on_response: ResponseCallback) -> None:
        self.request = request
        self._on_response: ResponseCallback | None = on_response
        self.response = Response()
        self.connection: ClientConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.was_resent = False

    @property
    def is_finished(self) -> bool:
        """Whether the call has ended."""
        return self._on_response is None

    def finish(self, outcome: CallOutcome) -> None:
        """Ends the call and invokes the callback, unless the call has already ended."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.response.outcome = outcome
        self.response.finished_us = now_us()
        on_response, self._on_response = self._on_response, None
        if on_response is not None:
            on_response(self.response)


class ClientConnection(asyncio.Protocol):
    """One connection of an `HttpClient`; receives events from asyncio and from the parser."""

    def __init__(self, client: HttpClient, call: PendingCall) -> None:
        self.client = client
        self.parser: Any = httptools.HttpResponseParser(self)
        self.transport: Any = None
        self.call: PendingCall | None = call
        self.is_closed = False
        self.has_served_call = False

    def connection_made(self, transport: Any) -> None:
        """Writes the request, unless its call timed out while the connection was being established."""
        self.transport = transport
        if self.call is None:
            transport.abort()
        else:
            self._write(self.call)

    def start_call(self, call: PendingCall) -> None:
        """Sends the next request on an idle connection."""
        self.call = call
        call.connection = self
        if self.transport is not None:
            self.parser = httptools.HttpResponseParser(self)
            self._write(call)

    def _write(self, call: PendingCall) -> None:
        call.response.sent_us = now_us()
        self.transport.write(call.request)

    def data_received(self, data: bytes) -> None:
        """Parses a response; bytes received without a pending call are counted and end the connection."""
        if self.call is None:
            self.client.count_excess_bytes(len(data))
            self.abort()
            return
        if not self.call.response.first_byte_us:
            self.call.response.first_byte_us = now_us()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self._finish_call(CallOutcome.MALFORMED_RESPONSE, may_keep=False)

    def connection_lost(self, _error: Exception | None) -> None:
        """Ends the call, or resends it once if the server may have closed before the request arrived."""
        self.is_closed = True
        self.client.remove(self)
        call = self.call
        if (
            call is not None
            and self.has_served_call
            and not call.was_resent
            and not call.response.first_byte_us
        ):
            call.was_resent, self.call = True, None
            call.response.resent_us = now_us()
            self.client.assign(call)
        elif call is not None:
            self._finish_call(CallOutcome.CONNECTION_RESET, may_keep=False)
        self.parser = None  # breaks a reference cycle

    def abort(self) -> None:
        """Closes the connection at once if it is open."""
        if self.transport is not None and not self.is_closed:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; called by the parser."""
        if self.call is not None:
            self.call.response.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body; called by the parser."""
        if self.call is not None:
            self.call.response.body += body

    def on_message_complete(self) -> None:
        """Ends the call at the end of a final response; the parser calls this for interim ones, too."""
        if self.call is None:
            self.client.count_excess_bytes(1)
            return
        status = self.parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            return
        self.call.response.status = status
        self._finish_call(CallOutcome.ANSWERED, may_keep=self.parser.should_keep_alive())

    def _finish_call(self, outcome: CallOutcome, *, may_keep: bool) -> None:
        call, self.call = self.call, None
        assert call is not None
        self.has_served_call = True
        if may_keep and self.client.keeps_alive:
            self.client.release(self)
        else:
            self.abort()
        call.finish(outcome)


class HttpClient:
    """Sends requests to one address.

    Attributes:
        keeps_alive: Whether connections are reused for further requests.
        connections_opened: Number of connections so far, including failed ones.
        queued_calls: Number of calls so far that had to wait for a connection.
        excess_bytes: Number of bytes received after a final response.
        on_excess_bytes: Called with the number of excess bytes each time some are received.
    """

    def __init__(self, host: str, port: int, max_connections: int, keeps_alive: bool = True) -> None:
        """Creates a client without connections, bound to the running event loop."""
        self.host, self.port, self.max_connections = host, port, max_connections
        self.keeps_alive = keeps_alive
        self.connections_opened = 0
        self.queued_calls = 0
        self.excess_bytes = 0
        self.on_excess_bytes: Callable[[int], None] = lambda _count: None
        self._loop = asyncio.get_running_loop()
        self._idle: list[ClientConnection] = []
        self._connections: set[ClientConnection] = set()
        self._connect_tasks: set[asyncio.Task[None]] = set()
        self._queue: deque[PendingCall] = deque()

    def send(self, request: bytes, timeout_us: int, on_response: ResponseCallback) -> None:
        """Sends a request, now or when a connection becomes free.

        Args:
            request: Head and body of the request.
            timeout_us: Timeout from now in microseconds, after which the request's connection is closed.
            on_response: Called once, whatever the outcome.
        """
        call = PendingCall(request, on_response)
        call.timer = self._loop.call_later(max(0, timeout_us) / 1e6, self._time_out, call)
        self.assign(call)

    def assign(self, call: PendingCall) -> None:
        """Assigns a call to an idle connection or to a new one, or queues it."""
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_closed:
                connection.start_call(call)
                return
        if len(self._connections) >= self.max_connections:
            self.queued_calls += 1
            self._queue.append(call)
            return
        connection = ClientConnection(self, call)
        call.connection = connection
        self._connections.add(connection)
        self.connections_opened += 1
        task = self._loop.create_task(self._connect(connection))
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)

    async def _connect(self, connection: ClientConnection) -> None:
        try:
            await self._loop.create_connection(lambda: connection, self.host, self.port)
        except OSError:  # the connection was refused, or no file descriptor is left
            connection.is_closed = True
            self.remove(connection)
            call, connection.call = connection.call, None
            if call is not None:
                call.finish(CallOutcome.CONNECT_FAILED)

    def release(self, connection: ClientConnection) -> None:
        """Assigns the next queued call to a connection that became free, or keeps the connection idle."""
        while self._queue:
            call = self._queue.popleft()
            if not call.is_finished:
                connection.start_call(call)
                return
        self._idle.append(connection)

    def remove(self, connection: ClientConnection) -> None:
        """Removes a closed connection and assigns queued calls to new connections up to the limit."""
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        while self._queue and len(self._connections) < self.max_connections:
            call = self._queue.popleft()
            if not call.is_finished:
                self.assign(call)

    def count_excess_bytes(self, count: int) -> None:
        """Counts and reports bytes received after a final response."""
        self.excess_bytes += count
        self.on_excess_bytes(count)

    def _time_out(self, call: PendingCall) -> None:
        call.timer = None
        connection = call.connection
        if connection is not None and connection.call is call:
            connection.call = None
            connection.abort()
        call.finish(CallOutcome.TIMED_OUT)

    def close(self) -> None:
        """Closes all connections; calls in flight end as reset, queued ones at their timeout."""
        for task in list(self._connect_tasks):
            task.cancel()
        for connection in list(self._connections):
            connection.abort()
