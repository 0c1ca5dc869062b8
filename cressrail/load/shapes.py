"""How the rate goes over time, as a multiple of the rate asked for, and the send times drawn from it.

Send times are an inhomogeneous Poisson process, drawn by thinning (Lewis and Shedler 1979): candidates at the
highest rate, each kept with the probability that the rate at its time has over the highest.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

import numpy as np
import numpy.typing as npt

Rate = Callable[[npt.NDArray[np.float64]], npt.NDArray[np.float64]]  # of times in parts of the whole, 0 to 1
SURGE_LEAST, SURGE_MOST = 1.5, 2.4  # what the users' mornings have seen


@dataclass(frozen=True)
class Shape:
    rate: Rate
    most: float  # that `rate` ever gives


def steady() -> Shape:
    return Shape(lambda t: np.ones_like(t), 1.0)


def wave(swing: float = 0.3, periods: float = 3.0) -> Shape:
    return Shape(lambda t: 1 + swing * np.sin(2 * math.pi * periods * t), 1 + swing)


def ramp(start: float = 0.2, end: float = 1.8) -> Shape:
    return Shape(lambda t: start + (end - start) * t, max(start, end))


def bursts(times: float = 3.0, trains: int = 4, part: float = 0.1, idle: float = 0.7) -> Shape:
    """Trains of bursts: so many in the whole, each for `part` of its period at `times`, `idle` between
    them."""
    return Shape(lambda t: np.where((t * trains) % 1.0 < part, times, idle), max(times, idle))


def surge(
    times: float = 2.4, start: float = 0.3, rise: float = 0.1, hold: float = 0.35, fall: float = 0.1
) -> Shape:
    """From once to `times` the rate within `rise` of the whole, held, and back within `fall`."""
    at = [0.0, start, start + rise, start + rise + hold, start + rise + hold + fall, 1.0]
    return Shape(lambda t: np.interp(t, at, [1, 1, times, times, 1, 1]), max(times, 1.0))


def snowmelt(times: float = 2.4) -> Shape:
    """A morning in spring: a slow ramp as halls wake, a surge with rise and fall, waves on it, trains of
    bursts as gauges report together on the hour, then a calm end."""
    morning, waves = surge(times, 0.35, 0.12, 0.28, 0.1), wave(0.12, 9.0)
    reports = bursts(1.35, 8, 0.06, 1.0)

    def rate(t: npt.NDArray[np.float64]) -> npt.NDArray[np.float64]:
        waking: npt.NDArray[np.float64] = np.interp(t, [0, 0.2, 0.85, 1], [0.5, 1.0, 1.0, 0.6])
        return waking * morning.rate(t) * waves.rate(t) * reports.rate(t)

    return Shape(rate, times * waves.most * reports.most)


SHAPES: dict[str, Callable[..., Shape]] = {
    "steady": steady,
    "wave": wave,
    "ramp": ramp,
    "bursts": bursts,
    "surge": surge,
    "snowmelt": snowmelt,
}


def draw_times(
    shape: Shape, rate: float, seconds: float, chance: np.random.Generator
) -> npt.NDArray[np.int64]:
    """Send times in whole microseconds from the start, in order; `rate` a second where the shape gives 1."""
    n = chance.poisson(rate * shape.most * seconds)
    at = np.sort(chance.random(n))
    kept = chance.random(n) * shape.most < shape.rate(at)
    times: npt.NDArray[np.int64] = (at[kept] * seconds * 1e6).astype(np.int64)
    return times
