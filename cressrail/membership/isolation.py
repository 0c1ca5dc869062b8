"""Whether this instance hears anybody: without that it declares nobody dead to the others.

What it can't reach may be its own network's fault. It then keeps for itself whom it holds for dead.
"""

from __future__ import annotations

from cressrail.membership.shared_state import SharedState
from cressrail.membership.suspicion import SuspicionTable

SILENCE_PERIODS = 4  # without any datagram, after which the instance takes itself for isolated


class Isolation:
    """State of the instance's own connection to the fleet.

    Attributes:
        since_us: Since when it is isolated; `None` if it is not.
        last_datagram_us: When the last datagram of another instance came.
        dead_in_own_view: Since when others are held for dead by this instance alone, by id.
    """

    def __init__(self, shared: SharedState, suspicions: SuspicionTable, now_us: int) -> None:
        self._shared, self._suspicions = shared, suspicions
        self.since_us: int | None = None
        self.last_datagram_us = now_us
        self.dead_in_own_view: dict[int, int] = {}

    def receives_no_datagrams(self, now_us: int) -> bool:
        """Whether there are others and none was heard for long."""
        silence_us = SILENCE_PERIODS * self._shared.settings.ping_period_us
        return bool(len(self._shared.table)) and now_us - self.last_datagram_us > silence_us

    def begin(self, now_us: int) -> int:
        """Takes itself for isolated, if it does not already; returns since when."""
        if self.since_us is None:
            self.since_us = now_us
        return self.since_us

    def end(self, now_us: int) -> None:
        """A ping was acknowledged: what this instance holds of others may be told again."""
        if self.since_us is None:
            return
        if self.dead_in_own_view:
            self.dead_in_own_view.clear()
            self._shared.table.mark_changed(now_us)
        self._suspicions.extend_timeouts(now_us, self.since_us)
        self.since_us = None

    def declare_dead(self, now_us: int, member_id: int) -> None:
        """Holds one for dead without telling anybody."""
        self.dead_in_own_view[member_id] = now_us
        self._shared.table.mark_changed(now_us)

    def on_alive(self, now_us: int, member_id: int) -> None:
        """An instance says itself that it lives."""
        if self.dead_in_own_view.pop(member_id, None) is not None:
            self._shared.table.mark_changed(now_us)

    def on_dead_or_left(self, member_id: int) -> None:
        """An instance is dead or has left in everybody's view."""
        self.dead_in_own_view.pop(member_id, None)

    def note_datagram(self, now_us: int) -> None:
        """A datagram of another instance came."""
        self.last_datagram_us = now_us

    def live_instance_count(self) -> int:
        """Instances that are alive or suspected, this one included."""
        return 1 + sum(
            1 for member_id in self._shared.table.live_ids() if member_id not in self.dead_in_own_view
        )
