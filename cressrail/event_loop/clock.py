"""The clock of a process: monotonic time in whole microseconds since the Unix epoch."""

from __future__ import annotations

import time


class Clock:
    """Monotonic time with a fixed offset, so that it is comparable with start times in the endpoint list.

    The offset is computed once. If it followed the system clock, a step of that clock would make every
    endpoint look restarted.
    """

    def __init__(self) -> None:
        self._offset_us = (time.time_ns() - time.monotonic_ns()) // 1000

    def now_us(self) -> int:
        """Returns the microseconds since the Unix epoch, unaffected by later steps of the system clock."""
        return time.monotonic_ns() // 1000 + self._offset_us
