"""Time in whole microseconds: steady, and on the scale of Unix time, in which the list tells of starts."""

from __future__ import annotations

import time


class Clock:
    def __init__(self) -> None:
        # Set once: a step of the system's time must not make every endpoint look restarted.
        self._offset_us = (time.time_ns() - time.monotonic_ns()) // 1000

    def now_us(self) -> int:
        return time.monotonic_ns() // 1000 + self._offset_us
