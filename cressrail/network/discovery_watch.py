"""The watch on discovery: reads updates of the endpoint list, and is reopened when it ends."""

from __future__ import annotations

from typing import Any

from cressrail.buffers.pool import BufferPoolExhaustedError
from cressrail.discovery.endpoint_list import (
    EndpointListUpdate,
    MalformedEndpointListError,
    parse_update_line,
)
from cressrail.discovery.watch_lines import WatchLines, WholeDocument
from cressrail.event_loop.scheduler import MESSAGE, READABLE
from cressrail.http1.errors import MalformedMessageError
from cressrail.http1.response import ResponseReader
from cressrail.network.dispatcher import CommandDispatcher
from cressrail.network.socket_stream import SocketStream, StreamInterruptedError, StreamTimeoutError
from cressrail.proxy.commands import WatchEndpoints

HEARTBEAT_US = 2_000_000  # interval at which discovery sends an empty line if there is no update
SILENCE_TIMEOUT_US = 2 * HEARTBEAT_US  # time limit for the next complete line
FIRST_ANSWER_TIMEOUT_US = HEARTBEAT_US // 2  # doubled with each consecutive watch without an update
MAX_TIMEOUT_DOUBLINGS = 2
MIN_LINE_BYTES_PER_S = 2_000  # a partly received line extends the time limit at this rate
UNLIMITED_BODY_BYTES = 1 << 62
LIST_PATH = "/catalog/members"
OK = 200
US_PER_S = 1_000_000
NO_STATUS_YET = 0


