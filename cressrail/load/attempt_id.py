"""Ids of client attempts, which are sent in requests and written to the attempt log."""

from __future__ import annotations

SEPARATOR = "-"
FIRST_ATTEMPT_SUFFIX = f"{SEPARATOR}1"


def format_attempt_id(seed: int, request_number: int, attempt_number: int) -> str:
    """Returns an id that is unique within a run; the attempts of a request are numbered from 1."""
    return f"{seed:x}{SEPARATOR}{request_number:x}{SEPARATOR}{attempt_number}"


def is_first_attempt(attempt_id: str) -> bool:
    """Returns whether the attempt is the first of its request rather than a retry."""
    return attempt_id.endswith(FIRST_ATTEMPT_SUFFIX)


def request_id_of(attempt_id: str) -> str:
    """Returns the id of the request: the part of the id that all its attempts share."""
    return attempt_id.rpartition(SEPARATOR)[0]
