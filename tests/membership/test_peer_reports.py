"""PeerReportTranslator."""

from __future__ import annotations

from cressrail.membership.load_reports import (
    FAILING,
    WARMUP_LOAD,
    PeerLoadSummary,
)
from cressrail.membership.peer_reports import PeerReportTranslator
from tests.fleets import SECOND
from tests.membership.support import (
    registry_of,
)
from tests.policy.support import make_entry, make_load_balancer


def test_reports_are_translated_by_endpoint_names() -> None:
    hearing, now = PeerReportTranslator(), 4 * SECOND
    one = make_load_balancer([make_entry(0), make_entry(1, started_us=now), make_entry(2)])
    one.on_connection_lost(now, 2)
    first = hearing.own_reports(now, one, registry_of("xyz"))
    one.endpoints[1].slow_start_attempts += 4
    words = hearing.own_reports(now + 2 * SECOND, one, registry_of("xyz"))
    x, y, z = map(hearing.endpoint_number, "xyz")
    assert (FAILING, z, 1) in first
    assert (WARMUP_LOAD, y, 0) in first
    assert (WARMUP_LOAD, y, 2000) in words
    meant = hearing.to_endpoint_indices(
        PeerLoadSummary((z, 99), {y: 0.5, 98: 1.0}, 3.0), one, registry_of("zyx")
    )
    assert meant == ([0], {1: (0.5, 1.0)})  # a third of all traffic, by the two others' and its own size
