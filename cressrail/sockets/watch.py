"""The watch on discovery: one line of news after the other, and again once it ends, wherever it is told."""

from __future__ import annotations

from cressrail.buffers.pool import Exhausted
from cressrail.catalog.news import Junk, read_line
from cressrail.http1.answer import AnswerReader
from cressrail.http1.head import Malformed
from cressrail.loop.scheduler import MAIL, READ, Task
from cressrail.sockets.net import Net
from cressrail.sockets.stream import Called, Late, Stream
from cressrail.traffic.effects import Watch

SILENT_US = 5_000_000  # an empty line comes every 2 s while all is well
MOST_LINE = 4 << 20


class LinesSink:
    """Takes a body that never ends and hands on its lines."""

    def __init__(self) -> None:
        self.text = bytearray()

    def add(self, data: memoryview) -> None:
        self.text += data
        if len(self.text) > MOST_LINE:
            raise Malformed(413, "line too long")

    def lines(self) -> list[bytes]:
        *lines, rest = self.text.split(b"\n")
        self.text = bytearray(rest)
        return [bytes(line) for line in lines if line.strip()]


class WholeSink(LinesSink):
    """Takes a body that is one document."""

    def lines(self) -> list[bytes]:
        return []


class WatchTask:
    def __init__(self, net: Net) -> None:
        self.net = net

    def run(self) -> None:
        task = self.net.loop.current
        assert task is not None
        while True:
            while not task.mail:
                self.net.loop.wait()
            message = task.mail.popleft()
            assert isinstance(message, Watch)
            while self.net.loop.wait(until_us=message.at_us) == MAIL:
                message = task.mail.popleft()
            stream: Stream | None = None
            why = "ended"
            try:
                stream = Stream.connect(self.net.loop, self.net.pool, message.source[0], message.source[1],
                                        self.net.now() + self.net.connect_us, mail=True)
                after = message.after
                if after < 0:
                    after = self._whole(task, stream, message.source)
                self._ask(stream, message.source, f"?watch=1&after={after}")
                self._follow(task, stream, LinesSink())
            except Called:
                continue  # to be watched elsewhere, or from elsewhere on
            except Late:
                why = "silent"
            except (OSError, Malformed, Junk, Exhausted) as fault:  # the last: guards against drains unheard
                why = str(fault) or "no buffer left"
            finally:
                if stream is not None:
                    stream.close()
            self.net.tell(self.net.reducer.watch_ended(self.net.now(), why))

    def _ask(self, stream: Stream, source: tuple[str, int], query: str) -> None:
        asked = (f"GET /catalog/members{query} HTTP/1.1\r\n"
                 f"host: {source[0]}:{source[1]}\r\naccept: application/json\r\n\r\n")
        stream.send([memoryview(asked.encode())], self.net.now() + SILENT_US)

    def _whole(self, task: Task, stream: Stream, source: tuple[str, int]) -> int:
        """Tells the whole list; its revision."""
        self._ask(stream, source, "")
        sink = WholeSink()
        self._follow(task, stream, sink)
        news = read_line(bytes(sink.text))
        if not news.full:
            raise Junk("not the whole list")
        self.net.tell(self.net.reducer.news(self.net.now(), news))
        return news.revision

    def _follow(self, task: Task, stream: Stream, sink: LinesSink) -> None:
        """To the end of the answer."""
        reader = AnswerReader(sink, 1 << 62)
        until_us = self.net.now() + SILENT_US
        while not reader.done:
            if task.mail:  # guards against news of an address that is no longer asked
                raise Called
            n = stream.read()
            if n == 0:
                reader.ended()
            elif n < 0:
                stream.await_(READ, until_us, mail=True)
            else:
                until_us = self.net.now() + SILENT_US
                stream.inlet.use(reader.feed(stream.inlet.unread()))
                if reader.status not in (0, 200):
                    raise Junk(f"status {reader.status}")
                for line in sink.lines():
                    self.net.tell(self.net.reducer.news(self.net.now(), read_line(line)))
