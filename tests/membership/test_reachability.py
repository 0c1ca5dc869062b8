"""Tests of ReachabilityReports."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from cressrail.membership.messages import (
    ReachabilityReport,
)
from cressrail.membership.reachability import (
    CLEAR_AFTER_ANSWERED,
    REPORT_AFTER_UNANSWERED,
    ReachabilityReports,
)
from cressrail.membership.simulation import SECOND
from tests.membership.support import (
    REACHABILITY_REPORTS,
    joined_fleet,
    state_seen_by,
)


def test_report_stays_known_to_all_while_the_datagrams_are_cut_off() -> None:
    fleet = joined_fleet(5)
    fleet.network.is_cut = lambda source, destination: (source, destination) == ("copy0", "copy1")
    assert fleet.clock.run_until_met(
        lambda: all(state_seen_by(fleet, number, 0) == "partly" for number in range(5)), 20 * SECOND
    )
    reporter, target = (fleet.names[f"copy{number}"].instance for number in range(2))
    for _ in range(300):
        fleet.clock.run_until(fleet.clock.now_us + SECOND // 2)
        assert all(state_seen_by(fleet, number, 0) == "partly" for number in range(5))
        # The report is refreshed regularly, well before it expires.
        assert (
            fleet.clock.now_us - reporter.shared.reachability.reports[target.id][reporter.id][1]
            <= 25 * reporter.settings.ping_period_us
        )


@given(
    st.lists(
        REACHABILITY_REPORTS.map(
            lambda report: report._replace(
                reporter=1 + report.reporter % 3,
                target=9,
                sequence=report.sequence % 4,
                is_unreachable=report.sequence % 2 == 0,
            )
        ),
        max_size=6,
    ),
    st.randoms(),
)
def test_merge_of_reports_is_the_same_in_any_order(received: list[ReachabilityReport], random: Any) -> None:
    def merged(reports: list[ReachabilityReport]) -> list[int]:
        reachability = ReachabilityReports(100, SECOND)
        for report in reports:
            reachability.merge(report, 0)
        return sorted(reachability.unreachable_from(9))

    assert merged(received) == merged(random.sample(received, len(received))) == merged(received + received)


def test_pair_is_reported_and_cleared_only_by_consecutive_pings() -> None:
    reachability = ReachabilityReports(1, SECOND)
    for _ in range(REPORT_AFTER_UNANSWERED - 1):
        assert reachability.on_ping_unanswered(2, 0) is None
    reachability.on_ping_answered(2, 0)
    assert [reachability.on_ping_unanswered(2, 0) is None for _ in range(REPORT_AFTER_UNANSWERED)] == [
        True
    ] * (REPORT_AFTER_UNANSWERED - 1) + [False]
    assert [reachability.on_ping_answered(2, 0) is None for _ in range(CLEAR_AFTER_ANSWERED)] == [True] * (
        CLEAR_AFTER_ANSWERED - 1
    ) + [False]
    assert reachability.unreachable_from(2) == []
