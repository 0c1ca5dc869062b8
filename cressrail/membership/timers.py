"""Timers of the membership state machine."""

from __future__ import annotations

from enum import IntEnum, auto
from heapq import heappop, heappush
from typing import NamedTuple

NEVER_US = 1 << 62  # due time that means that no timer is set


class TimerKind(IntEnum):
    """Action that is performed when a timer expires."""

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


# Timers that are discarded after a pause of this process: what they measure was started before the pause, so
# their expiry says nothing about other instances.
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
    """One timer.

    Attributes:
        due_us: Time at which the timer expires, in microseconds.
        number: Running number that orders timers with the same due time.
        kind: Action to perform.
        argument: Argument of the action; its meaning depends on the kind.
    """

    due_us: int
    number: int
    kind: TimerKind
    argument: int


class TimerQueue:
    """Timers in the order in which they expire."""

    def __init__(self) -> None:
        self._timers: list[Timer] = []
        self._count = 0

    @property
    def next_us(self) -> int:
        """Time at which the next timer expires, `NEVER_US` if there is none."""
        return self._timers[0].due_us if self._timers else NEVER_US

    def set(self, due_us: int, kind: TimerKind, argument: int = 0) -> None:
        """Adds a timer."""
        self._count += 1
        heappush(self._timers, Timer(due_us, self._count, kind, argument))

    def pop_due(self, now_us: int) -> Timer | None:
        """Removes and returns the earliest expired timer, or returns `None`."""
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
        """Discards the timers of work in progress and reschedules the rest after a pause of this process.

        The next ping starts at once, and all other remaining timers expire one ping period from now.
        """
        self._timers = sorted(
            timer._replace(due_us=now_us if timer.kind == TimerKind.START_PING else now_us + period_us)
            for timer in self._timers
            if timer.kind not in DISCARDED_AFTER_PAUSE
        )
