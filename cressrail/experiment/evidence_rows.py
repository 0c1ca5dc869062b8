"""Interpretation of the rows of calls in a run's evidence."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from cressrail.load.plan import RequestClassLoad
from cressrail.load.units import US_PER_MS

SUCCEEDED_STATUS = 200

Row = Mapping[str, Any]


def is_client_call(call: Row) -> bool:
    """Returns whether a client made the call, rather than an endpoint that calls the next tier."""
    return "call" not in call


def is_in_time(call: Row, request_class: RequestClassLoad) -> bool:
    """Returns whether the call succeeded within the latency objective, counted from the due time."""
    latency_us = call["ended_us"] - call["due_us"]
    return bool(
        call["status"] == SUCCEEDED_STATUS and latency_us <= request_class.latency_objective_ms * US_PER_MS
    )
