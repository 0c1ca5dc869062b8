"""Writes latencies as a histogram log in version 1.2 of the HdrHistogram format.

The writer of the HdrHistogram library is not used because it cannot write tags.
"""

from __future__ import annotations

from itertools import pairwise
from pathlib import Path

import numpy as np

from cressrail.load.figures import LoadFigures
from cressrail.load.latency_histogram import fill_histogram
from cressrail.load.units import US_PER_S


def write_histogram_log(path: Path, figures: LoadFigures, start_s: float) -> None:
    """Writes one histogram for each second, request class, tenant and outcome, as tagged interval lines.

    Args:
        path: The file to write; an existing file is overwritten.
        figures: The records and figures of the run.
        start_s: The start of the run, in seconds since the epoch.
    """
    second_count = len(figures.count_by_second())
    edges = np.searchsorted(figures.records["due_us"], np.arange(second_count + 1) * US_PER_S)
    with path.open("w") as file:
        file.write(
            f"#[Histogram log format version 1.2]\n#[BaseTime: {start_s:.3f} (seconds since epoch)]\n"
            f"#[StartTime: {start_s:.3f} (seconds since epoch)]\n"
            '"StartTimestamp","Interval_Length","Interval_Max","Interval_Compressed_Histogram"\n'
        )
        for second, (first, end) in enumerate(pairwise(edges)):
            record_range = slice(first, end)
            for request_class, tenant, outcome, indices in figures.split_into_groups(record_range):
                histogram = fill_histogram(figures.histogram, figures.latency_us[record_range][indices])
                tag = f"{request_class}.{tenant}.{outcome.value}".replace(" ", "_").replace(",", "_")
                file.write(
                    f"Tag={tag},{second:.3f},1.000,{histogram.get_max_value() / US_PER_S:.6f},"
                    f"{histogram.encode().decode()}\n"
                )
