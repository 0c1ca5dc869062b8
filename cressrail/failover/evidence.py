"""Aggregates the evidence of all instances into one view of the zones.

The result tolerates a few instances with wrong evidence, and distinguishes a zone that is unreachable from
some zones from a zone that fails for all of them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from cressrail.failover.messages import Evidence, ZoneObservation

FAILURE_RATIO = 0.5  # share of failed attempts at which a zone counts as failing or unreachable
MIN_ATTEMPTS = 5  # attempts from all instances of a zone in the window that are required for an assessment
MIN_INSTANCES = 2  # instances with attempts required for an assessment, or all if the zone has fewer
# Each value is limited to this multiple of the median, so that one instance of four can't determine a result.
MAX_WEIGHT_OVER_MEDIAN = 1.5


@dataclass(frozen=True, slots=True)
class AggregatedEvidence:
    """The evidence of all instances, combined. Every attribute is indexed by zone.

    Attributes:
        demand: Requests per second from the clients of each zone.
        capacity: Capacity of each zone in attempts per second, estimated from the limits of all instances.
        attempts: Number of attempts to each zone in the window.
        successes: Number of successful attempts to each zone in the window.
        unreachable_from: For each caller's zone, whether each target zone is unreachable from it.
        is_failing: Whether each zone fails for a majority of the callers' zones that reach it.
        is_unreachable: Whether each zone is unreachable from all callers' zones with enough attempts to it.
        overload_ratio: Share of slow and failed attempts to each zone among the attempts that reached it.
        is_silent: Whether each zone has live instances of which none has reported.
    """

    demand: tuple[float, ...]
    capacity: tuple[float, ...]
    attempts: tuple[float, ...]
    successes: tuple[float, ...]
    unreachable_from: tuple[tuple[bool, ...], ...]
    is_failing: tuple[bool, ...]
    is_unreachable: tuple[bool, ...]
    overload_ratio: tuple[float, ...]
    is_silent: tuple[bool, ...]


class WeightedValue(NamedTuple):
    """A value and its weight in a weighted median."""

    value: float
    weight: float


def limit_outliers(values: Sequence[float]) -> list[float]:
    """Limits each value to `MAX_WEIGHT_OVER_MEDIAN` times the median.

    This prevents a single instance from outweighing the others.
    """
    maximum = MAX_WEIGHT_OVER_MEDIAN * sorted(values)[len(values) // 2] if values else 0.0
    return [min(value, maximum) for value in values]


def weighted_median(values: Sequence[WeightedValue]) -> float:
    """Returns the weighted median, with weights limited by `limit_outliers`; 0 if there are no values."""
    if not values:
        return 0.0
    weights = limit_outliers([weight for _, weight in values])
    half, cumulative = sum(weights) / 2, 0.0
    ranked = sorted(zip((value for value, _ in values), weights, strict=True))
    for value, weight in ranked:
        cumulative += weight
        if cumulative >= half:
            return value
    return ranked[-1][0]


def aggregate(
    evidence: Iterable[Evidence], zone_count: int, instance_counts: Sequence[int] = ()
) -> AggregatedEvidence:
    """Aggregates the evidence of many instances.

    Args:
        evidence: Reported evidence. Reports from an unknown zone or for a different number of zones are
            ignored.
        zone_count: Number of zones of the topology.
        instance_counts: Number of live instances in each zone, or empty if unknown. Instances without a
            report are assumed to behave like the others of their zone, because they carry traffic too.

    Returns:
        The combined evidence, indexed by zone.
    """
    counts = instance_counts or [0] * zone_count
    sources = [_ZoneSource([], zone_count) for _ in range(zone_count)]
    for item in evidence:
        if 0 <= item.zone < zone_count and len(item.observations) == zone_count:
            sources[item.zone].evidence.append(item)
    for source, count in zip(sources, counts, strict=True):
        source.summarize(count)
    zones = range(zone_count)
    assessments = [_assess_zone(sources, zone) for zone in zones]
    return AggregatedEvidence(
        demand=tuple(source.demand for source in sources),
        capacity=tuple(sum(source.capacity[zone] for source in sources) for zone in zones),
        attempts=tuple(sum(source.attempts[zone] for source in sources) for zone in zones),
        successes=tuple(sum(source.successes[zone] for source in sources) for zone in zones),
        unreachable_from=tuple(tuple(source.is_unreachable) for source in sources),
        is_failing=tuple(assessment.is_failing for assessment in assessments),
        is_unreachable=tuple(assessment.is_unreachable for assessment in assessments),
        overload_ratio=tuple(assessment.overload_ratio for assessment in assessments),
        is_silent=tuple(
            count > 0 and not source.evidence for count, source in zip(counts, sources, strict=True)
        ),
    )


class _ZoneSource:
    """Evidence from the instances of one caller's zone, with totals and ratios by target zone."""

    def __init__(self, evidence: list[Evidence], zone_count: int) -> None:
        self.evidence = evidence
        self.zone_count = zone_count
        self.demand = 0.0
        self.capacity: list[float] = []
        self.attempts: list[float] = []
        self.successes: list[float] = []
        self.failure_ratio: list[float] = []
        self.slow_ratio: list[float] = []
        self.has_enough_attempts: list[bool] = []
        self.is_unreachable: list[bool] = []

    def summarize(self, instance_count: int) -> None:
        """Computes totals, scaled up to `instance_count` instances, and ratios from the evidence."""
        reported = len(self.evidence)
        scale = max(1.0, instance_count / reported) if reported else 1.0
        self.demand = sum(item.demand for item in self.evidence) * scale
        for zone in range(self.zone_count):
            observations = [item.observations[zone] for item in self.evidence]
            unreachable_ratio = _median_ratio(observations, _connect_failures)
            failure_ratio = _median_ratio(observations, _failures)
            slow_ratio = _median_ratio(observations, _slow_attempts)
            has_enough_attempts = _has_enough_attempts([observation.attempts for observation in observations])
            attempts = sum(limit_outliers([observation.attempts for observation in observations])) * scale
            success_ratio = max(0.0, 1 - failure_ratio - slow_ratio)
            self.failure_ratio.append(failure_ratio)
            self.slow_ratio.append(slow_ratio)
            self.has_enough_attempts.append(has_enough_attempts)
            self.is_unreachable.append(has_enough_attempts and unreachable_ratio >= FAILURE_RATIO)
            self.attempts.append(attempts)
            self.successes.append(attempts * (1 - unreachable_ratio) * success_ratio)
            self.capacity.append(
                sum(limit_outliers([observation.capacity for observation in observations])) * scale
            )


