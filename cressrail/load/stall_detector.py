"""Detects when the load generator itself is paused: stopped, swapped out, or not scheduled on a core."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from cressrail.http_testing.client import now_us
from cressrail.load.units import US_PER_S

TICK_S = 0.005
TICK_US = int(TICK_S * US_PER_S)
MIN_PAUSE_US = 25_000  # a tick that is late by more than this counts as a pause, not as jitter


class Pause(NamedTuple):
    """A period in which the load generator itself did not run; times count from the start of the run."""

    start_us: int
    end_us: int


class StallDetector:
    """Detects gaps in the activity of this process.

    A long time spent on responses that arrived at once, as after a stall of the target, is not a pause of the
    generator.

    Attributes:
        start_us: The start of the run on the monotonic clock.
        max_busy_us: The longest time for which a response may have waited to be read.
        pauses: The pauses so far; their times count from the start of the run.
    """

    def __init__(self, start_us: int) -> None:
        self.start_us = start_us
        self.max_busy_us = 0
        self.pauses: list[Pause] = []
        self._last_active_us = 0

    def record_activity(self, now: int) -> None:
        """Records that the process runs at `now`, and a pause if it last ran more than 30 ms before."""
        if self._last_active_us and now - self._last_active_us > MIN_PAUSE_US + TICK_US:
            self.pauses.append(Pause(self._last_active_us - self.start_us, now - self.start_us))
        self._last_active_us = now

    async def run(self) -> None:
        """Records activity on each tick until the task is cancelled."""
        before_us = now_us()
        while True:
            await asyncio.sleep(TICK_S)
            now = now_us()
            self.max_busy_us = max(self.max_busy_us, now - before_us - TICK_US)
            self.record_activity(now)
            before_us = now
