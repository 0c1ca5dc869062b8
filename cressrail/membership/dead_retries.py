"""Pings to dead instances, ever more seldom, by which a healed partition is noticed."""

from __future__ import annotations

from typing import NamedTuple

from cressrail.membership.shared_state import SharedState

RETRY_PERIODS = 4  # to the first retry
RETRY_GROWTH = 1.5
MAX_RETRY_PERIODS = 120
MAX_GROWTH_EXPONENT = 20  # keeps the power within what a float holds
MAX_RETRIES_PER_RUN = 2
MAX_EXTRA_FIRST_RETRIES_PER_RUN = 8  # instances just declared dead: shows early whether it is a partition


class _Retry(NamedTuple):
    due_us: int
    retries: int


class DeadRetries:
    """When each dead instance is pinged again."""

    def __init__(self, shared: SharedState) -> None:
        self._shared = shared
        self._retries: dict[int, _Retry] = {}

    def add(self, now_us: int, member_id: int) -> None:
        """Schedules the first retry of an instance that was just declared dead."""
        span_us = self._first_span_us()
        due_us = now_us + span_us // 2 + self._shared.random.below(span_us)
        self._retries[member_id] = _Retry(due_us, 0)

    def add_learned(self, now_us: int, member_id: int) -> None:
        """Schedules the first retry of an instance that was dead when it became known."""
        self._retries[member_id] = _Retry(now_us + self._shared.random.below(self._first_span_us()), 0)

    def remove(self, member_id: int) -> None:
        """Ends the retries of an instance."""
        self._retries.pop(member_id, None)

    def retry_all_sooner(self, now_us: int) -> None:
        """One came back: a partition may have healed, so the others are tried soon."""
        span_us = self._first_span_us()
        self._retries = {
            member_id: _Retry(min(retry.due_us, now_us + self._shared.random.below(span_us)), 0)
            for member_id, retry in self._retries.items()
        }

    def take_due(self, now_us: int) -> list[int]:
        """Ids of those to ping now; their next retry is scheduled."""
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
