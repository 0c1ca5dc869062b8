"""An attempt as seen by the endpoint that receives it, and its row in the event record."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

from cressrail.http_testing.server import ReceivedRequest
from cressrail.testbed.processor_sharing import Job
from cressrail.testbed.scenario import RequestClass


class AttemptOutcome(StrEnum):
    """How an attempt ended at its endpoint; the values appear in the event record and in responses."""

    SUCCEEDED = "committed"
    REPEATED = "repeat"  # succeeded without work: the key was seen before, within the idempotency window
    REJECTED = "turned away"
    SERVER_ERROR = "error"
    CONNECTION_RESET = "reset"
    GARBLED = "spoilt"  # the response was not valid HTTP
    NEXT_TIER_FAILED = "failed below"
    CLIENT_DISCONNECTED = "left"
    ENDPOINT_DIED = "died"


# Outcomes after which the attempt's work may have taken effect.
OUTCOMES_AFTER_WORK = frozenset(
    {
        AttemptOutcome.SUCCEEDED,
        AttemptOutcome.SERVER_ERROR,
        AttemptOutcome.CONNECTION_RESET,
        AttemptOutcome.GARBLED,
        AttemptOutcome.NEXT_TIER_FAILED,
    }
)


class Placement(NamedTuple):
    """Position of an endpoint in the fleet.

    Attributes:
        name: Name of the endpoint, unique in the fleet.
        tier_index: Index of its tier; the first tier has index 0.
        zone: Name of its zone.
        cell: Number of its cell, unique across all zones.
    """

    name: str
    tier_index: int
    zone: str
    cell: int


@dataclass(eq=False)
class Attempt:
    """One attempt as seen by the endpoint that receives it.

    Times are in microseconds on the monotonic clock.

    Attributes:
        request: The request as received.
        request_id: ID of the request in this tier; the call to the next tier gets an ID of its own.
        request_class: The request's class in the scenario.
        idempotency_key: Idempotency key of the request; empty if it has none.
        arrived_us: When the request had been received completely.
        deadline_us: When the caller stops waiting for the response.
        available_share: Share of the endpoint's full capacity that was available when the request arrived.
        job: The processor work of the attempt.
        total_work_us: Work before and after the call to the next tier, in microseconds of one core.
        remaining_work_us: Work after the call to the next tier, in microseconds of one core.
        must_call: Whether the attempt still has to call the next tier.
        has_run: Whether the attempt has occupied a slot.
        is_repeat: Whether the idempotency key was seen before, within the idempotency window.
        disconnected_us: When the caller disconnected; None if it waited for the response.
    """

    request: ReceivedRequest
    request_id: str
    request_class: RequestClass
    idempotency_key: str
    arrived_us: int
    deadline_us: int
    available_share: float
    job: Job
    total_work_us: float = 0.0
    remaining_work_us: float = 0.0
    must_call: bool = False
    has_run: bool = False
    is_repeat: bool = False
    disconnected_us: int | None = None

    def as_event(self, placement: Placement, outcome: AttemptOutcome, ended_us: int) -> dict[str, Any]:
        """Returns the event record's row for the end of this attempt."""
        late_us = max(0, ended_us - max(self.deadline_us, self.arrived_us))
        return {
            "endpoint": placement.name,
            "tier": placement.tier_index,
            "zone": placement.zone,
            "cell": placement.cell,
            "id": self.request_id,
            "profile": self.request_class.name,
            "key": self.idempotency_key,
            "came_us": self.arrived_us,
            "limit_us": self.deadline_us,
            "ran": self.has_run,
            "cold": self.available_share,
            "work_us": int(self.total_work_us),
            **({"repeat": True} if self.is_repeat else {}),
            "left_us": ended_us if self.disconnected_us is None else self.disconnected_us,
            "how": outcome,
            "ended_us": ended_us,
            "late_us": late_us if self.has_run else 0,
        }
