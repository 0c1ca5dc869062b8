"""PeerLoadReports."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as some

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

RECEIVED_REPORTS = some.tuples(
    some.integers(1, 3),  # by
    some.integers(0, 2),  # incarnation
    some.builds(
        LoadReport,
        some.sampled_from(REPORT_KINDS),
        some.integers(0, 2),
        some.integers(0, 9),
        some.integers(0, 3),
        some.integers(0, 3000),
    ),
)


@given(some.lists(RECEIVED_REPORTS, max_size=8), some.randoms())
def test_merge_of_reports_is_the_same_in_any_order_and_twice(
    words: list[tuple[int, int, LoadReport]], chance: Any
) -> None:
    def merged(reports: list[tuple[int, int, LoadReport]]) -> dict[int, dict[Any, Any]]:
        hints = PeerLoadReports(PERIOD)
        for by, incarnation, one in reports:
            hints.apply_peer_report(LONG_AFTER_START_US, by, incarnation, 0, one)
        assert hints.stored_count == sum(map(len, hints.peer_reports.values()))
        return hints.peer_reports

    # One who counts up never says two things under one count.
    words = [(by, inc, one._replace(value=one.sequence)) for by, inc, one in words]
    assert merged(words) == merged(chance.sample(words, len(words))) == merged(words + words)


@pytest.mark.parametrize(
    ("reports_by_instance", "copies", "failing", "cold", "weight"),
    [
        ({2: [(TRAFFIC, 0, 4000)], 3: [(TRAFFIC, 0, 8000)]}, 3, (), {}, 13),
        ({n: [(TRAFFIC, 0, 4000)] for n in (2, 3, 4)}, 101, (), {}, 401),  # the mean of those heard, for all
        ({2: [(TRAFFIC, 0, 4000)], 3: [(TRAFFIC, 0, 4000)]}, 101, (), {}, 1),  # too few to stand for the rest
        ({2: [(WARMUP_LOAD, 7, 500)], 3: [(WARMUP_LOAD, 7, 0)]}, 3, (), {7: 0.5}, 1),
        ({n: [(WARMUP_LOAD, 7, 500)] for n in (2, 3)}, 9, (), {}, 1),
        ({2: [(FAILING, 7, 1)], 3: [(FAILING, 7, 1)]}, 3, (7,), {}, 1),
        ({2: [(FAILING, 7, 1)], 3: [(FAILING, 7, 0)]}, 3, (), {}, 1),  # one may be wrong, or lie
        ({n: [(FAILING, 7, int(n < 4))] for n in range(2, 10)}, 9, (), {}, 1),  # less than a third
    ],
)
def test_summarize_returns_what_reports_come_to(
    reports_by_instance: dict[int, list[tuple[int, int, int]]],
    copies: int,
    failing: Any,
    cold: Any,
    weight: float,
) -> None:
    hints = PeerLoadReports(PERIOD)
    hints.set_own_reports(0, [(TRAFFIC, 0, 1000)])
    for by, words in reports_by_instance.items():
        other = PeerLoadReports(PERIOD)
        other.set_own_reports(0, words)
        for one in other.next_reports(0, 1000):
            hints.apply_peer_report(0, by, 1, 1, one)
    summary = hints.summarize(0, copies, reports_by_instance)
    assert summary.failing_endpoints == failing
    assert summary.warmup_loads == {about: rate / 1e6 for about, rate in cold.items()}
    assert summary.total_traffic == pytest.approx(weight / 1e6)
    later = hints.summarize(61 * PERIOD, copies, reports_by_instance)
    assert later.failing_endpoints == ()
    assert later.warmup_loads == {}
    assert hints.stored_count == 0


def test_each_of_many_reports_is_sent_and_storage_is_bounded() -> None:
    much, hints = PeerLoadReports(PERIOD), PeerLoadReports(PERIOD)
    much.set_own_reports(0, [(WARMUP_LOAD, n, n) for n in range(1000)])
    for _ in range(300):
        pieces = much.next_reports(0, 130)
        assert 0 < len(pieces) <= 6
        for one in pieces:
            hints.apply_peer_report(0, 2, 1, 1, one)
    assert len(hints.peer_reports[2]) == hints.stored_count == MAX_PER_INSTANCE
    assert set(much.times_sent.values()) == {1, 2}
    much.set_own_reports(PERIOD, [])
    assert {value for value, _, _ in much.own_reports.values()} == {0}
    much.set_own_reports(100 * PERIOD, [])
    assert much.own_reports == {}
    assert much.next_reports(0, 10) == []
    hints.forget_instance(2)
    assert hints.stored_count == 0
