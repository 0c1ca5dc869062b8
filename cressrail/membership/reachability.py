"""Pairs of which one can't call the other though that one lives: a copy of which there are some is `partly`.

A pair is marked after several calls in a row without an answer and cleared after a few with one, so that
lost messages mark nothing. What others say of their pairs is merged by the one who calls' own count, and
fades unless told anew."""

from __future__ import annotations

from cressrail.membership.messages import ReachabilityReport

REPORT_AFTER_UNANSWERED = (
    5  # calls in a row: at 30% loss both ways three tries of each fail one time in eight
)
CLEAR_AFTER_ANSWERED = 2
MAX_REPORTERS = 16  # callers that are kept of one copy
# callers at most whose marks go on from here, so that a fleet that is cut to pieces is not all talk
MAX_FORWARDED = 3


class ReachabilityReports:
    def __init__(self, own: int, faded_us: int) -> None:
        self.own_id = own
        self.lifetime_us = faded_us
        self.unanswered_pings: dict[int, int] = {}
        self.answered_pings: dict[int, int] = {}
        self.sequence = 0
        self.reports: dict[
            int, dict[int, tuple[ReachabilityReport, int]]
        ] = {}  # by whom they are about, then by the caller

    def on_ping_unanswered(self, ident: int, now: int) -> ReachabilityReport | None:
        """A call went unanswered by one that lives; the mark, if that makes one."""
        self.answered_pings.pop(ident, None)
        self.unanswered_pings[ident] = self.unanswered_pings.get(ident, 0) + 1
        if self.unanswered_pings[ident] < REPORT_AFTER_UNANSWERED or self.is_unreachable(ident):
            return None
        return self._report(ident, True, now)

    def on_ping_answered(self, ident: int, now: int) -> ReachabilityReport | None:
        self.unanswered_pings.pop(ident, None)
        if not self.is_unreachable(ident):
            return None
        self.answered_pings[ident] = self.answered_pings.get(ident, 0) + 1
        if self.answered_pings[ident] < CLEAR_AFTER_ANSWERED:
            return None
        del self.answered_pings[ident]
        return self._report(ident, False, now)

    def needs_another_ping(self, ident: int) -> bool:
        """Whether another call soon would settle it."""
        return (
            0 < self.unanswered_pings.get(ident, 0) < REPORT_AFTER_UNANSWERED or ident in self.answered_pings
        )

    def is_unreachable(self, ident: int) -> bool:
        """By this copy itself."""
        entry = self.reports.get(ident, {}).get(self.own_id)
        return entry is not None and entry[0].is_unreachable

    def _report(self, ident: int, on: bool, now: int) -> ReachabilityReport:
        self.sequence += 1
        edge = ReachabilityReport(self.own_id, ident, self.sequence, on)
        self.reports.setdefault(ident, {})[self.own_id] = (edge, now)
        return edge

    def merge(self, edge: ReachabilityReport, now: int) -> bool:
        """Whether it is news."""
        if edge.reporter == self.own_id or edge.reporter == edge.target:
            return False
        of = self.reports.setdefault(edge.target, {})
        before = of.get(edge.reporter)
        if before is not None and before[0].sequence >= edge.sequence:
            return False
        if before is None and len(of) >= MAX_REPORTERS:
            return False
        of[edge.reporter] = (edge, now)
        return (
            before is not None
            or sum(1 for e, _ in of.values() if e.is_unreachable) <= MAX_FORWARDED
            or edge.target == self.own_id
        )

    def refresh(self, now: int) -> list[ReachabilityReport]:
        """Own marks, to be told anew before they fade; and what has faded goes."""
        out = []
        for ident in list(self.reports):
            of = self.reports[ident]
            for by, (edge, at) in list(of.items()):
                if by == self.own_id and edge.is_unreachable:
                    out.append(self._report(ident, True, now))
                elif now - at > self.lifetime_us:
                    del of[by]
            if not of:
                del self.reports[ident]
        return out

    def unreachable_from(self, ident: int) -> list[int]:
        """Who can't reach it."""
        return [by for by, (edge, _) in self.reports.get(ident, {}).items() if edge.is_unreachable]

    def forget_instance(self, ident: int) -> None:
        """One that is lost or has left: what was said of it, and what it said."""
        self.reports.pop(ident, None)
        self.unanswered_pings.pop(ident, None)
        self.answered_pings.pop(ident, None)
        for of in self.reports.values():
            of.pop(ident, None)
