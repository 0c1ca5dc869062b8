"""Estimate of the number of live instances, in place of the configured one.

Too high a count makes limits and quotas tight, too low a one lets all instances together overload what they
share, so an increase is believed at once and a decrease slowly, and only on evidence. Evidence is an
instance that said it leaves, or at whose address nobody listens. One that is merely silent may be
partitioned and still at work, and stays in the count unless more than half of the fleet is heard. Where that
half is not heard, the estimate drifts back to the configured count.
"""

from __future__ import annotations

from typing import NamedTuple

from cressrail.membership.messages import InstanceCount

MAX_DEVIATION_FACTOR = 4.0  # of the estimate from the configured count, up and down, whatever is observed
# In tolerated pauses:
STARTUP_PAUSES = 4  # for which an instance that has just started believes in no decrease
DECREASE_HALF_LIFE_PAUSES = 2
FALLBACK_HALF_LIFE_PAUSES = 20  # back to the configured count


class ObservedInstances(NamedTuple):
    """What the member table holds, this instance included.

    Attributes:
        alive: Alive or suspected.
        silent: Dead, without a sign that the process is gone.
        zone_alive: Those alive in the own zone.
        zone_silent: Those silent in the own zone.
        has_quorum_view: Whether the whole table was received once, and anybody is heard.
    """

    alive: int
    silent: int
    zone_alive: int
    zone_silent: int
    has_quorum_view: bool


class LiveInstanceCount:
    """The estimate; times are in microseconds.

    Attributes:
        estimate: Of all instances.
        zone_estimate: Of those in the own zone.
    """

    def __init__(self, configured_count: int, tolerated_pause_us: int, now_us: int) -> None:
        self._configured_count = float(configured_count)
        self._tolerated_pause_us = tolerated_pause_us
        self._started_us = self._updated_us = now_us
        self.estimate, self.zone_estimate = self._configured_count, 0.0

    def update(self, now_us: int, observed: ObservedInstances) -> InstanceCount:
        """Moves the estimate on to `now_us` and returns it."""
        span_us, self._updated_us = max(0, now_us - self._updated_us), max(now_us, self._updated_us)
        has_majority = observed.has_quorum_view and observed.alive > observed.silent
        self._update_estimate(now_us, span_us, observed, has_majority)
        self._update_zone_estimate(span_us, self.estimate * self._zone_share(observed, has_majority))
        return InstanceCount(self.estimate, self.zone_estimate)

    def _update_estimate(
        self, now_us: int, span_us: int, observed: ObservedInstances, has_majority: bool
    ) -> None:
        pause_us = self._tolerated_pause_us
        if has_majority:
            target, half_life_us = float(observed.alive), DECREASE_HALF_LIFE_PAUSES * pause_us
        else:
            target, half_life_us = self._configured_count, FALLBACK_HALF_LIFE_PAUSES * pause_us
        is_starting = has_majority and now_us - self._started_us < STARTUP_PAUSES * pause_us
        if not (is_starting and target < self.estimate):
            self.estimate += (target - self.estimate) * (1 - 0.5 ** (span_us / half_life_us))
        # An increase holds at once, and also in a minority: those that are heard are there.
        increased = max(self.estimate, float(observed.alive))
        lowest = max(1.0, self._configured_count / MAX_DEVIATION_FACTOR)
        self.estimate = min(self._configured_count * MAX_DEVIATION_FACTOR, max(lowest, increased))

    def _update_zone_estimate(self, span_us: int, target: float) -> None:
        """Decreases slowly too, as deaths in one zone may happen to be learned before those in others."""
        half_life_us = DECREASE_HALF_LIFE_PAUSES * self._tolerated_pause_us
        decreased = self.zone_estimate + (target - self.zone_estimate) * (1 - 0.5 ** (span_us / half_life_us))
        self.zone_estimate = min(max(target, decreased), self.estimate)

    @staticmethod
    def _zone_share(observed: ObservedInstances, has_majority: bool) -> float:
        """Share of the instances that are in the own zone; without a majority the silent ones count."""
        if has_majority:
            return observed.zone_alive / observed.alive
        known_in_zone = observed.zone_alive + observed.zone_silent
        return known_in_zone / (observed.alive + observed.silent)
