"""Limits what an endpoint gets from this instance while it warms up after a start."""

from __future__ import annotations

from cressrail.policy.endpoint import Endpoint
from cressrail.policy.zone_subset import ZoneSubset

RATE_PARTS = 2
"""Half of the tolerated rate is granted by observed throughput, half by even parts of the total."""

CREDIT_LIFETIME_SPANS = 4
"""Unused credit lapses after so many of the spans in which overload is counted."""

SCALE_MEMORY_WARMUPS = 4
"""Warm-up times in which the largest endpoint list seen is forgotten."""

OWN_ZONE_WEIGHT = 3.0
"""Times the even part for instances of the endpoint's zone: they are a third of all, on average."""

OTHER_ZONE_WEIGHT = 0.5
"""Times the even part for instances of other zones."""

_MIN_SPAN_PARTS = 8  # a rate is taken over this part of the warm-up time at the least
_CREDIT_FOR_ATTEMPT = 1.0


class SlowStart:
    """This instance's part of the work that a starting endpoint may get.

    Summed over all instances, however many, uneven or young, neither the observed throughput for a unit of
    scale of the endpoint's zone nor even parts of what the whole list can take (the tenants' quotas, or the
    throughput) is more than a warmed-up endpoint gets; half of the tolerated multiple goes by each. Credit
    that is not used for some time lapses. docs/design.md does the sums.
    """

    def __init__(
        self,
        initial_fraction: float,
        warmup_us: int,
        now_us: int,
        even_rate_per_us: float,
        overload_multiple: float,
        overload_span_us: int,
    ) -> None:
        """Sets the platform's terms for starting endpoints.

        Args:
            initial_fraction: The part of its capacity that an endpoint has when it starts.
            warmup_us: The time until it has all of it.
            now_us: The present time.
            even_rate_per_us: What all tenants may send here, a microsecond; 0: there are no quotas.
            overload_multiple: The multiple of its capacity at which a starting endpoint fails.
            overload_span_us: The span in which that multiple is counted.
        """
        self.born_us = now_us
        self.initial_fraction = initial_fraction
        self.warmup_us = warmup_us
        self.even_rate_per_us = even_rate_per_us
        self.max_even_rate_per_us = even_rate_per_us
        self.rate_multiple = overload_multiple / RATE_PARTS
        self.credit_lifetime_us = CREDIT_LIFETIME_SPANS * overload_span_us
        self.has_yielded = False  # another process of this instance gives the credit
        self.recent_successes = 0.0  # succeeded attempts, decaying over the warm-up time
        self.recent_successes_us = 0
        self.largest_scale = 0.0  # of all endpoint lists seen recently
        self.largest_scale_us = 0

    def remaining_fraction(self, since_us: int, now_us: int, warmups: int = 1) -> float:
        """Returns what a linear decay over so many warm-up times has left."""
        return max(0.0, 1 - (now_us - since_us) / self.warmup_us / warmups)

    def record_success(self, now_us: int, subset: ZoneSubset) -> None:
        """Counts a succeeded attempt at an endpoint of the zone."""
        self.recent_successes = (
            self.recent_successes * self.remaining_fraction(self.recent_successes_us, now_us) + 1
        )
        subset.successes_per_scale = subset.successes_per_scale * self.remaining_fraction(
            subset.successes_us, now_us
        ) + 1 / (subset.scale_in_use or 1.0)
        self.recent_successes_us = subset.successes_us = now_us

    def record_total_scale(self, now_us: int, total_scale: float) -> None:
        """Remembers the largest recent list: a zone that comes back in pieces starts with few endpoints."""
        remembered = self.largest_scale * self.remaining_fraction(
            self.largest_scale_us, now_us, SCALE_MEMORY_WARMUPS
        )
        self.largest_scale = max(total_scale, remembered)
        self.largest_scale_us = now_us

    def set_even_rate(self, even_rate_per_us: float) -> None:
        """Sets the even rate, never above that of the settings, in case too few instances were counted."""
        self.even_rate_per_us = min(self.max_even_rate_per_us, even_rate_per_us)

    def observed_span_us(self, until_us: int) -> int:
        """Returns the span of the counted successes; not too short, for rates of the first moments."""
        return min(self.warmup_us, max(self.warmup_us // _MIN_SPAN_PARTS, until_us - self.born_us))

    def is_warming_up(self, endpoint: Endpoint, now_us: int) -> bool:
        """Whether it has started lately, or may have, as connections to it failed."""
        if endpoint.connect_failures > 0:
            return True
        return endpoint.started_us > 0 and now_us < endpoint.started_us + self.warmup_us

    def accrue_credit(self, endpoint: Endpoint, now_us: int, subset: ZoneSubset, is_own_zone: bool) -> bool:
        """Brings the endpoint's credit up to date and returns whether it allows an attempt now."""
        rate = self._credit_rate(endpoint, now_us, subset, is_own_zone)
        credit = endpoint.slow_start_credit + rate * (now_us - endpoint.slow_start_credit_us)
        endpoint.slow_start_credit = credit % (1 + rate * self.credit_lifetime_us)
        endpoint.slow_start_credit_us = now_us
        return endpoint.slow_start_credit >= _CREDIT_FOR_ATTEMPT and not self.has_yielded

    def _credit_rate(self, endpoint: Endpoint, now_us: int, subset: ZoneSubset, is_own_zone: bool) -> float:
        """Returns the credit for a microsecond, in attempts."""
        # After failed connections it counts as just started until the list says when it did.
        age = 0.0 if endpoint.connect_failures else max(0, now_us - endpoint.started_us) / self.warmup_us
        work = (
            endpoint.scale * self.rate_multiple * (self.initial_fraction + (1 - self.initial_fraction) * age)
        )
        by_throughput = (
            work
            * subset.successes_per_scale
            * self.remaining_fraction(subset.successes_us, now_us)
            / self.observed_span_us(subset.successes_us)
        )
        # Without even parts a fleet that is mostly warming up would grant itself less and less.
        zone_weight = OWN_ZONE_WEIGHT if is_own_zone else OTHER_ZONE_WEIGHT
        even_part = min(1.0, zone_weight * subset.total_scale / self.largest_scale) / subset.scale_in_use
        even_rate = self.even_rate_per_us or max(1.0, self.recent_successes) / self.observed_span_us(now_us)
        rate = by_throughput + work * even_rate * even_part
        if endpoint.peer_work_per_us >= 0:
            # Peers' reports only lower the even part: wrong reports cannot stop what throughput grants.
            warmed_up = endpoint.warmed_up_work_per_us * work / endpoint.scale / self.rate_multiple
            rate = max(by_throughput, min(rate, warmed_up - endpoint.peer_work_per_us))
        return rate
