"""What this instance sees by itself: the fleet, and its own evidence."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from cressrail.failover.messages import Evidence


@dataclass(frozen=True, slots=True)
class Fleet:
    """The sidecars of the tier, as membership sees them.

    Attributes:
        live_instances: Zone of each live instance but this one, by its id.
        known_size: Size of the last known fleet, silent instances included.
        has_quorum_view: Whether this instance hears others.
    """

    live_instances: Mapping[int, int]
    known_size: int
    has_quorum_view: bool

    def is_majority(self, count: int) -> bool:
        """Whether that many instances are more than half of the last known fleet."""
        return 2 * count > max(self.known_size, len(self.live_instances) + 1)


class LocalView:
    """What this instance sees by itself.

    Attributes:
        fleet: The fleet, from membership.
        evidence: The instance's own evidence over the window.
    """

    def __init__(self, zone: int) -> None:
        self.fleet = Fleet({}, 1, False)
        self.evidence = Evidence(zone, 0.0, ())

    def update_fleet(self, fleet: Fleet) -> None:
        """Replaces the fleet."""
        self.fleet = fleet

    def update_evidence(self, evidence: Evidence) -> None:
        """Replaces the instance's own evidence."""
        self.evidence = evidence
