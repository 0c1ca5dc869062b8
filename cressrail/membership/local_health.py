"""Lifeguard local health: an estimate of whether this instance itself processes messages in time.

Source: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection"
(2017), local health multiplier.
"""

from __future__ import annotations

MAX_SCORE = 8  # value from the paper


class LocalHealth:
    """Local health score: 0 is healthy; signs that this instance is slow raise it and each ack lowers it."""

    def __init__(self, is_enabled: bool = True) -> None:
        self.is_enabled = is_enabled
        self.score = 0

    def degrade(self, points: int = 1) -> None:
        """Raises the score, up to `MAX_SCORE`, after a sign that this instance is slow."""
        if self.is_enabled:
            self.score = min(MAX_SCORE, self.score + points)

    def improve(self) -> None:
        """Lowers the score by one point after a ping of this instance was acknowledged."""
        self.score = max(0, self.score - 1)

    def scaled_us(self, span_us: int) -> int:
        """Returns a time-out multiplied by one plus the score."""
        return span_us * (1 + self.score)
