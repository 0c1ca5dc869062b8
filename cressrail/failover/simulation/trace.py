"""The trace of a simulation, whose digest shows whether two runs were identical.

The lines use the event names of earlier releases, so that runs of different releases can be compared.
"""

from __future__ import annotations

import hashlib

from cressrail.failover.commands import LogEvent
from cressrail.failover.log_events import EARLIER_EVENTS
from cressrail.failover.messages import Decision
from cressrail.failover.simulation.scenario import FaultKind

DIGEST_BYTES = 16


class Trace:
    """Records all events of a simulation as lines, in order."""

    def __init__(self) -> None:
        self._lines: list[str] = []

    def add_event(self, now_us: int, instance: int, event: LogEvent) -> None:
        """Records a log event of an instance."""
        earlier = EARLIER_EVENTS[event.event]
        fields = sorted((earlier.fields.get(name, name), value) for name, value in event.fields.items())
        self._lines.append(f"{now_us} {instance} {earlier.event} {fields}")

    def add_adoption(self, now_us: int, instance: int, decision: Decision) -> None:
        """Records the adoption of a decision by an instance."""
        self._lines.append(f"{now_us} {instance} adopts {decision.epoch} {decision.weights}")

    def add_fault(self, now_us: int, kind: FaultKind, is_on: bool) -> None:
        """Records the start or the end of a fault."""
        self._lines.append(f"{now_us} {kind} {is_on}")

    def digest(self) -> str:
        """Returns the digest of all lines as hexadecimal digits."""
        return hashlib.blake2b("\n".join(self._lines).encode(), digest_size=DIGEST_BYTES).hexdigest()
