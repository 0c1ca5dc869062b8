"""Random selection of the instances to which datagrams are sent."""

from __future__ import annotations

from cressrail.membership.shared_state import SharedState
from cressrail.membership.suspicion import SuspicionTable

RECENT_ACK_PERIODS = 10  # ping periods for which an ack counts as evidence that its sender is reachable
MAX_RECENT_ACKS = 16  # number of senders whose acks are remembered


class PeerSelection:
    """Selects rows of the member table."""

    def __init__(self, shared: SharedState, suspicions: SuspicionTable) -> None:
        self._shared, self._suspicions = shared, suspicions
        self._recent_acks: dict[int, int] = {}  # time of the ack by instance id, oldest first

    def note_ack(self, now_us: int, member_id: int) -> None:
        """Records that an instance acknowledged a direct ping."""
        self._recent_acks.pop(member_id, None)
        self._recent_acks[member_id] = now_us
        if len(self._recent_acks) > MAX_RECENT_ACKS:
            del self._recent_acks[next(iter(self._recent_acks))]

    def forget_ack(self, member_id: int) -> None:
        """Removes an instance's ack after a direct ping that it did not acknowledge."""
        self._recent_acks.pop(member_id, None)

    def random_rows(self, count: int, excluded_id: int = 0) -> list[int]:
        """Returns the rows of up to `count` random live instances.

        Instances that this one can't reach are excluded. Instances to which its own ping failed are excluded
        too, unless no other remains, so that gossip is not sent to dead instances after many simultaneous
        deaths.
        """
        candidates = [
            member_id
            for member_id in self._shared.table.live_ids()
            if member_id != excluded_id and not self._shared.reachability.is_unreachable(member_id)
        ]
        candidates = [
            member_id for member_id in candidates if not self._suspicions.is_locally_suspected(member_id)
        ] or candidates
        return self._draw(candidates, count)

    def rows_with_recent_acks(self, count: int, now_us: int, excluded_id: int = 0) -> list[int]:
        """Returns the rows of up to `count` live instances, preferring those with a recent ack.

        Up to `count - 1` are drawn from the senders of recent acks, the rest from all live instances. Where
        most pairs of instances can't reach each other, a purely random selection would spread a message too
        late or not at all.
        """
        max_age_us = RECENT_ACK_PERIODS * self._shared.settings.ping_period_us
        recent = [
            member_id
            for member_id, acked_us in self._recent_acks.items()
            if member_id != excluded_id and now_us - acked_us < max_age_us and self._shared.is_live(member_id)
        ]
        chosen = self._draw(recent, count - 1)
        for row in self.random_rows(count, excluded_id):
            if row not in chosen and len(chosen) < count:
                chosen.append(row)
        return chosen

    def _draw(self, candidates: list[int], count: int) -> list[int]:
        rows: list[int] = []
        while candidates and len(rows) < count:
            member_id = candidates.pop(self._shared.random.below(len(candidates)))
            rows.append(self._shared.table.row_of(member_id))
        return rows
