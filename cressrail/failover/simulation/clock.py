"""A virtual clock: runs events in order of their time, and of their scheduling where that is equal."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

SECOND_US = 1_000_000


class VirtualClock:
    """Time in microseconds that advances from event to event.

    Attributes:
        now_us: Present time.
    """

    def __init__(self) -> None:
        self.now_us = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._scheduled = 0

    def schedule(self, when_us: int, action: Callable[[], None]) -> None:
        """Runs an action at a time."""
        self._scheduled += 1
        heappush(self._events, (when_us, self._scheduled, action))

    def run(self, until_us: int) -> None:
        """Runs all events up to a time."""
        while self._events and self._events[0][0] <= until_us:
            self.now_us, _, action = heappop(self._events)
            action()
        self.now_us = until_us
