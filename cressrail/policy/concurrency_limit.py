"""Limits of own attempts in flight at each endpoint, and the latency above which they are cut."""

from __future__ import annotations

from cressrail.policy.endpoint import Endpoint
from cressrail.policy.zone_subset import ZoneSubset

FIRST_LIMIT = 6.0
"""Attempts in flight at an endpoint from all instances together, from which limits are cut or grow."""

CUT_FACTOR = 0.75
"""What is left of a limit that is cut."""

INGRESS_GROWTH_INSTANCES = 1.5
"""In the ingress tier growth slows down with more instances: each sees but a few of the slow attempts."""

INNER_GROWTH = 0.25
"""Growth behind the ingress tier, in attempts over all instances for a round of prompt answers."""

FIRST_THRESHOLD_FRACTION = 0.8
"""Of the latency objective, for the tiers still to go: the threshold until there is a baseline."""

MAX_THRESHOLD = 0.5
"""Of the latency objective: after a slower attempt there is no time for another one."""

BASELINE_SAMPLES = 64
"""Attempts that the mean latency looks back on."""

BASELINE_RISE_US = 60_000_000
"""In which the lowest recent mean latency is forgotten."""

TOLERATED_DEVIATIONS = 2.0
"""An attempt is slow that takes so many mean deviations more than the baseline."""


class LatencyBaseline:
    """The lowest recent mean latency, and the threshold above which an attempt signals overload.

    Latencies are in latency objectives of the request's class.
    """

    __slots__ = ("baseline", "mean", "mean_deviation", "sample_count", "threshold", "tolerance", "updated_us")

    def __init__(self, remaining_tiers_fraction: float, now_us: int) -> None:
        """`remaining_tiers_fraction`: the part of all tiers that a request still has to pass from here."""
        self.mean = 0.0
        self.mean_deviation = 0.0  # relative to the mean
        self.baseline = 0.0  # 0: unknown
        self.tolerance = 0.0  # relative to the baseline
        self.threshold = min(MAX_THRESHOLD, FIRST_THRESHOLD_FRACTION * remaining_tiers_fraction)
        self.updated_us = now_us
        self.sample_count = 0

    def record(self, now_us: int, latency: float) -> None:
        """Takes in the latency of a succeeded attempt."""
        self.sample_count += 1
        weight = 1 / min(self.sample_count, BASELINE_SAMPLES)
        self.mean += (latency - self.mean) * weight
        self.mean_deviation += (abs(latency - self.mean) / self.mean - self.mean_deviation) * weight
        if self.sample_count >= BASELINE_SAMPLES:
            risen = self.baseline * (1 + (now_us - self.updated_us) / BASELINE_RISE_US)
            if not risen or self.mean <= risen:
                # The deviation is taken with the baseline: overload widens it, and would widen the tolerance.
                self.baseline = self.mean
                self.tolerance = TOLERATED_DEVIATIONS * self.mean_deviation
            else:
                self.baseline = risen
            self.threshold = min(MAX_THRESHOLD, self.baseline * (1 + self.tolerance))
        self.updated_us = now_us

    def restore_tolerance(self) -> None:
        """Computes the tolerance, which hand-over frames do not carry, from baseline and threshold."""
        self.tolerance = max(0.0, self.threshold / self.baseline - 1) if self.baseline else 0.0


class ConcurrencyLimiter:
    """Grows limits by an attempt for a round of prompt answers and cuts them by a share on overload."""

    __slots__ = ("is_ingress",)

    def __init__(self, is_ingress: bool) -> None:
        self.is_ingress = is_ingress

    def cut(self, subset: ZoneSubset, endpoint: Endpoint, exponent: float) -> None:
        """Cuts an endpoint's limit; an exponent below 1 cuts less."""
        self._scale(subset, endpoint, CUT_FACTOR**exponent)

    def grow(self, subset: ZoneSubset, endpoint: Endpoint) -> None:
        """Grows an endpoint's limit by about one over all instances, if half of the limits are in use.

        In the ingress tier many instances would grow at once while a late attempt cuts at one of them alone;
        tiers behind it would outgrow what an overloaded fleet recovers from.
        """
        if 2 * (subset.in_flight + 1) < subset.limit:
            return
        growth = INGRESS_GROWTH_INSTANCES / subset.sharing_instances if self.is_ingress else INNER_GROWTH
        self._scale(subset, endpoint, 1 + growth / subset.sharing_instances / endpoint.limit**2)

    def _scale(self, subset: ZoneSubset, endpoint: Endpoint, factor: float) -> None:
        """Scales a limit between its bounds, and those of the other endpoints in use in part.

        What an attempt says of its endpoint it says of all in use, as far as the limit is below one attempt:
        instances with so few attempts would otherwise stay at the first limits. Behind the ingress tier a
        rejected request wastes the work of the tiers before, so limits never go below the first ones there.
        """
        floor = (1.0 if self.is_ingress else FIRST_LIMIT) / subset.sharing_instances
        shared = max(0.0, 1 - endpoint.limit)
        for other in subset.in_use if shared and endpoint.is_in_subset else [endpoint]:
            scaled = other.limit * (factor if other is endpoint else 1 + (factor - 1) * shared)
            subset.set_limit(other, max(floor, scaled))
