"""Isolation: whether this instance has lost its own connection to the fleet.

An isolated instance declares no other instance dead to the fleet, because the cause may be its own network
connection. It records deaths only in its own view.
"""

from __future__ import annotations

from cressrail.membership.shared_state import SharedState
from cressrail.membership.suspicion import SuspicionTable

SILENCE_PERIODS = 4  # ping periods without any datagram after which the instance considers itself isolated


class Isolation:
    """State of this instance's own connection to the fleet. All times are in microseconds.

    Attributes:
        since_us: Time at which the isolation began, `None` if this instance is not isolated.
        last_datagram_us: Time at which the last datagram from another instance was received.
        dead_in_own_view: Instances that are dead only in this instance's view; maps the id to the time at
            which this instance declared it dead.
    """

    def __init__(self, shared: SharedState, suspicions: SuspicionTable, now_us: int) -> None:
        self._shared, self._suspicions = shared, suspicions
        self.since_us: int | None = None
        self.last_datagram_us = now_us
        self.dead_in_own_view: dict[int, int] = {}

    def receives_no_datagrams(self, now_us: int) -> bool:
        """Whether others are known but no datagram has arrived for `SILENCE_PERIODS` ping periods."""
        silence_us = SILENCE_PERIODS * self._shared.settings.ping_period_us
        return bool(len(self._shared.table)) and now_us - self.last_datagram_us > silence_us

    def begin(self, now_us: int) -> int:
        """Begins the isolation, unless it has begun already, and returns the time at which it began."""
        if self.since_us is None:
            self.since_us = now_us
        return self.since_us

    def end(self, now_us: int) -> None:
        """Ends the isolation after an ack.

        Instances that were dead only in this instance's view are live again, and the suspicion time-outs are
        extended by the duration of the isolation.
        """
        if self.since_us is None:
            return
        if self.dead_in_own_view:
            self.dead_in_own_view.clear()
            self._shared.table.mark_changed(now_us)
        self._suspicions.extend_timeouts(now_us, self.since_us)
        self.since_us = None

    def declare_dead(self, now_us: int, member_id: int) -> None:
        """Declares an instance dead in this instance's own view, without notifying others."""
        self.dead_in_own_view[member_id] = now_us
        self._shared.table.mark_changed(now_us)

    def on_alive(self, now_us: int, member_id: int) -> None:
        """Makes an instance live again in this instance's view after a datagram from the instance itself."""
        if self.dead_in_own_view.pop(member_id, None) is not None:
            self._shared.table.mark_changed(now_us)

    def on_dead_or_left(self, member_id: int) -> None:
        """Drops the own-view death of an instance that is now dead or has left in the fleet's view."""
        self.dead_in_own_view.pop(member_id, None)

    def note_datagram(self, now_us: int) -> None:
        """Records that a datagram from another instance was received."""
        self.last_datagram_us = now_us

    def live_instance_count(self) -> int:
        """Number of instances that are alive or suspected in this instance's view, including this one."""
        return 1 + sum(
            1 for member_id in self._shared.table.live_ids() if member_id not in self.dead_in_own_view
        )
