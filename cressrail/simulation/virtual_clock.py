"""Virtual clock that advances only on request and runs the events scheduled on the way."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

SECOND_US = 1_000_000
POLL_US = 50_000  # default interval at which `run_until_met` evaluates its condition


class VirtualClock:
    """Runs scheduled actions in order of time, and in order of scheduling if their times are equal."""

    def __init__(self) -> None:
        self.now_us = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._scheduled_count = 0

    def schedule(self, due_us: int, action: Callable[[], None]) -> None:
        """Schedules `action` to run when the clock reaches `due_us`."""
        self._scheduled_count += 1
        heappush(self._events, (due_us, self._scheduled_count, action))

    def run_until(self, until_us: int) -> None:
        """Runs all actions that are due by `until_us`, then sets the clock to that time."""
        while self._events and self._events[0][0] <= until_us:
            self.now_us, _, action = heappop(self._events)
            action()
        self.now_us = until_us

    def run_until_met(self, is_met: Callable[[], bool], limit_us: int, step_us: int = POLL_US) -> bool:
        """Advances the clock in steps until a condition holds.

        Args:
            is_met: The condition, evaluated before the first step and after each step.
            limit_us: Time in microseconds after which no further step begins.
            step_us: Size of a step in microseconds.

        Returns:
            Whether the condition was met within the limit.
        """
        end_us = self.now_us + limit_us
        while not is_met():
            if self.now_us >= end_us:
                return False
            self.run_until(self.now_us + step_us)
        return True
