"""The clock of a process: monotonic time on the scale of Unix time, in whole microseconds."""

from __future__ import annotations

import time


class Clock:
    """Monotonic time, shifted to the scale in which the endpoint list gives start times.

    The shift is determined once: a step of the system's time must not make every endpoint look restarted.
    """

    def __init__(self) -> None:
        self._offset_us = (time.time_ns() - time.monotonic_ns()) // 1000

    def now_us(self) -> int:
        """Returns the time in microseconds since the Unix epoch, as of the start of the process."""
        return time.monotonic_ns() // 1000 + self._offset_us
