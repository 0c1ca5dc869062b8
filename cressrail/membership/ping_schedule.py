"""Whom to ping next: each live instance once a round, in a new random order, and some out of turn."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection

from cressrail.membership.shared_state import SharedState
from cressrail.membership.suspicion import SuspicionTable

MAX_PRIORITY_TARGETS = 64
PRIORITY_DIVISOR = 3  # one ping in so many goes to a priority target while a round is in progress
_MAX_ROUND_ATTEMPTS = 2


class PingSchedule:
    """Order of direct pings."""

    def __init__(self, shared: SharedState, suspicions: SuspicionTable) -> None:
        self._shared, self._suspicions = shared, suspicions
        self._round: list[int] = []
        self._priority_targets: deque[int] = deque(maxlen=MAX_PRIORITY_TARGETS)

    def add_to_round(self, member_id: int) -> None:
        """Puts a new instance at a random place of the current round."""
        self._round.insert(self._shared.random.below(len(self._round) + 1), member_id)

    def prioritize(self, member_id: int) -> None:
        """Has an instance pinged out of turn."""
        self._priority_targets.append(member_id)

    def next_target(self, in_progress: Collection[int]) -> int:
        """Id of the instance to ping next, 0 if there is none; `in_progress` are being pinged already."""
        if self._priority_targets and not (self._shared.random.below(PRIORITY_DIVISOR) and self._round):
            member_id = self._priority_targets.popleft()
            if member_id not in in_progress and self._shared.is_live(member_id):
                return member_id
        for _ in range(_MAX_ROUND_ATTEMPTS):
            while self._round:
                member_id = self._round.pop()
                if member_id not in in_progress and self._is_due(member_id):
                    return member_id
            self._start_round()
        if self._priority_targets and self._priority_targets[0] not in in_progress:
            return self._priority_targets.popleft()
        return 0

    def _is_due(self, member_id: int) -> bool:
        return self._shared.is_live(member_id) and not self._suspicions.is_locally_suspected(member_id)

    def _start_round(self) -> None:
        """Leaves out those this instance suspects itself.

        After many deaths it would otherwise ping the dead in turn and hear nobody.
        """
        self._round = [
            member_id
            for member_id in self._shared.table.live_ids()
            if not self._suspicions.is_locally_suspected(member_id)
        ]
        self._shared.shuffle(self._round)
