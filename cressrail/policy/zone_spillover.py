"""In which order zones are tried for a request."""

from __future__ import annotations

from collections.abc import Sequence

from cressrail.policy.random_generator import RandomGenerator
from cressrail.policy.retry_budget import RETRY_WINDOW_US
from cressrail.policy.zone_subset import ZoneSubset

SPILLOVER_STEP = 1 / 16
"""By which the spilled fraction of the traffic moves a second."""

MAX_SPILLOVER = 1 / 2

RAISE_LATENCY_RATIO = 2.0
"""Own latency over that of the best other zone, above which more is spilled."""

LOWER_LATENCY_RATIO = 1.5
"""The same ratio, below which less is spilled."""

PROBING_SHARE = 1 / 16
"""A zone with a smaller weight gets its share to find out whether it has recovered."""


class ZoneSpillover:
    """The own zone first, unless part of the traffic spills over or zone weights were decided in common."""

    def __init__(self, own_zone: int, zone_count: int, random_generator: RandomGenerator) -> None:
        self.zone_order = [(own_zone + step) % zone_count for step in range(zone_count)]
        self.random_generator = random_generator
        self.zone_weights: Sequence[float] = ()  # parts of the own zone's traffic, by zone
        self.weighted_fraction = 0.0  # of requests, to which the weights apply
        self.spilled_fraction = 0.0
        self.next_zone = -1  # of all others the one with the lowest latency; -1: unknown

    @property
    def own_zone(self) -> int:
        """The zone of this instance."""
        return self.zone_order[0]

    def apply_zone_weights(self, zone_weights: Sequence[float], fraction: float) -> None:
        """Sets the weights decided in common, and the fraction of requests to which they apply."""
        self.zone_weights = zone_weights
        self.weighted_fraction = fraction

    def draw_weighted(self) -> bool:
        """Decides at random whether the weights apply; to be called where `weighted_fraction` is not 0."""
        return self.random_generator.fraction() < self.weighted_fraction

    def weighted_order(self) -> list[int]:
        """Returns a zone drawn by the weights, then the others that have one, near ones first."""
        random_value = self.random_generator.fraction() * sum(self.zone_weights)
        drawn = self.zone_order[0]
        for zone, weight in enumerate(self.zone_weights):
            if 0 <= random_value < weight:
                drawn = zone
            random_value -= weight
        others = (zone for zone in self.zone_order if zone != drawn)
        return [drawn, *(zone for zone in others if any(self.zone_weights[zone : zone + 1]))]

    def is_probing(self, zone: int) -> bool:
        """Whether the zone's weight is only there to find out whether it has recovered."""
        return self.zone_weights[zone] < PROBING_SHARE

    def draw_spillover(self) -> bool:
        """Decides at random whether to spill; to be called where `spilled_fraction` is not 0."""
        return self.next_zone >= 0 and self.random_generator.fraction() < self.spilled_fraction

    def spilled_order(self) -> list[int]:
        """Returns the next zone, then the others, near ones first."""
        return [self.next_zone, *(zone for zone in self.zone_order if zone != self.next_zone)]

    def shuffled_order(self, subsets: Sequence[ZoneSubset]) -> list[int]:
        """Returns the own zone, then the others at random, weighted by scale and admitted fraction.

        The draw is that of Efraimidis and Spirakis. Without it, all that one zone does not admit would go to
        the one that comes next.
        """

        def random_key(zone: int) -> float:
            weight = subsets[zone].total_scale * subsets[zone].admission.admitted_fraction
            return -(self.random_generator.fraction() ** (1 / weight)) if weight else 0.0

        return self.zone_order[:1] + sorted(self.zone_order[1:], key=random_key)

    def draw_unserved(self, open_fraction: float) -> bool:
        """Decides at random whether no zone is to serve a request, by the share that the weights leave over.

        Requests of the least weight go first, at once, so that no queue of them builds up.
        """
        unserved_share = self.weighted_fraction * max(0.0, 1 - sum(self.zone_weights))
        return unserved_share > 0 and self.random_generator.fraction() < unserved_share * (
            3 - 2 * open_fraction
        )

    def adjust(self, now_us: int, subsets: Sequence[ZoneSubset]) -> None:
        """Moves the spilled fraction by a step, by the own zone's mean latency against the best other one's.

        A zone without recent outcomes gives nothing to compare; the overflow of full endpoints brings some.
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
    """Returns the mean over the endpoints with recent outcomes, 0 without any."""
    latencies = [
        endpoint.latency
        for endpoint in subset.endpoints
        if endpoint.latency and now_us - endpoint.last_outcome_us <= RETRY_WINDOW_US
    ]
    return sum(latencies) / len(latencies) if latencies else 0.0
