"""Judges the four rules from ledgers: the clients', the endpoints', and the list as each sidecar was told it.

No I/O here; `evidence` gathers rows, `judge` names for each break its rule, the transaction and what shows
it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

from cressrail.load.plan import Idempotency
from cressrail.testbed.scenario import FleetScenario, RequestClass

Row = dict[str, Any]
TOGETHER_US = 50_000  # hops that overlap by less may be a close that was under way
SENT_US = 20_000  # a hop seen this long after the grace may have been on its way
WINDOW_US = 10_000_000  # of the budget of retries
BUDGET_PART = 0.1


@dataclass(frozen=True)
class Break:
    rule: int  # 1 to 4; 0: the design's budget of retries
    tx: str
    evidence: str


@dataclass
class Evidence:
    calls: list[Row] = field(default_factory=list)  # a try each, of clients and of endpoints that call on
    hops: list[Row] = field(default_factory=list)  # as endpoints saw them
    told: list[Row] = field(default_factory=list)  # to which sidecar, of which endpoint, which phase, when
    started: list[Row] = field(default_factory=list)
    surplus: list[Row] = field(default_factory=list)
    sidecars: dict[str, Row] = field(default_factory=dict)  # by the address that its clients use
    faults: list[Row] = field(default_factory=list)
    failed: list[Row] = field(default_factory=list)
    start_us: int = 0


def evidence(load: Iterable[Row], fleet: Iterable[Row]) -> Evidence:
    found = Evidence()
    for row in load:
        (found.surplus if "surplus" in row else found.calls).append(row)
    for row in fleet:
        if "call" in row:
            found.calls.append(row)
        elif "came_us" in row:
            found.hops.append(row)
        elif "told" in row:
            found.told.append(row)
        elif "started" in row:
            found.started.append(row)
        elif "surplus" in row:
            found.surplus.append(row)
        elif "sidecar" in row:
            found.sidecars[row["target"]] = row
        elif "fault" in row:
            found.faults.append(row)
        elif "start_us" in row:
            found.start_us = row["start_us"]
        elif "failed" in row:
            found.failed.append(row)
    return found


def judge(world: FleetScenario, seen: Evidence) -> list[Break]:
    profiles = {p.name: p for p in world.request_classes}
    by_tx: dict[str, list[Row]] = defaultdict(list)
    for hop in seen.hops:
        by_tx[hop["id"]].append(hop)
    for hops in by_tx.values():
        hops.sort(key=lambda hop: hop["came_us"])
    broken: list[Break] = []
    for call in seen.calls:
        broken += _answered(world, call, by_tx.get(call["id"], []))
        broken += _no_effect_twice(
            world, profiles[call["profile"]], call, by_tx.get(call["id"], []), seen.faults
        )
    broken += [
        Break(1, "", f"{row['surplus']} bytes after a final answer on a connection of {row['target']}")
        for row in seen.surplus
    ]
    return broken + _drains_kept(world, seen) + _cold_kept(world, seen) + _budget_kept(seen, by_tx)


def _ms(us: int) -> str:
    return f"{us / 1000:.1f} ms"


def _answered(world: FleetScenario, call: Row, hops: list[Row]) -> list[Break]:
    """Rule 1. One that was never written whole was not taken; a client that gave up early had left."""
    took = call["ended_us"] - (call["sent_us"] or call["began_us"])
    whole = call["limit_us"] + int(world.rules.lateness_ms * 1000)
    how = call["how"]
    if not call["sent_us"] or how in ("no connection", "caller died"):
        return []
    # A close may cross a request that was not read, which its client then sends once more. One that an
    # endpoint had seen by then had been read, whatever became of the second sending. Guards against a lost
    # transaction that shows as a repeat only.
    if again := call.get("again_us"):
        seen = next((h for h in hops if h["came_us"] <= again), None)
        if seen is not None:
            return [
                Break(
                    1,
                    call["id"],
                    f"closed without an answer after {seen['endpoint']} had it, at {call['target']}",
                )
            ]
    if how in ("reset", "not http"):
        return [
            Break(1, call["id"], f"no answer: {how} after {_ms(took)}, {len(hops)} hops, at {call['target']}")
        ]
    if how == "gave up":
        if world.load.client_behaviour.patience_share < 1 and "call" not in call:
            return []
        return [
            Break(
                1,
                call["id"],
                f"no answer within {_ms(call['limit_us'])} at {call['target']}, {len(hops)} hops",
            )
        ]
    if took > whole:
        return [Break(1, call["id"], f"answered after {_ms(took)}, limit {_ms(call['limit_us'])}")]
    if call["status"] == 200 and call["echo"] != call["id"]:
        return [Break(1, call["id"], f"committed with an answer made for {call['echo'] or 'nobody'}")]
    if call["status"] == 200 and not any(h["how"] in ("committed", "repeat") for h in hops):
        return [Break(1, call["id"], "committed, but no endpoint committed it")]
    return []


def _no_effect_twice(
    world: FleetScenario, profile: RequestClass, call: Row, hops: list[Row], faults: list[Row]
) -> list[Break]:
    """Rule 2. Hops to endpoints that a cut zone hid are not seen to end, so they prove no overlap."""
    broken: list[Break] = []
    ran = [h for h in hops if h["ran"] or h.get("repeat")]
    if profile.idempotency != Idempotency.IDEMPOTENT and ran:
        first = ran[0]
        where = f"{first['endpoint']} at {first['came_us']}"
        group = {"all": "", "zone": "zone", "cell": "cell"}[profile.key_scope]
        for later in (h for h in hops if h["came_us"] > first["came_us"] and h is not first):
            apart = later["came_us"] - first["came_us"]
            if profile.idempotency == Idempotency.NON_IDEMPOTENT:
                broken.append(
                    Break(
                        2,
                        call["id"],
                        f"non-idempotent, ran on {where} and was sent to "
                        f"{later['endpoint']} {_ms(apart)} later",
                    )
                )
            elif not call["key"]:
                broken.append(
                    Break(2, call["id"], f"no key, ran on {where}, sent again to {later['endpoint']}")
                )
            elif group and later[group] != first[group]:
                broken.append(
                    Break(
                        2,
                        call["id"],
                        f"journalled, ran on {where} in {group} {first[group]}, sent to "
                        f"{later['endpoint']} in {group} {later[group]}",
                    )
                )
            elif apart > profile.idempotency_window_ms * 1000 + TOGETHER_US:
                broken.append(
                    Break(
                        2,
                        call["id"],
                        f"journalled, sent again {_ms(apart)} after {where}, window "
                        f"{profile.idempotency_window_ms:.0f} ms",
                    )
                )
        if (
            call["status"] == 503
            and call["how"] == "answered"
            and (profile.idempotency == Idempotency.NON_IDEMPOTENT or group)
        ):
            broken.append(Break(2, call["id"], f"rolled back, but it ran on {where} ({first['how']})"))
    cuts = any(f["fault"] == "cut" for f in faults)
    for a, b in pairwise(hops):
        if not cuts and b["came_us"] < a["left_us"] - TOGETHER_US:
            broken.append(
                Break(
                    2,
                    call["id"],
                    f"two hops out: {a['endpoint']} until {a['left_us']}, "
                    f"{b['endpoint']} from {b['came_us']}",
                )
            )
    return broken


def _drains_kept(world: FleetScenario, seen: Evidence) -> list[Break]:
    """Rule 3. Which sidecar sent a hop follows from its call; what that one had been told, from discovery's
    agent."""
    by_call = {c["id"]: seen.sidecars.get(c["target"], {}).get("sidecar", "") for c in seen.calls}
    told: dict[tuple[str, str], list[tuple[int, str]]] = defaultdict(list)
    for row in seen.told:
        told[row["told"], row["endpoint"]].append((row["at_us"], row["phase"]))
    grace = int(world.rules.drain_grace_ms * 1000) + SENT_US
    broken = []
    for hop in seen.hops:
        sidecar = by_call.get(hop["id"], "")
        phase, since = "up", 0
        for at, said in told.get((sidecar, hop["endpoint"]), []):
            if at > hop["came_us"]:
                break
            if said != phase:
                # draining and gone are one for this: nothing new
                since = at if phase == "up" or said == "up" else since
                phase = said
        if phase != "up" and hop["came_us"] > since + grace:
            broken.append(
                Break(
                    3,
                    hop["id"],
                    f"{sidecar} was told that {hop['endpoint']} is {phase} and sent to it "
                    f"{_ms(hop['came_us'] - since)} later",
                )
            )
    return broken


def _cold_kept(world: FleetScenario, seen: Evidence) -> list[Break]:
    """Rule 4. Work sent within any window, by all sidecars, against what a cold endpoint can do in it. A
    little slack for chance: the three heaviest hops of the window do not count."""
    contract, rules = world.fleet.contract, world.rules
    by_endpoint: dict[str, list[Row]] = defaultdict(list)
    for hop in seen.hops:
        by_endpoint[hop["endpoint"]].append(hop)
    broken = []
    span, warm = int(rules.overload_window_ms * 1000), int(contract.warmup_ms * 1000)
    for start in seen.started:
        name, at = start["started"], start["at_us"]
        cold = sorted(
            (h for h in by_endpoint[name] if at <= h["came_us"] < at + warm), key=lambda h: h["came_us"]
        )
        tier = next(
            (t for t in world.fleet.tiers if name.startswith(t.name) and name[len(t.name) :].isdigit()), None
        )
        assert tier is not None
        for last in cold:
            within = [h for h in cold if last["came_us"] - span < h["came_us"] <= last["came_us"]]
            sent = sum(sorted(h["work_us"] for h in within)[:-3])
            age = (last["came_us"] - at) / warm
            may = (
                rules.overload_multiple
                * span
                * tier.cores
                * (contract.initial_share + (1 - contract.initial_share) * age)
            )
            if sent > may:
                broken.append(
                    Break(
                        4,
                        last["id"],
                        f"{name}, cold for {_ms(last['came_us'] - at)}, was sent "
                        f"{_ms(sent)} of work within {_ms(span)}; it may get {_ms(int(may))}",
                    )
                )
                break
    return broken


def _budget_kept(seen: Evidence, by_tx: dict[str, list[Row]]) -> list[Break]:
    """The design's own bound, by sidecar: in no window more retries seen by endpoints than a tenth of the
    transactions. Of hops that reached no endpoint nothing is seen here, so this may miss, but does not accuse
    wrongly."""
    broken = []
    by_sidecar: dict[str, list[Row]] = defaultdict(list)
    for call in seen.calls:
        if call["sent_us"]:
            by_sidecar[call["target"]].append(call)
    for target, calls in by_sidecar.items():
        retries = sorted(h["came_us"] for c in calls for h in by_tx.get(c["id"], [])[1:])
        taken = sorted(c["sent_us"] for c in calls)
        lo = first = 0
        for n, at in enumerate(retries, 1):
            while retries[lo] <= at - WINDOW_US:
                lo += 1
            while first < len(taken) and taken[first] <= at - WINDOW_US:
                first += 1
            among = sum(1 for t in taken[first:] if t <= at)
            if n - lo > BUDGET_PART * among + 1:
                broken.append(
                    Break(0, "", f"{n - lo} retries for {among} transactions within 10 s at {target}")
                )
                break
    return broken
