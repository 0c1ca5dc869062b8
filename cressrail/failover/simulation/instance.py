"""One simulated instance."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from cressrail.failover.state_machine import FailoverStateMachine

WINDOW_TICKS = 15  # over which evidence is summed


class ZoneTraffic(NamedTuple):
    """Attempts a second of one instance to one zone: all of them, and those that ended badly."""

    sent: float
    connect_failures: float
    failures: float
    slow_attempts: float


@dataclass
class SimulatedInstance:
    """One sidecar.

    Attributes:
        number: Its id.
        zone: Index of its zone.
        state_machine: Its part in deciding jointly.
        is_up: Whether its process runs, or is only stalled.
        is_stalled: Whether its process is stopped.
        has_false_evidence: Whether it reports that all zones fail.
        running_since_us: Since when it runs.
        stalled_messages: Sender and payload of what arrived while it was stalled.
        recent_traffic: Its traffic by zone in the last ticks.
        avoided_until_us: Zones that it avoids by its own judgement, and until when.
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
