"""Tests that the HdrHistogram library can read the histogram log."""

from __future__ import annotations

from pathlib import Path

import pytest
from hdrh.histogram import HdrHistogram

from cressrail.load.histogram_log import write_histogram_log
from tests.load.support import REQUESTS_DURING_STALL, figures_from


def test_library_can_read_the_histogram_log(tmp_path: Path) -> None:
    path = tmp_path / "histograms"

    write_histogram_log(path, figures_from(tmp_path / "records", REQUESTS_DURING_STALL), 1000.0)

    lines = [line.split(",") for line in path.read_text().splitlines() if line.startswith("Tag=")]
    histograms = [HdrHistogram.decode(columns[4]) for columns in lines]
    assert {columns[0] for columns in lines} == {"Tag=read.a.committed", "Tag=read.b.committed"}
    assert sum(histogram.get_total_count() for histogram in histograms) == 200
    highest_us = max(histogram.get_max_value() for histogram in histograms)
    assert highest_us == pytest.approx(1_005_000, rel=0.001)
