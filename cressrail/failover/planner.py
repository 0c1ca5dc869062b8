"""How much moves: from one picture of all zones to the shares of each caller's zone.

Own zone first, then its region, then beyond; to receivers by what they have to spare, never more than they
bear; what nobody bears is left over. A zone that was away comes back by steps, more slowly each time it fails
again."""

from __future__ import annotations

from dataclasses import dataclass, replace

from cressrail.failover.evidence import Picture
from cressrail.failover.messages import (
    ASKED,
    AWAY,
    CROWDED,
    DRAINED,
    FAILING,
    FINE,
    NOWHERE,
    PARTS,
    PROVING,
    REDUCED,
    RETURNING,
    SERVING,
    UNREACHED,
    Zone,
    ZoneTopology,
)

SECOND = 1_000_000
SPARE = 0.9  # of what a zone bears is the most that others send there
CROWD = 0.06  # late and failed among hops: more than it bears
EASE = 0.97  # of what a crowded zone carried well is what it is taken to bear
USED = 0.8  # of what it bears is carried: it may bear more than was seen so far,
GROW = 0.12  # by so much a second
STEP = 0.3  # of what a zone bears: by so much a second more is sent there from outside
TRICKLE = 0.01  # of all traffic goes to a zone that is away, to see whether it is still,
TRICKLE_LEAST = 2.0  # and so many a second at the least, from all copies together
PROOF, PROOF_HOPS = 0.9, 5  # ended well of those of late, ever since so many: it may return
FORGET_US = 120 * SECOND  # half of what is remembered of failures is forgotten
RELAPSE = 0.5  # of a failure: one that fails again while it proves itself
MOST_FLAPS = 5.0  # each doubles the proof that is wanted, and the time of a return
ROUNDS = 4  # of giving out what is over
STEADY_US = SECOND  # half of a change in traffic is believed in that
SAME = 0.05  # a share that differs by less is no other decision
TINY = 1e-9


@dataclass(slots=True)
class Standing:
    """How one zone stands with the one who decides."""

    state: int = SERVING
    why: int = FINE
    since_us: int = 0
    bears: float = 0.0
    ramp: float = 1.0  # of what it bears
    flaps: float = 0.0  # failures of late
    bound: bool = False  # it was seen to bear no more, and is still used
    proved: float = 0.0  # hops while it is away, since some last ended badly
    inbound: float = 0.0  # a second, from other zones, by the last plan


@dataclass(frozen=True, slots=True)
class Plan:
    zones: tuple[Zone, ...]
    shares: tuple[tuple[float, ...], ...]
    loads: tuple[float, ...]  # that each zone gets by it, a second

    def differs(self, zones: tuple[Zone, ...], shares: tuple[tuple[float, ...], ...]) -> bool:
        if [(z.state, z.why) for z in self.zones] != [(z.state, z.why) for z in zones]:
            return True
        return any(
            abs(a - b) > SAME
            for mine, theirs in zip(self.shares, shares, strict=True)
            for a, b in zip(mine, theirs, strict=True)
        )


