"""Suspicion and its time-out."""

from __future__ import annotations

from cressrail.membership.suspicion import Suspicion


def test_suspicion_timeout_shrinks_with_confirmations() -> None:
    suspicion = Suspicion(0, 100, 200, True)
    spans = []
    for by in (1, 1, 2, 3, 4, 5):
        suspicion.confirm(by)
        spans.append(suspicion.deadline_us())
    assert spans[0] == spans[1] == 200
    assert spans[4:] == [100, 100]
    assert spans == sorted(spans, reverse=True)
