"""Non-blocking writer for log lines, which are queued until the descriptor accepts them."""

from __future__ import annotations

import os
import select
from collections import deque
from collections.abc import Callable
from typing import Any

import orjson

from cressrail.logs import events

MAX_WAITING_LINES = 2000
MAX_WAITING_BYTES = 1 << 20
MAX_LINE_BYTES = 4096  # PIPE_BUF: a writable pipe accepts a write of up to this size as a whole
MAX_SHOWN_BYTES = MAX_LINE_BYTES // 2  # part of an event that is kept if it can't be written unchanged


class LogWriter:
    """Writes events without ever blocking the process.

    Lines are queued until the descriptor accepts them. While the queue is full, new lines are dropped; their
    number is logged once the queue has been written.

    Attributes:
        waiting_lines: Encoded lines that have not been written yet, oldest first.
        waiting_bytes: Their length.
        dropped_lines: Number of lines dropped since that number was last logged.
    """

    def __init__(self, fd: int, now: Callable[[], int], name: str) -> None:
        """Creates a writer.

        Args:
            fd: File descriptor to write to.
            now: Function that returns the current time in microseconds.
            name: Name of this instance, which is part of each line.
        """
        self.fd = fd
        self.now = now
        self.name = name
        self.waiting_lines: deque[bytes] = deque()
        self.waiting_bytes = 0
        self.dropped_lines = 0
        self.poller = select.poll()
        self.poller.register(fd, select.POLLOUT)

    def write_event(self, event: str, fields: dict[str, Any]) -> None:
        """Queues one line; an event that JSON can't represent or that is too long becomes truncated text."""
        if len(self.waiting_lines) >= MAX_WAITING_LINES or self.waiting_bytes >= MAX_WAITING_BYTES:
            self.dropped_lines += 1
            return
        at_us = self.now()
        try:
            line = orjson.dumps(
                {"at_us": at_us, "sidecar": self.name, "event": event, **fields},
                default=str,
                option=orjson.OPT_APPEND_NEWLINE,
            )
        except TypeError:  # a peer's text that is not valid UTF-8 must not end the task that logs it
            line = _encode_shortened(at_us, ascii(self.name), event, "raw", ascii(fields)[:MAX_SHOWN_BYTES])
        if len(line) > MAX_LINE_BYTES:
            shown = line[:MAX_SHOWN_BYTES].decode("utf-8", "replace")
            line = _encode_shortened(at_us, self.name, event, "cut", shown)
        self.waiting_lines.append(line)
        self.waiting_bytes += len(line)

    def flush(self) -> None:
        """Writes as many queued lines as the descriptor accepts without blocking."""
        while self.waiting_lines and self._is_writable():
            text = self.waiting_lines.popleft()
            while self.waiting_lines and len(text) + len(self.waiting_lines[0]) <= MAX_LINE_BYTES:
                text += self.waiting_lines.popleft()
            self.waiting_bytes -= len(text)
            try:
                os.write(self.fd, text)
            except OSError:  # the reader of the log has closed its end
                self.waiting_lines.clear()
                self.waiting_bytes = 0
                return
            if self.dropped_lines and not self.waiting_lines:
                dropped, self.dropped_lines = self.dropped_lines, 0
                self.write_event(events.LINES_DROPPED, {"n": dropped})

    def _is_writable(self) -> bool:
        return any(mask & select.POLLOUT for _, mask in self.poller.poll(0))


def _encode_shortened(at_us: int, name: str, event: str, field: str, text: str) -> bytes:
    """Returns a line in which `field` contains the event's shortened text."""
    return orjson.dumps(
        {"at_us": at_us, "sidecar": name, "event": event, field: text}, option=orjson.OPT_APPEND_NEWLINE
    )
