"""Schedules polls of the endpoint list, for deployments where the list is not pushed."""

from __future__ import annotations

from cressrail.policy.random_generator import RandomGenerator

MAX_BACKOFF_DOUBLINGS = 4
"""Maximum number of times that the backoff doubles. The longest wait stays well below the time after which
the platform expects an instance to use the newer list."""

_FIRST_POLL_DIVISOR = 8  # The first poll is sent within the interval divided by this number.
# The backoff after k failures in a row is 2**k times the interval divided by this number.
_BACKOFF_DIVISOR = 64
_INTERVALS_AFTER_SUCCESS = 4  # number of intervals from a received list to the next poll
_ANSWER_WAIT_DIVISOR = 2  # A poll that gets no answer is repeated after the interval divided by this number.


class EndpointListPoller:
    """Keeps the time of the next poll, with a randomized exponential backoff after failures."""

    def __init__(self, is_polling: bool, interval_us: int, random_generator: RandomGenerator) -> None:
        """Draws the delay of the first poll.

        Args:
            is_polling: Whether the list is polled; otherwise it is pushed, and no poll is ever due.
            interval_us: Interval that all delays are derived from, in microseconds.
            random_generator: Source of the random delays.
        """
        self.interval_us = interval_us
        self.random_generator = random_generator
        self.consecutive_failures = 0
        self.next_poll_us = (
            random_generator.below(interval_us // _FIRST_POLL_DIVISOR + 1) if is_polling else -1
        )
        """Time of the next poll, in microseconds; relative to the start until `start` is called. -1: polling
        is off, because the list is pushed."""

    def start(self, now_us: int) -> None:
        """Sets the start of the schedule; to be called once."""
        if self.next_poll_us >= 0:
            self.next_poll_us += now_us

    def on_answer(self, now_us: int, has_failed: bool) -> None:
        """Schedules the next poll after a list was received or a poll failed."""
        if self.next_poll_us < 0:
            return
        if has_failed:
            self.consecutive_failures = min(self.consecutive_failures + 1, MAX_BACKOFF_DOUBLINGS)
            backoff_us = self.interval_us * 2**self.consecutive_failures // _BACKOFF_DIVISOR
            self.next_poll_us = now_us + backoff_us // 2 + self.random_generator.below(backoff_us + 1)
        else:
            self.consecutive_failures = 0
            self.next_poll_us = now_us + self.interval_us * _INTERVALS_AFTER_SUCCESS

    def take_due_poll(self, now_us: int) -> bool:
        """Returns whether to poll now. If so, schedules a repeat in case no answer is received."""
        if self.next_poll_us < 0 or now_us < self.next_poll_us:
            return False
        self.next_poll_us = now_us + self.interval_us // _ANSWER_WAIT_DIVISOR
        return True
