"""What many copies saw, made one picture: robust against a few that are wrong, and with what can't be reached
from somewhere kept apart from what fails for all."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from cressrail.failover.messages import Evidence

HALF = 0.5  # of hops: from there on a zone fails, or can't be reached
LEAST_HOPS = 5  # over the window, from all copies of a zone together, to say anything
HEAVIEST = 1.5  # times the middle weight, at which one copy's word ends: of four one alone decides nothing


@dataclass(frozen=True, slots=True)
class Picture:
    """By zones: `demand[z]` and `bears[w]` a second, `good[w]` hops that ended well in the window, `sent[w]`
    all; `cut[z][w]` whether w can't be reached from z, `failing[w]` whether it fails for most who reach it,
    `crowded[w]` the share of late and failed ones among those that reached it."""

    demand: tuple[float, ...]
    bears: tuple[float, ...]
    sent: tuple[float, ...]
    good: tuple[float, ...]
    cut: tuple[tuple[bool, ...], ...]
    failing: tuple[bool, ...]
    lost: tuple[bool, ...]  # nobody who tried reaches it
    crowded: tuple[float, ...]
    quiet: tuple[bool, ...]  # copies are up there, and none of them was heard


def bounded(told: Sequence[float]) -> list[float]:
    """None far above the middle one, so that one copy can't outweigh the rest."""
    most = HEAVIEST * sorted(told)[len(told) // 2] if told else 0.0
    return [min(one, most) for one in told]


def median(told: Sequence[tuple[float, float]]) -> float:
    """Of (value, weight)."""
    if not told:
        return 0.0
    weights = bounded([weight for _, weight in told])
    half, passed = sum(weights) / 2, 0.0
    ranked = sorted(zip((value for value, _ in told), weights, strict=True))
    for value, weight in ranked:
        passed += weight
        if passed >= half:
            return value
    return ranked[-1][0]


def picture(told: Iterable[Evidence], zones: int, copies: Sequence[int] = ()) -> Picture:
    """`copies`: that are up in each zone, where that is known. Those who told nothing count as the others of
    their zone: guards against traffic that is there and was not told of."""
    by_zone: list[list[Evidence]] = [[] for _ in range(zones)]
    for one in told:
        if 0 <= one.zone < zones and len(one.towards) == zones:
            by_zone[one.zone].append(one)
    up = copies or [0] * zones
    times = [max(1.0, n / len(of)) if of else 1.0 for n, of in zip(up, by_zone, strict=True)]
    unreached = [[_ratio(of, w, "unreached") for w in range(zones)] for of in by_zone]
    failed = [[_ratio(of, w, "failed") for w in range(zones)] for of in by_zone]
    late = [[_ratio(of, w, "late") for w in range(zones)] for of in by_zone]
    enough = [[_enough([e.towards[w].hops for e in of]) for w in range(zones)] for of in by_zone]
    cut = tuple(tuple(enough[z][w] and unreached[z][w] >= HALF for w in range(zones)) for z in range(zones))
    failing, lost, crowded = [], [], []
    for w in range(zones):
        tried = [z for z in range(zones) if enough[z][w]]
        reach = [z for z in tried if not cut[z][w]]
        bad = [z for z in reach if failed[z][w] >= HALF]
        failing.append(bool(bad) and 2 * len(bad) > len(reach))
        lost.append(bool(tried) and not reach)
        shares = [min(1.0, failed[z][w] + late[z][w]) for z in reach]
        crowded.append(sum(shares) / len(shares) if shares else 0.0)
    sent = [
        [sum(bounded([e.towards[w].hops for e in of])) * times[z] for w in range(zones)]
        for z, of in enumerate(by_zone)
    ]
    good = [
        [sent[z][w] * (1 - unreached[z][w]) * max(0.0, 1 - failed[z][w] - late[z][w]) for w in range(zones)]
        for z in range(zones)
    ]
    return Picture(
        tuple(sum(one.demand for one in of) * n for of, n in zip(by_zone, times, strict=True)),
        tuple(
            sum(sum(bounded([e.towards[w].bears for e in of])) * times[z] for z, of in enumerate(by_zone))
            for w in range(zones)
        ),
        tuple(sum(row[w] for row in sent) for w in range(zones)),
        tuple(sum(row[w] for row in good) for w in range(zones)),
        cut,
        tuple(failing),
        tuple(lost),
        tuple(crowded),
        tuple(n > 0 and not of for n, of in zip(up, by_zone, strict=True)),
    )


def _enough(hops: list[int]) -> bool:
    """To say anything of a zone: several hops, and from two copies where there are two."""
    return sum(hops) >= LEAST_HOPS and sum(1 for n in hops if n) >= min(2, len(hops))


def _ratio(of: list[Evidence], w: int, what: str) -> float:
    """What share of hops from these copies to that zone it was, by the middle one. Late and failed ones count
    against those that reached it."""
    told = []
    for one in of:
        toward = one.towards[w]
        base = toward.hops if what == "unreached" else toward.hops - toward.unreached
        if base > 0:
            told.append((min(1.0, getattr(toward, what) / base), float(base)))
    return median(told)
