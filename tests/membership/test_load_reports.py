"""Tests of PeerLoadReports."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cressrail.membership.load_reports import (
    FAILING,
    MAX_PER_INSTANCE,
    REPORT_KINDS,
    TRAFFIC,
    WARMUP_LOAD,
    LoadReport,
    PeerLoadReports,
)
from tests.membership.support import (
    LONG_AFTER_START_US,
    PERIOD,
)

RECEIVED_REPORTS = st.tuples(
    st.integers(1, 3),  # reporter
    st.integers(0, 2),  # incarnation
    st.builds(
        LoadReport,
        st.sampled_from(REPORT_KINDS),
        st.integers(0, 2),
        st.integers(0, 9),
        st.integers(0, 3),
        st.integers(0, 3000),
    ),
)


@given(st.lists(RECEIVED_REPORTS, max_size=8), st.randoms())
def test_merge_of_reports_is_the_same_in_any_order_and_twice(
    received: list[tuple[int, int, LoadReport]], random: Any
) -> None:
    def merged(reports: list[tuple[int, int, LoadReport]]) -> dict[int, dict[Any, Any]]:
        load_reports = PeerLoadReports(PERIOD)
        for reporter, incarnation, report in reports:
            load_reports.apply_peer_report(LONG_AFTER_START_US, reporter, incarnation, 0, report)
        assert load_reports.stored_count == sum(map(len, load_reports.peer_reports.values()))
        return load_reports.peer_reports

    # A reporter never sends two different values with the same sequence number.
    received = [
        (reporter, incarnation, report._replace(value=report.sequence))
        for reporter, incarnation, report in received
    ]
    assert merged(received) == merged(random.sample(received, len(received))) == merged(received + received)


@pytest.mark.parametrize(
    ("reports_by_instance", "instance_count", "failing", "warmup_rates", "total_rate"),
    [
        ({2: [(TRAFFIC, 0, 4000)], 3: [(TRAFFIC, 0, 8000)]}, 3, (), {}, 13),
        # The mean of the reports is assumed for all peers.
        ({n: [(TRAFFIC, 0, 4000)] for n in (2, 3, 4)}, 101, (), {}, 401),
        # There are too few reports to assume their mean for the other peers.
        ({2: [(TRAFFIC, 0, 4000)], 3: [(TRAFFIC, 0, 4000)]}, 101, (), {}, 1),
        ({2: [(WARMUP_LOAD, 7, 500)], 3: [(WARMUP_LOAD, 7, 0)]}, 3, (), {7: 0.5}, 1),
        ({n: [(WARMUP_LOAD, 7, 500)] for n in (2, 3)}, 9, (), {}, 1),
        ({2: [(FAILING, 7, 1)], 3: [(FAILING, 7, 1)]}, 3, (7,), {}, 1),
        # A single reporter may be faulty or send false reports.
        ({2: [(FAILING, 7, 1)], 3: [(FAILING, 7, 0)]}, 3, (), {}, 1),
        # Less than a third of the reporters report the endpoint.
        ({n: [(FAILING, 7, int(n < 4))] for n in range(2, 10)}, 9, (), {}, 1),
    ],
)
def test_summarize_combines_the_reports_of_all_peers(
    reports_by_instance: dict[int, list[tuple[int, int, int]]],
    instance_count: int,
    failing: Any,
    warmup_rates: Any,
    total_rate: float,
) -> None:
    load_reports = PeerLoadReports(PERIOD)
    load_reports.set_own_reports(0, [(TRAFFIC, 0, 1000)])
    for reporter, reports in reports_by_instance.items():
        peer = PeerLoadReports(PERIOD)
        peer.set_own_reports(0, reports)
        for report in peer.next_reports(0, 1000):
            load_reports.apply_peer_report(0, reporter, 1, 1, report)
    summary = load_reports.summarize(0, instance_count, reports_by_instance)
    assert summary.failing_endpoints == failing
    assert summary.warmup_loads == {subject: rate / 1e6 for subject, rate in warmup_rates.items()}
    assert summary.total_traffic == pytest.approx(total_rate / 1e6)
    later = load_reports.summarize(61 * PERIOD, instance_count, reports_by_instance)
    assert later.failing_endpoints == ()
    assert later.warmup_loads == {}
    assert load_reports.stored_count == 0


def test_each_of_many_reports_is_sent_and_storage_is_bounded() -> None:
    sender, receiver = PeerLoadReports(PERIOD), PeerLoadReports(PERIOD)
    sender.set_own_reports(0, [(WARMUP_LOAD, number, number) for number in range(1000)])
    for _ in range(300):
        reports = sender.next_reports(0, 130)
        assert 0 < len(reports) <= 6
        for report in reports:
            receiver.apply_peer_report(0, 2, 1, 1, report)
    assert len(receiver.peer_reports[2]) == receiver.stored_count == MAX_PER_INSTANCE
    assert set(sender.times_sent.values()) == {1, 2}
    sender.set_own_reports(PERIOD, [])
    assert {value for value, _, _ in sender.own_reports.values()} == {0}
    sender.set_own_reports(100 * PERIOD, [])
    assert sender.own_reports == {}
    assert sender.next_reports(0, 10) == []
    receiver.forget_instance(2)
    assert receiver.stored_count == 0
