"""Estimates the number of live instances, which replaces the configured number.

An estimate that is too high makes limits and quotas too tight; one that is too low lets all instances
together overload the endpoints that they share. Therefore an increase takes effect at once, and a decrease
slowly and only on evidence. Evidence is an instance that announced that it leaves, or whose address refuses
datagrams because no process listens there. An instance that is merely silent may be partitioned and still
serving requests, so it stays in the count unless this instance hears more than half of the fleet. While it
does not hear that majority, the estimate drifts back to the configured count.
"""

from __future__ import annotations

from typing import NamedTuple

from cressrail.membership.messages import InstanceCount

# The estimate stays within this factor of the configured count, above and below, whatever is observed.
MAX_DEVIATION_FACTOR = 4.0
# The following times are multiples of the tolerated pause.
STARTUP_PAUSES = 4  # time after the start of this instance in which the estimate does not decrease
DECREASE_HALF_LIFE_PAUSES = 2  # half-life of the excess of the estimate over the observed live instances
# Half-life of the difference between the estimate and the configured count while there is no majority.
FALLBACK_HALF_LIFE_PAUSES = 20


class ObservedInstances(NamedTuple):
    """Numbers of instances in the member table, this instance included.

    Attributes:
        alive: Instances that are alive or suspected.
        silent: Instances that were declared dead without evidence that their process has ended.
        zone_alive: Instances of this instance's zone among `alive`.
        zone_silent: Instances of this instance's zone among `silent`.
        has_quorum_view: Whether the complete member table was received once and this instance is not
            isolated.
    """

    alive: int
    silent: int
    zone_alive: int
    zone_silent: int
    has_quorum_view: bool


class LiveInstanceCount:
    """Estimates the number of live instances in the fleet and in this instance's zone.

    All times are in microseconds.

    Attributes:
        estimate: Estimated number of live instances in the fleet.
        zone_estimate: Estimated number of live instances in this instance's zone.
    """

    def __init__(self, configured_count: int, tolerated_pause_us: int, now_us: int) -> None:
        self._configured_count = float(configured_count)
        self._tolerated_pause_us = tolerated_pause_us
        self._started_us = self._updated_us = now_us
        self.estimate, self.zone_estimate = self._configured_count, 0.0

    def update(self, now_us: int, observed: ObservedInstances) -> InstanceCount:
        """Updates both estimates for the time since the last update and returns them."""
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
        # An increase takes effect at once, even without a majority: instances that are heard do exist.
        increased = max(self.estimate, float(observed.alive))
        lowest = max(1.0, self._configured_count / MAX_DEVIATION_FACTOR)
        self.estimate = min(self._configured_count * MAX_DEVIATION_FACTOR, max(lowest, increased))

    def _update_zone_estimate(self, span_us: int, target: float) -> None:
        """Moves the zone's estimate towards `target`: up at once and down slowly.

        The decrease is slow because deaths in one zone may be detected earlier than those in other zones.
        """
        half_life_us = DECREASE_HALF_LIFE_PAUSES * self._tolerated_pause_us
        decreased = self.zone_estimate + (target - self.zone_estimate) * (1 - 0.5 ** (span_us / half_life_us))
        self.zone_estimate = min(max(target, decreased), self.estimate)

    @staticmethod
    def _zone_share(observed: ObservedInstances, has_majority: bool) -> float:
        """Returns the share of instances in this zone; without a majority, silent instances count too."""
        if has_majority:
            return observed.zone_alive / observed.alive
        known_in_zone = observed.zone_alive + observed.zone_silent
        return known_in_zone / (observed.alive + observed.silent)
