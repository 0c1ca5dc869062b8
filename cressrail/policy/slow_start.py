"""Limits the attempts that this instance sends to an endpoint while it warms up after a start."""

from __future__ import annotations

from cressrail.policy.endpoint import Endpoint
from cressrail.policy.zone_subset import ZoneSubset

RATE_TERMS = 2
"""Number of terms of the credit rate, which get equal parts of the tolerated multiple: half of it is granted
by observed throughput, half by even shares of the total."""

CREDIT_LIFETIME_SPANS = 4
"""Number of overload spans (`overload_span_us`) after which unused credit lapses."""

SCALE_MEMORY_WARMUPS = 4
"""Number of warm-up times in which the largest total scale seen is forgotten."""

OWN_ZONE_WEIGHT = 3.0
"""Factor of the even share for instances in the endpoint's zone, which are a third of all instances on
average."""

OTHER_ZONE_WEIGHT = 0.5
"""Factor of the even share for instances in other zones."""

_MIN_SPAN_DIVISOR = 8  # rates are computed over at least the warm-up time divided by this number
_CREDIT_FOR_ATTEMPT = 1.0


class SlowStart:
    """Computes this instance's share of the work that a starting endpoint may get.

    Credit for attempts accrues at a rate with two terms, each of which gets half of the tolerated multiple:
    the observed throughput per unit of scale in the endpoint's zone, and an even share of what all listed
    endpoints can take (the tenants' quotas or, without quotas, the observed throughput). Summed over all
    instances, neither term exceeds what a warmed-up endpoint gets. This holds for any number of instances,
    however uneven their traffic and however recent their start. Credit that is not used for some time lapses.
    docs/design.md derives these bounds.
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
        """Sets the conditions of the platform for starting endpoints.

        Args:
            initial_fraction: Fraction of its capacity that an endpoint has when it starts.
            warmup_us: Time until the endpoint has its full capacity, in microseconds.
            now_us: Current time in microseconds.
            even_rate_per_us: Requests per microsecond that all tenants together may send through this
                instance; 0: there are no quotas.
            overload_multiple: Multiple of its current capacity at which a starting endpoint fails.
            overload_span_us: Span over which that multiple is measured, in microseconds.
        """
        self.created_us = now_us
        self.initial_fraction = initial_fraction
        self.warmup_us = warmup_us
        self.even_rate_per_us = even_rate_per_us
        self.max_even_rate_per_us = even_rate_per_us
        self.rate_multiple = overload_multiple / RATE_TERMS
        self.credit_lifetime_us = CREDIT_LIFETIME_SPANS * overload_span_us
        self.has_yielded = False  # another process of this instance spends the credit
        self.recent_successes = 0.0  # successful attempts, decaying over the warm-up time
        self.recent_successes_us = 0  # when a success was last counted
        self.largest_scale = 0.0  # largest total scale of the recent endpoint lists
        self.largest_scale_us = 0

    def remaining_fraction(self, since_us: int, now_us: int, warmups: int = 1) -> float:
        """Returns the fraction that remains after a linear decay.

        Args:
            since_us: Start of the decay in microseconds.
            now_us: Current time in microseconds.
            warmups: Length of the decay in warm-up times.
        """
        return max(0.0, 1 - (now_us - since_us) / self.warmup_us / warmups)

    def record_success(self, now_us: int, subset: ZoneSubset) -> None:
        """Counts a successful attempt at an endpoint of the zone."""
        self.recent_successes = (
            self.recent_successes * self.remaining_fraction(self.recent_successes_us, now_us) + 1
        )
        subset.successes_per_scale = subset.successes_per_scale * self.remaining_fraction(
            subset.successes_us, now_us
        ) + 1 / (subset.scale_in_use or 1.0)
        self.recent_successes_us = subset.successes_us = now_us

    def record_total_scale(self, now_us: int, total_scale: float) -> None:
        """Records the total scale of an endpoint list, and keeps the largest recent one.

        The largest one is used because a zone that comes back in stages is listed with few endpoints at
        first.
        """
        remembered = self.largest_scale * self.remaining_fraction(
            self.largest_scale_us, now_us, SCALE_MEMORY_WARMUPS
        )
        self.largest_scale = max(total_scale, remembered)
        self.largest_scale_us = now_us

    def set_even_rate(self, even_rate_per_us: float) -> None:
        """Sets the even rate, but at most to the configured one.

        The bound applies when too few instances were counted, which would make the share of each one too
        large.
        """
        self.even_rate_per_us = min(self.max_even_rate_per_us, even_rate_per_us)

    def observed_span_us(self, until_us: int) -> int:
        """Returns the length of the span over which successes have been counted, in microseconds.

        It is at least a fixed part of the warm-up time, so that rates are not exaggerated just after the
        start.
        """
        return min(self.warmup_us, max(self.warmup_us // _MIN_SPAN_DIVISOR, until_us - self.created_us))

    def is_warming_up(self, endpoint: Endpoint, now_us: int) -> bool:
        """Returns whether the endpoint is warming up.

        This includes an endpoint that may have restarted, because connections to it have failed.
        """
        if endpoint.connect_failures > 0:
            return True
        return endpoint.started_us > 0 and now_us < endpoint.started_us + self.warmup_us

    def accrue_credit(self, endpoint: Endpoint, now_us: int, subset: ZoneSubset, is_own_zone: bool) -> bool:
        """Updates the endpoint's credit and returns whether it allows an attempt now."""
        rate = self._credit_rate(endpoint, now_us, subset, is_own_zone)
        credit = endpoint.slow_start_credit + rate * (now_us - endpoint.slow_start_credit_us)
        endpoint.slow_start_credit = credit % (1 + rate * self.credit_lifetime_us)
        endpoint.slow_start_credit_us = now_us
        return endpoint.slow_start_credit >= _CREDIT_FOR_ATTEMPT and not self.has_yielded

    def _credit_rate(self, endpoint: Endpoint, now_us: int, subset: ZoneSubset, is_own_zone: bool) -> float:
        """Returns the rate at which the endpoint's credit grows, in attempts per microsecond."""
        # After failed connections, the endpoint is treated as just started until the list gives its start
        # time.
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
        # Without the even share, a fleet that is mostly warming up would grant itself less and less.
        zone_weight = OWN_ZONE_WEIGHT if is_own_zone else OTHER_ZONE_WEIGHT
        even_share = min(1.0, zone_weight * subset.total_scale / self.largest_scale) / subset.scale_in_use
        even_rate = self.even_rate_per_us or max(1.0, self.recent_successes) / self.observed_span_us(now_us)
        rate = by_throughput + work * even_rate * even_share
        if endpoint.peer_work_per_us >= 0:
            # Reports from peers can only lower the even share, so wrong reports cannot take away what the
            # observed throughput grants.
            warmed_up = endpoint.warmed_up_work_per_us * work / endpoint.scale / self.rate_multiple
            rate = max(by_throughput, min(rate, warmed_up - endpoint.peer_work_per_us))
        return rate