class _ZoneAssessment(NamedTuple):
    is_failing: bool
    is_unreachable: bool
    overload_ratio: float


def _assess_zone(sources: Sequence[_ZoneSource], zone: int) -> _ZoneAssessment:
    """Assesses one target zone from the evidence of the callers' zones, each of which counts equally."""
    attempting = [source for source in sources if source.has_enough_attempts[zone]]
    reaching = [source for source in attempting if not source.is_unreachable[zone]]
    failing = sum(1 for source in reaching if source.failure_ratio[zone] >= FAILURE_RATIO)
    ratios = [min(1.0, source.failure_ratio[zone] + source.slow_ratio[zone]) for source in reaching]
    return _ZoneAssessment(
        is_failing=failing > 0 and 2 * failing > len(reaching),
        is_unreachable=bool(attempting) and not reaching,
        overload_ratio=sum(ratios) / len(ratios) if ratios else 0.0,
    )


def _has_enough_attempts(attempts: list[int]) -> bool:
    """Returns whether enough instances made enough attempts to assess a zone."""
    instances = sum(1 for count in attempts if count)
    return sum(attempts) >= MIN_ATTEMPTS and instances >= min(MIN_INSTANCES, len(attempts))


def _median_ratio(
    observations: Sequence[ZoneObservation], counts: Callable[[ZoneObservation], tuple[int, int]]
) -> float:
    """Returns the median over instances of a ratio of attempt counts, weighted by the denominator.

    Args:
        observations: Observations of one zone, one per instance.
        counts: Returns the numerator and the denominator of the ratio for one observation.
    """
    ratios = []
    for observation in observations:
        count, base = counts(observation)
        if base > 0:
            ratios.append(WeightedValue(min(1.0, count / base), float(base)))
    return weighted_median(ratios)


def _connect_failures(observation: ZoneObservation) -> tuple[int, int]:
    return observation.connect_failures, observation.attempts


def _failures(observation: ZoneObservation) -> tuple[int, int]:
    return observation.failures, observation.attempts - observation.connect_failures


def _slow_attempts(observation: ZoneObservation) -> tuple[int, int]:
    return observation.slow_attempts, observation.attempts - observation.connect_failures
