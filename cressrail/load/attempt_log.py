"""The attempt log, written to the file given by `--ledger`: one JSON line per attempt, for the rule checker.

This is the only module that defines the keys of its lines.
"""

from __future__ import annotations

from typing import IO, NamedTuple

import orjson

from cressrail.http_testing.client import Response
from cressrail.load.http_messages import echoed_attempt_id
from cressrail.load.schedule import ScheduledRequest


class Attempt(NamedTuple):
    """One attempt of a request.

    Attributes:
        attempt_id: The id built from seed, request number and attempt number.
        target: The address of the target, as HOST:PORT.
        started_us: When the attempt started, on the monotonic clock.
        timeout_us: The timeout that the client sent to the target with the request.
    """

    attempt_id: str
    target: str
    started_us: int
    timeout_us: int


class AttemptLog:
    """Writes the attempt log to a file that the caller opens and closes."""

    def __init__(self, file: IO[bytes]) -> None:
        self._file = file

    def write_attempt(
        self,
        attempt: Attempt,
        scheduled: ScheduledRequest,
        due_us: int,
        response: Response,
        *,
        request_class: str,
        tenant: str,
    ) -> None:
        """Writes an attempt that has ended; `due_us` is when its request was due, on the monotonic clock."""
        self._write(
            {
                "id": attempt.attempt_id,
                "profile": request_class,
                "member": tenant,
                "key": scheduled.idempotency_key,
                "size": scheduled.body_bytes,
                "target": attempt.target,
                "due_us": due_us,
                "began_us": attempt.started_us,
                "sent_us": response.sent_us,
                "again_us": response.resent_us,
                "ended_us": response.finished_us,
                "status": response.status,
                "how": response.outcome,
                "limit_us": attempt.timeout_us,
                "echo": echoed_attempt_id(response.body),
            }
        )

    def write_excess_bytes(self, size: int, target: str) -> None:
        """Writes that `target` sent `size` bytes after the end of a final response."""
        self._write({"surplus": size, "target": target})

    def _write(self, line: dict[str, object]) -> None:
        self._file.write(orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE))