class DiscoveryWatchTask:
    """Runs the watch that the most recent `WatchEndpoints` command describes."""

    def __init__(self, dispatcher: CommandDispatcher) -> None:
        self.dispatcher = dispatcher
        self._is_watching = False

    def run(self) -> None:
        """Runs for the lifetime of the process; the scheduler restarts it after an unhandled exception."""
        dispatcher = self.dispatcher
        messages = dispatcher.scheduler.current_task().messages
        if self._is_watching:  # an unhandled exception ended the watch
            self._report_end("unhandled exception in the discovery watch")
        while True:
            command = self._next_command(messages)
            self._is_watching = True
            reason = self._watch(command, messages)
            if reason is not None:
                self._report_end(reason)

    def _next_command(self, messages: Any) -> WatchEndpoints:
        """Waits for a command and then until it is due; a later command replaces an earlier one."""
        scheduler = self.dispatcher.scheduler
        while not messages:
            scheduler.wait()
        command: WatchEndpoints = messages.popleft()
        while scheduler.wait(until_us=command.at_us) == MESSAGE:
            command = messages.popleft()
        return command

    def _report_end(self, reason: str) -> None:
        dispatcher = self.dispatcher
        dispatcher.dispatch(dispatcher.state_machine.on_watch_ended(dispatcher.now(), reason))

    def _watch(self, command: WatchEndpoints, messages: Any) -> str | None:
        """Watches until the watch ends; returns the reason, or None if another command was received."""
        stream: SocketStream | None = None
        doublings = min(command.consecutive_failures, MAX_TIMEOUT_DOUBLINGS)
        answer_timeout_us = min(SILENCE_TIMEOUT_US, FIRST_ANSWER_TIMEOUT_US << doublings)
        try:
            # One time limit covers connecting, the request and the first answer: updates must not be late.
            until_us = self.dispatcher.now() + answer_timeout_us
            stream = self._connect(command, until_us)
            after_revision = command.after_revision
            if after_revision < 0:
                after_revision = self._read_whole_list(command, stream, until_us, messages)
                until_us = self.dispatcher.now() + answer_timeout_us
            self._request(stream, command.source, f"?watch=1&after={after_revision}", until_us)
            self._read_updates(stream, WatchLines(), 0, until_us, messages)
        except StreamInterruptedError:
            return None
        except StreamTimeoutError:
            return "discovery timed out: no connection or no complete line before the time limit"
        except BufferPoolExhaustedError:  # waiting for a buffer could delay the news of a draining endpoint
            return "buffer pool exhausted while reading from discovery"
        except (OSError, MalformedMessageError, MalformedEndpointListError) as error:
            return str(error) or "connection to discovery failed"
        finally:
            if stream is not None:
                stream.close()
        return "discovery ended the response to the watch"

    def _connect(self, command: WatchEndpoints, until_us: int) -> SocketStream:
        dispatcher = self.dispatcher
        host, port = command.source
        until_us = min(until_us, dispatcher.now() + dispatcher.connect_timeout_us)
        return SocketStream.connect(
            dispatcher.scheduler, dispatcher.pool, host, port, until_us, wakes_on_message=True
        )

    def _request(self, stream: SocketStream, source: tuple[str, int], query: str, until_us: int) -> None:
        request = (
            f"GET {LIST_PATH}{query} HTTP/1.1\r\n"
            f"host: {source[0]}:{source[1]}\r\naccept: application/json\r\n\r\n"
        )
        stream.send([memoryview(request.encode())], until_us)

    def _read_whole_list(
        self, command: WatchEndpoints, stream: SocketStream, until_us: int, messages: Any
    ) -> int:
        """Requests the complete endpoint list and reports it; returns its revision."""
        self._request(stream, command.source, "", until_us)
        document = WholeDocument()
        self._read_updates(stream, document, -1, until_us, messages)
        update = parse_update_line(bytes(document.text))
        if not update.is_complete:
            raise MalformedEndpointListError("discovery sent a partial update instead of the complete list")
        self._report(update)
        return update.revision

    def _read_updates(
        self, stream: SocketStream, lines: WatchLines, lines_before: int, until_us: int, messages: Any
    ) -> None:
        """Reads a response to its end and reports each complete document in it.

        After the first progress, each complete line must follow within `SILENCE_TIMEOUT_US`. A partial line
        does not count as progress; it only extends the time limit, as set by `MIN_LINE_BYTES_PER_S`.

        Args:
            stream: The connection to discovery.
            lines: Receives the body and splits it into lines and documents.
            lines_before: The number of lines beyond which progress is counted: -1 if the head of the response
                already counts as progress, 0 if the first complete line does.
            until_us: The time by which the first progress must be made, in microseconds.
            messages: The mailbox of this task.

        Raises:
            StreamTimeoutError: Discovery made no progress in time.
            StreamInterruptedError: Another command was received.
            MalformedMessageError: The response is malformed or truncated.
            MalformedEndpointListError: The status is not 200, or a document is malformed.
        """
        reader = ResponseReader(lines, UNLIMITED_BODY_BYTES)
        line_count = lines_before
        while not reader.is_complete:
            if messages:  # updates from an address that is no longer watched are ignored
                raise StreamInterruptedError
            count = stream.receive()
            if count == 0:
                reader.on_connection_closed()
            elif count < 0:
                time_for_length_us = len(lines.text) * US_PER_S // MIN_LINE_BYTES_PER_S
                stream.wait(READABLE, until_us + time_for_length_us, wakes_on_message=True)
            else:
                stream.feed_to(reader.feed)
                if reader.status not in (NO_STATUS_YET, OK):
                    raise MalformedEndpointListError(f"discovery responded with status {reader.status}")
                if reader.has_head and lines.line_count > line_count:
                    line_count = lines.line_count
                    until_us = self.dispatcher.now() + SILENCE_TIMEOUT_US
                for document in lines.take_documents():
                    self._report(parse_update_line(document))
                if lines.take_heartbeats():
                    self.dispatcher.state_machine.on_list_unchanged(self.dispatcher.now())

    def _report(self, update: EndpointListUpdate) -> None:
        dispatcher = self.dispatcher
        dispatcher.dispatch(dispatcher.state_machine.on_endpoint_list(dispatcher.now(), update))
