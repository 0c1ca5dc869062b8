"""Lines that wait until they can be written without blocking; the oldest wait, the newest are dropped."""

from __future__ import annotations

import os
import select
from collections import deque
from collections.abc import Callable
from typing import Any

import orjson

MAX_WAITING_LINES = 2000
MAX_LINE_BYTES = 4096  # of a write that a pipe with room takes whole


class LogWriter:
    def __init__(self, fd: int, now: Callable[[], int], name: str) -> None:
        self.fd = fd
        self.now = now
        self.name = name
        self.waiting_lines: deque[bytes] = deque()
        self.dropped_lines = 0
        self.poller = select.poll()
        self.poller.register(fd, select.POLLOUT)

    def write_event(self, event: str, fields: dict[str, Any]) -> None:
        if len(self.waiting_lines) >= MAX_WAITING_LINES:
            self.dropped_lines += 1
            return
        said = {"at_us": self.now(), "sidecar": self.name, "event": event, **fields}
        try:
            line = orjson.dumps(said, default=str, option=orjson.OPT_APPEND_NEWLINE)
        except TypeError:  # guards against a word of a peer that ends a task by the line that tells of it
            line = orjson.dumps(
                {
                    "at_us": said["at_us"],
                    "sidecar": ascii(self.name),
                    "event": event,
                    "raw": ascii(fields)[: MAX_LINE_BYTES // 2],
                },
                option=orjson.OPT_APPEND_NEWLINE,
            )
        if len(line) > MAX_LINE_BYTES:
            line = orjson.dumps(
                {
                    "at_us": said["at_us"],
                    "sidecar": self.name,
                    "event": event,
                    "cut": line[: MAX_LINE_BYTES // 2].decode("utf-8", "replace"),
                },
                option=orjson.OPT_APPEND_NEWLINE,
            )
        self.waiting_lines.append(line)

    def flush(self) -> None:
        """As much as goes without waiting."""
        while self.waiting_lines and self._is_writable():
            text = self.waiting_lines.popleft()
            while self.waiting_lines and len(text) + len(self.waiting_lines[0]) <= MAX_LINE_BYTES:
                text += self.waiting_lines.popleft()
            try:
                os.write(self.fd, text)
            except OSError:
                self.waiting_lines.clear()  # nobody reads it any more
                return
            if self.dropped_lines and not self.waiting_lines:
                dropped, self.dropped_lines = self.dropped_lines, 0
                self.write_event("lines_dropped", {"n": dropped})

    def _is_writable(self) -> bool:
        return any(mask & select.POLLOUT for _, mask in self.poller.poll(0))
