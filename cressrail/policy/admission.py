"""Admission control for the mesh deployment, in which each client process has its own instance.

With that many instances, each one has too little traffic for limits on the attempts in flight to work. Each
zone therefore admits a fraction of the requests, and the fraction is adjusted by the latencies observed in
that zone.
"""

from __future__ import annotations

from math import log
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cressrail.policy.routed_request import RoutedRequest

MAX_ADMITTED = 2.0
"""Upper bound of the admitted fraction. The admitted fraction is multiplied by the request's `open_fraction`,
which is at least one half, so at 2.0 all requests are admitted unless there is a surge."""

MIN_ADMITTED = 0.05
"""Lower bound of the admitted fraction: some requests are always sent, so that the recovery of a zone is
noticed."""

TARGET_LATENCY = 0.38
"""Target for the geometric mean of a zone's latencies, as a fraction of the latency objective."""

ADJUSTMENT = 0.8
"""Gain of the adjustment: at one attempt per second, the relative change of the admitted fraction for each
latency is this factor times the logarithm of target over latency."""

MIN_ADJUSTMENT_FACTOR = 0.5
"""Smallest factor that a single latency can multiply the admitted fraction by."""

MAX_LATENCY_RATIO = 16
"""Latencies below the target divided by this ratio are all treated as equal to that quotient."""

OVERDUE_FRACTION = 0.5
"""Fraction of the latency objective after which an attempt still in flight counts as a sign of overload."""

RATE_SMOOTHING = 4
"""Time constant, in seconds, of the moving average of the attempt rate."""

MIN_ATTEMPTS_PER_S = 1.0
"""Lowest attempt rate used to scale the adjustment. Instances with less traffic use this rate, which bounds
their step size."""


class ZoneAdmission:
    """Admission state of one zone.

    A request is admitted with a probability of `admitted_fraction` times the request's `open_fraction`, which
    depends on its weight, divided by the surge (`EndpointSelector.surge`).

    Attributes:
        admitted_fraction: Between `MIN_ADMITTED` and `MAX_ADMITTED`, or 0 while it is unknown.
        attempts_this_second: Attempts started since the last call of `on_second`.
        attempts_per_s: Moving average of the attempt rate.
    """

    __slots__ = ("admitted_fraction", "attempts_per_s", "attempts_this_second")

    def __init__(self) -> None:
        self.admitted_fraction = 0.0
        self.attempts_this_second = 0
        self.attempts_per_s = 0.0

    def initialize(self, even_load: float) -> None:
        """Sets the initial admitted fraction to `even_load`, unless the fraction is already known.

        Args:
            even_load: Capacity of the zone divided by the mean capacity of all zones. If the load is spread
                evenly over the zones, the zone can serve this fraction of its part.
        """
        self.admitted_fraction = self.admitted_fraction or min(MAX_ADMITTED, even_load)

    def record_latency(self, latency: float) -> None:
        """Adjusts the admitted fraction by one latency, given as a fraction of the latency objective.

        The logarithm of the latency is used because the work per request varies so much that the arithmetic
        mean is high even at idle endpoints. The step is larger where attempts are few, so that instances with
        little traffic adapt within the same number of seconds.
        """
        step = ADJUSTMENT / max(MIN_ATTEMPTS_PER_S, self.attempts_per_s)
        step *= log(TARGET_LATENCY / max(TARGET_LATENCY / MAX_LATENCY_RATIO, latency))
        adjusted = self.admitted_fraction * max(MIN_ADJUSTMENT_FACTOR, 1 + step)
        self.admitted_fraction = min(MAX_ADMITTED, max(MIN_ADMITTED, adjusted))

    def on_second(self) -> None:
        """Updates the attempt rate with the attempts of the past second."""
        self.attempts_per_s += (self.attempts_this_second - self.attempts_per_s) / RATE_SMOOTHING
        self.attempts_this_second = 0


class OverdueAttempts:
    """Tracks the attempts in flight and the time at which each becomes overdue."""

    __slots__ = ("overdue_us",)

    def __init__(self) -> None:
        self.overdue_us: dict[tuple[RoutedRequest, int], int] = {}  # by request and attempt number

    def add(self, request: RoutedRequest, attempt_number: int, now_us: int) -> None:
        """Starts tracking an attempt that is sent at `now_us`."""
        allowed_us = int(OVERDUE_FRACTION * request.request_class.latency_objective_us)
        self.overdue_us[request, attempt_number] = now_us + allowed_us

    def remove(self, request: RoutedRequest, attempt_number: int) -> bool:
        """Stops tracking an attempt and returns whether it was still tracked, that is, not overdue yet."""
        return self.overdue_us.pop((request, attempt_number), None) is not None

    def take_overdue(self, now_us: int) -> list[tuple[RoutedRequest, int]]:
        """Stops tracking the attempts that have become overdue and returns them."""
        overdue = [attempt for attempt, due_us in self.overdue_us.items() if due_us <= now_us]
        for attempt in overdue:
            del self.overdue_us[attempt]
        return overdue
