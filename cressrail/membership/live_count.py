"""How many copies this one goes by, in place of the settings' figure.

Too many makes limits and shares tight, too few lets all together crowd what they share, so the two are not
alike: more are believed at once, fewer slowly and only on evidence. Evidence is a copy that said it leaves,
or at whose address nobody listens (`died` of the module goes by the same); one that is merely silent may be
behind a cut and still at work, and stays in the count unless more than half of the fleet is heard. Where
that half is not heard, what is believed drifts back to the settings' figure with age."""

from __future__ import annotations

from typing import NamedTuple

from cressrail.membership.messages import InstanceCount

BOUND = 4.0  # times the settings' figure, up and down: what is believed whatever is told
YOUNG = 4  # pauses that are borne: so long a copy that has just begun believes in no fewer
FALL = 2  # pauses: half of the way down
FADE = 20  # pauses: half of the way back to the settings' figure


class Seen(NamedTuple):
    """What membership holds of the copies, this one included; `near` of those in the own zone."""

    alive: int
    silent: int  # lost, without a sign that they are dead
    near_alive: int
    near_silent: int
    sure: bool  # it has heard of all there are, and hears somebody


class Live:
    """`figure`: of the settings. All counts are of copies, times in microseconds."""

    def __init__(self, figure: int, bear_us: int, now: int) -> None:
        self.figure, self.bear_us = float(figure), bear_us
        self.born_us = self.weighed_us = now
        self.believed, self.near = self.figure, 0.0

    def weigh(self, now: int, seen: Seen) -> InstanceCount:
        span_us, self.weighed_us = max(0, now - self.weighed_us), max(now, self.weighed_us)
        majority = seen.sure and seen.alive > seen.silent
        if majority:
            aim, half_us = float(seen.alive), FALL * self.bear_us
            young = now - self.born_us < YOUNG * self.bear_us
        else:
            aim, half_us, young = self.figure, FADE * self.bear_us, False
        if not (young and aim < self.believed):
            self.believed += (aim - self.believed) * (1 - 0.5 ** (span_us / half_us))
        # At once, and also by the smaller part of a fleet that is cut: those who are heard are there.
        most = max(self.believed, float(seen.alive))
        self.believed = min(self.figure * BOUND, max(1.0, self.figure / BOUND, most))
        near = self.believed * self._near(seen, majority)
        # Guards against a zone whose deaths happen to be told before the others'.
        self.near = max(near, self.near + (near - self.near) * (1 - 0.5 ** (span_us / (FALL * self.bear_us))))
        self.near = min(self.near, self.believed)
        return InstanceCount(self.believed, self.near)

    def _near(self, seen: Seen, majority: bool) -> float:
        if majority:
            return seen.near_alive / seen.alive
        return (seen.near_alive + seen.near_silent) / (seen.alive + seen.silent)
