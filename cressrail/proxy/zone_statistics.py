"""Counts of attempts by zone and outcome for the failover leader; collected only if failover is enabled."""

from __future__ import annotations

from typing import NamedTuple

from cressrail.policy.outcome import UNINFORMATIVE_OUTCOMES, Outcome


class AttemptCounts(NamedTuple):
    """Counts of attempts at endpoints of one zone since the start.

    Attributes:
        attempts: Attempts whose outcome says something about the zone.
        connect_failed: Attempts whose connection could not be established.
        failed: Attempts that ended with an error or, apart from `connect_failed`, without a response.
        late: Attempts that the endpoint rejected, or that succeeded too late, which the caller determines.
        succeeded: Attempts that succeeded, late ones included.
        took_us: Total duration of the succeeded attempts, in us.
    """

    attempts: int = 0
    connect_failed: int = 0
    failed: int = 0
    late: int = 0
    succeeded: int = 0
    took_us: int = 0

    def since(self, before: AttemptCounts) -> AttemptCounts:
        """Returns the counts that were added after the earlier counts `before`."""
        return AttemptCounts(*(now - then for now, then in zip(self, before, strict=True)))


class ZoneStatistics:
    """Counts of attempts, by the index of the zone."""

    def __init__(self) -> None:
        self.zones: dict[int, AttemptCounts] = {}

    def on_attempt_finished(self, zone: int, outcome: Outcome, took_us: int, is_late: bool) -> None:
        """Counts an attempt that has ended, unless its outcome says nothing about the endpoint."""
        if outcome in UNINFORMATIVE_OUTCOMES:
            return
        counts = self.zones.get(zone, AttemptCounts())
        has_succeeded = outcome is Outcome.SUCCEEDED
        is_unconnected = outcome is Outcome.CONNECT_FAILED
        is_rejected = outcome is Outcome.REJECTED_BY_ENDPOINT
        self.zones[zone] = AttemptCounts(
            attempts=counts.attempts + 1,
            connect_failed=counts.connect_failed + is_unconnected,
            failed=counts.failed + (not is_unconnected and not has_succeeded and not is_rejected),
            late=counts.late + (is_rejected or (has_succeeded and is_late)),
            succeeded=counts.succeeded + has_succeeded,
            took_us=counts.took_us + (took_us if has_succeeded else 0),
        )
