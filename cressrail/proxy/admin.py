"""The operators' calls: which there are, and what is answered to calls that there are not."""

from __future__ import annotations

from typing import NamedTuple

READY, COUNTERS = b"/control/ready", b"/control/counters"
OUT, IN = b"/control/out-of-service", b"/control/in-service"
METHODS = {READY: b"GET", COUNTERS: b"GET", OUT: b"POST", IN: b"POST"}
TEXT = b"text/plain; version=0.0.4; charset=utf-8"


class AdminResponse(NamedTuple):
    """The answer to an operator's call.

    Attributes:
        status: HTTP status.
        body: Text, or the JSON of another part of the program.
        kind: Content type of the body.
        allow: The method that the path takes, where it was called by another one.
    """

    status: int
    body: bytes = b""
    kind: bytes = TEXT
    allow: bytes = b""


IS_READY = AdminResponse(200, b"ready\n")
IS_NOT_READY = AdminResponse(503, b"not ready\n")
IS_OUT_OF_SERVICE = AdminResponse(200, b"out of service\n")
IS_IN_SERVICE = AdminResponse(200, b"in service\n")
HAS_HANDED_OVER = AdminResponse(503, b"another process has taken over\n")


def refused(method: bytes, path: bytes) -> AdminResponse | None:
    """Returns the answer to a call that there is none of; None for one that there is."""
    allowed = METHODS.get(path)
    if allowed is None:
        return AdminResponse(404, b"no such call\n")
    return None if method == allowed else AdminResponse(405, b"not by this method\n", allow=allowed)
