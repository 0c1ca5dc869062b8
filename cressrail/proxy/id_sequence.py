"""Numbers for attempts and connections to endpoints, from one sequence."""

from __future__ import annotations


class IdSequence:
    """Hands out 1, 2, 3, ..."""

    __slots__ = ("last",)

    def __init__(self) -> None:
        self.last = 0

    def next_id(self) -> int:
        """Returns a number that was never returned before."""
        self.last += 1
        return self.last
