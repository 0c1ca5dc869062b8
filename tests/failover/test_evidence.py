"""Aggregation of the evidence of many instances."""

from __future__ import annotations

import pytest

from cressrail.failover.evidence import aggregate
from cressrail.failover.messages import Evidence
from tests.failover.support import FAILING, UNREACHABLE, evidence, healthy, observation


@pytest.mark.parametrize(
    ("reports", "unreachable_from", "failing", "unreachable"),
    [
        (healthy(0) + healthy(1) + healthy(2), [], [], []),
        # A zone that is unreachable from one other zone does not count as unreachable for all.
        (healthy(0, b=UNREACHABLE) + healthy(1) + healthy(2), [(0, 1)], [], []),
        (
            healthy(0, a=UNREACHABLE) + healthy(1, a=UNREACHABLE) + healthy(2, a=UNREACHABLE),
            [(0, 0), (1, 0), (2, 0)],
            [],
            [0],
        ),
        (healthy(0, a=FAILING) + healthy(1, a=FAILING) + healthy(2), [], [0], []),
        # Failures seen from a minority of the zones do not make a zone failing.
        (healthy(0) + healthy(1, a=FAILING) + healthy(2), [], [], []),
        # Wrong evidence from one of four sidecars has no effect.
        (healthy(0, 3) + healthy(0, 1, a=UNREACHABLE, b=UNREACHABLE, c=UNREACHABLE), [], [], []),
        # The number of attempts in wrong evidence from one of four sidecars makes no difference.
        ([*healthy(0, 3), evidence(*[observation(60000, failures=60000)] * 3)], [], [], []),
        # Too few attempts for an assessment.
        (healthy(0, 4, a=observation(1, connect_failures=1)), [], [], []),
    ],
)
def test_aggregate_distinguishes_unreachable_zones_from_failing_ones(
    reports: list[Evidence],
    unreachable_from: list[tuple[int, int]],
    failing: list[int],
    unreachable: list[int],
) -> None:
    aggregated = aggregate(reports, 3)
    cut_off = [
        (source, zone)
        for source in range(3)
        for zone in range(3)
        if aggregated.unreachable_from[source][zone]
    ]
    assert cut_off == unreachable_from
    assert [zone for zone in range(3) if aggregated.is_failing[zone]] == failing
    assert [zone for zone in range(3) if aggregated.is_unreachable[zone]] == unreachable
