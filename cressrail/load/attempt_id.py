"""The ids of clients' attempts, which go over the wire and stand in the attempt log."""

from __future__ import annotations

SEPARATOR = "-"
FIRST_ATTEMPT_SUFFIX = f"{SEPARATOR}1"


def format_attempt_id(seed: int, request_number: int, attempt_number: int) -> str:
    """Returns an id that no other attempt of a run has; attempts of a request count from 1."""
    return f"{seed:x}{SEPARATOR}{request_number:x}{SEPARATOR}{attempt_number}"


def is_first_attempt(attempt_id: str) -> bool:
    """Whether the attempt is no retry."""
    return attempt_id.endswith(FIRST_ATTEMPT_SUFFIX)


def request_id_of(attempt_id: str) -> str:
    """Returns what the attempts of one request have in common."""
    return attempt_id.rpartition(SEPARATOR)[0]
