"""Lifeguard's first two refinements: how well this copy itself fares, and how long a suspicion runs.

Source: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection"
(2017), local health multiplier and dynamic suspicion time-out."""

from __future__ import annotations

from math import log

MAX_SCORE = 8  # of the multiplier, as published
CONFIRMATIONS_FOR_MIN = 3  # other copies' suspicions after which the shortest span holds, as published


class LocalHealth:
    """0 while all is well. It rises with signs of one's own slowness and falls with each call that was
    answered."""

    def __init__(self, on: bool = True) -> None:
        self.is_enabled = on
        self.score = 0

    def degrade(self, by: int = 1) -> None:
        if self.is_enabled:
            self.score = min(MAX_SCORE, self.score + by)

    def improve(self) -> None:
        self.score = max(0, self.score - 1)

    def scaled_us(self, span_us: int) -> int:
        return span_us * (1 + self.score)


class Suspicion:
    """Of one copy, as this one holds it."""

    __slots__ = ("is_own", "is_refused", "max_us", "min_us", "since_us", "suspected_by")

    def __init__(self, now: int, least_us: int, most_us: int, shrinks: bool) -> None:
        self.since_us = now
        self.min_us, self.max_us = (least_us, most_us) if shrinks else (least_us * 3 // 2,) * 2
        self.suspected_by: set[int] = set()
        self.is_own = False  # a probe of this copy failed too
        self.is_refused = False  # and nobody listens where it was sent

    def confirm(self, by: int) -> bool:
        """Whether that is news that others should hear."""
        if by in self.suspected_by or len(self.suspected_by) > CONFIRMATIONS_FOR_MIN:
            return False
        self.suspected_by.add(by)
        return True

    def deadline_us(self) -> int:
        """From the longest span with one who suspects to the shortest with four."""
        others = (
            CONFIRMATIONS_FOR_MIN
            if self.is_refused
            else min(CONFIRMATIONS_FOR_MIN, max(0, len(self.suspected_by) - 1))
        )
        return self.since_us + int(
            self.max_us - (self.max_us - self.min_us) * log(others + 1) / log(CONFIRMATIONS_FOR_MIN + 1)
        )
