"""Counts of how hops to each zone ended, for what is decided on zones in common; kept only where it is on."""

from __future__ import annotations

from typing import NamedTuple

from cressrail.policy.load_balancer import UNINFORMATIVE_OUTCOMES, Outcome


class Ended(NamedTuple):
    """Since the start. `late`: turned away, or answered after longer than whoever counts allows; `took_us`:
    by those that committed."""

    hops: int = 0
    unreached: int = 0
    failed: int = 0
    late: int = 0
    committed: int = 0
    took_us: int = 0

    def less(self, before: Ended) -> Ended:
        return Ended(*(a - b for a, b in zip(self, before, strict=True)))


class Towards:
    def __init__(self) -> None:
        self.zones: dict[int, Ended] = {}

    def ended(self, zone: int, how: Outcome, took_us: int, late: bool) -> None:
        if how in UNINFORMATIVE_OUTCOMES:
            return
        was = self.zones.get(zone, Ended())
        unreached, done = how is Outcome.CONNECT_FAILED, how is Outcome.SUCCEEDED
        away = how is Outcome.REJECTED_BY_ENDPOINT
        self.zones[zone] = Ended(
            was.hops + 1,
            was.unreached + unreached,
            was.failed + (not unreached and not done and not away),
            was.late + (away or (done and late)),
            was.committed + done,
            was.took_us + (took_us if done else 0),
        )
