"""Lines that wait until they can be written without blocking; the oldest wait, the newest are dropped."""

from __future__ import annotations

import os
import select
from collections import deque
from collections.abc import Callable
from typing import Any

import orjson

MOST_WAITING = 2000
MOST_BYTES = 4096  # of a write that a pipe with room takes whole


class LogWriter:
    def __init__(self, fd: int, now: Callable[[], int], name: str) -> None:
        self.fd = fd
        self.now = now
        self.name = name
        self.waiting: deque[bytes] = deque()
        self.dropped = 0
        self.poller = select.poll()
        self.poller.register(fd, select.POLLOUT)

    def write_event(self, event: str, what: dict[str, Any]) -> None:
        if len(self.waiting) >= MOST_WAITING:
            self.dropped += 1
            return
        said = {"at_us": self.now(), "sidecar": self.name, "event": event, **what}
        try:
            line = orjson.dumps(said, default=str, option=orjson.OPT_APPEND_NEWLINE)
        except TypeError:  # guards against a word of a peer that ends a task by the line that tells of it
            line = orjson.dumps(
                {
                    "at_us": said["at_us"],
                    "sidecar": ascii(self.name),
                    "event": event,
                    "raw": ascii(what)[: MOST_BYTES // 2],
                },
                option=orjson.OPT_APPEND_NEWLINE,
            )
        if len(line) > MOST_BYTES:
            line = orjson.dumps(
                {
                    "at_us": said["at_us"],
                    "sidecar": self.name,
                    "event": event,
                    "cut": line[: MOST_BYTES // 2].decode("utf-8", "replace"),
                },
                option=orjson.OPT_APPEND_NEWLINE,
            )
        self.waiting.append(line)

    def flush(self) -> None:
        """As much as goes without waiting."""
        while self.waiting and self._writable():
            text = self.waiting.popleft()
            while self.waiting and len(text) + len(self.waiting[0]) <= MOST_BYTES:
                text += self.waiting.popleft()
            try:
                os.write(self.fd, text)
            except OSError:
                self.waiting.clear()  # nobody reads it any more
                return
            if self.dropped and not self.waiting:
                dropped, self.dropped = self.dropped, 0
                self.write_event("lines_dropped", {"n": dropped})

    def _writable(self) -> bool:
        return any(mask & select.POLLOUT for _, mask in self.poller.poll(0))
