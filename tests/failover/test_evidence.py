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
        # A zone that is cut off from another does not condemn that for all.
        (healthy(0, b=UNREACHABLE) + healthy(1) + healthy(2), [(0, 1)], [], []),
        (
            healthy(0, a=UNREACHABLE) + healthy(1, a=UNREACHABLE) + healthy(2, a=UNREACHABLE),
            [(0, 0), (1, 0), (2, 0)],
            [],
            [0],
        ),
        (healthy(0, a=FAILING) + healthy(1, a=FAILING) + healthy(2), [], [0], []),
        # What one zone sees is not what most see.
        (healthy(0) + healthy(1, a=FAILING) + healthy(2), [], [], []),
        # One broken sidecar of four,
        (healthy(0, 3) + healthy(0, 1, a=UNREACHABLE, b=UNREACHABLE, c=UNREACHABLE), [], [], []),
        # with however many attempts.
        ([*healthy(0, 3), evidence(*[observation(60000, failures=60000)] * 3)], [], [], []),
        # Too few attempts to judge by.
        (healthy(0, 4, a=observation(1, connect_failures=1)), [], [], []),
    ],
)
def test_aggregate_tells_unreachable_zones_from_failing_ones(
    reports: list[Evidence],
    unreachable_from: list[tuple[int, int]],
    failing: list[int],
    unreachable: list[int],
) -> None:
    seen = aggregate(reports, 3)
    cut_off = [
        (source, zone) for source in range(3) for zone in range(3) if seen.unreachable_from[source][zone]
    ]
    assert cut_off == unreachable_from
    assert [zone for zone in range(3) if seen.is_failing[zone]] == failing
    assert [zone for zone in range(3) if seen.is_unreachable[zone]] == unreachable
