"""Reachability reports: pairs of instances of which one can't reach the other although that one is alive.

A pair is reported after several consecutive pings without an ack, and cleared after a few consecutive pings
with one, so that random datagram loss alone causes no report. Reports of other instances are merged by the
sequence numbers of their reporter and are dropped unless they are refreshed. An instance that is the target
of a report is partially reachable.
"""

from __future__ import annotations

from typing import NamedTuple

from cressrail.membership.messages import ReachabilityReport

# Numbers of consecutive pings. At 30% loss in each direction all three attempts of a ping fail one time in
# eight, so a single unanswered ping is no evidence.
REPORT_AFTER_UNANSWERED = 5
CLEAR_AFTER_ANSWERED = 2
MAX_REPORTERS = 16  # reports that are stored for one target
MAX_FORWARDED = 3  # reports on one target that are forwarded; limits traffic in a heavily partitioned fleet


class StoredReachability(NamedTuple):
    """A report and the time at which it was received or made."""

    report: ReachabilityReport
    received_us: int


class ReachabilityReports:
    """Holds the reachability reports of this instance and of others.

    Attributes:
        reports: Reports by target id, then by reporter id.
    """

    def __init__(self, own_id: int, lifetime_us: int) -> None:
        self.reports: dict[int, dict[int, StoredReachability]] = {}
        self._own_id = own_id
        self._lifetime_us = lifetime_us
        # Consecutive unanswered pings, and consecutive answered pings since the report, by target.
        self._unanswered_pings: dict[int, int] = {}
        self._answered_pings: dict[int, int] = {}
        self._sequence = 0

    def set_own_id(self, own_id: int) -> None:
        """Sets the id of this instance after it has changed its name."""
        self._own_id = own_id

    # Own reports

    def on_ping_unanswered(self, target: int, now_us: int) -> ReachabilityReport | None:
        """Counts a ping without an ack from a live instance; returns the report if this causes one."""
        self._answered_pings.pop(target, None)
        self._unanswered_pings[target] = self._unanswered_pings.get(target, 0) + 1
        if self._unanswered_pings[target] < REPORT_AFTER_UNANSWERED or self.is_unreachable(target):
            return None
        return self._report(target, now_us, is_unreachable=True)

    def on_ping_answered(self, target: int, now_us: int) -> ReachabilityReport | None:
        """Counts a ping with an ack; returns the report that clears an earlier one if this causes it."""
        self._unanswered_pings.pop(target, None)
        if not self.is_unreachable(target):
            return None
        self._answered_pings[target] = self._answered_pings.get(target, 0) + 1
        if self._answered_pings[target] < CLEAR_AFTER_ANSWERED:
            return None
        del self._answered_pings[target]
        return self._report(target, now_us, is_unreachable=False)

    def needs_another_ping(self, target: int) -> bool:
        """Whether further pings must decide if the target is to be reported, or its report cleared."""
        may_be_unreachable = 0 < self._unanswered_pings.get(target, 0) < REPORT_AFTER_UNANSWERED
        return may_be_unreachable or target in self._answered_pings

    def is_unreachable(self, target: int) -> bool:
        """Whether this instance itself currently reports that it can't reach the target."""
        stored = self.reports.get(target, {}).get(self._own_id)
        return stored is not None and stored.report.is_unreachable

    def _report(self, target: int, now_us: int, *, is_unreachable: bool) -> ReachabilityReport:
        self._sequence += 1
        report = ReachabilityReport(self._own_id, target, self._sequence, is_unreachable)
        self.reports.setdefault(target, {})[self._own_id] = StoredReachability(report, now_us)
        return report

    # All reports

    def merge(self, report: ReachabilityReport, now_us: int) -> bool:
        """Merges a report of another instance; returns whether it should be forwarded."""
        if report.reporter in (self._own_id, report.target):
            return False
        stored = self.reports.setdefault(report.target, {})
        previous = stored.get(report.reporter)
        if previous is not None and previous.report.sequence >= report.sequence:
            return False
        if previous is None and len(stored) >= MAX_REPORTERS:
            return False
        stored[report.reporter] = StoredReachability(report, now_us)
        if previous is not None or report.target == self._own_id:
            return True
        return sum(1 for other in stored.values() if other.report.is_unreachable) <= MAX_FORWARDED

    def refresh(self, now_us: int) -> list[ReachabilityReport]:
        """Drops expired reports of others; returns own ones, with new sequence numbers, to be sent again.

        Sending them again keeps them from expiring at the other instances.
        """
        refreshed = []
        for target in list(self.reports):
            stored = self.reports[target]
            for reporter, (report, received_us) in list(stored.items()):
                if reporter == self._own_id and report.is_unreachable:
                    refreshed.append(self._report(target, now_us, is_unreachable=True))
                elif now_us - received_us > self._lifetime_us:
                    del stored[reporter]
            if not stored:
                del self.reports[target]
        return refreshed

    def unreachable_from(self, target: int) -> list[int]:
        """Returns the ids of the instances that report that they can't reach the target."""
        stored = self.reports.get(target, {})
        return [reporter for reporter, (report, _) in stored.items() if report.is_unreachable]

    def forget_instance(self, member_id: int) -> None:
        """Drops the reports on and by an instance that is dead or has left."""
        self.reports.pop(member_id, None)
        self._unanswered_pings.pop(member_id, None)
        self._answered_pings.pop(member_id, None)
        for stored in self.reports.values():
            stored.pop(member_id, None)
