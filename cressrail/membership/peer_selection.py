"""Random choice of the instances to which something is sent."""

from __future__ import annotations

from cressrail.membership.shared_state import SharedState
from cressrail.membership.suspicion import SuspicionTable

RECENT_ACK_PERIODS = 10  # for which an ack shows that its sender can be reached
MAX_RECENT_ACKS = 16


class PeerSelection:
    """Chooses rows of the member table."""

    def __init__(self, shared: SharedState, suspicions: SuspicionTable) -> None:
        self._shared, self._suspicions = shared, suspicions
        self._recent_acks: dict[int, int] = {}  # when, by id; the latest is last

    def note_ack(self, now_us: int, member_id: int) -> None:
        """An instance acknowledged a direct ping."""
        self._recent_acks.pop(member_id, None)
        self._recent_acks[member_id] = now_us
        if len(self._recent_acks) > MAX_RECENT_ACKS:
            del self._recent_acks[next(iter(self._recent_acks))]

    def forget_ack(self, member_id: int) -> None:
        """An instance did not acknowledge a direct ping."""
        self._recent_acks.pop(member_id, None)

    def random_rows(self, count: int, excluded_id: int = 0) -> list[int]:
        """Rows of up to `count` live instances.

        Those that this instance can't reach are left out, and, unless none remains, those that it suspects
        itself, so that gossip does not go to the dead while many have died at once.
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
        """Rows of up to `count` live instances, all but one drawn from those that sent an ack of late.

        Where most can't reach each other, purely random rows would get the message no further, or too late.
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
