"""Pseudo-random number generator for all decisions, reproducible from its seed."""

from __future__ import annotations

_MULTIPLIER = 6364136223846793005
_INCREMENT = 1442695040888963407
_STATE_MASK = (1 << 64) - 1
_OUTPUT_BITS = 32
_FRACTION_STEPS = 1 << 32


class RandomGenerator:
    """A 64-bit linear congruential generator that returns only the high half of its state."""

    def __init__(self, seed: int) -> None:
        self.state = seed & _STATE_MASK
        self.below(1)

    def below(self, bound: int) -> int:
        """Returns an integer from 0 to `bound` - 1."""
        self.state = (self.state * _MULTIPLIER + _INCREMENT) & _STATE_MASK
        return (self.state >> _OUTPUT_BITS) * bound >> _OUTPUT_BITS

    def fraction(self) -> float:
        """Returns a float in the half-open interval from 0 to 1."""
        return self.below(_FRACTION_STEPS) / _FRACTION_STEPS
