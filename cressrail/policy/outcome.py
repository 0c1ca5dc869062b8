"""The possible outcomes of an attempt, and the groups that the policy distinguishes."""

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
    # rejected because the request itself is invalid, which is not the endpoint's fault
    INVALID_REQUEST = "invalid_request"


NEVER_RAN_OUTCOMES = (Outcome.REJECTED_BY_ENDPOINT, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
"""Outcomes after which the request had no effect, so that it may be sent again regardless of its class."""

ENDPOINT_OWNED_OUTCOMES = (Outcome.REJECTED_BY_ENDPOINT, Outcome.CONNECT_FAILED, Outcome.CONNECTION_RESET)
"""Outcomes caused by the endpoint itself, not by a tier behind it."""

UNINFORMATIVE_OUTCOMES = (Outcome.CANCELLED, Outcome.NOT_SENT, Outcome.INVALID_REQUEST)
"""Outcomes that give no information about the endpoint."""
