"""Counts of how hops to each zone ended, for what is decided on zones in common; kept only where it is on."""

from __future__ import annotations

from typing import NamedTuple

from cressrail.policy.outcome import UNINFORMATIVE_OUTCOMES, Outcome


class AttemptCounts(NamedTuple):
    """Since the start. `late`: turned away, or answered after longer than whoever counts allows; `took_us`:
    by those that committed."""

    attempts: int = 0
    connect_failed: int = 0
    failed: int = 0
    late: int = 0
    succeeded: int = 0
    took_us: int = 0

    def since(self, before: AttemptCounts) -> AttemptCounts:
        return AttemptCounts(*(a - b for a, b in zip(self, before, strict=True)))


class ZoneStatistics:
    def __init__(self) -> None:
        self.zones: dict[int, AttemptCounts] = {}

    def on_attempt_finished(self, zone: int, how: Outcome, took_us: int, late: bool) -> None:
        if how in UNINFORMATIVE_OUTCOMES:
            return
        was = self.zones.get(zone, AttemptCounts())
        unreached, done = how is Outcome.CONNECT_FAILED, how is Outcome.SUCCEEDED
        away = how is Outcome.REJECTED_BY_ENDPOINT
        self.zones[zone] = AttemptCounts(
            was.attempts + 1,
            was.connect_failed + unreached,
            was.failed + (not unreached and not done and not away),
            was.late + (away or (done and late)),
            was.succeeded + done,
            was.took_us + (took_us if done else 0),
        )
