"""The trace of a simulation, whose digest tells whether two runs were equal.

Its lines keep the words of earlier releases, so that runs can be compared between releases.
"""

from __future__ import annotations

import hashlib

from cressrail.failover.commands import LogEvent
from cressrail.failover.log_events import EARLIER_EVENTS
from cressrail.failover.messages import Decision
from cressrail.failover.simulation.scenario import FaultKind

DIGEST_BYTES = 16


class Trace:
    """Lines of all that happened, in order."""

    def __init__(self) -> None:
        self._lines: list[str] = []

    def add_event(self, now_us: int, instance: int, event: LogEvent) -> None:
        """Adds a log event of an instance."""
        earlier = EARLIER_EVENTS[event.event]
        fields = sorted((earlier.fields.get(name, name), value) for name, value in event.fields.items())
        self._lines.append(f"{now_us} {instance} {earlier.event} {fields}")

    def add_adoption(self, now_us: int, instance: int, decision: Decision) -> None:
        """Adds that an instance adopted a decision."""
        self._lines.append(f"{now_us} {instance} adopts {decision.epoch} {decision.weights}")

    def add_fault(self, now_us: int, kind: FaultKind, is_on: bool) -> None:
        """Adds the begin or the end of a fault."""
        self._lines.append(f"{now_us} {kind} {is_on}")

    def digest(self) -> str:
        """Returns a digest of all lines."""
        return hashlib.blake2b("\n".join(self._lines).encode(), digest_size=DIGEST_BYTES).hexdigest()
