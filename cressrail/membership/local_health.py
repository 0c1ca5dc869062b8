"""Lifeguard's local health: how well this instance itself keeps up.

Source: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection"
(2017), local health multiplier.
"""

from __future__ import annotations

MAX_SCORE = 8  # as published


class LocalHealth:
    """Score of 0 while all is well; it rises with signs of own slowness and falls with each ack."""

    def __init__(self, is_enabled: bool = True) -> None:
        self.is_enabled = is_enabled
        self.score = 0

    def degrade(self, points: int = 1) -> None:
        """This instance may be slow."""
        if self.is_enabled:
            self.score = min(MAX_SCORE, self.score + points)

    def improve(self) -> None:
        """A ping of this instance was acknowledged."""
        self.score = max(0, self.score - 1)

    def scaled_us(self, span_us: int) -> int:
        """A time-out, stretched by the score."""
        return span_us * (1 + self.score)
