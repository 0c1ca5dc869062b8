"""Tests that the HdrHistogram library can read the histogram log."""

from __future__ import annotations

from pathlib import Path

import pytest
from hdrh.histogram import HdrHistogram

from cressrail.load.histogram_log import write_histogram_log
from tests.load.support import STALL, figures_of


def test_histogram_log_is_read_by_the_library(tmp_path: Path) -> None:
    path = tmp_path / "histograms"

    write_histogram_log(path, figures_of(tmp_path / "records", STALL), 1000.0)

    lines = [line.split(",") for line in path.read_text().splitlines() if line.startswith("Tag=")]
    histograms = [HdrHistogram.decode(columns[4]) for columns in lines]
    assert {columns[0] for columns in lines} == {"Tag=read.a.committed", "Tag=read.b.committed"}
    assert sum(histogram.get_total_count() for histogram in histograms) == 200
    highest_us = max(histogram.get_max_value() for histogram in histograms)
    assert highest_us == pytest.approx(1_005_000, rel=0.001)
