"""A sidecar with a small fleet, for tables of cases."""

from __future__ import annotations

from typing import Any

from cressrail.brain import (
    ALL,
    Asking,
    Chance,
    ColdRule,
    Entry,
    Outcome,
    Profile,
    RepeatRule,
    Shares,
    Sidecar,
)

SECOND = 1_000_000


def profile(kind: str = "idempotent", group: str = ALL, earns: float = 1.0) -> Profile:
    return Profile(kind, group, 5 * SECOND, SECOND, 4 * SECOND, earns)


def entry(ix: int, zone: int = 0, cell: int = 0, on: bool = True, started_us: int = 0) -> Entry:
    return (ix, zone, cell, 1.0, on, started_us, ix)


def sidecar(fleet: list[Entry], **parts: Any) -> Sidecar:
    chance = Chance(7)
    told: dict[str, Any] = dict(
        chance=chance, zone=0, zones=2, tiers_to_go=1.0, last_tier=True, at_door=True, round_us=5000,
        come_back_us=0, may_cancel=True, asking=Asking(False, 0, chance),
        repeat_rule=RepeatRule(3, False), cold_rule=ColdRule(0.2, 10 * SECOND, 0), shares=Shares([], 1, 0.1),
        copies=1, number=0, now=0)
    side = Sidecar(**{**told, **parts})
    side.hear_list(0, fleet, True)
    return side


def warm_up(side: Sidecar, n: int = 100, now: int = 0) -> None:
    """So many transactions taken and answered at once, for the budget and the averages to go by."""
    for _ in range(n):
        tx = side.take(now, profile(), -1, 4 * SECOND)
        for _, what, *_ in tx.route(now):
            if what == "hop":
                tx.ended(0, now, Outcome.COMMITTED, SECOND // 10, True)
