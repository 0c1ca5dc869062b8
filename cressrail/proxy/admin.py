"""The operators' calls: which there are, and what is answered. What they do stands in the reducer."""

from __future__ import annotations

from typing import NamedTuple

READY, COUNTERS = b"/control/ready", b"/control/counters"
OUT, IN = b"/control/out-of-service", b"/control/in-service"
METHODS = {READY: b"GET", COUNTERS: b"GET", OUT: b"POST", IN: b"POST"}
TEXT = b"text/plain; version=0.0.4; charset=utf-8"


class AdminResponse(NamedTuple):
    """What a caller is told."""

    status: int
    body: bytes = b""
    kind: bytes = TEXT
    allow: bytes = b""


def refused(method: bytes, path: bytes) -> AdminResponse | None:
    """The answer to a call that there is none of; nothing for one of the four."""
    allowed = METHODS.get(path)
    if allowed is None:
        return AdminResponse(404, b"no such call\n")
    return None if method == allowed else AdminResponse(405, b"not by this method\n", allow=allowed)
