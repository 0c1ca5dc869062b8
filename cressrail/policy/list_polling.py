"""When to ask for the endpoint list where it is not sent without asking."""

from __future__ import annotations

from cressrail.policy.random_generator import RandomGenerator

MAX_BACKOFF_DOUBLINGS = 4
"""Well inside the time after which the platform holds an instance to the newer list."""

_FIRST_POLL_SPREAD = 8  # the first poll comes within this part of the interval
_BACKOFF_PARTS = 64  # the first backoff, before it doubles, is this part of the interval
_INTERVALS_AFTER_SUCCESS = 4
_ANSWER_WAIT_PARTS = 2  # a poll without an answer is repeated after this part of the interval


class EndpointListPoller:
    """Keeps the time of the next poll, with a randomized backoff after failures."""

    def __init__(self, is_polling: bool, interval_us: int, random_generator: RandomGenerator) -> None:
        self.interval_us = interval_us
        self.random_generator = random_generator
        self.consecutive_failures = 0
        self.next_poll_us = (
            random_generator.below(interval_us // _FIRST_POLL_SPREAD + 1) if is_polling else -1
        )
        """Counted from the start until `start` is called; -1: the list comes without asking."""

    def start(self, now_us: int) -> None:
        """Begins to count time."""
        if self.next_poll_us >= 0:
            self.next_poll_us += now_us

    def on_answer(self, now_us: int, has_failed: bool) -> None:
        """Sets the next poll after a list came or a poll failed."""
        if self.next_poll_us < 0:
            return
        if has_failed:
            self.consecutive_failures = min(self.consecutive_failures + 1, MAX_BACKOFF_DOUBLINGS)
            backoff_us = self.interval_us * 2**self.consecutive_failures // _BACKOFF_PARTS
            self.next_poll_us = now_us + backoff_us // 2 + self.random_generator.below(backoff_us + 1)
        else:
            self.consecutive_failures = 0
            self.next_poll_us = now_us + self.interval_us * _INTERVALS_AFTER_SUCCESS

    def take_due_poll(self, now_us: int) -> bool:
        """Returns whether to poll now, and then puts the next poll off until an answer can have come."""
        if self.next_poll_us < 0 or now_us < self.next_poll_us:
            return False
        self.next_poll_us = now_us + self.interval_us // _ANSWER_WAIT_PARTS
        return True
