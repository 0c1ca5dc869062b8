"""What a played world comes to, in figures that arms are compared by; and pairs of them, with intervals."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

import numpy as np
import numpy.typing as npt

from cressrail.experiment.play import Played
from cressrail.testbed.scenario import FleetScenario

DRAWS = 4000  # of the bootstrap
# Which way is better: 1 more, -1 less.
BETTER = {
    "goodput": 1,
    "goodput_first": 1,
    "revenue": 1,
    "worst_member": 1,
    "worst_due": 1,
    "worst_profile": 1,
    "p50_ms": -1,
    "p99_ms": -1,
    "hops_per_tx": -1,
    "retry_share": -1,
    "late_work_share": -1,
    "effects_after_end": -1,
    "breaks": -1,
    "goodput_harmed": 1,
    "recovery_s": -1,
}
HARMFUL = ("kill", "die", "err", "slow", "stall", "cut")  # faults that take away what is there
BACK, STAYS_S = 0.9, 3  # of the goodput before, held for so long: recovered


def figures(world: FleetScenario, played: Played, due: dict[str, float] | None = None) -> dict[str, float]:
    """`goodput`: share of transactions committed within the service goal, counted from when they were due;
    `goodput_first`: by their first try. `revenue`: the same weighted. `worst_member`, `worst_profile`: the
    least goodput of one. `hops_per_tx`: hops that reached endpoints of the first tier for each try a door
    took; `retry_share`: those beyond the first, at all tiers, over all calls. `late_work_share`: work that
    ended after the caller's time was up, of all work that ran; `effects_after_end`: how many non-idempotent
    or journalled hops ran on after that."""
    profiles = {p.name: p for p in world.request_classes}
    ends: dict[str, dict[str, Any]] = {}
    first: dict[str, bool] = {}
    for call in (c for c in played.seen.calls if "call" not in c):
        tx = call["id"].rpartition("-")[0]
        good = (
            call["status"] == 200
            and call["ended_us"] - call["due_us"] <= profiles[call["profile"]].goal_ms * 1000
        )
        if call["id"].endswith("-1"):
            first[tx] = good
        ends[tx] = {
            "good": good,
            "profile": call["profile"],
            "member": call["member"],
            "ended_us": call["ended_us"],
            "due_us": call["due_us"],
            "status": call["status"],
        }
    took = np.array([e["ended_us"] - e["due_us"] for e in ends.values()] or [0]) / 1000
    worth = {name: p.revenue for name, p in profiles.items()}
    offered = sum(worth[e["profile"]] for e in ends.values()) or 1.0
    by_tx: dict[str, int] = defaultdict(int)
    for hop in played.seen.attempts:
        by_tx[hop["id"]] += 1
    calls = [c for c in played.seen.calls if c["sent_us"]]
    doors = [c for c in calls if "call" not in c]
    ran = [h for h in played.seen.attempts if h["ran"]]
    late = [h for h in ran if h["late_us"] > 0]
    return {
        "goodput": float(np.mean([e["good"] for e in ends.values()] or [0])),
        "goodput_first": float(np.mean(list(first.values()) or [False])),
        "revenue": sum(worth[e["profile"]] for e in ends.values() if e["good"]) / offered,
        "worst_member": _worst(ends, "member"),
        "worst_due": _worst_due(world, ends, due or {}),
        "worst_profile": _worst(ends, "profile"),
        "p50_ms": float(np.percentile(took, 50)),
        "p99_ms": float(np.percentile(took, 99)),
        "hops_per_tx": sum(by_tx[c["id"]] for c in doors) / max(1, len(doors)),
        "retry_share": sum(max(0, by_tx[c["id"]] - 1) for c in calls) / max(1, len(calls)),
        "late_work_share": sum(h["work_us"] for h in late) / max(1, sum(h["work_us"] for h in ran)),
        "effects_after_end": float(sum(profiles[h["profile"]].repeat != "safe" for h in late)),
        "breaks": float(len(played.broken)),
        **_after_harm(world, series(world, played)),
    }


def _after_harm(world: FleetScenario, of: dict[str, Any]) -> dict[str, float]:
    """`goodput_harmed`: share committed in time while the first of the faults lasts that take processes or
    endpoints away; `recovery_s`: from its begin until goodput has come to nine tenths of what it was, and
    stayed; the rest of the run if it does not. Both 0 where there is none."""
    harm = [fault for fault in world.faults if fault.kind in HARMFUL]
    if not harm:
        return {"goodput_harmed": 0.0, "recovery_s": 0.0}
    at, end = int(harm[0].at_s), int(min(world.duration_s, harm[0].at_s + harm[0].duration_s))
    good = [g / max(1, o) for g, o in zip(of["good"], of["offered"], strict=True)]
    return {
        "goodput_harmed": sum(of["good"][at:end]) / max(1, sum(of["offered"][at:end])),
        "recovery_s": float(recovered(good, at, int(world.duration_s))),
    }


def recovered(good: list[float], at: int, end: int) -> int:
    """Seconds from `at` until `good` is back for good enough; its own worth before `at` is the measure."""
    before = sum(good[at // 2 : at]) / max(1, at - at // 2)
    for second in range(at, end - STAYS_S + 1):
        if all(g >= BACK * before for g in good[second : second + STAYS_S]):
            return second - at
    return end - at


def _worst(ends: dict[str, dict[str, Any]], by: str) -> float:
    found: dict[str, list[bool]] = defaultdict(list)
    for e in ends.values():
        found[e[by]].append(e["good"])
    return min((float(np.mean(good)) for good in found.values()), default=0.0)


def _worst_due(world: FleetScenario, ends: dict[str, dict[str, Any]], due: dict[str, float]) -> float:
    found: dict[str, list[bool]] = defaultdict(list)
    for e in ends.values():
        found[e["member"]].append(e["good"])
    return min(
        (
            sum(good) / min(len(good), due[member] * world.duration_s)
            for member, good in found.items()
            if due.get(member)
        ),
        default=0.0,
    )


def series(world: FleetScenario, played: Played) -> dict[str, Any]:
    """By second of the run, for the plots: offered, committed in time, revenue, retries; and hops by
    endpoint."""
    start, size = played.seen.start_us, int(world.duration_s) + 3
    profiles = {p.name: p for p in world.request_classes}
    found = {name: np.zeros(size) for name in ("offered", "good", "revenue", "worth", "retries", "calls")}

    def second(us: int) -> int:
        return min(size - 1, max(0, (us - start) // 1_000_000))

    calls = {c["id"]: c for c in played.seen.calls}
    for call in calls.values():
        found["calls"][second(call["began_us"])] += 1
        if "call" in call:
            continue
        profile = profiles[call["profile"]]
        if call["id"].endswith("-1"):
            found["offered"][second(call["due_us"])] += 1
            found["worth"][second(call["due_us"])] += profile.revenue
        if call["status"] == 200 and call["ended_us"] - call["due_us"] <= profile.goal_ms * 1000:
            found["good"][second(call["due_us"])] += 1
            found["revenue"][second(call["due_us"])] += profile.revenue
    names = [f"{tier.name}{n}" for tier in world.fleet.tiers for n in range(tier.endpoint_count)]
    heat = {name: np.zeros(size, int) for name in names}
    seen: set[str] = set()
    for hop in sorted(played.seen.attempts, key=lambda hop: hop["came_us"]):
        heat[hop["endpoint"]][second(hop["came_us"])] += 1
        found["retries"][second(hop["came_us"])] += hop["id"] in seen
        seen.add(hop["id"])
    return {
        **{name: of.tolist() for name, of in found.items()},
        "heat": {k: v.tolist() for k, v in heat.items()},
        "latency_ms": _quantiles(played),
    }


def _quantiles(played: Played) -> list[tuple[float, float]]:
    """(quantile, milliseconds) of the tries of clients, from when their transaction was due."""
    took = [c["ended_us"] - c["due_us"] for c in played.seen.calls if "call" not in c]
    if not took:
        return []
    at = [0.0, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100]
    return list(zip(at, (np.percentile(took, at) / 1000).tolist(), strict=True))


def paired(mine: list[float], other: list[float], seed: int = 1) -> dict[str, float]:
    """Mean of the differences of pairs (mine less other), with the 95% interval of a bootstrap over pairs
    (Efron 1979). With one pair the interval is that pair: nothing is known of its spread."""
    apart: npt.NDArray[np.float64] = np.array(mine) - np.array(other)
    chance = np.random.Generator(np.random.PCG64(seed))
    means = apart[chance.integers(0, len(apart), (DRAWS, len(apart)))].mean(axis=1)
    low, high = np.percentile(means, [2.5, 97.5])
    return {"mean": float(apart.mean()), "low": float(low), "high": float(high), "pairs": len(apart)}


def compared(by_arm: dict[str, list[dict[str, float]]]) -> dict[str, dict[str, dict[str, float]]]:
    """Each arm after the first against the first, figure by figure."""
    first, *others = by_arm
    return {
        arm: {
            name: paired([r[name] for r in by_arm[arm]], [r[name] for r in by_arm[first]]) for name in BETTER
        }
        for arm in others
    }
