"""The messages that the sidecars of a tier exchange about failover, and the values they carry.

`codec` maps them to bytes. Values of the enumerations and field order are part of the wire format.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

EPOCH_STEPS_PER_TERM = 1_000_000  # more than the number of decisions in one term
WEIGHT_UNITS = 200  # a zone weight travels as a whole number of this many units
MAX_ZONES = 8


class ZoneState(IntEnum):
    """How a zone of endpoints is used; the value is the one on the wire."""

    SERVING = 0
    REDUCED = 1  # part of the traffic of its callers goes to other zones, or nowhere
    AWAY = 2  # nothing but a probing share is sent there
    DRAINED = 3  # emptied at an operator's request
    RETURNING = 4  # traffic comes back in steps


class ZoneReason(IntEnum):
    """Why a zone is in its state; the value is the one on the wire."""

    NONE = 0
    FAILING = 1
    UNREACHABLE = 2
    DRAIN_REQUESTED = 3
    OVER_CAPACITY = 4
    WARMING_UP = 5
    NO_CAPACITY_LEFT = 6  # no zone can take the traffic


class Epoch(NamedTuple):
    """Order of decisions: the greater one holds.

    Attributes:
        term: Grows with each leader.
        step: Grows with each decision of a leader.
    """

    term: int
    step: int

    @property
    def number(self) -> int:
        """The epoch as one number, as operators see it."""
        return self.term * EPOCH_STEPS_PER_TERM + self.step


NO_EPOCH = Epoch(0, 0)


class ZoneObservation(NamedTuple):
    """What one instance saw of one zone of endpoints over the evidence window.

    Attributes:
        attempts: Attempts sent there.
        connect_failures: Attempts for which no connection was established.
        failures: Attempts that ended in an error of the endpoint, or in no answer.
        slow_attempts: Attempts answered above the latency threshold, or rejected by the endpoint.
        capacity: Attempts a second that this instance may have there, by its limits and the latency.
    """

    attempts: int
    connect_failures: int
    failures: int
    slow_attempts: int
    capacity: float


class Evidence(NamedTuple):
    """What one instance reports to the leader.

    Attributes:
        zone: Index of the instance's own zone.
        demand: Requests a second that clients sent to it.
        observations: What it saw of each zone, in the order of the topology.
    """

    zone: int
    demand: float
    observations: tuple[ZoneObservation, ...]


class ZoneStatus(NamedTuple):
    """State of one zone of endpoints by a decision.

    `since_us` is in the clock of the instance that holds it; it travels as an age.
    """

    state: ZoneState
    reason: ZoneReason
    since_us: int


class ZoneDrain(NamedTuple):
    """A zone that operators want empty, and until when."""

    zone: int
    until_us: int


@dataclass(frozen=True, slots=True)
class Decision:
    """A leader's decision on all zones.

    Attributes:
        epoch: Order of the decision.
        leader: Id of the instance that took it.
        zones: Status of each zone.
        weights: For each caller's zone, the share of its traffic to each zone; the unserved share is the
            rest to 1 and is rejected.
        drains: Zones that operators want empty.
    """

    epoch: Epoch
    leader: int
    zones: tuple[ZoneStatus, ...]
    weights: tuple[tuple[float, ...], ...]
    drains: tuple[ZoneDrain, ...] = ()


class DrainRequest(NamedTuple):
    """An operator's request to drain a zone until `until_us` (0: no longer).

    The request with the greater sequence number holds.
    """

    zone: int
    until_us: int
    sequence: int


class Report(NamedTuple):
    """From a follower to the leader.

    Attributes:
        acknowledged: Number of the last acknowledgement received from the leader.
        held_epoch: Epoch of the decision that the follower holds.
        evidence: What the follower saw.
    """

    acknowledged: int
    held_epoch: Epoch
    evidence: Evidence


class Acknowledgement(NamedTuple):
    """The leader's answer to a report: its number, and the epoch of the leader's last decision."""

    number: int
    epoch: Epoch


class VoteRequest(NamedTuple):
    """A candidate's request for a vote in `term`; `epoch` is the greatest that it knows."""

    term: int
    epoch: Epoch
    number: int


class VoteGranted(NamedTuple):
    """Answers the vote request with that term and number."""

    term: int
    number: int


class VoteDenied(NamedTuple):
    """Denies a vote: there is a greater term, or a leader already."""

    term: int
    epoch: Epoch


class Heartbeat(NamedTuple):
    """The leader of a term still has a majority; of its heartbeats the one with the later sequence counts."""

    epoch: Epoch
    leader: int
    sequence: int


Message = (
    Report | Acknowledgement | VoteRequest | VoteGranted | VoteDenied | Heartbeat | Decision | DrainRequest
)
