"""The pseudo-random numbers of all decisions, reproducible from a seed."""

from __future__ import annotations

_MULTIPLIER = 6364136223846793005
_INCREMENT = 1442695040888963407
_STATE_MASK = (1 << 64) - 1
_OUTPUT_BITS = 32
_FRACTION_STEPS = 1 << 32


class RandomGenerator:
    """A 64-bit linear congruential generator of which only the high half is used."""

    def __init__(self, seed: int) -> None:
        self.state = seed & _STATE_MASK
        self.below(1)

    def below(self, bound: int) -> int:
        """Returns a whole number from 0 to `bound` - 1."""
        self.state = (self.state * _MULTIPLIER + _INCREMENT) & _STATE_MASK
        return (self.state >> _OUTPUT_BITS) * bound >> _OUTPUT_BITS

    def fraction(self) -> float:
        """Returns a number from 0 up to, but not including, 1."""
        return self.below(_FRACTION_STEPS) / _FRACTION_STEPS
