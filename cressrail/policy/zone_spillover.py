"""The order in which zones are tried for a request."""

from __future__ import annotations

from collections.abc import Sequence

from cressrail.policy.random_generator import RandomGenerator
from cressrail.policy.retry_budget import RETRY_WINDOW_US
from cressrail.policy.zone_subset import ZoneSubset

SPILLOVER_STEP = 1 / 16
"""Change of the spilled fraction of the traffic per second."""

MAX_SPILLOVER = 1 / 2
"""Largest fraction of the traffic that is spilled."""

RAISE_LATENCY_RATIO = 2.0
"""Ratio of the own zone's latency to that of the best other zone above which the spilled fraction is raised.
"""

LOWER_LATENCY_RATIO = 1.5
"""Ratio below which the spilled fraction is lowered."""

PROBING_SHARE = 1 / 16
"""Zone weight below which a zone gets traffic only to find out whether it has recovered."""


class ZoneSpillover:
    """Orders the zones: the own zone first, unless traffic spills over or agreed zone weights apply.

    Attributes:
        zone_order: The own zone, then the others, near ones first.
        zone_weights: Fractions of the own zone's traffic, by zone, as agreed by the sidecars.
        weighted_fraction: Fraction of the requests to which the weights apply.
        spilled_fraction: Fraction of the requests that try `next_zone` first.
        next_zone: The other zone with the lowest latency; -1: unknown.
    """

    def __init__(self, own_zone: int, zone_count: int, random_generator: RandomGenerator) -> None:
        self.zone_order = [(own_zone + step) % zone_count for step in range(zone_count)]
        self.random_generator = random_generator
        self.zone_weights: Sequence[float] = ()
        self.weighted_fraction = 0.0
        self.spilled_fraction = 0.0
        self.next_zone = -1

    @property
    def own_zone(self) -> int:
        """The zone of this instance."""
        return self.zone_order[0]

    def apply_zone_weights(self, zone_weights: Sequence[float], fraction: float) -> None:
        """Sets the agreed zone weights and the fraction of requests to which they apply."""
        self.zone_weights = zone_weights
        self.weighted_fraction = fraction

    def draw_weighted(self) -> bool:
        """Decides at random whether the weights apply; to be called if `weighted_fraction` is not 0."""
        return self.random_generator.fraction() < self.weighted_fraction

    def weighted_order(self) -> list[int]:
        """Returns a zone drawn by the weights, then the others with a weight above 0, near ones first."""
        random_value = self.random_generator.fraction() * sum(self.zone_weights)
        drawn = self.zone_order[0]
        for zone, weight in enumerate(self.zone_weights):
            if 0 <= random_value < weight:
                drawn = zone
            random_value -= weight
        others = (zone for zone in self.zone_order if zone != drawn)
        return [drawn, *(zone for zone in others if any(self.zone_weights[zone : zone + 1]))]

    def is_probing(self, zone: int) -> bool:
        """Returns whether the zone's weight serves only to find out whether it has recovered."""
        return self.zone_weights[zone] < PROBING_SHARE

    def draw_spillover(self) -> bool:
        """Decides at random whether to spill; to be called if `spilled_fraction` is not 0."""
        return self.next_zone >= 0 and self.random_generator.fraction() < self.spilled_fraction

    def spilled_order(self) -> list[int]:
        """Returns `next_zone`, then the others, near ones first."""
        return [self.next_zone, *(zone for zone in self.zone_order if zone != self.next_zone)]

    def shuffled_order(self, subsets: Sequence[ZoneSubset]) -> list[int]:
        """Returns the own zone, then the others in a random order weighted by scale and admitted fraction.

        The draw uses the method of Efraimidis and Spirakis. In a fixed order, all traffic that one zone does
        not admit would go to the zone that comes next.
        """

        def random_key(zone: int) -> float:
            weight = subsets[zone].total_scale * subsets[zone].admission.admitted_fraction
            return -(self.random_generator.fraction() ** (1 / weight)) if weight else 0.0

        return self.zone_order[:1] + sorted(self.zone_order[1:], key=random_key)

    def draw_unserved(self, open_fraction: float) -> bool:
        """Decides at random whether a request is not served by any zone.

        The probability follows from the share of the traffic that the zone weights leave unassigned. It is
        higher for requests of low weight, and the decision is made at once, so that no queue of such requests
        builds up.
        """
        unserved_share = self.weighted_fraction * max(0.0, 1 - sum(self.zone_weights))
        return unserved_share > 0 and self.random_generator.fraction() < unserved_share * (
            3 - 2 * open_fraction
        )

    def adjust(self, now_us: int, subsets: Sequence[ZoneSubset]) -> None:
        """Moves the spilled fraction by one step, by the mean latencies of the own and the best other zone.

        A zone without recent outcomes cannot be compared, but the overflow from full endpoints provides some
        outcomes.
        """
        means = [_mean_latency(now_us, subsets[zone]) for zone in self.zone_order]
        best, self.next_zone = min(
            ((mean, zone) for mean, zone in zip(means[1:], self.zone_order[1:], strict=True) if mean),
            default=(0.0, -1),
        )
        if best and means[0] > best * RAISE_LATENCY_RATIO:
            self.spilled_fraction = min(MAX_SPILLOVER, self.spilled_fraction + SPILLOVER_STEP)
        elif not best or means[0] < best * LOWER_LATENCY_RATIO:
            self.spilled_fraction = max(0.0, self.spilled_fraction - SPILLOVER_STEP)


def _mean_latency(now_us: int, subset: ZoneSubset) -> float:
    """Returns the mean latency over the endpoints with recent outcomes, or 0 if there are none."""
    latencies = [
        endpoint.latency
        for endpoint in subset.endpoints
        if endpoint.latency and now_us - endpoint.last_outcome_us <= RETRY_WINDOW_US
    ]
    return sum(latencies) / len(latencies) if latencies else 0.0
