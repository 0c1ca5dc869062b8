"""Arrival rates over time, as multiples of the plan's rate, and arrival times drawn from them.

Arrival times follow an inhomogeneous Poisson process and are drawn by thinning (Lewis and Shedler 1979):
candidates are drawn at the peak rate, and each is kept with probability rate / peak rate at its time.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

import numpy as np
import numpy.typing as npt

from cressrail.load.units import US_PER_S

# Maps times, as fractions of the run from 0 to 1, to multiples of the plan's rate.
RateFunction = Callable[[npt.NDArray[np.float64]], npt.NDArray[np.float64]]
DEFAULT_SURGE_MULTIPLE = 2.4


@dataclass(frozen=True)
class RateShape:
    """The arrival rate over the run, and an upper bound (`peak`) on the values of `rate`."""

    rate: RateFunction
    peak: float


def steady() -> RateShape:
    """Returns a constant rate."""
    return RateShape(lambda elapsed: np.ones_like(elapsed), 1.0)


def wave(swing: float = 0.3, periods: float = 3.0) -> RateShape:
    """Returns a sine wave around 1 with amplitude `swing` and `periods` periods in the run."""
    return RateShape(lambda elapsed: 1 + swing * np.sin(2 * math.pi * periods * elapsed), 1 + swing)


def ramp(start: float = 0.2, end: float = 1.8) -> RateShape:
    """Returns a rate that changes linearly from `start` to `end`."""
    return RateShape(lambda elapsed: start + (end - start) * elapsed, max(start, end))


def bursts(times: float = 3.0, trains: int = 4, part: float = 0.1, idle: float = 0.7) -> RateShape:
    """Returns `trains` equal periods, each with rate `times` for its first fraction `part`, then `idle`."""
    return RateShape(lambda elapsed: np.where((elapsed * trains) % 1.0 < part, times, idle), max(times, idle))


def surge(
    times: float = DEFAULT_SURGE_MULTIPLE,
    start: float = 0.3,
    rise: float = 0.1,
    hold: float = 0.35,
    fall: float = 0.1,
) -> RateShape:
    """Returns a rate that rises from 1 to `times`, stays there, and falls back to 1.

    Args:
        times: The rate during the surge.
        start: When the rise begins, as a fraction of the run.
        rise: The duration of the rise, as a fraction of the run.
        hold: The time for which the rate stays at `times`, as a fraction of the run.
        fall: The duration of the fall, as a fraction of the run.
    """
    points = [0.0, start, start + rise, start + rise + hold, start + rise + hold + fall, 1.0]
    return RateShape(lambda elapsed: np.interp(elapsed, points, [1, 1, times, times, 1, 1]), max(times, 1.0))


def snowmelt(times: float = DEFAULT_SURGE_MULTIPLE) -> RateShape:
    """Returns a ramp up, a surge with waves and periodic bursts on it, and a ramp down at the end."""
    main_surge, waves = surge(times, 0.35, 0.12, 0.28, 0.1), wave(0.12, 9.0)
    periodic_bursts = bursts(1.35, 8, 0.06, 1.0)

    def rate(elapsed: npt.NDArray[np.float64]) -> npt.NDArray[np.float64]:
        ramp_up: npt.NDArray[np.float64] = np.interp(elapsed, [0, 0.2, 0.85, 1], [0.5, 1.0, 1.0, 0.6])
        return ramp_up * main_surge.rate(elapsed) * waves.rate(elapsed) * periodic_bursts.rate(elapsed)

    return RateShape(rate, times * waves.peak * periodic_bursts.peak)


# Shapes by their name in plan files; the functions' parameters are the keys of a plan's `with`.
RATE_SHAPES: dict[str, Callable[..., RateShape]] = {
    "steady": steady,
    "wave": wave,
    "ramp": ramp,
    "bursts": bursts,
    "surge": surge,
    "snowmelt": snowmelt,
}


def draw_arrival_times(
    shape: RateShape, rate_per_s: float, duration_s: float, generator: np.random.Generator
) -> npt.NDArray[np.int64]:
    """Draws arrival times in whole microseconds from the start of the run, in order.

    Args:
        shape: The rate over time.
        rate_per_s: The number of arrivals per second where the shape's rate is 1.
        duration_s: The length of the run.
        generator: Used for draws of the count, the candidates and the thinning, in this order.
    """
    count = generator.poisson(rate_per_s * shape.peak * duration_s)
    elapsed = np.sort(generator.random(count))
    is_kept = generator.random(count) * shape.peak < shape.rate(elapsed)
    times_us: npt.NDArray[np.int64] = (elapsed[is_kept] * duration_s * US_PER_S).astype(np.int64)
    return times_us
