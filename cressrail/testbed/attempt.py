"""One attempt as the endpoint sees it that receives it, and what the event record says of it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

from cressrail.http_testing.server import ReceivedRequest
from cressrail.testbed.processor_sharing import Job
from cressrail.testbed.scenario import RequestClass


class AttemptOutcome(StrEnum):
    """How an attempt ended at its endpoint; the values stand in the event record and in responses."""

    SUCCEEDED = "committed"
    REPEATED = "repeat"  # succeeded before, within the idempotency window
    REJECTED = "turned away"
    SERVER_ERROR = "error"
    CONNECTION_RESET = "reset"
    GARBLED = "spoilt"  # the response is no HTTP
    NEXT_TIER_FAILED = "failed below"
    CLIENT_DISCONNECTED = "left"
    ENDPOINT_DIED = "died"


# Outcomes of attempts that may have taken effect.
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
    """Where an endpoint stands in the fleet.

    Attributes:
        name: Unique.
        tier_index: From 0.
        zone: Its zone.
        cell: Unique over all zones.
    """

    name: str
    tier_index: int
    zone: str
    cell: int


@dataclass(eq=False)
class Attempt:
    """One attempt as its endpoint sees it.

    Attributes:
        request: As received.
        request_id: Of this tier; the next one gets another.
        request_class: Of the scenario.
        idempotency_key: Empty if there is none.
        arrived_us: When the request was whole.
        deadline_us: When the caller stops waiting.
        available_share: Of the endpoint's capacity, when the request arrived.
        job: Its work.
        total_work_us: Of all parts, in microseconds of one core.
        remaining_work_us: Of the part after the call to the next tier.
        must_call: Whether the call to the next tier is still to come.
        has_run: Whether it has held a slot.
        is_repeat: Whether the key was seen before.
        disconnected_us: When the caller went; None if it waited for the end.
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
        """Returns the event that tells of its end, by the keys of the event record."""
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
