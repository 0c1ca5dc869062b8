"""Suspicions and their time-outs (Lifeguard's dynamic suspicion).

Source: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection"
(2017).
"""

from __future__ import annotations

from math import log

from cressrail.membership.settings import MembershipSettings

CONFIRMATIONS_FOR_MIN = 3  # by other instances, after which the shortest time-out holds, as published


class Suspicion:
    """Suspicion of one instance, as this one holds it.

    Attributes:
        is_locally_observed: A ping of this instance failed too.
        is_refused: The suspected instance's machine refused it: nobody listens at the address.
        since_us: Start of the time-out.
    """

    __slots__ = ("is_locally_observed", "is_refused", "max_us", "min_us", "since_us", "suspected_by")

    def __init__(self, now_us: int, min_us: int, max_us: int, shrinks: bool) -> None:
        self.since_us = now_us
        self.min_us, self.max_us = (min_us, max_us) if shrinks else (min_us * 3 // 2,) * 2
        self.suspected_by: set[int] = set()
        self.is_locally_observed = False
        self.is_refused = False

    def confirm(self, suspected_by: int) -> bool:
        """Adds one that suspects too; returns whether the others should learn of it."""
        if suspected_by in self.suspected_by or len(self.suspected_by) > CONFIRMATIONS_FOR_MIN:
            return False
        self.suspected_by.add(suspected_by)
        return True

    def mark_locally_observed(self) -> None:
        """A ping of this instance failed too."""
        self.is_locally_observed = True

    def mark_refused(self) -> bool:
        """Nobody listens at the address; returns whether that shortens the time-out (own suspicions only)."""
        if not self.is_locally_observed or self.is_refused:
            return False
        self.is_refused = True
        return True

    def restart_timeout(self, now_us: int) -> None:
        """Has the time-out begin now."""
        self.since_us = now_us

    def extend_timeout(self, now_us: int, isolated_since_us: int) -> None:
        """Does not count the time in which this instance heard nobody."""
        self.since_us += now_us - max(isolated_since_us, self.since_us)

    def deadline_us(self) -> int:
        """End of the time-out, the longest with one that suspects, the shortest with four."""
        confirmations = CONFIRMATIONS_FOR_MIN
        if not self.is_refused:
            confirmations = min(CONFIRMATIONS_FOR_MIN, max(0, len(self.suspected_by) - 1))
        return self.since_us + int(
            self.max_us
            - (self.max_us - self.min_us) * log(confirmations + 1) / log(CONFIRMATIONS_FOR_MIN + 1)
        )


class SuspicionTable:
    """All current suspicions, and instances that were suspected wrongly of late."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._suspicions: dict[int, Suspicion] = {}
        self._wrongly_suspected: dict[int, int] = {}  # until when that is remembered

    def __len__(self) -> int:
        return len(self._suspicions)

    def __contains__(self, member_id: int) -> bool:
        return member_id in self._suspicions

    def get(self, member_id: int) -> Suspicion | None:
        """The suspicion of an instance, if there is one."""
        return self._suspicions.get(member_id)

    def ids(self) -> list[int]:
        """Those suspected, in the order in which that began."""
        return list(self._suspicions)

    def is_locally_suspected(self, member_id: int) -> bool:
        """Whether a ping of this instance to the suspected one failed too."""
        suspicion = self._suspicions.get(member_id)
        return suspicion is not None and suspicion.is_locally_observed

    def start(self, now_us: int, member_id: int) -> Suspicion:
        """Begins a suspicion, in place of an earlier one."""
        suspicion = self._suspicions[member_id] = Suspicion(
            now_us,
            self._settings.min_suspicion_us,
            self._settings.max_suspicion_us,
            self._settings.has_dynamic_suspicion,
        )
        return suspicion

    def end(self, member_id: int) -> bool:
        """Ends a suspicion; returns whether there was one."""
        return self._suspicions.pop(member_id, None) is not None

    def restart_timeouts(self, now_us: int) -> None:
        """Has all time-outs begin now, after a pause of this process."""
        for suspicion in self._suspicions.values():
            suspicion.restart_timeout(now_us)

    def extend_timeouts(self, now_us: int, isolated_since_us: int) -> None:
        """Does not count the time in which this instance heard nobody and could not judge."""
        for suspicion in self._suspicions.values():
            suspicion.extend_timeout(now_us, isolated_since_us)

    def note_wrongly_suspected(self, member_id: int, until_us: int) -> None:
        """Remembers that an instance was suspected and lives."""
        self._wrongly_suspected[member_id] = until_us

    def was_wrongly_suspected(self, member_id: int) -> bool:
        """Whether an instance was suspected wrongly of late."""
        return member_id in self._wrongly_suspected

    def drop_expired(self, now_us: int) -> None:
        """Forgets wrong suspicions that are long past."""
        self._wrongly_suspected = {
            member_id: until_us
            for member_id, until_us in self._wrongly_suspected.items()
            if until_us > now_us
        }
