"""Limits retries to a fixed fraction of the requests in a sliding window."""

from __future__ import annotations

from bisect import bisect_right
from collections import deque

RETRY_WINDOW_US = 10_000_000
"""Length of the window. It is long enough for instances with little traffic to be allowed a retry at all."""

REQUESTS_PER_RETRY = 10
"""Number of requests in the window for each allowed retry. The number of allowed retries is rounded down and
may be 0."""

SURGE_SPAN_US = RETRY_WINDOW_US // 5
"""Length of the recent part of the window, whose request rate is compared with that of the whole window."""

_MIN_REQUESTS_PER_US = 1e-6


class RetryBudget:
    """Allows a retry only if the retries in the window, including the new one, stay within the budget.

    Attributes:
        window_us: Length of the window in microseconds.
        has_yielded: Whether another process of this instance spends the budget; no retry is then allowed
            here.
        request_times_us: Arrival times of the requests in the window.
        retry_times_us: Times of the retries in the window.
    """

    def __init__(self, window_us: int = RETRY_WINDOW_US) -> None:
        self.window_us = window_us
        self.has_yielded = False
        self.request_times_us: deque[int] = deque()
        self.retry_times_us: deque[int] = deque()

    def count_request(self, now_us: int) -> None:
        """Counts an incoming request."""
        self.request_times_us.append(now_us)
        self._trim(now_us)

    def spend(self, now_us: int) -> bool:
        """Counts a retry if the budget allows it, and returns whether it does."""
        self._trim(now_us)
        if self.has_yielded:
            return False
        if (len(self.retry_times_us) + 1) * REQUESTS_PER_RETRY > len(self.request_times_us):
            return False
        self.retry_times_us.append(now_us)
        return True

    def surge(self, now_us: int, age_us: int) -> float:
        """Returns the recent request rate divided by the rate over the whole window, but at least 1.

        Args:
            now_us: Current time in microseconds.
            age_us: Time for which requests have been counted, in microseconds.
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
