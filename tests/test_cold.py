"""What all copies together give endpoints that come back cold, against what the settings allow: many
copies of the real module in virtual time, each on its own, told of starts at moments of their own."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field
from itertools import count
from typing import Any

import pytest

from cressrail.policy.load_balancer import EndpointUpdate, LoadBalancer, Outcome, SlowStart, TenantQuotas
from tests.helpers import SECOND, cold_rule, entry, profile, sidecar

COLD_FROM, WARM, MULTIPLE, FALL = 0.15, 24 * SECOND, 2.5, SECOND
EACH = 20.0  # transactions a second that a warm endpoint bears


@dataclass
class Story:
    copies: int
    zones: int = 4
    endpoints: int = 48
    skew: float = 1.0  # the loudest copy's traffic over the quietest's
    load: float = 0.7
    lost_s: float = 5.0
    pieces_s: float = 0.0  # over which the zone comes back
    removed: bool = False  # its endpoints leave the list while they are away
    restarted: bool = False  # all copies, a second before the return
    wave: float = 1.0  # times the load, for a second from the return on
    heavy: float = 0.0  # part of transactions that are three times the work; the others are lighter
    members: bool = True
    late_s: float = 0.0  # from a start to the news of it


@dataclass
class Fleet:
    """Copies beside a model of endpoints: so many answers a second each, and what came to the cold ones."""

    story: Story
    seed: int = 1
    sides: list[LoadBalancer] = field(default_factory=list)
    came: dict[int, list[tuple[int, float]]] = field(default_factory=dict)
    fell: list[str] = field(default_factory=list)
    cold_given: float = 0.0
    cold_may: float = 0.0

    def part(self) -> float:
        self.seed = self.seed * 6364136223846793005 + 1442695040888963407 & (1 << 64) - 1
        return (self.seed >> 32) / (1 << 32)

    def entry(self, ix: int, started_us: int = 0, on: bool = True) -> EndpointUpdate:
        return (ix, ix % self.story.zones, ix // 12, 1.0, on, started_us, ix * 2654435769 & (1 << 32) - 1)

    def born(self, number: int, now: int) -> LoadBalancer:
        of = self.story
        shares = TenantQuotas([0.85 * EACH * of.endpoints] if of.members else [], of.copies, 0.1)
        side = sidecar(
            [],
            zones=of.zones,
            zone=number % of.zones,
            instances=of.copies,
            number=number,
            now=now,
            quotas=shares,
            slow_start=SlowStart(COLD_FROM, WARM, now, shares.total, MULTIPLE, FALL),
        )
        side.rng.state += number * 7919 + now
        side.update_endpoints(now, [self.entry(ix) for ix in range(of.endpoints)], True)
        return side

    def play(self, seconds: int = 14, lost_at: int = 4 * SECOND) -> None:
        of, order = self.story, count()
        events: list[Any] = []
        zone, back_at = 1, lost_at + int(of.lost_s * SECOND)
        starts = {
            ix: back_at + int(of.pieces_s * SECOND * self.part())
            for ix in range(of.endpoints)
            if ix % of.zones == zone
        }
        self.sides = [self.born(n, 0) for n in range(of.copies)]
        loud = [1 + (of.skew - 1) * self.part() for _ in range(of.copies)]
        busy: dict[int, deque[int]] = {ix: deque() for ix in range(of.endpoints)}

        def at(now: int, what: str, *more: object) -> None:
            heapq.heappush(events, (now, next(order), what, more))

        rate = of.load * EACH * of.endpoints / SECOND
        for n in range(of.copies):
            at(int(self.part() * SECOND * of.copies / 100), "comes", n)
            at(int(self.part() * SECOND), "wakes", n)
            if of.removed:
                gone = [self.entry(ix, on=False) for ix in starts]
                at(lost_at + SECOND + int(self.part() * SECOND // 10), "told", n, gone)
            if of.restarted:
                at(back_at - SECOND + int(self.part() * SECOND // 10), "dies", n)
            for ix, start in starts.items():
                news_at = start - 1 + int((of.late_s - self.part() / 20) * SECOND)
                at(news_at, "told", n, [self.entry(ix, start)])
        while events and events[0][0] < seconds * SECOND:
            now, _, what, more = heapq.heappop(events)
            n = more[0]
            side = self.sides[n]
            if what == "comes":
                wave = of.wave if back_at <= now < back_at + SECOND else 1.0
                mean = of.copies * sum(loud) / len(loud) / loud[n] / (rate * wave)
                at(now + 1 + int(2 * mean * self.part()), "comes", n)
                tx = side.start_request(now, profile(), -1, SECOND)
                decided = [(tx, d) for d in tx.route(now)]
            elif what == "ends":
                tx, hop, how, sent = more[1:]
                decided = [
                    (d[0], d)
                    for d in tx.on_attempt_finished(hop, now, how, now - sent, how is Outcome.SUCCEEDED)
                ]
            elif what == "told":
                side.update_endpoints(now, more[1], False)
                decided = []
            elif what == "dies":
                self.sides[n] = self.born(n, now)
                decided = []
            else:
                at(now + SECOND // 4, "wakes", n)
                decided = [(d[0], d) for d in side.on_timer(now)]
            for tx, (_, kind, ix, _) in decided:
                if kind != "hop":
                    continue
                start = starts.get(ix, 0)
                if start and lost_at <= now < start:
                    at(now + SECOND // 4, "ends", n, tx, len(tx.attempts) - 1, Outcome.CONNECT_FAILED, now)
                    continue
                if start and now >= start:
                    self.reached(ix, start, now)
                line = busy[ix]
                while line and line[0] <= now - SECOND:
                    line.popleft()
                how = Outcome.SUCCEEDED if len(line) < EACH else Outcome.REJECTED_BY_ENDPOINT
                line.append(now)
                at(now + SECOND // 10, "ends", n, tx, len(tx.attempts) - 1, how, now)
        for ix, start in starts.items():
            end = min(seconds * SECOND, start + WARM)
            self.cold_given += sum(work for _, work in self.came.get(ix, []))
            for t in range(start, end, SECOND // 10):
                self.cold_may += EACH / 10 * self.share(t - start)

    def share(self, age: int) -> float:
        return COLD_FROM + (1 - COLD_FROM) * age / WARM

    def reached(self, ix: int, start: int, now: int) -> None:
        heavy = self.story.heavy
        work = 3.0 if self.part() < heavy else (1 - 3 * heavy) / (1 - heavy)
        came = self.came.setdefault(ix, [])
        came.append((now, work))
        within = sum(w for t, w in came if t > now - FALL)
        may = MULTIPLE * EACH * self.share(now - start) * FALL / SECOND
        if within > may + 3 * may**0.5 + 3:
            self.fell.append(f"{ix} at the age of {(now - start) / SECOND:.2f} s: {within:.1f} of {may:.1f}")


@pytest.mark.parametrize(
    "story, least",
    [
        (Story(3), 0.5),
        (Story(33), 0.5),
        (Story(230), 0.4),
        (Story(1024), 0.15),
        (Story(33, skew=10.0), 0.5),
        (Story(230, skew=10.0, pieces_s=3.0), 0.4),
        (Story(33, pieces_s=3.0, removed=True), 0.5),
        (Story(33, zones=6, endpoints=60, pieces_s=2.0, removed=True, skew=4.0), 0.4),
        (Story(230, pieces_s=3.0, removed=True), 0.4),
        (Story(33, restarted=True), 0.4),
        (Story(33, zones=5, endpoints=100, restarted=True, removed=True, pieces_s=2.0), 0.4),
        (Story(1024, restarted=True, removed=True), 0.1),
        (Story(33, wave=3.0), 0.6),
        (Story(230, wave=3.0, skew=10.0, zones=6), 0.3),
        (Story(33, heavy=0.2, wave=3.0), 0.6),
        (Story(230, heavy=0.2, zones=8), 0.3),
        (Story(33, members=False), 0.15),
        (Story(33, late_s=0.8), 0.3),
        (Story(33, late_s=1.6, zones=2, pieces_s=2.0), 0.3),
        (Story(230, late_s=1.6, skew=4.0), 0.2),
        (Story(230, zones=8, endpoints=40, wave=3.0, removed=True, pieces_s=3.0), 0.2),
    ],
    ids=str,
)
def test_all_copies_together_push_no_cold_endpoint_over_and_yet_it_comes_back(
    story: Story, least: float
) -> None:
    fleet = Fleet(story)
    fleet.play()
    assert not fleet.fell, fleet.fell[:3]
    assert fleet.cold_given > least * fleet.cold_may, fleet.cold_given / fleet.cold_may


@pytest.mark.parametrize(
    "busy_s, starved_s, even, least, most",
    [
        # 10 a second at each, 0.2 to 0.6 of that for 5 s, times at most 4, which is the multiple: 80
        (20, 0, 0.0, 40, 65),
        (20, 5, 0.0, 25, 45),
        (20, 200, 0.0, 0, 3),
        (0, 20, 40.0, 28, 48),
        (20, 5, 40.0, 38, 60),
        (0, 0, 0.0, 0, 3),
    ],
)
def test_what_cold_endpoints_get_does_not_shrink_with_what_a_cold_fleet_carries(
    busy_s: int, starved_s: int, even: float, least: int, most: int
) -> None:
    rule, end = cold_rule(even / SECOND), (busy_s + starved_s) * SECOND
    side = sidecar([entry(ix) for ix in range(4)], slow_start=rule, zones=1)
    e, group = side.endpoints[0], side.zone_subsets[0]
    for n in range(busy_s * 40):
        rule.carry(n * SECOND // 40, group)
    for n in range(starved_s):  # one a second gets through
        rule.carry((busy_s + n) * SECOND, group)
    e.started_us = e.cold_us = end
    hops = 0
    for now in range(end, end + 5 * SECOND, SECOND // 50):
        if rule.credit(e, now, group, True):
            hops, e.slow_start_credit = hops + 1, 0.0
    assert least <= hops <= most


@pytest.mark.parametrize(
    "missed, answers, cold",
    [(1, 0, True), (1, 1, True), (1, 2, False), (20, 3, True), (20, 4, False), (0, 0, False)],
)
def test_one_whose_connections_never_came_up_counts_as_cold_until_it_has_answered(
    missed: int, answers: int, cold: bool
) -> None:
    side = sidecar([entry(0)], zones=1)
    e = side.endpoints[0]
    for how in [Outcome.CONNECT_FAILED] * missed + [Outcome.ERROR] + [Outcome.SUCCEEDED] * answers:
        tx = side.start_request(0, profile(), -1, SECOND)
        side._hop(tx, e, 0)
        tx.on_attempt_finished(0, 1000, how, 1000, how is Outcome.SUCCEEDED)
    assert side.slow_start.is_warming_up(e, 1000) is cold
    side.update_endpoints(
        2000, [entry(0, started_us=1)], False
    )  # told of: by the time since its start from now on
    assert e.connect_failures == 0 and side.slow_start.is_warming_up(e, 2000)
