"""The sequence of ids that attempts and connections to endpoints share."""

from __future__ import annotations


class IdSequence:
    """Generates unique ids: 1, 2, 3, ..."""

    __slots__ = ("last",)

    def __init__(self) -> None:
        self.last = 0

    def next_id(self) -> int:
        """Returns the next id, which was never returned before."""
        self.last += 1
        return self.last
