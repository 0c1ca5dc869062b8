"""Lifeguard's first two refinements: how well this copy itself fares, and how long a suspicion runs.

Source: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection"
(2017), local health multiplier and dynamic suspicion time-out."""

from __future__ import annotations

from math import log

MOST = 8  # of the multiplier, as published
SHARERS = 3  # other copies' suspicions after which the shortest span holds, as published


class Awareness:
    """0 while all is well. It rises with signs of one's own slowness and falls with each call that was
    answered."""

    def __init__(self, on: bool = True) -> None:
        self.on = on
        self.level = 0

    def worse(self, by: int = 1) -> None:
        if self.on:
            self.level = min(MOST, self.level + by)

    def better(self) -> None:
        self.level = max(0, self.level - 1)

    def stretch(self, span_us: int) -> int:
        return span_us * (1 + self.level)


class Suspicion:
    """Of one copy, as this one holds it."""

    __slots__ = ("by", "least_us", "most_us", "own", "since_us", "sure")

    def __init__(self, now: int, least_us: int, most_us: int, shrinks: bool) -> None:
        self.since_us = now
        self.least_us, self.most_us = (least_us, most_us) if shrinks else (least_us * 3 // 2,) * 2
        self.by: set[int] = set()
        self.own = False  # a probe of this copy failed too
        self.sure = False  # and nobody listens where it was sent

    def shared(self, by: int) -> bool:
        """Whether that is news that others should hear."""
        if by in self.by or len(self.by) > SHARERS:
            return False
        self.by.add(by)
        return True

    def over_us(self) -> int:
        """From the longest span with one who suspects to the shortest with four."""
        others = SHARERS if self.sure else min(SHARERS, max(0, len(self.by) - 1))
        return self.since_us + int(
            self.most_us - (self.most_us - self.least_us) * log(others + 1) / log(SHARERS + 1)
        )
