"""The bound on retries: a fixed share of the requests in a sliding window."""

from __future__ import annotations

from bisect import bisect_right
from collections import deque

RETRY_WINDOW_US = 10_000_000
"""Long enough for instances with little traffic to be allowed a retry at all."""

REQUESTS_PER_RETRY = 10
"""One retry for so many requests in the window, rounded down, without a minimum."""

SURGE_SPAN_US = RETRY_WINDOW_US // 5
"""The recent part of the window that is compared with the whole of it."""

_MIN_REQUESTS_PER_US = 1e-6


class RetryBudget:
    """Allows a retry only while all retries in the window, this one included, stay within the share."""

    def __init__(self, window_us: int = RETRY_WINDOW_US) -> None:
        self.window_us = window_us
        self.has_yielded = False  # another process of this instance spends the budget
        self.request_times_us: deque[int] = deque()
        self.retry_times_us: deque[int] = deque()

    def count_request(self, now_us: int) -> None:
        """Counts a request that has come in."""
        self.request_times_us.append(now_us)
        self._trim(now_us)

    def spend(self, now_us: int) -> bool:
        """Counts a retry if there is budget for it, and returns whether there was."""
        self._trim(now_us)
        if self.has_yielded:
            return False
        if (len(self.retry_times_us) + 1) * REQUESTS_PER_RETRY > len(self.request_times_us):
            return False
        self.retry_times_us.append(now_us)
        return True

    def surge(self, now_us: int, age_us: int) -> float:
        """Returns the recent request rate over that of the whole window, 1 at the least.

        Args:
            now_us: The present time.
            age_us: How long requests have been counted.
        """
        self._trim(now_us)
        requests = len(self.request_times_us)
        recent = (requests - bisect_right(self.request_times_us, now_us - SURGE_SPAN_US)) / SURGE_SPAN_US
        mean = requests / max(1, min(age_us, self.window_us))
        return max(1.0, recent / max(_MIN_REQUESTS_PER_US, mean))

    def _trim(self, now_us: int) -> None:
        for times_us in (self.request_times_us, self.retry_times_us):
            while times_us and times_us[0] <= now_us - self.window_us:
                times_us.popleft()
