"""Suspicions and their time-outs, which shrink as more instances confirm them (Lifeguard).

Source: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection"
(2017).
"""

from __future__ import annotations

from math import log

from cressrail.membership.settings import MembershipSettings

CONFIRMATIONS_FOR_MIN = 3  # confirmations after which the shortest time-out applies; value from the paper


class Suspicion:
    """This instance's suspicion of another instance.

    Attributes:
        since_us: Time at which the time-out started, in microseconds.
        min_us: Shortest time-out in microseconds.
        max_us: Longest time-out in microseconds; equal to `min_us` if the time-out does not shrink.
        suspected_by: Ids of the instances whose own pings to the suspected one failed.
        is_locally_observed: Whether a ping of this instance to the suspected one failed too.
        is_refused: Whether the suspected instance's machine reported that no process listens at its address.
    """

    __slots__ = ("is_locally_observed", "is_refused", "max_us", "min_us", "since_us", "suspected_by")

    def __init__(self, now_us: int, min_us: int, max_us: int, shrinks: bool) -> None:
        self.since_us = now_us
        # A fixed time-out is one and a half times the shortest one.
        self.min_us, self.max_us = (min_us, max_us) if shrinks else (min_us * 3 // 2,) * 2
        self.suspected_by: set[int] = set()
        self.is_locally_observed = False
        self.is_refused = False

    def confirm(self, suspected_by: int) -> bool:
        """Adds an instance that also suspects the member.

        Returns:
            Whether the confirmation is new and is to be gossiped.
        """
        if suspected_by in self.suspected_by or len(self.suspected_by) > CONFIRMATIONS_FOR_MIN:
            return False
        self.suspected_by.add(suspected_by)
        return True

    def mark_locally_observed(self) -> None:
        """Notes that a ping of this instance to the suspected one failed."""
        self.is_locally_observed = True

    def mark_refused(self) -> bool:
        """Notes that no process listens at the suspected instance's address.

        Returns:
            Whether this shortens the time-out, which it does once and only if a ping of this instance failed
            too.
        """
        if not self.is_locally_observed or self.is_refused:
            return False
        self.is_refused = True
        return True

    def restart_timeout(self, now_us: int) -> None:
        """Restarts the time-out at the current time."""
        self.since_us = now_us

    def extend_timeout(self, now_us: int, isolated_since_us: int) -> None:
        """Extends the time-out by the time during which this instance was isolated."""
        self.since_us += now_us - max(isolated_since_us, self.since_us)

    def deadline_us(self) -> int:
        """Time at which the time-out ends.

        The time-out is longest while one instance suspects the member, and shortest with four or after a
        refusal.
        """
        confirmations = CONFIRMATIONS_FOR_MIN
        if not self.is_refused:
            confirmations = min(CONFIRMATIONS_FOR_MIN, max(0, len(self.suspected_by) - 1))
        return self.since_us + int(
            self.max_us
            - (self.max_us - self.min_us) * log(confirmations + 1) / log(CONFIRMATIONS_FOR_MIN + 1)
        )


class SuspicionTable:
    """All current suspicions, and the instances that were recently suspected although they were alive."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._suspicions: dict[int, Suspicion] = {}
        self._wrongly_suspected: dict[int, int] = {}  # time until which each is remembered, by id

    def __len__(self) -> int:
        return len(self._suspicions)

    def __contains__(self, member_id: int) -> bool:
        return member_id in self._suspicions

    def get(self, member_id: int) -> Suspicion | None:
        """Returns the suspicion of an instance, or `None`."""
        return self._suspicions.get(member_id)

    def ids(self) -> list[int]:
        """Ids of the suspected instances, in the order in which the suspicions began."""
        return list(self._suspicions)

    def is_locally_suspected(self, member_id: int) -> bool:
        """Whether the instance is suspected and a ping of this instance to it failed."""
        suspicion = self._suspicions.get(member_id)
        return suspicion is not None and suspicion.is_locally_observed

    def start(self, now_us: int, member_id: int) -> Suspicion:
        """Starts a suspicion, which replaces an earlier one of the same instance."""
        suspicion = self._suspicions[member_id] = Suspicion(
            now_us,
            self._settings.min_suspicion_us,
            self._settings.max_suspicion_us,
            self._settings.has_dynamic_suspicion,
        )
        return suspicion

    def end(self, member_id: int) -> bool:
        """Ends the suspicion of an instance and returns whether there was one."""
        return self._suspicions.pop(member_id, None) is not None

    def restart_timeouts(self, now_us: int) -> None:
        """Restarts all time-outs at the current time, after a pause of this process."""
        for suspicion in self._suspicions.values():
            suspicion.restart_timeout(now_us)

    def extend_timeouts(self, now_us: int, isolated_since_us: int) -> None:
        """Extends all time-outs by the time during which this instance was isolated.

        An isolated instance can't detect whether others are alive.
        """
        for suspicion in self._suspicions.values():
            suspicion.extend_timeout(now_us, isolated_since_us)

    def note_wrongly_suspected(self, member_id: int, until_us: int) -> None:
        """Remembers until the given time that an instance was suspected although it is alive."""
        self._wrongly_suspected[member_id] = until_us

    def was_wrongly_suspected(self, member_id: int) -> bool:
        """Whether an instance was recently suspected although it was alive."""
        return member_id in self._wrongly_suspected

    def drop_expired(self, now_us: int) -> None:
        """Drops the records of wrong suspicions whose time is over."""
        self._wrongly_suspected = {
            member_id: until_us
            for member_id, until_us in self._wrongly_suspected.items()
            if until_us > now_us
        }
