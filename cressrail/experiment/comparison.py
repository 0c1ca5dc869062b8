"""Paired differences between variants, with confidence intervals."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TypedDict

import numpy as np
import numpy.typing as npt

from cressrail.experiment.figures import FIGURE_DIRECTIONS, Figures

BOOTSTRAP_SAMPLES = 4000
INTERVAL_PERCENTILES = (2.5, 97.5)


class PairedDifference(TypedDict):
    """The mean of paired differences and its 95% confidence interval, as written to report files."""

    mean: float
    low: float
    high: float
    pairs: int


def paired_difference(values: Sequence[float], baseline: Sequence[float], seed: int = 1) -> PairedDifference:
    """Returns the mean difference between values and their paired baseline values, with an interval.

    The confidence interval is computed by a bootstrap over pairs (Efron 1979). With a single pair, both ends
    are the difference of that pair, because the spread is unknown.

    Args:
        values: The values, in the order of `baseline`.
        baseline: The baseline values.
        seed: The seed of the bootstrap.
    """
    differences: npt.NDArray[np.float64] = np.array(values) - np.array(baseline)
    count = len(differences)
    generator = np.random.Generator(np.random.PCG64(seed))
    means = differences[generator.integers(0, count, (BOOTSTRAP_SAMPLES, count))].mean(axis=1)
    low, high = np.percentile(means, INTERVAL_PERCENTILES)
    return {"mean": float(differences.mean()), "low": float(low), "high": float(high), "pairs": count}


def compare_variants(
    rounds_by_variant: Mapping[str, Sequence[Figures]],
) -> dict[str, dict[str, PairedDifference]]:
    """Compares each variant with the first one, figure by figure, in pairs of the same round."""
    first, *others = rounds_by_variant
    baseline = rounds_by_variant[first]
    return {
        variant: {
            name: paired_difference(
                [figures[name] for figures in rounds_by_variant[variant]],
                [figures[name] for figures in baseline],
            )
            for name in FIGURE_DIRECTIONS
        }
        for variant in others
    }