class Planner:
    """Owned by the copy that decides; what it remembers begins anew with each one who does."""

    def __init__(self, map_: ZoneTopology, cold_from: float, warm_us: int, window_us: int, now: int) -> None:
        self.map, self.cold_from, self.warm_us, self.window_us = map_, cold_from, warm_us, window_us
        self.standing = [Standing(since_us=now) for _ in map_.zones]
        self.planned_us = now
        self.demand: list[float] = []

    def take_over(self, now: int, zones: tuple[Zone, ...]) -> None:
        """From the decision of whoever decided before."""
        for standing, zone in zip(self.standing, zones, strict=True):
            standing.state, standing.why, standing.since_us = zone.state, zone.why, zone.since_us
            standing.ramp = 0.0 if zone.state in (AWAY, DRAINED) else 1.0
            if zone.state == RETURNING:
                standing.ramp = self._begin(standing)

    def plan(self, now: int, seen: Picture, drained: frozenset[int]) -> Plan:
        passed_us, self.planned_us = max(0, now - self.planned_us), now
        for w, standing in enumerate(self.standing):
            self._judge(now, passed_us, w, standing, seen, w in drained)
        part = 1 - 0.5 ** (passed_us / STEADY_US)
        before = self.demand or list(seen.demand)
        self.demand = [a + (b - a) * part for a, b in zip(before, seen.demand, strict=True)]
        return self._share(now, passed_us, replace(seen, demand=tuple(self.demand)))

    # How each zone stands

    def _judge(
        self, now: int, passed_us: int, w: int, standing: Standing, seen: Picture, drained: bool
    ) -> None:
        standing.flaps *= 0.5 ** (passed_us / FORGET_US)
        self._weigh(passed_us, w, standing, seen)
        why = FAILING if seen.failing[w] else UNREACHED if seen.lost[w] else FINE
        if drained:
            if standing.state != DRAINED:
                self._set(now, standing, DRAINED, ASKED)
            standing.ramp = 0.0
        elif standing.state == DRAINED:  # as one that returns: it may have been empty for long
            self._set(now, standing, RETURNING, PROVING)
            standing.ramp = self._begin(standing)
        elif why:
            if standing.state != AWAY:
                standing.flaps = min(MOST_FLAPS, standing.flaps + 1)
                standing.proved = 0.0
                self._set(now, standing, AWAY, why)
            standing.ramp = 0.0
        elif standing.state == AWAY:
            if standing.proved >= PROOF_HOPS * 2 ** max(0.0, standing.flaps - 1):
                self._set(now, standing, RETURNING, PROVING)
                standing.ramp = self._begin(standing)
        elif standing.state == RETURNING:
            if seen.crowded[w] > CROWD:
                less = standing.ramp * (1 - passed_us / self.window_us / 2)
                standing.ramp = max(self._begin(standing), less)
            else:  # the first return takes as long as the contract says, each further one twice that
                standing.ramp += passed_us / self.warm_us / 2 ** max(0.0, standing.flaps - 1)
            if standing.ramp >= 1.0:
                standing.ramp = 1.0
                self._set(now, standing, SERVING, FINE)

    def _begin(self, standing: Standing) -> float:
        return self.cold_from / 2 ** max(0.0, standing.flaps - 1)

    def _weigh(self, passed_us: int, w: int, standing: Standing, seen: Picture) -> None:
        """What it bears: as the limits of all say, until it is seen to bear more, while nothing is late, or
        less. Guards against a slow zone that is filled and left by turns, and against limits that are low
        where little was sent so far."""
        well, told = seen.good[w] * SECOND / self.window_us, seen.bears[w]
        part = min(1.0, passed_us / self.window_us)
        if standing.bears <= 0:
            standing.bears = told
        elif seen.crowded[w] > CROWD and seen.good[w]:
            standing.bears += (min(standing.bears, well * EASE) - standing.bears) * part
            standing.bound = True
        elif standing.ramp < 1:  # what it bears in part says nothing of the whole
            pass
        elif well >= USED * standing.bears and seen.crowded[w] < CROWD / 2:
            standing.bears *= 1 + GROW * passed_us / SECOND
        else:  # what was learned goes with time
            standing.bound = standing.bound and well > USED / 2 * standing.bears
            standing.bears += (told - standing.bears) * (1 - 0.5 ** (passed_us / FORGET_US))
        if seen.crowded[w] <= CROWD and standing.ramp >= 1:  # it carries that, so it bears it
            standing.bears = max(standing.bears, well)
        ended_well = seen.good[w] >= PROOF * seen.sent[w]
        if standing.proved >= 1 and not ended_well and standing.state == AWAY:
            standing.flaps = min(MOST_FLAPS, standing.flaps + RELAPSE)
        standing.proved = standing.proved + seen.sent[w] * part if ended_well else 0.0

    def _set(self, now: int, standing: Standing, state: int, why: int) -> None:
        standing.state, standing.why, standing.since_us = state, why, now

    # Who goes where

    def _share(self, now: int, passed_us: int, seen: Picture) -> Plan:
        n = len(self.map.zones)
        trickle = max(TRICKLE_LEAST, TRICKLE * sum(seen.demand))
        bears = [s.bears * s.ramp for s in self.standing]
        flows = [[0.0] * n for _ in range(n)]
        left = list(seen.demand)
        loads = [0.0] * n
        for w, standing in enumerate(self.standing):  # a few find out whether it is back
            if standing.state == AWAY:
                self._find_out(w, trickle, left, flows, loads)
        for z in range(n):
            if not seen.cut[z][z] and self.standing[z].state != AWAY:
                # Guards against own traffic that is turned away on a guess of what the zone bears.
                free = not self.standing[z].bound and self.standing[z].ramp >= 1
                self._move(z, z, left[z] if free else min(left[z], max(0.0, bears[z])), left, flows, loads)
        # More is sent from outside by steps, as receivers are seen to bear it.
        step = STEP * max(passed_us, self.window_us // 8) / SECOND
        room = [
            0.0
            if seen.quiet[w]  # nobody knows what it carries already
            else max(0.0, min(SPARE * bears[w] - loads[w], self.standing[w].inbound + step * bears[w]))
            for w in range(n)
        ]
        inbound = [0.0] * n
        for level in (1, 2):
            for _ in range(ROUNDS):
                self._give_out(level, seen, room, left, flows, loads, inbound)
        for w, standing in enumerate(self.standing):  # one that is drained keeps what nobody else bears
            if standing.state == DRAINED and not (seen.failing[w] or seen.lost[w] or seen.cut[w][w]):
                self._move(w, w, min(left[w], standing.bears), left, flows, loads)
        zones = []
        for w, standing in enumerate(self.standing):
            standing.inbound = inbound[w]
            if standing.state in (SERVING, REDUCED):
                state, why = SERVING, FINE
                if left[w] > SAME * seen.demand[w]:
                    state, why = REDUCED, NOWHERE
                elif flows[w][w] < (1 - SAME) * seen.demand[w]:
                    state, why = REDUCED, CROWDED
                if (state, why) != (standing.state, standing.why):
                    self._set(now, standing, state, why)
            zones.append(Zone(standing.state, standing.why, standing.since_us))
        shares = tuple(self._row(z, seen.demand[z], flows[z]) for z in range(n))
        return Plan(tuple(zones), shares, tuple(loads))

    @staticmethod
    def _move(
        z: int, w: int, much: float, left: list[float], flows: list[list[float]], loads: list[float]
    ) -> None:
        flows[z][w] += much
        loads[w] += much
        left[z] -= much

    def _find_out(
        self, w: int, much: float, left: list[float], flows: list[list[float]], loads: list[float]
    ) -> None:
        """From those nearest, over the whole fleet."""
        for z in sorted(range(len(left)), key=lambda z: (self.map.near(z, w), z)):
            part = min(much, left[z])
            self._move(z, w, part, left, flows, loads)
            much -= part

    def _give_out(
        self,
        level: int,
        seen: Picture,
        room: list[float],
        left: list[float],
        flows: list[list[float]],
        loads: list[float],
        inbound: list[float],
    ) -> None:
        """What is over in each zone, to those so near, by what they have to spare; all callers counted."""
        n = len(left)
        wants = [[0.0] * n for _ in range(n)]
        for z in range(n):
            open_ = [
                w
                for w in range(n)
                if self.map.near(z, w) == level
                and not seen.cut[z][w]
                and room[w] > TINY
                and self.standing[w].state not in (AWAY, DRAINED)
            ]
            spare = sum(room[w] for w in open_)
            for w in open_:
                wants[z][w] = left[z] * room[w] / spare
        for w in range(n):
            wanted = sum(wants[z][w] for z in range(n))
            part = min(1.0, room[w] / wanted) if wanted > TINY else 0.0
            for z in range(n):
                much = min(left[z], wants[z][w] * part)
                self._move(z, w, much, left, flows, loads)
                room[w] -= much
                inbound[w] += much

    def _row(self, z: int, demand: float, flows: list[float]) -> tuple[float, ...]:
        """As shares in whole parts, none above what was planned, but for a zone that has no traffic: it would
        go to its own, or to the nearest that is open."""
        if demand > TINY:
            return tuple(int(flow / demand * PARTS + 0.5) / PARTS for flow in _fitting(flows, demand))
        open_ = [w for w in range(len(flows)) if self.standing[w].state not in (AWAY, DRAINED)]
        first = min(open_, key=lambda w: (self.map.near(z, w), w), default=z)
        return tuple(float(w == first) for w in range(len(flows)))


def _fitting(flows: list[float], demand: float) -> list[float]:
    """Rounded so that no more than all is given out: the largest remainders are rounded up first."""
    exact = [flow / demand * PARTS for flow in flows]
    whole = [int(part) for part in exact]
    over = min(PARTS, int(sum(exact) + 0.5)) - sum(whole)
    for w in sorted(range(len(flows)), key=lambda w: (whole[w] - exact[w], w))[: max(0, over)]:
        whole[w] += 1
    return [part * demand / PARTS for part in whole]
