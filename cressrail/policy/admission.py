"""Admission in the mesh, where each client process has an instance of its own.

So many instances have too little traffic each for limits of attempts in flight. In their place each zone
admits a fraction of the requests, which moves with the latencies seen there.
"""

from __future__ import annotations

from math import log
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cressrail.policy.routed_request import RoutedRequest

MAX_ADMITTED = 2.0
"""Requests of the least weight have half of this, so that all of them can be admitted."""

MIN_ADMITTED = 0.05
"""So that a zone's recovery is noticed."""

TARGET_LATENCY = 0.38
"""The geometric mean of latencies, in latency objectives, that a zone is held to."""

ADJUSTMENT = 0.8
"""How far one latency moves the fraction at an attempt a second, by the logarithm of latency over target."""

MIN_ADJUSTMENT_FACTOR = 0.5
"""One latency leaves this part of the fraction at the least."""

MAX_LATENCY_RATIO = 16
"""Latencies below the target divided by this count alike."""

OVERDUE_FRACTION = 0.5
"""Of the latency objective: an attempt in flight for longer signals overload before it ends."""

RATE_SMOOTHING = 4
"""Seconds that the rate of attempts looks back on."""

MIN_ATTEMPTS_PER_S = 1.0
"""Instances with less traffic move the fraction by no more than this rate does."""


class ZoneAdmission:
    """The fraction of requests that one zone admits, times what is open to a request by its weight."""

    __slots__ = ("admitted_fraction", "attempts_per_s", "attempts_this_second")

    def __init__(self) -> None:
        self.admitted_fraction = 0.0  # 0: unknown
        self.attempts_this_second = 0
        self.attempts_per_s = 0.0  # moving average

    def begin(self, even_load: float) -> None:
        """Starts with what the zone can take of an even load, unless it has a fraction from latencies."""
        self.admitted_fraction = self.admitted_fraction or min(MAX_ADMITTED, even_load)

    def record_latency(self, latency: float) -> None:
        """Moves the admitted fraction by one latency, in latency objectives.

        The logarithm counts because work varies so much that the mean is high at idle endpoints, too. The
        step is larger where attempts are few, so that instances with little traffic adapt in as many seconds.
        """
        step = ADJUSTMENT / max(MIN_ATTEMPTS_PER_S, self.attempts_per_s)
        step *= log(TARGET_LATENCY / max(TARGET_LATENCY / MAX_LATENCY_RATIO, latency))
        moved = self.admitted_fraction * max(MIN_ADJUSTMENT_FACTOR, 1 + step)
        self.admitted_fraction = min(MAX_ADMITTED, max(MIN_ADMITTED, moved))

    def on_second(self) -> None:
        """Takes the past second's attempts into their rate."""
        self.attempts_per_s += (self.attempts_this_second - self.attempts_per_s) / RATE_SMOOTHING
        self.attempts_this_second = 0


class OverdueAttempts:
    """The attempts in flight, with the times from which they count as overdue."""

    __slots__ = ("overdue_us",)

    def __init__(self) -> None:
        self.overdue_us: dict[tuple[RoutedRequest, int], int] = {}  # by request and attempt number

    def add(self, request: RoutedRequest, attempt_number: int, now_us: int) -> None:
        """Begins to watch an attempt."""
        allowed_us = int(OVERDUE_FRACTION * request.request_class.latency_objective_us)
        self.overdue_us[request, attempt_number] = now_us + allowed_us

    def remove(self, request: RoutedRequest, attempt_number: int) -> bool:
        """Ends to watch an attempt and returns whether it was watched, that is, was not overdue yet."""
        return self.overdue_us.pop((request, attempt_number), None) is not None

    def take_overdue(self, now_us: int) -> list[tuple[RoutedRequest, int]]:
        """Returns the attempts that have become overdue, once each."""
        overdue = [attempt for attempt, due_us in self.overdue_us.items() if due_us <= now_us]
        for attempt in overdue:
            del self.overdue_us[attempt]
        return overdue
