"""The plots of a report, each as a base64-encoded PNG image."""

from __future__ import annotations

import base64
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from io import BytesIO
from typing import Any, Literal

import matplotlib as mpl
import numpy as np
import numpy.typing as npt

from cressrail.experiment.result import ExperimentResult

mpl.use("Agg")  # must precede the import of pyplot, which would look for a display
from matplotlib import pyplot as plt
from matplotlib.axes import Axes

FAULT_COLOURS = {"die": "#c33", "cut": "#c33", "stall": "#d80", "slow": "#da0", "drain": "#38c"}
OTHER_FAULT_COLOUR = "#888"
RETRY_BUDGET_SHARE = 0.1
WIDTH_INCHES, HEIGHT_INCHES, HEAT_HEIGHT_INCHES, MARGIN_INCHES = 11, 2.2, 2.6, 1.2
DOTS_PER_INCH = 80
MIN_EXCEEDANCE = 1e-4  # higher percentiles are drawn at the position of this one

SeriesName = Literal["offered", "good", "revenue", "worth", "retries", "calls"]


class _Picture:
    """The axes to draw on, one per row, and the encoded image once the context has ended."""

    def __init__(self, axes: list[Axes]) -> None:
        self.axes = axes
        self.png_base64 = ""


@contextmanager
def _picture(rows: int, row_height_inches: float = HEIGHT_INCHES) -> Iterator[_Picture]:
    size = (WIDTH_INCHES, row_height_inches * rows + MARGIN_INCHES)
    figure, axes = plt.subplots(rows, 1, figsize=size, squeeze=False, layout="constrained")
    picture = _Picture(list(axes[:, 0]))
    try:
        yield picture
        data = BytesIO()
        figure.savefig(data, format="png", dpi=DOTS_PER_INCH)
        picture.png_base64 = base64.b64encode(data.getvalue()).decode()
    finally:
        plt.close(figure)


def plot_goodput(result: ExperimentResult) -> str:
    """Plots offered load and goodput by second, with one row per variant."""
    with _picture(len(result["arms"])) as picture:
        for axes, variant in zip(picture.axes, result["arms"], strict=True):
            axes.plot(_mean_by_second(result, variant, "offered"), color="#999", label="offered")
            axes.plot(_mean_by_second(result, variant, "good"), color="#06732f", label="in the service goal")
            axes.set_ylim(bottom=0)
            axes.set_title(variant, loc="left", fontsize=10)
            axes.legend(loc="lower right", fontsize=8)
            _draw_faults(axes, result)
        picture.axes[-1].set_xlabel("second")
    return picture.png_base64


def plot_earned_weight(result: ExperimentResult) -> str:
    """Plots the share of the offered priority weight that met its latency objective, by second."""
    with _picture(1) as picture:
        [axes] = picture.axes
        for variant in result["arms"]:
            offered = np.maximum(1e-9, _mean_by_second(result, variant, "worth"))
            axes.plot(_mean_by_second(result, variant, "revenue") / offered, label=variant)
        axes.set_ylim(0, 1.05)
        axes.legend(loc="lower left", fontsize=8)
        axes.set_xlabel("second")
        _draw_faults(axes, result)
    return picture.png_base64


def plot_latency(result: ExperimentResult) -> str:
    """Plots latency by percentile; each value is the median over the rounds."""
    with _picture(1) as picture:
        [axes] = picture.axes
        for variant, runs in result["arms"].items():
            rounds = [run["series"]["latency_ms"] for run in runs["rounds"] if run["series"]["latency_ms"]]
            if rounds:
                positions = _percentile_positions([percentile for percentile, _ in rounds[0]])
                latencies_ms = np.median([[value_ms for _, value_ms in pairs] for pairs in rounds], axis=0)
                axes.plot(positions, latencies_ms, marker=".", label=variant)
        axes.set_xticks([0, 0.301, 1, 2, 3, 4], ["0", "50", "90", "99", "99.9", "99.99+"])
        axes.set_yscale("log")
        axes.set_ylabel("ms")
        axes.set_xlabel("quantile, %")
        axes.legend(loc="upper left", fontsize=8)
        axes.grid(alpha=0.3)
    return picture.png_base64


def _percentile_positions(percentiles: Sequence[float]) -> list[float]:
    """Returns positions on a logarithmic axis on which 90, 99 and 99.9 are evenly spaced."""
    return [-np.log10(max(MIN_EXCEEDANCE, 1 - percentile / 100)) for percentile in percentiles]


def plot_retries(result: ExperimentResult) -> str:
    """Plots the ratio of retries to calls by second, and the ratio that the retry budget allows."""
    with _picture(1) as picture:
        [axes] = picture.axes
        for variant in result["arms"]:
            calls = np.maximum(1, _mean_by_second(result, variant, "calls"))
            axes.plot(_mean_by_second(result, variant, "retries") / calls, label=variant)
        axes.axhline(RETRY_BUDGET_SHARE, color="#555", linestyle=":")
        axes.set_ylim(bottom=0)
        axes.legend(loc="upper left", fontsize=8)
        axes.set_xlabel("second")
        _draw_faults(axes, result)
    return picture.png_base64


def plot_attempts(result: ExperimentResult) -> str:
    """Plots attempts by endpoint and second as a heat map, with one row per variant."""
    with _picture(len(result["arms"]), HEAT_HEIGHT_INCHES) as picture:
        for axes, (variant, runs) in zip(picture.axes, result["arms"].items(), strict=True):
            rounds = [run["series"]["heat"] for run in runs["rounds"]]
            endpoints = list(rounds[0])
            grid: Any = np.mean([[heat[name] for name in endpoints] for heat in rounds], axis=0)
            axes.imshow(grid, aspect="auto", interpolation="nearest", cmap="viridis", origin="upper")
            axes.set_yticks(range(len(endpoints)), endpoints, fontsize=7)
            axes.set_title(variant, loc="left", fontsize=10)
            axes.set_xlim(-0.5, result["seconds"] - 0.5)
        picture.axes[-1].set_xlabel("second")
    return picture.png_base64


def _mean_by_second(result: ExperimentResult, variant: str, name: SeriesName) -> npt.NDArray[Any]:
    """Returns the mean over the rounds for each second in which load was sent.

    Later seconds are left out, because they would look like a drop.
    """
    duration_s = max(1, int(result["seconds"]))
    rounds = [run["series"][name][:duration_s] for run in result["arms"][variant]["rounds"]]
    mean: npt.NDArray[Any] = np.mean(rounds, axis=0)
    return mean


def _draw_faults(axes: Axes, result: ExperimentResult) -> None:
    for fault in result["faults"]:
        start_s, end_s = fault["at_s"], fault["at_s"] + fault["for_s"]
        axes.axvspan(start_s, end_s, color=FAULT_COLOURS.get(fault["kind"], OTHER_FAULT_COLOUR), alpha=0.13)
        axes.text(start_s, axes.get_ylim()[1], f" {fault['kind']} {fault['zone']}", fontsize=8, va="top")
    axes.set_xlim(0, result["seconds"])
