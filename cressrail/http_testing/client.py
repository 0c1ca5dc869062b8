"""The client's end: connections that are kept, one request at a time on each, and more of them when all are
busy, up to a bound."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import httptools

ANSWERED, NO_CONNECTION, RESET, GAVE_UP, NOT_HTTP = (
    "answered",
    "no connection",
    "reset",
    "gave up",
    "not http",
)


def now_us() -> int:
    """Of the steady clock, one for all processes of a machine; steps of the day's time do not touch it."""
    return time.monotonic_ns() // 1000


class Answer:
    __slots__ = (
        "again_us",
        "begun_us",
        "body",
        "ended_us",
        "fields",
        "how",
        "keep",
        "sent_us",
        "status",
        "surplus",
    )

    def __init__(self) -> None:
        self.how = ANSWERED
        self.status = 0  # 0: none was whole
        self.fields: dict[bytes, bytes] = {}  # names in lower case
        self.body = b""
        self.keep = False
        self.sent_us = self.begun_us = self.ended_us = 0  # begun: a first byte of the answer came
        self.again_us = 0  # its connection ended under it, and it was sent once more then
        self.surplus = 0  # bytes beyond the answer


Heard = Callable[[Answer], None]


class Call:
    """One request: its bytes, until when it is waited for, and who is told."""

    __slots__ = ("again", "answer", "heard", "line", "text", "timer")

    def __init__(self, text: bytes, heard: Heard) -> None:
        self.text = text
        self.heard = heard
        self.answer = Answer()
        self.line: Line | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.again = False  # it crossed a close and was sent once more

    def end(self, how: str) -> None:
        """The one place where a call ends; told once."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.answer.how = how
        self.answer.ended_us = now_us()
        heard, self.heard = self.heard, _nobody
        heard(self.answer)


def _nobody(_: Answer) -> None:
    pass


class Line(asyncio.Protocol):
    """One connection of a `Caller`."""

    def __init__(self, caller: Caller) -> None:
        self.caller = caller
        self.parser: Any = httptools.HttpResponseParser(self)
        self.transport: Any = None
        self.call: Call | None = None
        self.over = False
        self.used = False  # has carried a call to its end

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if self.call is None:
            transport.abort()  # given up meanwhile
        else:
            self._write()

    def carry(self, call: Call) -> None:
        self.call = call
        call.line = self
        if self.transport is not None:
            self.parser = httptools.HttpResponseParser(self)
            self._write()

    def _write(self) -> None:
        assert self.call is not None
        self.call.answer.sent_us = now_us()
        self.transport.write(self.call.text)

    def data_received(self, data: bytes) -> None:
        if self.call is None:  # after the one final answer: the rule on answers is judged by it
            self.caller.surplus += len(data)
            self.caller.on_surplus(len(data))
            self.leave()
            return
        if not self.call.answer.begun_us:
            self.call.answer.begun_us = now_us()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self._finish(NOT_HTTP, False)

    def connection_lost(self, fault: Exception | None) -> None:
        self.over = True
        self.caller.gone(self)
        call = self.call
        if call is not None and self.used and not call.again and not call.answer.begun_us:
            # A connection that was kept may be closed just as a request is on its way: sent once more, on
            # another.
            call.again, self.call = True, None
            call.answer.again_us = now_us()
            self.caller.place(call)
        elif call is not None:
            self._finish(RESET, False)
        self.parser = None  # it holds this line: a circle that only a collection would free

    def leave(self) -> None:
        if self.transport is not None and not self.over:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.call is not None:
            self.call.answer.fields[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        if self.call is not None:
            self.call.answer.body += body

    def on_message_complete(self) -> None:
        if self.call is None:
            self.caller.surplus += 1
            self.caller.on_surplus(1)
            return
        if self.parser.get_status_code() < 200:
            return  # a word on the way
        self.call.answer.status = self.parser.get_status_code()
        self._finish(ANSWERED, self.parser.should_keep_alive())

    def _finish(self, how: str, keep: bool) -> None:
        call, self.call = self.call, None
        assert call is not None
        self.used = True
        call.answer.keep = keep
        if keep and self.caller.keep:
            self.caller.rest(self)
        else:
            self.leave()
        call.end(how)


class Caller:
    """Calls one address. `most` bounds the connections; calls beyond wait in turn and `held_back` counts
    them."""

    def __init__(self, host: str, port: int, most: int, keep: bool = True) -> None:
        self.host, self.port, self.most, self.keep = host, port, most, keep
        self.loop = asyncio.get_running_loop()
        self.idle: list[Line] = []
        self.lines: set[Line] = set()
        self.opening: set[asyncio.Task[None]] = set()
        self.waiting: deque[Call] = deque()
        self.held_back = 0
        self.opened = 0
        self.surplus = 0  # bytes that came after a final answer
        self.on_surplus: Callable[[int], None] = lambda n: None

    def call(self, text: bytes, patience_us: int, heard: Heard) -> Call:
        call = Call(text, heard)
        call.timer = self.loop.call_later(max(0, patience_us) / 1e6, self._give_up, call)
        self.place(call)
        return call

    def place(self, call: Call) -> None:
        while self.idle:
            line = self.idle.pop()
            if not line.over:
                line.carry(call)
                return
        if len(self.lines) >= self.most:
            self.held_back += 1
            self.waiting.append(call)
            return
        line = Line(self)
        line.call = call
        call.line = line
        self.lines.add(line)
        self.opened += 1
        task = self.loop.create_task(self._open(line))
        self.opening.add(task)
        task.add_done_callback(self.opening.discard)

    async def _open(self, line: Line) -> None:
        try:
            await self.loop.create_connection(lambda: line, self.host, self.port)
        except OSError:  # refused, or no descriptor left
            line.over = True
            self.gone(line)
            if line.call is not None:
                call, line.call = line.call, None
                call.end(NO_CONNECTION)

    def rest(self, line: Line) -> None:
        while self.waiting:
            call = self.waiting.popleft()
            if call.heard is not _nobody:
                line.carry(call)
                return
        self.idle.append(line)

    def gone(self, line: Line) -> None:
        """The one place where a connection stops counting."""
        self.lines.discard(line)
        if line in self.idle:
            self.idle.remove(line)
        while self.waiting and len(self.lines) < self.most:
            call = self.waiting.popleft()
            if call.heard is not _nobody:
                self.place(call)

    def _give_up(self, call: Call) -> None:
        """The client goes away: its connection ends with it."""
        call.timer = None
        line = call.line
        if line is not None and line.call is call:
            line.call = None
            line.leave()
        call.end(GAVE_UP)

    def close(self) -> None:
        for task in list(self.opening):
            task.cancel()
        for line in list(self.lines):
            line.leave()
