"""The watch on discovery: one line of news after the other, and again once it ends, wherever it is told."""

from __future__ import annotations

from cressrail.buffers.pool import BufferPoolExhaustedError
from cressrail.discovery.endpoint_list import MalformedEndpointListError, read_line
from cressrail.event_loop.scheduler import MAIL, READ, Task
from cressrail.http1.answer import ResponseReader
from cressrail.http1.head import MalformedMessageError
from cressrail.network.dispatcher import CommandDispatcher
from cressrail.network.socket_stream import SocketStream, StreamInterruptedError, StreamTimeoutError
from cressrail.proxy.commands import WatchEndpoints

BEAT_US = 2_000_000  # an empty line comes so often while all is well
SILENT_US = 2 * BEAT_US  # a watch with no whole line for so long has fallen silent
ANSWER_US = BEAT_US // 2  # discovery answers at once; doubled for each watch in a row that brought nothing
PACE_BYTES_PER_S = 2_000  # a line that is long in coming has so much more time
MOST_LINE = 4 << 20


class LinesSink:
    """Takes a body that never ends and hands on its lines; an object over several lines counts as one."""

    before = 0  # its first word is a line

    def __init__(self) -> None:
        self.text = bytearray()
        self.ended = 0  # lines so far, empty ones too
        self.parts: list[bytes] = []  # of an object that is indented
        self.depth = 0

    def add(self, data: memoryview) -> None:
        self.text += data
        self.ended += bytes(data).count(b"\n")
        if len(self.text) + sum(map(len, self.parts)) > MOST_LINE:
            raise MalformedMessageError(413, "line too long")

    def lines(self) -> list[bytes]:
        *lines, rest = self.text.split(b"\n")
        self.text = bytearray(rest)
        whole = []
        for line in map(bytes, lines):
            if not line.strip():
                # Guards against all news taken for more of an object whose end was lost.
                if self.parts:
                    raise MalformedEndpointListError("a line that is none")
                continue
            self.parts.append(line)
            self.depth += line.count(b"{") - line.count(b"}")
            if self.depth <= 0 or not self.parts[0].lstrip().startswith(b"{"):
                whole.append(b"\n".join(self.parts))
                self.parts, self.depth = [], 0
        return whole


class WholeSink(LinesSink):
    """Takes a body that is one document."""

    before = -1  # its first word is the answer's head

    def lines(self) -> list[bytes]:
        return []


class DiscoveryWatchTask:
    def __init__(self, dispatcher: CommandDispatcher) -> None:
        self.dispatcher = dispatcher
        self.under_way = False

    def run(self) -> None:
        task = self.dispatcher.scheduler.current
        assert task is not None
        if self.under_way:  # a fault has ended it amid one
            self.dispatcher.dispatch(
                self.dispatcher.state_machine.on_watch_ended(self.dispatcher.now(), "fault")
            )
        while True:
            while not task.mail:
                self.dispatcher.scheduler.wait()
            message = task.mail.popleft()
            assert isinstance(message, WatchEndpoints)  # nothing else is posted here, see Net
            while self.dispatcher.scheduler.wait(until_us=message.at_us) == MAIL:
                message = task.mail.popleft()
            stream: SocketStream | None = None
            why, self.under_way = "ended", True
            try:
                # Guards against news told late: one time for the way there and the first word.
                patience_us = min(SILENT_US, ANSWER_US << min(message.consecutive_failures, 2))
                until_us = self.dispatcher.now() + patience_us
                stream = SocketStream.connect(
                    self.dispatcher.scheduler,
                    self.dispatcher.pool,
                    message.source[0],
                    message.source[1],
                    min(until_us, self.dispatcher.now() + self.dispatcher.connect_timeout_us),
                    mail=True,
                )
                after = message.after_revision
                if after < 0:
                    after = self._whole(task, stream, message.source, until_us)
                    until_us = self.dispatcher.now() + patience_us
                self._ask(stream, message.source, f"?watch=1&after={after}", until_us)
                self._follow(task, stream, LinesSink(), until_us)
            except StreamInterruptedError:
                continue  # to be watched elsewhere, or from elsewhere on
            except StreamTimeoutError:
                why = "silent"
            except (
                OSError,
                MalformedMessageError,
                MalformedEndpointListError,
                BufferPoolExhaustedError,
            ) as fault:  # the last: guards against drains unheard
                why = str(fault) or "no buffer left"
            finally:
                if stream is not None:
                    stream.close()
            self.dispatcher.dispatch(self.dispatcher.state_machine.on_watch_ended(self.dispatcher.now(), why))

    def _ask(self, stream: SocketStream, source: tuple[str, int], query: str, until_us: int) -> None:
        asked = (
            f"GET /catalog/members{query} HTTP/1.1\r\n"
            f"host: {source[0]}:{source[1]}\r\naccept: application/json\r\n\r\n"
        )
        stream.send([memoryview(asked.encode())], until_us)

    def _whole(self, task: Task, stream: SocketStream, source: tuple[str, int], until_us: int) -> int:
        """Tells the whole list; its revision."""
        self._ask(stream, source, "", until_us)
        sink = WholeSink()
        self._follow(task, stream, sink, until_us)
        news = read_line(bytes(sink.text))
        if not news.is_complete:
            raise MalformedEndpointListError("not the whole list")
        self.dispatcher.dispatch(self.dispatcher.state_machine.on_endpoint_list(self.dispatcher.now(), news))
        return news.revision

    def _follow(self, task: Task, stream: SocketStream, sink: LinesSink, until_us: int) -> None:
        """To the end of the answer, whose first word is to come by a time. From then on what counts is whole
        lines: one that is long in coming gets time by its length, and half of one is as good as silence."""
        reader = ResponseReader(sink, 1 << 62)
        ended = sink.before
        while not reader.done:
            if task.mail:  # guards against news of an address that is no longer asked
                raise StreamInterruptedError
            n = stream.read()
            if n == 0:
                reader.ended()
            elif n < 0:
                stream.wait(READ, until_us + len(sink.text) * 1_000_000 // PACE_BYTES_PER_S, mail=True)
            else:
                stream.input_buffer.use(reader.feed(stream.input_buffer.unread()))
                if reader.status not in (0, 200):
                    raise MalformedEndpointListError(f"status {reader.status}")
                if reader.begun and sink.ended > ended:
                    until_us, ended = self.dispatcher.now() + SILENT_US, sink.ended
                for line in sink.lines():
                    self.dispatcher.dispatch(
                        self.dispatcher.state_machine.on_endpoint_list(self.dispatcher.now(), read_line(line))
                    )
