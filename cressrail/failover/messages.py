"""The failover messages that the sidecars of a tier exchange, and the values in them.

`codec` encodes them to bytes. The values of the enumerations and the order of the fields are part of the wire
format.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

EPOCH_STEPS_PER_TERM = 1_000_000  # exceeds the number of decisions in any term
WEIGHT_UNITS = 200  # zone weights are encoded as multiples of 1 / WEIGHT_UNITS
MAX_ZONES = 8


class ZoneState(IntEnum):
    """How traffic is sent to the endpoints of a zone. The values are part of the wire format."""

    SERVING = 0
    REDUCED = 1  # part of the traffic of its own clients goes to other zones or is rejected
    AWAY = 2  # receives only a small share of probes
    DRAINED = 3  # drained at an operator's request
    RETURNING = 4  # traffic is restored gradually


class ZoneReason(IntEnum):
    """Why a zone is in its state. The values are part of the wire format."""

    NONE = 0
    FAILING = 1
    UNREACHABLE = 2
    DRAIN_REQUESTED = 3
    OVER_CAPACITY = 4
    WARMING_UP = 5
    NO_CAPACITY_LEFT = 6  # no zone has spare capacity for the traffic


class Epoch(NamedTuple):
    """Orders decisions; the decision with the greatest epoch is in force.

    Attributes:
        term: Term of the leader; increases with each elected leader.
        step: Number of the decision within the term; 0 before the first one.
    """

    term: int
    step: int

    @property
    def number(self) -> int:
        """The epoch as a single number, as shown to operators."""
        return self.term * EPOCH_STEPS_PER_TERM + self.step


NO_EPOCH = Epoch(0, 0)


class ZoneObservation(NamedTuple):
    """Attempts of one instance to the endpoints of one zone during the evidence window.

    Attributes:
        attempts: Number of attempts sent to the zone.
        connect_failures: Number of attempts for which no connection was established.
        failures: Number of attempts that ended in an error of the endpoint or without an answer.
        slow_attempts: Number of attempts answered above the latency threshold or rejected by the endpoint.
        capacity: Attempts per second that this instance may send, by its concurrency limits and the latency.
    """

    attempts: int
    connect_failures: int
    failures: int
    slow_attempts: int
    capacity: float


class Evidence(NamedTuple):
    """The evidence that one instance reports to the leader.

    Attributes:
        zone: Index of the zone of the instance.
        demand: Requests per second from the clients of the instance.
        observations: Observation of each zone, in the order of the topology.
    """

    zone: int
    demand: float
    observations: tuple[ZoneObservation, ...]


class ZoneStatus(NamedTuple):
    """Status of one zone of endpoints in a decision.

    Attributes:
        state: State of the zone.
        reason: Reason for the state.
        since_us: Start of the state in microseconds on the local clock; encoded as an age.
    """

    state: ZoneState
    reason: ZoneReason
    since_us: int


class ZoneDrain(NamedTuple):
    """A zone drained by operators, with the end of the drain in microseconds."""

    zone: int
    until_us: int


@dataclass(frozen=True, slots=True)
class Decision:
    """A leader's decision on all zones.

    Attributes:
        epoch: Epoch of the decision, by which decisions are ordered.
        leader: Id of the leader that took the decision.
        zones: Status of each zone.
        weights: For each caller's zone, the share of its traffic sent to each zone. If a row adds up to
            less than 1, the remaining share is unserved and is rejected.
        drains: Zones drained by operators.
    """

    epoch: Epoch
    leader: int
    zones: tuple[ZoneStatus, ...]
    weights: tuple[tuple[float, ...], ...]
    drains: tuple[ZoneDrain, ...] = ()


class DrainRequest(NamedTuple):
    """An operator's request to drain a zone, or to end its drain.

    Attributes:
        zone: Index of the zone.
        until_us: End of the drain in microseconds, or 0 to end it now.
        sequence: Sequence number; of two requests for a zone, the greater one is in force.
    """

    zone: int
    until_us: int
    sequence: int


class Report(NamedTuple):
    """A report from a follower to the leader.

    Attributes:
        acknowledged: Number of the last acknowledgement that the follower received.
        held_epoch: Epoch of the decision in force at the follower.
        evidence: Evidence of the follower.
    """

    acknowledged: int
    held_epoch: Epoch
    evidence: Evidence


class Acknowledgement(NamedTuple):
    """The leader's answer to a report.

    Attributes:
        number: Number of the acknowledgement, which the next report of the follower confirms.
        epoch: Epoch of the leader's last decision.
    """

    number: int
    epoch: Epoch


class VoteRequest(NamedTuple):
    """A candidate's request for a vote.

    Attributes:
        term: Term for which the candidate stands.
        epoch: Greatest epoch known to the candidate.
        number: Number of the request, repeated in the answer.
    """

    term: int
    epoch: Epoch
    number: int


class VoteGranted(NamedTuple):
    """Grants a vote to the candidate whose request had this term and number."""

    term: int
    number: int


class VoteDenied(NamedTuple):
    """Denies a vote, because a greater term or an active leader is known.

    Attributes:
        term: Greatest term in which the voter has voted or of which it knows.
        epoch: Greatest epoch known to the voter.
    """

    term: int
    epoch: Epoch


class Heartbeat(NamedTuple):
    """Announces that the leader of a term still has a majority.

    Attributes:
        epoch: Epoch of the leader's last decision.
        leader: Id of the leader.
        sequence: Sequence number; heartbeats that are not later than the last one are ignored.
    """

    epoch: Epoch
    leader: int
    sequence: int


Message = (
    Report | Acknowledgement | VoteRequest | VoteGranted | VoteDenied | Heartbeat | Decision | DrainRequest
)
