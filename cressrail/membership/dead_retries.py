"""Pings to dead instances at growing intervals, which detect that a network partition has healed."""

from __future__ import annotations

from typing import NamedTuple

from cressrail.membership.shared_state import SharedState

RETRY_PERIODS = 4  # mean number of ping periods from a death to the first retry
RETRY_GROWTH = 1.5  # factor by which the interval grows with each retry
MAX_RETRY_PERIODS = 120  # ping periods; upper bound of the mean interval
MAX_GROWTH_EXPONENT = 20  # prevents a float overflow of the growth
MAX_RETRIES_PER_RUN = 2  # instances that are retried in one maintenance run
# Further instances of which the first retry is due are pinged in the same run, because their answers show
# early whether the cause of many deaths is a partition.
MAX_EXTRA_FIRST_RETRIES_PER_RUN = 8


class _Retry(NamedTuple):
    """Time of the next retry in microseconds, and number of retries so far."""

    due_us: int
    retries: int


class DeadRetries:
    """Schedule of the retries, which are pings to dead instances."""

    def __init__(self, shared: SharedState) -> None:
        self._shared = shared
        self._retries: dict[int, _Retry] = {}

    def add(self, now_us: int, member_id: int) -> None:
        """Schedules the first retry of an instance that has just been declared dead."""
        span_us = self._first_span_us()
        due_us = now_us + span_us // 2 + self._shared.random.below(span_us)
        self._retries[member_id] = _Retry(due_us, 0)

    def add_learned(self, now_us: int, member_id: int) -> None:
        """Schedules the first retry of an instance that was already dead when it became known."""
        self._retries[member_id] = _Retry(now_us + self._shared.random.below(self._first_span_us()), 0)

    def remove(self, member_id: int) -> None:
        """Ends the retries of an instance."""
        self._retries.pop(member_id, None)

    def retry_all_sooner(self, now_us: int) -> None:
        """Reschedules all retries to an early time and resets their intervals.

        This follows the return of a dead instance, which may mean that a network partition has healed.
        """
        span_us = self._first_span_us()
        self._retries = {
            member_id: _Retry(min(retry.due_us, now_us + self._shared.random.below(span_us)), 0)
            for member_id, retry in self._retries.items()
        }

    def take_due(self, now_us: int) -> list[int]:
        """Returns the ids of the instances to ping now and schedules their next retry."""
        due = [member_id for member_id, retry in self._retries.items() if retry.due_us <= now_us]
        chosen = due[:MAX_RETRIES_PER_RUN]
        first_retries = [
            member_id for member_id in due[MAX_RETRIES_PER_RUN:] if not self._retries[member_id].retries
        ]
        chosen += first_retries[:MAX_EXTRA_FIRST_RETRIES_PER_RUN]
        for member_id in chosen:
            self._schedule_next(now_us, member_id)
        return chosen

    def _schedule_next(self, now_us: int, member_id: int) -> None:
        retries = self._retries[member_id].retries
        grown = int(RETRY_PERIODS * RETRY_GROWTH ** min(retries, MAX_GROWTH_EXPONENT))
        span_us = min(MAX_RETRY_PERIODS, grown) * self._shared.settings.ping_period_us
        due_us = now_us + span_us // 2 + self._shared.random.below(span_us)
        self._retries[member_id] = _Retry(due_us, retries + 1)

    def _first_span_us(self) -> int:
        return RETRY_PERIODS * self._shared.settings.ping_period_us
