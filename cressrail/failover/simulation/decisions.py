"""Record of the decisions taken in a simulation."""

from __future__ import annotations

from typing import NamedTuple

from cressrail.failover.messages import Decision, Epoch, ZoneState
from cressrail.failover.simulation.instance import SimulatedInstance


class TakenDecision(NamedTuple):
    """When a decision was taken, and by which instance."""

    at_us: int
    leader: SimulatedInstance


class DecisionRecord:
    """All decisions that were taken.

    Attributes:
        taken: By epoch.
        count: Number of decisions.
        zone_moves: How often a zone was taken away, or back.
    """

    def __init__(self, zone_count: int) -> None:
        self.taken: dict[Epoch, TakenDecision] = {}
        self.count = 0
        self.zone_moves = 0
        self._is_away = [False] * zone_count

    def add(self, now_us: int, instance: SimulatedInstance, decision: Decision) -> None:
        """Records a decision at the instance that took it; its adoption by others is ignored."""
        if decision.leader != instance.number:
            return
        self.count += 1
        self.taken[decision.epoch] = TakenDecision(now_us, instance)
        is_away = [status.state == ZoneState.AWAY for status in decision.zones]
        self.zone_moves += sum(new != old for new, old in zip(is_away, self._is_away, strict=True))
        self._is_away = is_away
