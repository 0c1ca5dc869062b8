"""Tests of Suspicion and its time-out."""

from __future__ import annotations

from cressrail.membership.suspicion import Suspicion


def test_suspicion_timeout_shrinks_with_confirmations() -> None:
    suspicion = Suspicion(0, 100, 200, True)
    deadlines_us = []
    for suspected_by in (1, 1, 2, 3, 4, 5):
        suspicion.confirm(suspected_by)
        deadlines_us.append(suspicion.deadline_us())
    assert deadlines_us[0] == deadlines_us[1] == 200
    assert deadlines_us[4:] == [100, 100]
    assert deadlines_us == sorted(deadlines_us, reverse=True)
