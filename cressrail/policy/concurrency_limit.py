"""Limits on this instance's attempts in flight at each endpoint, and the latency that causes cuts."""

from __future__ import annotations

from cressrail.policy.endpoint import Endpoint
from cressrail.policy.zone_subset import ZoneSubset

FIRST_LIMIT = 6.0
"""Initial limit on the attempts in flight at an endpoint, summed over all instances."""

CUT_FACTOR = 0.75
"""Factor by which a full cut multiplies a limit."""

INGRESS_GROWTH_INSTANCES = 1.5
"""Growth in the ingress tier, in attempts over all instances for each round of prompt answers, multiplied by
the number of instances that share an endpoint. Growth slows down as instances are added because each one sees
only a few of the slow attempts."""

INNER_GROWTH = 0.25
"""Growth in the tiers behind the ingress tier, in attempts over all instances for each round of prompt
answers."""

FIRST_THRESHOLD_FRACTION = 0.8
"""Initial latency threshold until a baseline is known: this fraction of the latency objective, times the
fraction of tiers that the request still has to pass."""

MAX_THRESHOLD = 0.5
"""Upper bound of the latency threshold, as a fraction of the latency objective. After a slower attempt there
is no time left for another one."""

BASELINE_SAMPLES = 64
"""Number of attempts over which the moving average of the latency extends."""

BASELINE_RISE_US = 60_000_000
"""Time constant with which the baseline rises, so that an old low mean latency is forgotten."""

TOLERATED_DEVIATIONS = 2.0
"""Number of mean deviations above the baseline from which an attempt counts as slow."""


class LatencyBaseline:
    """Tracks the lowest recent mean latency and the threshold above which an attempt signals overload.

    Latencies are fractions of the latency objective of the request's class.

    Attributes:
        baseline: Lowest recent mean latency; 0 while unknown.
        mean: Moving average of the latency.
        mean_deviation: Mean absolute deviation, relative to the mean.
        sample_count: Number of latencies recorded.
        threshold: Latency above which an attempt signals overload.
        tolerance: Allowed excess over the baseline, relative to the baseline.
        updated_us: Time of the last update in microseconds.
    """

    __slots__ = ("baseline", "mean", "mean_deviation", "sample_count", "threshold", "tolerance", "updated_us")

    def __init__(self, remaining_tiers_fraction: float, now_us: int) -> None:
        """Initializes the threshold, without a baseline.

        Args:
            remaining_tiers_fraction: Fraction of all tiers that a request still has to pass from here.
            now_us: Current time in microseconds.
        """
        self.mean = 0.0
        self.mean_deviation = 0.0
        self.baseline = 0.0
        self.tolerance = 0.0
        self.threshold = min(MAX_THRESHOLD, FIRST_THRESHOLD_FRACTION * remaining_tiers_fraction)
        self.updated_us = now_us
        self.sample_count = 0

    def record(self, now_us: int, latency: float) -> None:
        """Records the latency of a successful attempt and updates the threshold."""
        self.sample_count += 1
        weight = 1 / min(self.sample_count, BASELINE_SAMPLES)
        self.mean += (latency - self.mean) * weight
        self.mean_deviation += (abs(latency - self.mean) / self.mean - self.mean_deviation) * weight
        if self.sample_count >= BASELINE_SAMPLES:
            risen_baseline = self.baseline * (1 + (now_us - self.updated_us) / BASELINE_RISE_US)
            if not risen_baseline or self.mean <= risen_baseline:
                # The tolerance is updated only together with the baseline: overload widens the deviation and
                # would otherwise widen the tolerance as well.
                self.baseline = self.mean
                self.tolerance = TOLERATED_DEVIATIONS * self.mean_deviation
            else:
                self.baseline = risen_baseline
            self.threshold = min(MAX_THRESHOLD, self.baseline * (1 + self.tolerance))
        self.updated_us = now_us

    def restore_tolerance(self) -> None:
        """Computes the tolerance, which hand-over frames do not carry, from baseline and threshold."""
        self.tolerance = max(0.0, self.threshold / self.baseline - 1) if self.baseline else 0.0


class ConcurrencyLimiter:
    """Increases concurrency limits additively on prompt answers and cuts them by a factor on overload."""

    __slots__ = ("is_ingress",)

    def __init__(self, is_ingress: bool) -> None:
        self.is_ingress = is_ingress

    def cut(self, subset: ZoneSubset, endpoint: Endpoint, exponent: float) -> None:
        """Cuts an endpoint's limit by `CUT_FACTOR**exponent`; an exponent below 1 makes a smaller cut."""
        self._scale(subset, endpoint, CUT_FACTOR**exponent)

    def grow(self, subset: ZoneSubset, endpoint: Endpoint) -> None:
        """Raises an endpoint's limit if at least half of the zone subset's total limit is in use.

        A round of prompt answers, one for each attempt that the limit allows, raises the limits of all
        instances together by `INNER_GROWTH` or, in the ingress tier, by `INGRESS_GROWTH_INSTANCES` divided by
        the number of instances that share the endpoint. Faster growth would be unsafe: in the ingress tier,
        many instances raise their limits at once while a slow attempt cuts the limit at only one of them, and
        the tiers behind it would exceed what an overloaded fleet can recover from.
        """
        if 2 * (subset.in_flight + 1) < subset.limit:
            return
        growth = INGRESS_GROWTH_INSTANCES / subset.sharing_instances if self.is_ingress else INNER_GROWTH
        self._scale(subset, endpoint, 1 + growth / subset.sharing_instances / endpoint.limit**2)

    def _scale(self, subset: ZoneSubset, endpoint: Endpoint, factor: float) -> None:
        """Multiplies an endpoint's limit by a factor, and the limits of the others in use by part of it.

        What an attempt shows about its endpoint also applies to the other endpoints of the subset, to the
        extent that the endpoint's limit is below one attempt. Instances with that few attempts would
        otherwise stay at the initial limits. In the ingress tier, limits never fall below one attempt over
        all instances. Behind it, a rejected request wastes the work of the tiers before it, so limits never
        fall below the initial ones there.
        """
        floor = (1.0 if self.is_ingress else FIRST_LIMIT) / subset.sharing_instances
        shared = max(0.0, 1 - endpoint.limit)
        for other in subset.in_use if shared and endpoint.is_in_subset else [endpoint]:
            scaled = other.limit * (factor if other is endpoint else 1 + (factor - 1) * shared)
            subset.set_limit(other, max(floor, scaled))
