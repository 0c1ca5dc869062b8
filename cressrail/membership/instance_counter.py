"""Counts the live instances of the fleet for the policy."""

from __future__ import annotations

from cressrail.membership.isolation import Isolation
from cressrail.membership.live_count import LiveInstanceCount, ObservedInstances
from cressrail.membership.member_updates import MemberUpdates
from cressrail.membership.messages import DEAD, USE_INSTANCE_COUNT, InstanceCount
from cressrail.membership.push_pull import PushPull
from cressrail.membership.shared_state import SharedState

COUNT_CHANGE_DIVISOR = 32  # a change of at most 1/32 of the announced count is not announced


class InstanceCounter:
    """Announces the instance count when it changes noticeably.

    Attributes:
        announced: The count announced last, or `None` if none was announced or the policy does not use it.
    """

    def __init__(
        self,
        shared: SharedState,
        isolation: Isolation,
        updates: MemberUpdates,
        push_pull: PushPull,
        now_us: int,
    ) -> None:
        self._shared, self._isolation = shared, isolation
        self._updates, self._push_pull = updates, push_pull
        settings = shared.settings
        self._live_count = (
            LiveInstanceCount(settings.configured_instance_count, settings.tolerated_pause_us, now_us)
            if USE_INSTANCE_COUNT in settings.uses
            else None
        )
        self.announced: InstanceCount | None = None

    def observed(self) -> ObservedInstances:
        """Returns the instances counted in the member table, including this one."""
        table, own_zone = self._shared.table, self._shared.settings.zone
        alive, silent, zone_alive, zone_silent = 1, 0, 1, 0
        for row, member_id in enumerate(table.ids):
            state, is_in_own_zone = table.states[row], table.zone_of(row) == own_zone
            if state < DEAD and member_id not in self._isolation.dead_in_own_view:
                alive += 1
                zone_alive += is_in_own_zone
            elif state <= DEAD and not table.refused[row]:
                silent += 1
                zone_silent += is_in_own_zone
        has_quorum_view = self._isolation.since_us is None and self._push_pull.has_full_view
        return ObservedInstances(alive, silent, zone_alive, zone_silent, has_quorum_view)

    def update(self, now_us: int) -> None:
        """Updates the count and announces it if it has changed noticeably."""
        self._updates.clear_recount()
        if self._live_count is None:
            return
        count, announced = self._live_count.update(now_us, self.observed()), self.announced
        if announced is None or any(
            abs(new - old) * COUNT_CHANGE_DIVISOR > old for new, old in zip(count, announced, strict=True)
        ):
            self.announced = count
            self._shared.commands.append(count)
