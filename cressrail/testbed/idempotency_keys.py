"""Idempotency keys that simulated endpoints remember for the idempotency window."""

from __future__ import annotations

from collections import OrderedDict


class IdempotencyKeys:
    """The keys that the endpoints of one key scope share.

    Attributes:
        first_seen_us: When each key was first seen, in microseconds; oldest first.
    """

    def __init__(self) -> None:
        self.first_seen_us: OrderedDict[str, int] = OrderedDict()

    def is_repeat(self, key: str, now_us: int, window_us: int) -> bool:
        """Returns whether the key was seen within the window; if not, remembers it from now on."""
        while self.first_seen_us:
            oldest_key, oldest_us = next(iter(self.first_seen_us.items()))
            if oldest_us + window_us >= now_us:
                break
            del self.first_seen_us[oldest_key]
        if key in self.first_seen_us:
            return True
        self.first_seen_us[key] = now_us
        return False
