"""Timers of the membership state machine."""

from __future__ import annotations

from enum import IntEnum, auto
from heapq import heappop, heappush
from typing import NamedTuple

NEVER_US = 1 << 62


class TimerKind(IntEnum):
    """What is to be done when a timer runs out."""

    START_PING = auto()
    RETRY_PING = auto()
    FINISH_PING = auto()
    EXPIRE_RELAYED_PING = auto()
    EXPIRE_SUSPICION = auto()
    GOSSIP = auto()
    PUSH_PULL = auto()
    CONTINUE_PUSH_PULL = auto()
    JOIN = auto()
    MAINTAIN = auto()


# Started before a pause of this process, so that their outcome says nothing about the others.
DISCARDED_AFTER_PAUSE = frozenset(
    {
        TimerKind.RETRY_PING,
        TimerKind.FINISH_PING,
        TimerKind.EXPIRE_RELAYED_PING,
        TimerKind.GOSSIP,
        TimerKind.EXPIRE_SUSPICION,
    }
)


class Timer(NamedTuple):
    """One timer; `number` orders those of the same time, `argument` is of its kind."""

    due_us: int
    number: int
    kind: TimerKind
    argument: int


class TimerQueue:
    """Timers in the order in which they run out."""

    def __init__(self) -> None:
        self._timers: list[Timer] = []
        self._count = 0

    @property
    def next_us(self) -> int:
        """When the next timer runs out."""
        return self._timers[0].due_us if self._timers else NEVER_US

    def set(self, due_us: int, kind: TimerKind, argument: int = 0) -> None:
        """Adds a timer."""
        self._count += 1
        heappush(self._timers, Timer(due_us, self._count, kind, argument))

    def pop_due(self, now_us: int) -> Timer | None:
        """Removes the next timer that has run out."""
        if self._timers and self._timers[0].due_us <= now_us:
            return heappop(self._timers)
        return None

    def cancel(self, kind: TimerKind) -> None:
        """Removes all timers of a kind."""
        self._timers = sorted(timer for timer in self._timers if timer.kind != kind)

    def clear(self) -> None:
        """Removes all timers."""
        self._timers.clear()

    def restart_after_pause(self, now_us: int, period_us: int) -> None:
        """Voids what was in progress; the next ping starts at once, all else a period from now."""
        self._timers = sorted(
            timer._replace(due_us=now_us if timer.kind == TimerKind.START_PING else now_us + period_us)
            for timer in self._timers
            if timer.kind not in DISCARDED_AFTER_PAUSE
        )
