"""Queue of the requests for which no endpoint has room."""

from __future__ import annotations

from bisect import bisect_right, insort
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cressrail.policy.routed_request import RoutedRequest

QUEUE_WAIT_DIVISOR = 4
"""A request waits for at most its latency objective divided by this number."""


def _rank(request: RoutedRequest) -> float:
    return -request.open_fraction


class RequestQueue:
    """Queue ordered by descending weight (`open_fraction`), and by arrival for equal weights.

    The order prevents a request that may use only a small part of the limits from blocking the others.
    """

    __slots__ = ("next_expiry_us", "requests")

    def __init__(self, now_us: int) -> None:
        self.requests: list[RoutedRequest] = []
        self.next_expiry_us = now_us  # no queued request expires before this time

    def must_wait(self, request: RoutedRequest) -> bool:
        """Returns whether a request of the same or a greater weight is waiting ahead of this one."""
        return bool(self.requests) and self.requests[0].open_fraction >= request.open_fraction

    def count_ahead(self, request: RoutedRequest) -> int:
        """Returns the number of waiting requests that would be served before this one."""
        return bisect_right(self.requests, _rank(request), key=_rank)

    def add(self, request: RoutedRequest) -> None:
        """Adds a request after those of the same weight."""
        insort(self.requests, request, key=_rank)
        if len(self.requests) > 1:
            self.next_expiry_us = min(self.next_expiry_us, request.queue_until_us)
        else:
            self.next_expiry_us = request.queue_until_us

    def take_expired(self, now_us: int) -> list[RoutedRequest]:
        """Removes and returns all requests whose time in the queue is over, at any position."""
        if not self.requests or now_us < self.next_expiry_us:
            return []
        expired = [request for request in self.requests if request.queue_until_us <= now_us]
        self.requests = [request for request in self.requests if request.queue_until_us > now_us]
        self.next_expiry_us = min((request.queue_until_us for request in self.requests), default=now_us)
        return expired
