"""The local view of one instance: the fleet and its own evidence."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from cressrail.failover.messages import Evidence


@dataclass(frozen=True, slots=True)
class Fleet:
    """The sidecars of the tier, as reported by membership.

    Attributes:
        live_instances: Zone index of each live instance other than this one, by instance id.
        known_size: Size of the last known fleet, including silent instances.
        has_quorum_view: Whether membership has received the full table and this instance is not isolated.
    """

    live_instances: Mapping[int, int]
    known_size: int
    has_quorum_view: bool

    def is_majority(self, count: int) -> bool:
        """Returns whether `count` instances are a majority of the last known fleet."""
        return 2 * count > max(self.known_size, len(self.live_instances) + 1)


class LocalView:
    """The local view of one instance.

    Attributes:
        fleet: Fleet as reported by membership.
        evidence: Evidence of this instance over the evidence window.
    """

    def __init__(self, zone: int) -> None:
        self.fleet = Fleet({}, 1, False)
        self.evidence = Evidence(zone, 0.0, ())

    def update_fleet(self, fleet: Fleet) -> None:
        """Replaces the fleet with a newer view of membership."""
        self.fleet = fleet

    def update_evidence(self, evidence: Evidence) -> None:
        """Replaces the evidence of this instance."""
        self.evidence = evidence
