"""Copies, zones and traffic in virtual time, from one seed: what comes of decisions in common.

Traffic is a flow, not transactions; what each zone bears, who is cut from whom and who is stopped is known
here and nowhere else. The same reducer as in service."""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator

from cressrail.failover.messages import (
    AWAY,
    Adopted,
    Command,
    Epoch,
    Evidence,
    LogEvent,
    Post,
    Settings,
    Spread,
    Toward,
    ZoneTopology,
)
from cressrail.failover.state_machine import FailoverStateMachine, Fleet
from cressrail.policy.random_generator import RandomGenerator

SECOND = 1_000_000
TICK_US = 100_000
KNOWN_US = 5 * SECOND  # until a death, or a cut of all ways, is known to those that live
HOP_US = (200, 3000)  # a datagram's time
ROUND_US = (100_000, 800_000)  # until news by way of others are there
LATE_FROM, LATE_AT_BOUND = 0.85, 0.1  # of what a zone bears, and the share of hops that are late at its bound
GOOD = 0.9  # of what can be reached at best


class Strict(BaseModel):
    model_config = ConfigDict(extra="forbid")


class ZoneWords(Strict):
    name: str
    region: str = ""
    bears: float = Field(100.0, ge=0)  # a second, when warm
    demand: float = Field(50.0, ge=0)
    copies: int = Field(4, ge=0, le=2048)


class FaultWords(Strict):
    """`lose`: a zone's endpoints are down; `fail`: they answer with errors; `slow`: they bear `value` of it;
    `flap`: lost for `every_s`, there for `every_s`. `cut`: endpoints of `to` can't be reached from `zone`;
    `apart`: copies of these zones and the others don't hear each other; `deaf`: copies of `zone` don't hear
    those of `to`. `stall`, `kill`: copies, `who` of them or whoever decides; `lie`: one that says all fail.
    `drain`: an operator's wish; `surge`: traffic of a zone is `value` times as much."""

    kind: Literal[
        "lose", "fail", "slow", "flap", "cut", "apart", "deaf", "stall", "kill", "lie", "drain", "surge"
    ]
    at_s: float = Field(ge=0)
    for_s: float = Field(10.0, gt=0)
    zone: str = ""
    zones: list[str] = Field(default_factory=list)
    to: str = ""
    who: str = "decides"  # or `half`, or a number
    value: float = 0.5
    every_s: float = Field(5.0, gt=0)


class Scenario(Strict):
    name: str = "scenario"
    seconds: float = Field(60.0, gt=0, le=3600)
    warm_s: float = Field(10.0, gt=0)
    cold_from: float = Field(0.2, gt=0, le=1)
    bear_pause_ms: int = Field(3000, ge=300)
    loss: float = Field(0.0, ge=0, lt=1)
    together: bool = True  # false: each copy for itself
    zones: list[ZoneWords] = Field(min_length=1, max_length=8)
    faults: list[FaultWords] = Field(default_factory=list)

    @model_validator(mode="after")
    def _names_what_is_there(self) -> Scenario:
        names = {zone.name for zone in self.zones}
        for n, fault in enumerate(self.faults):
            for word in (fault.zone, fault.to, *fault.zones):
                if word and word not in names:
                    raise ValueError(f"faults.{n}: no zone is {word[:40]}")
        return self


@dataclass
class Copy:
    number: int
    zone: int
    reducer: FailoverStateMachine
    up: bool = True
    stalled: bool = False
    lies: bool = False
    since_us: int = 0  # that it runs
    queue: list[tuple[int, bytes]] = field(default_factory=list)
    window: deque[list[list[float]]] = field(default_factory=lambda: deque(maxlen=15))
    own_away: dict[int, int] = field(default_factory=dict)  # by own judgement, until when


