"""Tests of PeerReportTranslator."""

from __future__ import annotations

from cressrail.membership.load_reports import (
    FAILING,
    WARMUP_LOAD,
    PeerLoadSummary,
)
from cressrail.membership.peer_reports import PeerReportTranslator
from cressrail.membership.simulation import SECOND
from tests.membership.support import (
    registry_of,
)
from tests.policy.support import make_entry, make_load_balancer


def test_reports_are_translated_by_endpoint_names() -> None:
    translator, now_us = PeerReportTranslator(), 4 * SECOND
    load_balancer = make_load_balancer([make_entry(0), make_entry(1, started_us=now_us), make_entry(2)])
    load_balancer.on_connection_lost(now_us, 2)
    first = translator.own_reports(now_us, load_balancer, registry_of("xyz"))
    load_balancer.endpoints[1].slow_start_attempts += 4
    second = translator.own_reports(now_us + 2 * SECOND, load_balancer, registry_of("xyz"))
    x, y, z = map(translator.endpoint_number, "xyz")
    assert (FAILING, z, 1) in first
    assert (WARMUP_LOAD, y, 0) in first
    assert (WARMUP_LOAD, y, 2000) in second
    translated = translator.to_endpoint_indices(
        PeerLoadSummary((z, 99), {y: 0.5, 98: 1.0}, 3.0), load_balancer, registry_of("zyx")
    )
    # The three endpoints are of equal size, so each would get a third of the total traffic of 3.0.
    assert translated == ([0], {1: (0.5, 1.0)})
