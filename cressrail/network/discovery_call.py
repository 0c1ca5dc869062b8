"""One call to discovery, on a connection of its own: the complete list where it is needed, then the watch."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from cressrail.buffers.pool import BufferPoolExhaustedError
from cressrail.discovery.endpoint_list import (
    EndpointListUpdate,
    MalformedEndpointListError,
    parse_update_line,
)
from cressrail.discovery.watch_lines import WatchLines, WholeDocument
from cressrail.event_loop.scheduler import READABLE
from cressrail.event_loop.task import Task
from cressrail.http1.errors import MalformedMessageError
from cressrail.http1.response import ResponseReader
from cressrail.network.dispatcher import CommandDispatcher
from cressrail.network.socket_stream import SocketStream, StreamInterruptedError, StreamTimeoutError
from cressrail.proxy.commands import WatchEndpoints

HEARTBEAT_US = 2_000_000  # interval at which discovery sends an empty line if there is no update
SILENCE_TIMEOUT_US = 2 * HEARTBEAT_US  # time limit for the next byte of an answer that has begun
FIRST_BYTE_TIMEOUT_US = 3 * HEARTBEAT_US  # time limit for the first byte of an answer
LINE_TIMEOUT_US = 2 * HEARTBEAT_US  # time limit for a complete line
MIN_LINE_BYTES_PER_S = 2_000  # a partly received line extends that limit at this rate
PROGRESS_BYTES = 4096  # received bytes that count as progress before the line is complete
UNLIMITED_BODY_BYTES = 1 << 62
LIST_PATH = "/catalog/members"
OK = 200
US_PER_S = 1_000_000
NO_STATUS_YET = 0
STOP = "stop"  # message that ends a call


class CallEnded(NamedTuple):
    """The message of a call that has ended by itself to the task that began it.

    Attributes:
        call: The call.
        reason: Why it ended.
    """

    call: DiscoveryCall
    reason: str


class CallEvents(NamedTuple):
    """What a call reports while it goes on.

    Attributes:
        on_progress: Called with the call when it has received a part of a list.
        on_list: Called with the call when it has delivered the complete list that it asked for.
        on_line: Called with the call when it has delivered a complete line of the watch.
    """

    on_progress: Callable[[DiscoveryCall], None]
    on_list: Callable[[DiscoveryCall], None]
    on_line: Callable[[DiscoveryCall], None]


class DiscoveryCall:
    """Asks discovery for what a `WatchEndpoints` command describes, until the answer ends or is given up.

    Any byte shows that discovery is there. An answer is given up after a silence, or if a line takes too long
    in all.

    Attributes:
        command: The command that the call carries out.
        opened_us: When the call began.
        awaits_complete_list: Whether it has asked, or will ask, for the complete list and has not got it.
    """

    def __init__(
        self, dispatcher: CommandDispatcher, command: WatchEndpoints, owner: Task, events: CallEvents
    ) -> None:
        """Begins the call in a task of its own.

        Args:
            dispatcher: Provides the event loop and the state machine.
            command: What to ask for.
            owner: Receives a `CallEnded` unless the call is stopped.
            events: Called while the call goes on.
        """
        self.dispatcher = dispatcher
        self.command = command
        self.opened_us = dispatcher.now()
        self.awaits_complete_list = command.after_revision < 0
        self._owner = owner
        self._events = events
        self._stream: SocketStream | None = None
        self._asked_us = self.opened_us  # when what comes next was asked for, or what came last had come
        self._last_byte_us = self.opened_us
        self._line_us = self.opened_us  # when the last complete line came, or the answer began
        self._has_answer_begun = False
        self._task = dispatcher.scheduler.spawn(self._run, has_priority=True)

    def stop(self) -> None:
        """Ends the call as soon as its task runs; what it has received by then is not reported."""
        self.dispatcher.scheduler.post(self._task, STOP)

    def _run(self) -> None:
        reason: str | None = "unhandled exception in a call to discovery"
        try:
            reason = self._watch()
        except StreamTimeoutError:
            reason = self._timeout_reason()
        except StreamInterruptedError:
            reason = None  # it was stopped
        except BufferPoolExhaustedError:  # waiting for a buffer could delay the news of a draining endpoint
            reason = "buffer pool exhausted while reading from discovery"
        except (OSError, MalformedMessageError, MalformedEndpointListError) as error:
            reason = str(error) or "connection to discovery failed"
        finally:
            if self._stream is not None:
                self._stream.close()
            if reason is not None:
                self.dispatcher.scheduler.post(self._owner, CallEnded(self, reason))

    def _watch(self) -> str:
        """Reads the complete list, if it is needed, and the watch; returns why the watch ended."""
        command = self.command
        self._stream = stream = self._connect()
        self.dispatcher.state_machine.on_discovery_connected(self.dispatcher.now())
        after_revision = command.after_revision
        if self.awaits_complete_list:
            after_revision = self._read_complete_list(stream)
            self.awaits_complete_list = False
            self._events.on_list(self)
        self._request(stream, f"?watch=1&after={after_revision}")
        self._read_answer(stream, WatchLines())
        return "discovery ended the response to the watch"

    def _timeout_reason(self) -> str:
        now_us = self.dispatcher.now()
        silent_us, line_us = now_us - self._last_byte_us, now_us - self._line_us
        if self._stream is None:
            return "discovery timed out: no connection"
        if not self._has_answer_begun:
            return f"discovery timed out: no byte of an answer for {silent_us} us"
        if silent_us >= SILENCE_TIMEOUT_US:
            return f"discovery timed out: silent for {silent_us} us amid an answer"
        return f"discovery timed out: no complete line for {line_us} us"

    def _connect(self) -> SocketStream:
        dispatcher = self.dispatcher
        host, port = self.command.source
        until_us = dispatcher.now() + dispatcher.connect_timeout_us
        return SocketStream.connect(
            dispatcher.scheduler, dispatcher.pool, host, port, until_us, wakes_on_message=True
        )

    def _request(self, stream: SocketStream, query: str) -> None:
        host, port = self.command.source
        request = (
            f"GET {LIST_PATH}{query} HTTP/1.1\r\nhost: {host}:{port}\r\naccept: application/json\r\n\r\n"
        )
        now_us = self.dispatcher.now()
        self._asked_us = self._last_byte_us = now_us
        self._has_answer_begun = False
        stream.send([memoryview(request.encode())], now_us + FIRST_BYTE_TIMEOUT_US, wakes_on_message=True)

    def _read_complete_list(self, stream: SocketStream) -> int:
        """Requests the complete endpoint list and reports it; returns its revision."""
        self._request(stream, "")
        document = WholeDocument()
        self._read_answer(stream, document)
        update = parse_update_line(bytes(document.text))
        if not update.is_complete:
            raise MalformedEndpointListError("discovery sent a partial update instead of the complete list")
        self._report(update)
        return update.revision

    def _read_answer(self, stream: SocketStream, lines: WatchLines) -> None:
        """Reads an answer to its end, and reports each complete document and heartbeat in it.

        Raises:
            StreamTimeoutError: Discovery has sent no byte, or no complete line, in time.
            StreamInterruptedError: The call is to end.
            MalformedMessageError: The response is malformed or truncated.
            MalformedEndpointListError: The status is not 200, or a document is malformed.
        """
        reader = ResponseReader(lines, UNLIMITED_BODY_BYTES)
        messages = self.dispatcher.scheduler.current_task().messages
        unreported_bytes = 0
        line_count = 0
        while not reader.is_complete:
            if messages:
                raise StreamInterruptedError
            count = stream.receive()
            if count == 0:
                reader.on_connection_closed()
                continue
            if count < 0:
                stream.wait(READABLE, self._until_us(len(lines.text)), wakes_on_message=True)
                continue
            self._on_bytes()
            stream.feed_to(reader.feed)
            if reader.status not in (NO_STATUS_YET, OK):
                raise MalformedEndpointListError(f"discovery responded with status {reader.status}")
            unreported_bytes += count
            if unreported_bytes >= PROGRESS_BYTES:
                unreported_bytes = 0
                self._events.on_progress(self)
            if lines.line_count > line_count:  # a line of an indented document counts, too
                line_count = lines.line_count
                self._line_us = self._last_byte_us
            self._report_lines(lines)
            if lines.has_begun_document():
                self.dispatcher.state_machine.on_list_change_begun()
            if self._last_byte_us >= self._until_us(len(lines.text)):
                raise StreamTimeoutError

    def _on_bytes(self) -> None:
        self._last_byte_us = self.dispatcher.now()
        if not self._has_answer_begun:
            self._has_answer_begun = True
            self._line_us = self._last_byte_us

    def _until_us(self, partial_bytes: int) -> int:
        """Returns when the call is given up if nothing more comes.

        Args:
            partial_bytes: How much of a line has come.
        """
        if not self._has_answer_begun:
            return self._last_byte_us + FIRST_BYTE_TIMEOUT_US
        line_us = LINE_TIMEOUT_US + partial_bytes * US_PER_S // MIN_LINE_BYTES_PER_S
        return min(self._last_byte_us + SILENCE_TIMEOUT_US, self._line_us + line_us)

    def _report_lines(self, lines: WatchLines) -> None:
        """Reports the documents and empty lines that are complete."""
        documents = lines.take_documents()
        for document in documents:
            self._report(parse_update_line(document))
        heartbeats = lines.take_heartbeats()
        if heartbeats and not documents:
            self.dispatcher.state_machine.on_list_unchanged(self._asked_us)
        if documents or heartbeats:
            self._asked_us = self.dispatcher.now()
            self._events.on_line(self)

    def _report(self, update: EndpointListUpdate) -> None:
        dispatcher = self.dispatcher
        dispatcher.dispatch(
            dispatcher.state_machine.on_endpoint_list(dispatcher.now(), update, self._asked_us)
        )