class World:
    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.chance = scenario, RandomGenerator(seed)
        self.now = 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.event_no = 0
        names = tuple(zone.name for zone in scenario.zones)
        self.map = ZoneTopology(names, tuple(zone.region for zone in scenario.zones))
        n = len(names)
        self.up = [True] * n  # a zone's endpoints
        self.failing = [False] * n
        self.slowness = [1.0] * n
        self.warm_from = [-(1 << 50)] * n
        self.surge = [1.0] * n
        self.cut: set[tuple[int, int]] = set()
        self.apart: list[frozenset[int]] = []
        self.healed_us = 0
        self.deaf: set[tuple[int, int]] = set()
        self.copies: dict[int, Copy] = {}
        for z, zone in enumerate(scenario.zones):
            for _ in range(zone.copies):
                self._start(len(self.copies) + 1, z)
        self.seen_by: dict[int, tuple[int, Fleet]] = {}
        self.log: list[str] = []
        self.epochs = 0
        self.moves = 0  # of a zone away, or back
        self.away = [False] * n
        self.decided: dict[Epoch, tuple[int, Copy]] = {}  # when, and by whom
        self.rows: list[dict[str, float]] = []
        self.disagreed_us = 0
        for fault in scenario.faults:
            self._plan_fault(fault)
        self._at(TICK_US, self._tick)

    def _start(self, number: int, zone: int) -> None:
        told = self.scenario
        settings = Settings(
            self.map, zone, told.cold_from, int(told.warm_s * SECOND), told.bear_pause_ms * 1000
        )
        copy = Copy(
            number,
            zone,
            FailoverStateMachine(settings, number, RandomGenerator(self.chance.below(1 << 32)), self.now),
        )
        copy.since_us = self.now
        self.copies[number] = copy
        self._carry(copy, copy.reducer.start(self.now))
        self._wake(copy)

    # Time

    def _at(self, when_us: int, what: Callable[[], None]) -> None:
        self.event_no += 1
        heappush(self.events, (when_us, self.event_no, what))

    def run(self, until_us: int) -> None:
        while self.events and self.events[0][0] <= until_us:
            self.now, _, what = heappop(self.events)
            what()
        self.now = until_us

    def _wake(self, copy: Copy) -> None:
        due_us = copy.reducer.wake_us

        def wake() -> None:
            if not copy.up or self.copies.get(copy.number) is not copy:
                return
            if copy.stalled:
                self._at(self.now + TICK_US, wake)
                return
            self._carry(copy, copy.reducer.woke(self.now))
            self._wake(copy)

        self._at(max(self.now, due_us), wake)

    # Talk

    def _carry(self, copy: Copy, effects: list[Command]) -> None:
        for effect in effects:
            if isinstance(effect, Post):
                self._send(copy, effect.to, effect.text, self._drawn(HOP_US), copy.number)
            elif isinstance(effect, Spread):
                for other in self.copies.values():
                    if other is not copy and self._path(copy, other):
                        self._send(copy, other.number, effect.text, self._drawn(ROUND_US), 0)
            elif isinstance(effect, Adopted):
                self._adopted(copy, effect)
            elif isinstance(effect, LogEvent):
                self.log.append(f"{self.now} {copy.number} {effect.event} {sorted(effect.fields.items())}")

    def _adopted(self, copy: Copy, effect: Adopted) -> None:
        decision = effect.decision
        self.log.append(f"{self.now} {copy.number} adopts {decision.epoch} {decision.shares}")
        if decision.by == copy.number:
            self.epochs += 1
            self.decided[decision.epoch] = (self.now, copy)
            states = [zone.state == AWAY for zone in decision.zones]
            self.moves += sum(a != b for a, b in zip(states, self.away, strict=True))
            self.away = states

    def _drawn(self, span: tuple[int, int]) -> int:
        return span[0] + self.chance.below(span[1] - span[0])

    def _hears(self, by: Copy, of: Copy) -> bool:
        """Whether datagrams of one reach another, and it runs."""
        if not of.up or not by.up or (of.zone, by.zone) in self.deaf:
            return False
        return all((of.zone in part) == (by.zone in part) for part in self.apart)

    def _path(self, a: Copy, b: Copy) -> bool:
        """By way of others: only a cut of all ways stops that."""
        return b.up and all((a.zone in part) == (b.zone in part) for part in self.apart)

    def _send(self, copy: Copy, to: int, text: bytes, span_us: int, by: int) -> None:
        other = self.copies.get(to)
        if other is None or (by and not self._hears(other, copy)):
            return
        if by and self.chance.fraction() < self.scenario.loss:
            return

        def arrive() -> None:
            if not other.up or self.copies.get(to) is not other:
                return
            if other.stalled:
                other.queue.append((by, text))
            else:
                self._carry(other, other.reducer.heard(self.now, by, text))

        self._at(self.now + span_us, arrive)

    def _members(self, copy: Copy) -> None:
        """As membership tells it: at once who is there, after a while who is not."""
        others = [o for o in self.copies.values() if o is not copy]
        living = {o.number: o.zone for o in others if self._path(copy, o)}
        silent = [o for o in others if o.up and o.number not in living]
        new = Fleet(living, 1 + len(living) + len(silent), bool(living))
        at, before = self.seen_by.get(copy.number, (0, new))
        if before.living.keys() - living.keys() and self.now - at < KNOWN_US:
            new = Fleet({**before.living, **living}, max(before.known, new.known), before.sure)
        else:
            self.seen_by[copy.number] = (self.now, new)
        copy.reducer.members(new)

    # Faults

    def _plan_fault(self, fault: FaultWords) -> None:
        at, end = int(fault.at_s * SECOND), int((fault.at_s + fault.for_s) * SECOND)
        if fault.kind == "flap":
            span, on = int(fault.every_s * SECOND), True
            while at < end:
                self._at(at, lambda on=on: self._fault(fault, on))  # type: ignore[misc]
                at, on = at + span, not on
            self._at(end, lambda: self._fault(fault, False))
            return
        chosen: list[Copy] = []
        self._at(at, lambda: self._fault(fault, True, chosen))
        self._at(end, lambda: self._fault(fault, False, chosen))

    def _fault(self, fault: FaultWords, on: bool, chosen: list[Copy] | None = None) -> None:
        names = list(self.map.zones)
        z = names.index(fault.zone) if fault.zone else -1
        to = names.index(fault.to) if fault.to else -1
        self.log.append(f"{self.now} {fault.kind} {on}")
        if fault.kind in ("lose", "flap"):
            if on is self.up[z]:
                self.up[z] = not on
                self.warm_from[z] = self.now if not on else self.warm_from[z]
        elif fault.kind == "fail":
            self.failing[z] = on
        elif fault.kind == "slow":
            self.slowness[z] = fault.value if on else 1.0
        elif fault.kind == "surge":
            self.surge[z] = fault.value if on else 1.0
        elif fault.kind == "cut":
            (self.cut.add if on else self.cut.discard)((z, to))
        elif fault.kind == "apart":
            part = frozenset(names.index(name) for name in fault.zones)
            (self.apart.append if on else self.apart.remove)(part)
            self.healed_us = self.now
        elif fault.kind == "deaf":
            (self.deaf.add if on else self.deaf.discard)((to, z))
        elif fault.kind == "drain":
            until = int((fault.at_s + fault.for_s) * SECOND) if on else 0
            for copy in [c for c in self.copies.values() if c.up and not c.stalled][:1]:
                self._carry(copy, copy.reducer.wish(self.now, z, until))
        elif chosen is not None:
            self._to_copies(fault, on, chosen)

    def _to_copies(self, fault: FaultWords, on: bool, chosen: list[Copy]) -> None:
        if on:
            up = [copy for copy in self.copies.values() if copy.up]
            if fault.who == "decides":
                chosen += [c for c in up if c.reducer.leader == c.number]
            elif fault.who == "half":
                chosen += up[::2]
            else:
                chosen += [c for c in up if c.number == int(fault.who)]
        for copy in chosen:
            if fault.kind == "lie":
                copy.lies = on
            elif fault.kind == "stall":
                copy.stalled = on
                if not on:
                    copy.since_us = self.now
                    queue, copy.queue = copy.queue, []
                    for by, text in queue:
                        self._carry(copy, copy.reducer.heard(self.now, by, text))
            elif fault.kind == "kill":
                copy.up = False
                if not on:
                    self._start(copy.number, copy.zone)

    # Traffic

    def bears(self, w: int) -> float:
        if not self.up[w]:
            return 0.0
        told = self.scenario
        age = (self.now - self.warm_from[w]) / (told.warm_s * SECOND)
        return told.zones[w].bears * self.slowness[w] * min(1.0, told.cold_from + (1 - told.cold_from) * age)

    def _wants(self, copy: Copy) -> list[float]:
        """Shares of its traffic to each zone, as it goes by now."""
        n = len(self.map.zones)
        own = [0.0] * n
        order = sorted(range(n), key=lambda w: (self.map.near(copy.zone, w), (w - copy.zone) % n))
        open_ = [w for w in order if copy.own_away.get(w, 0) <= self.now]
        own[(open_ or order)[0]] = 1.0
        shares, part = copy.reducer.shares(self.now) if self.scenario.together else ((), 0.0)
        if not part:
            return own
        return [part * s + (1 - part) * o for s, o in zip(shares, own, strict=True)]

    def _tick(self) -> None:
        n = len(self.map.zones)
        self._at(self.now + TICK_US, self._tick)
        running = [copy for copy in self.copies.values() if copy.up and not copy.stalled]
        per_zone = [sum(1 for c in running if c.zone == z) for z in range(n)]
        demand = [z.demand * s for z, s in zip(self.scenario.zones, self.surge, strict=True)]
        flows = {}
        loads = [0.0] * n
        sent_in = [0.0] * n  # from other zones, by decision
        for copy in running:
            self._members(copy)
            mine = demand[copy.zone] / per_zone[copy.zone]
            flows[copy.number] = [mine * share for share in self._wants(copy)]
            decided = copy.reducer.shares(self.now)[1] >= 1 and self.scenario.together
            for w in range(n):
                if decided and w != copy.zone and (copy.zone, w) not in self.cut:
                    sent_in[w] += flows[copy.number][w]
                if (copy.zone, w) not in self.cut:
                    loads[w] += flows[copy.number][w]
        bears = [self.bears(w) for w in range(n)]
        # Some are late from a little below its bound on; more than that where it is far over.
        on_time = [self._on_time(loads[w], bears[w]) for w in range(n)]
        good = near = region = 0.0
        for copy in running:
            seen = []
            for w in range(n):
                flow = flows[copy.number][w]
                reached = self.up[w] and (copy.zone, w) not in self.cut
                fine = flow * on_time[w] if reached and not self.failing[w] else 0.0
                good += fine
                near += fine * (w == copy.zone)
                region += fine * (self.map.near(copy.zone, w) <= 1)
                seen.append(
                    [
                        flow,
                        flow * (not reached),
                        flow * (reached and self.failing[w]),
                        flow * (1 - on_time[w]) * (reached and not self.failing[w]),
                    ]
                )
                self._own_judgement(copy, w, seen[-1])
            copy.window.append(seen)
            copy.reducer.saw(self._evidence(copy, demand[copy.zone] / per_zone[copy.zone], len(running)))
        self._note(demand, per_zone, loads, sent_in, bears, good, near, region)

    @staticmethod
    def _on_time(load: float, bears: float) -> float:
        used = load / bears if bears else 2.0 if load else 0.0
        if used <= LATE_FROM:
            return 1.0
        if used <= 1:
            return 1 - LATE_AT_BOUND * (used - LATE_FROM) / (1 - LATE_FROM)
        return (1 - LATE_AT_BOUND) / used * (0.7 if used > 1.3 else 1.0)

    def _own_judgement(self, copy: Copy, w: int, seen: list[float]) -> None:
        """A copy for itself: turns away from a zone of which half fails, and tries it again after a while."""
        if seen[0] > 0 and sum(seen[1:]) >= 0.5 * seen[0] and copy.own_away.get(w, 0) <= self.now:
            copy.own_away[w] = self.now + 2 * SECOND + self.chance.below(2 * SECOND)

    def _evidence(self, copy: Copy, demand: float, copies: int) -> Evidence:
        n = len(self.map.zones)
        towards = []
        for w in range(n):
            hops, unreached, failed, late = (
                sum(tick[w][k] for tick in copy.window) * TICK_US / SECOND for k in range(4)
            )
            if copy.lies:
                unreached, failed, late = 0.0, max(hops, 50.0), 0.0
                hops = failed
            # What limits say: more of a zone that is used.
            bears = self.scenario.zones[w].bears / max(1, copies) * (0.9 if hops > 0.5 else 0.75)
            whole = [round(hops), round(unreached), round(failed), round(late)]
            whole[0] = max(whole[0], sum(whole[1:]))
            towards.append(Toward(whole[0], whole[1], whole[2], whole[3], bears))
        return Evidence(copy.zone, demand, tuple(towards))

    def _note(
        self,
        demand: list[float],
        per_zone: list[int],
        loads: list[float],
        sent_in: list[float],
        bears: list[float],
        good: float,
        near: float,
        region: float,
    ) -> None:
        came = sum(d for d, copies in zip(demand, per_zone, strict=True) if copies)
        best = min(came, sum(b for w, b in enumerate(bears) if not self.failing[w]))
        # Over its bound by this part's doing: own traffic alone would not be.
        over = max(
            (
                load / b
                for load, into, b in zip(loads, sent_in, bears, strict=True)
                if b and into > 0.01 * b and load - into <= b
            ),
            default=0.0,
        )
        self.rows.append(
            {
                "at_s": self.now / SECOND,
                "came": came,
                "good": good,
                "near": near,
                "region": region,
                "best": best,
                "over": over,
            }
        )
        # How long a decision was there that one who hears whoever took it does not go by.
        for copy in self.copies.values():
            if not copy.up or copy.stalled or self.now - copy.since_us < KNOWN_US:
                continue
            held = copy.reducer.decision.epoch if copy.reducer.decision is not None else Epoch(0, 0)
            for epoch, (at_us, other) in self.decided.items():
                if epoch > held and other.up and self._path(copy, other):
                    begun = max(at_us, copy.since_us, self.healed_us)
                    self.disagreed_us = max(self.disagreed_us, self.now - begun)

    # What came of it

    def figures(self) -> dict[str, Any]:
        told = self.scenario
        first = min((fault.at_s for fault in told.faults), default=0.0)
        after = [row for row in self.rows if row["at_s"] > first]
        back = next(
            (
                row["at_s"] - first
                for k, row in enumerate(after)
                if all(r["good"] >= GOOD * r["best"] for r in after[k : k + 10])
            ),
            None,
        )
        calm = [row for row in self.rows if told.seconds / 10 < row["at_s"] <= (first or told.seconds)]
        came = sum(row["came"] for row in self.rows)
        return {
            "name": told.name,
            "epochs": self.epochs,
            "disagreed_s": self.disagreed_us / SECOND,
            "moves": self.moves,
            "goodput": round(sum(row["good"] for row in self.rows) / max(1e-9, came), 4),
            "of_best": round(
                sum(row["good"] for row in self.rows) / max(1e-9, sum(row["best"] for row in self.rows)), 4
            ),
            "near_share": round(
                sum(row["near"] for row in calm) / max(1e-9, sum(row["good"] for row in calm)), 4
            ),
            "peak_over_bound": round(max((row["over"] for row in after), default=0.0), 3),
            "recovery_s": round(back, 1) if back is not None else None,
            "digest": hashlib.blake2b("\n".join(self.log).encode(), digest_size=16).hexdigest(),
        }


def simulate(scenario: Scenario, seed: int) -> dict[str, Any]:
    world = World(scenario, seed)
    world.run(int(scenario.seconds * SECOND))
    return world.figures()
