"""State of one simulated instance."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from cressrail.failover.state_machine import FailoverStateMachine

WINDOW_TICKS = 15  # length of the evidence window in ticks


class ZoneTraffic(NamedTuple):
    """Attempts per second from one instance to one zone, in total and by kind of unsuccessful outcome."""

    sent: float
    connect_failures: float
    failures: float
    slow_attempts: float


@dataclass
class SimulatedInstance:
    """One simulated sidecar.

    Attributes:
        number: Id of the instance.
        zone: Index of the zone of the instance.
        state_machine: Failover state machine of the instance.
        running_since_us: Time of the last start or resume, in microseconds.
        is_up: Whether the process exists; a stalled process is up.
        is_stalled: Whether the process is suspended.
        has_false_evidence: Whether the instance falsely reports that all zones fail.
        stalled_messages: Sender and payload of each message that arrived while the instance was stalled.
        recent_traffic: Traffic to each zone in the ticks of the evidence window.
        avoided_until_us: By zone, time in microseconds until which local judgement avoids the zone.
    """

    number: int
    zone: int
    state_machine: FailoverStateMachine
    running_since_us: int
    is_up: bool = True
    is_stalled: bool = False
    has_false_evidence: bool = False
    stalled_messages: list[tuple[int, bytes]] = field(default_factory=list)
    recent_traffic: deque[list[ZoneTraffic]] = field(default_factory=lambda: deque(maxlen=WINDOW_TICKS))
    avoided_until_us: dict[int, int] = field(default_factory=dict)
