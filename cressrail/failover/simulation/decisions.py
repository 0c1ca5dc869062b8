"""Records the decisions taken in a simulation."""

from __future__ import annotations

from typing import NamedTuple

from cressrail.failover.messages import Decision, Epoch, ZoneState
from cressrail.failover.simulation.instance import SimulatedInstance


class TakenDecision(NamedTuple):
    """Time in microseconds at which a decision was taken, and the leader that took it."""

    at_us: int
    leader: SimulatedInstance


class DecisionRecord:
    """Record of all decisions taken by leaders.

    Attributes:
        taken: Time and leader of each decision, by epoch.
        count: Number of decisions.
        zone_moves: Number of times that a zone changed to or from the state `AWAY`.
    """

    def __init__(self, zone_count: int) -> None:
        self.taken: dict[Epoch, TakenDecision] = {}
        self.count = 0
        self.zone_moves = 0
        self._is_away = [False] * zone_count

    def add(self, now_us: int, instance: SimulatedInstance, decision: Decision) -> None:
        """Records a decision when its leader adopts it; adoption by other instances is ignored."""
        if decision.leader != instance.number:
            return
        self.count += 1
        self.taken[decision.epoch] = TakenDecision(now_us, instance)
        is_away = [status.state == ZoneState.AWAY for status in decision.zones]
        self.zone_moves += sum(new != old for new, old in zip(is_away, self._is_away, strict=True))
        self._is_away = is_away
