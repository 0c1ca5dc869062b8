"""Notices when the generator itself stands still: stopped, swapped out, or kept from its core."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from cressrail.http_testing.client import now_us
from cressrail.load.units import US_PER_S

TICK_S = 0.005
TICK_US = int(TICK_S * US_PER_S)
MIN_PAUSE_US = 25_000  # a tick that is late by more than this was no jitter


class Pause(NamedTuple):
    """A time in which the generator itself stood still, from the start of the run."""

    start_us: int
    end_us: int


class StallDetector:
    """Watches for gaps between signs of life of this process.

    Working through what came at once, as after a stall of the target, is no pause of the generator;
    `max_busy_us` tells how long an answer may have waited to be read meanwhile.

    Attributes:
        start_us: The start of the run on the steady clock.
        pauses: The gaps, from the start of the run.
    """

    def __init__(self, start_us: int) -> None:
        self.start_us = start_us
        self.max_busy_us = 0
        self.pauses: list[Pause] = []
        self._last_active_us = 0

    def record_activity(self, now: int) -> None:
        """Notes that the process runs, and a pause if the last sign of life is too long ago."""
        if self._last_active_us and now - self._last_active_us > MIN_PAUSE_US + TICK_US:
            self.pauses.append(Pause(self._last_active_us - self.start_us, now - self.start_us))
        self._last_active_us = now

    async def run(self) -> None:
        """Gives a sign of life each tick until it is cancelled."""
        before_us = now_us()
        while True:
            await asyncio.sleep(TICK_S)
            now = now_us()
            self.max_busy_us = max(self.max_busy_us, now - before_us - TICK_US)
            self.record_activity(now)
            before_us = now
