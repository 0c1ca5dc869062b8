"""Latency quantiles from HDR histograms (Tene), in whole microseconds with three significant digits."""

from __future__ import annotations

import numpy as np
import numpy.typing as npt
from hdrh.histogram import HdrHistogram

LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS = 1, 3_600_000_000, 3
PERCENTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9}  # by key in figures files

Microseconds = npt.NDArray[np.int64]  # times or durations
Quantiles = dict[str, int]  # microseconds, by the keys of `PERCENTILES` and "max"


def new_histogram() -> HdrHistogram:
    """Returns an empty histogram; creating one is slow, so callers reuse it."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def fill_histogram(histogram: HdrHistogram, values_us: Microseconds) -> HdrHistogram:
    """Replaces the contents of `histogram` and returns it; values are clipped to its range."""
    histogram.reset()
    distinct_us, counts = np.unique(np.clip(values_us, LOWEST_US, HIGHEST_US), return_counts=True)
    for value_us, count in zip(distinct_us, counts, strict=True):
        histogram.record_value(int(value_us), int(count))
    return histogram


def compute_quantiles(values_us: Microseconds, histogram: HdrHistogram) -> Quantiles | None:
    """Returns the quantiles of the values, or None if there are no values; overwrites `histogram`."""
    if not len(values_us):
        return None
    fill_histogram(histogram, values_us)
    quantiles = {
        name: int(histogram.get_value_at_percentile(percentile)) for name, percentile in PERCENTILES.items()
    }
    return {**quantiles, "max": int(values_us.max())}
