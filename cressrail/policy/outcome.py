"""How an attempt can end, and what each ending says."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """How an attempt ended."""

    SUCCEEDED = "succeeded"
    ERROR = "error"
    REJECTED_BY_ENDPOINT = "rejected_by_endpoint"
    TIMED_OUT = "timed_out"
    CONNECT_FAILED = "connect_failed"
    CONNECTION_RESET = "connection_reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    INVALID_REQUEST = "invalid_request"  # rejected for what the request is: not the endpoint's fault


NEVER_RAN_OUTCOMES = (Outcome.REJECTED_BY_ENDPOINT, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
"""The request had no effect: it may be sent again whatever its class."""

ENDPOINT_OWNED_OUTCOMES = (Outcome.REJECTED_BY_ENDPOINT, Outcome.CONNECT_FAILED, Outcome.CONNECTION_RESET)
"""The fault is the endpoint's own, not that of a tier behind it."""

UNINFORMATIVE_OUTCOMES = (Outcome.CANCELLED, Outcome.NOT_SENT, Outcome.INVALID_REQUEST)
"""They say nothing about the endpoint."""
