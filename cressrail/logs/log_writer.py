"""Lines of the log that wait until they can be written without blocking."""

from __future__ import annotations

import os
import select
from collections import deque
from collections.abc import Callable
from typing import Any

import orjson

from cressrail.logs import events

MAX_WAITING_LINES = 2000
MAX_LINE_BYTES = 4096  # of a write that a pipe with room takes whole (PIPE_BUF)
MAX_SHOWN_BYTES = MAX_LINE_BYTES // 2  # of an event that can't be written as it is


class LogWriter:
    """Writes events without ever blocking the process.

    Lines wait until the descriptor can take them. While too many wait, new ones are dropped; how many is
    logged once all others are written.

    Attributes:
        waiting_lines: Encoded and not yet written, oldest first.
        dropped_lines: Since that was last logged.
    """

    def __init__(self, fd: int, now: Callable[[], int], name: str) -> None:
        """Makes a writer.

        Args:
            fd: Descriptor to write to.
            now: Gives the time in microseconds.
            name: Of this instance, part of each line.
        """
        self.fd = fd
        self.now = now
        self.name = name
        self.waiting_lines: deque[bytes] = deque()
        self.dropped_lines = 0
        self.poller = select.poll()
        self.poller.register(fd, select.POLLOUT)

    def write_event(self, event: str, fields: dict[str, Any]) -> None:
        """Adds one line; an event that is no JSON or too long is cut and written as text."""
        if len(self.waiting_lines) >= MAX_WAITING_LINES:
            self.dropped_lines += 1
            return
        at_us = self.now()
        try:
            line = orjson.dumps(
                {"at_us": at_us, "sidecar": self.name, "event": event, **fields},
                default=str,
                option=orjson.OPT_APPEND_NEWLINE,
            )
        except TypeError:  # text of a peer that is no UTF-8 must not end the task that logs it
            line = _encode_shortened(at_us, ascii(self.name), event, "raw", ascii(fields)[:MAX_SHOWN_BYTES])
        if len(line) > MAX_LINE_BYTES:
            shown = line[:MAX_SHOWN_BYTES].decode("utf-8", "replace")
            line = _encode_shortened(at_us, self.name, event, "cut", shown)
        self.waiting_lines.append(line)

    def flush(self) -> None:
        """Writes as many lines as the descriptor takes without blocking."""
        while self.waiting_lines and self._is_writable():
            text = self.waiting_lines.popleft()
            while self.waiting_lines and len(text) + len(self.waiting_lines[0]) <= MAX_LINE_BYTES:
                text += self.waiting_lines.popleft()
            try:
                os.write(self.fd, text)
            except OSError:  # nobody reads the log any more
                self.waiting_lines.clear()
                return
            if self.dropped_lines and not self.waiting_lines:
                dropped, self.dropped_lines = self.dropped_lines, 0
                self.write_event(events.LINES_DROPPED, {"n": dropped})

    def _is_writable(self) -> bool:
        return any(mask & select.POLLOUT for _, mask in self.poller.poll(0))


def _encode_shortened(at_us: int, name: str, event: str, field: str, text: str) -> bytes:
    """Returns a line that holds an event as cut text."""
    return orjson.dumps(
        {"at_us": at_us, "sidecar": name, "event": event, field: text}, option=orjson.OPT_APPEND_NEWLINE
    )
