"""How many copies this one goes by, in place of the settings' figure.

Too many makes limits and shares tight, too few lets all together crowd what they share, so the two are not
alike: more are believed at once, fewer slowly and only on evidence. Evidence is a copy that said it leaves,
or at whose address nobody listens (`died` of the module goes by the same); one that is merely silent may be
behind a cut and still at work, and stays in the count unless more than half of the fleet is heard. Where
that half is not heard, what is believed drifts back to the settings' figure with age."""

from __future__ import annotations

from typing import NamedTuple

from cressrail.membership.messages import InstanceCount

MAX_DEVIATION_FACTOR = 4.0  # times the settings' figure, up and down: what is believed whatever is told
STARTUP_PAUSES = 4  # pauses that are borne: so long a copy that has just begun believes in no fewer
DECREASE_HALF_LIFE_PAUSES = 2  # pauses: half of the way down
FALLBACK_HALF_LIFE_PAUSES = 20  # pauses: half of the way back to the settings' figure


class ObservedInstances(NamedTuple):
    """What membership holds of the copies, this one included; `near` of those in the own zone."""

    alive: int
    silent: int  # lost, without a sign that they are dead
    zone_alive: int
    zone_silent: int
    has_quorum_view: bool  # it has heard of all there are, and hears somebody


class LiveInstanceCount:
    """`figure`: of the settings. All counts are of copies, times in microseconds."""

    def __init__(self, figure: int, bear_us: int, now: int) -> None:
        self.configured_count, self.tolerated_pause_us = float(figure), bear_us
        self.started_us = self.updated_us = now
        self.estimate, self.zone_estimate = self.configured_count, 0.0

    def update(self, now: int, seen: ObservedInstances) -> InstanceCount:
        span_us, self.updated_us = max(0, now - self.updated_us), max(now, self.updated_us)
        majority = seen.has_quorum_view and seen.alive > seen.silent
        if majority:
            aim, half_us = float(seen.alive), DECREASE_HALF_LIFE_PAUSES * self.tolerated_pause_us
            young = now - self.started_us < STARTUP_PAUSES * self.tolerated_pause_us
        else:
            aim, half_us, young = (
                self.configured_count,
                FALLBACK_HALF_LIFE_PAUSES * self.tolerated_pause_us,
                False,
            )
        if not (young and aim < self.estimate):
            self.estimate += (aim - self.estimate) * (1 - 0.5 ** (span_us / half_us))
        # At once, and also by the smaller part of a fleet that is cut: those who are heard are there.
        most = max(self.estimate, float(seen.alive))
        self.estimate = min(
            self.configured_count * MAX_DEVIATION_FACTOR,
            max(1.0, self.configured_count / MAX_DEVIATION_FACTOR, most),
        )
        near = self.estimate * self._zone_share(seen, majority)
        # Guards against a zone whose deaths happen to be told before the others'.
        self.zone_estimate = max(
            near,
            self.zone_estimate
            + (near - self.zone_estimate)
            * (1 - 0.5 ** (span_us / (DECREASE_HALF_LIFE_PAUSES * self.tolerated_pause_us))),
        )
        self.zone_estimate = min(self.zone_estimate, self.estimate)
        return InstanceCount(self.estimate, self.zone_estimate)

    def _zone_share(self, seen: ObservedInstances, majority: bool) -> float:
        if majority:
            return seen.zone_alive / seen.alive
        return (seen.zone_alive + seen.zone_silent) / (seen.alive + seen.silent)
