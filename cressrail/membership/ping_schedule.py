"""Order of direct pings: each live instance once per round, and priority targets in between."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection

from cressrail.membership.shared_state import SharedState
from cressrail.membership.suspicion import SuspicionTable

MAX_PRIORITY_TARGETS = 64  # the oldest is dropped when another is added
PRIORITY_DIVISOR = 3  # one ping in three goes to a priority target while a round is in progress
_MAX_ROUND_ATTEMPTS = 2  # the rest of the current round, then one new round


class PingSchedule:
    """Chooses the target of each direct ping."""

    def __init__(self, shared: SharedState, suspicions: SuspicionTable) -> None:
        self._shared, self._suspicions = shared, suspicions
        self._round: list[int] = []
        self._priority_targets: deque[int] = deque(maxlen=MAX_PRIORITY_TARGETS)

    def add_to_round(self, member_id: int) -> None:
        """Inserts a new instance at a random position of the current round."""
        self._round.insert(self._shared.random.below(len(self._round) + 1), member_id)

    def prioritize(self, member_id: int) -> None:
        """Queues an instance to be pinged before its turn."""
        self._priority_targets.append(member_id)

    def next_target(self, in_progress: Collection[int]) -> int:
        """Returns the id of the instance to ping next, or 0 if there is none.

        Args:
            in_progress: Ids of the instances that are being pinged already, which are skipped.
        """
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
        """Starts a round of all live instances except those to which a ping of this instance has failed.

        After many simultaneous deaths, this instance would otherwise ping one dead instance after another and
        receive no ack.
        """
        self._round = [
            member_id
            for member_id in self._shared.table.live_ids()
            if not self._suspicions.is_locally_suspected(member_id)
        ]
        self._shared.shuffle(self._round)
