"""Deciding in common, as one copy takes part in it: one of all decides, for as long as more than half of the
last known fleet goes on answering it, and each decision carries an epoch.

An election after Raft's (Ongaro and Ousterhout, 2014) without a log: what is decided is one small table, each
replaces the one before. Terms are only taken once won, so one that is cut off on one side disturbs nobody; a
lease counts from when the question went out that was answered, so that one who was stopped and wakes knows
that it decides no more."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from cressrail.failover import codec
from cressrail.failover.codec import Ack, Ask, Beat, No, Report, Vote
from cressrail.failover.evidence import picture
from cressrail.failover.messages import (
    STATES,
    WHY,
    Adopted,
    Command,
    Decision,
    DrainRequest,
    Epoch,
    Evidence,
    LogEvent,
    Post,
    Settings,
    Spread,
)
from cressrail.failover.planner import Planner
from cressrail.policy.random_generator import RandomGenerator

NEVER = 1 << 62
WINDOW = 3  # periods over which evidence is summed
QUIET = 3  # periods without a sign of whoever decides, before another offers itself
RANK = 2  # ranks of those who may offer themselves to a period of waiting
MOST_RANK = 12
BEATS_EVERY = 2  # periods
MOST_ACKS = 8192  # that are remembered until they are answered


@dataclass(frozen=True, slots=True)
class Fleet:
    """As membership has it: who is up, with its zone, and how many the last known fleet has, those that are
    silent included. `sure`: this copy hears others."""

    living: Mapping[int, int]
    known: int
    sure: bool


class FailoverStateMachine:
    def __init__(self, settings: Settings, own: int, chance: RandomGenerator, now: int) -> None:
        self.settings, self.own, self.chance = settings, own, chance
        self.fleet = Fleet({}, 1, False)
        self.evidence = Evidence(settings.zone, 0.0, ())
        self.decision: Decision | None = None
        self.epoch = Epoch(0, 0)  # the greatest that this copy has heard of
        self.leader = 0
        self.heard_us = now  # a sign of whoever decides
        self.confirmed_us = -NEVER  # the decision that holds here was still stood by
        self.beat_no = 0
        self.echo = 0
        self.voted = (0, 0)  # term, and for whom
        # Guards against a process that was started anew and votes twice in one term.
        self.votes_from_us = now + 2 * settings.lease_us
        self.offer_us = NEVER  # when this copy offers itself, if nobody is heard until then
        self.votes: set[int] = set()
        self.ask: Ask | None = None
        self.asked_us = now
        self.number = 0
        self.sent: dict[int, int] = {}  # acks and questions, and when they went out
        self.answered: dict[int, int] = {}  # by copy: when what it answered last went out
        self.told: dict[int, tuple[Evidence, int]] = {}
        self.planner: Planner | None = None
        self.wishes: dict[int, DrainRequest] = {}
        self.leads_us = self.beat_us = now
        self.due_us = now
        self.out: list[Command] = []

    # Happenings

    @property
    def wake_us(self) -> int:
        return self.due_us

    def start(self, now: int) -> list[Command]:
        self.due_us = now + self.chance.below(self.settings.period_us)
        self._wait(now)
        return self._done()

    def members(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def saw(self, evidence: Evidence) -> None:
        """This copy's own, over the window."""
        self.evidence = evidence

    def wish(self, now: int, zone: int, until_us: int) -> list[Command]:
        """An operator's, at this copy; 0: no more."""
        nth = max((wish.nth for wish in self.wishes.values()), default=0) + 1
        self._hear_wish(now, DrainRequest(zone, until_us, nth))
        return self._done()

    def woke(self, now: int) -> list[Command]:
        if now - self.due_us > self.settings.period_us:  # it was stopped: nothing of before is a sign
            self._notice(now)
        period = self.settings.period_us
        self.due_us = now + period - period // 8 + self.chance.below(max(1, period // 4))
        if self.leader == self.own:
            self._lead(now)
        elif self.leader and now - self.heard_us <= QUIET * period:
            self._post(now, self.leader, Report(self.echo, self.held, self.evidence))
        elif now >= self.offer_us:
            self._offer(now)
        elif self.offer_us == NEVER:
            self._wait(now)
        return self._done()

    def heard(self, now: int, by: int, text: bytes) -> list[Command]:
        """From one copy itself, or (`by` 0) by way of others."""
        told = codec.unpack(text, now)
        if isinstance(told, Decision):
            self._hear_decision(now, told)
        elif isinstance(told, Beat):
            self._hear_beat(now, told)
        elif isinstance(told, DrainRequest):
            self._hear_wish(now, told)
        elif by and isinstance(told, Report):
            self._hear_report(now, by, told)
        elif by and isinstance(told, Ack):
            self._hear_ack(now, by, told)
        elif by and isinstance(told, Ask):
            self._hear_ask(now, by, told)
        elif by and isinstance(told, Vote):
            self._hear_vote(now, by, told)
        elif by and isinstance(told, No):
            self._hear_no(now, told)
        return self._done()

    # What others ask of it

    def fresh(self, now: int) -> float:
        """How much of the decision counts: 1 while it is stood by, then less and less."""
        if self.decision is None:
            return 0.0
        over_us = now - self.confirmed_us - self.settings.fresh_us
        return 1.0 if over_us <= 0 else max(0.0, 1 - over_us / self.settings.fade_us)

    def shares(self, now: int) -> tuple[tuple[float, ...], float]:
        """Of the own zone's traffic to each zone, and how much of them counts. What is left over of the
        shares is to be rolled back."""
        if self.decision is None:
            return (), 0.0
        return self.decision.shares[self.settings.zone], self.fresh(now)

    def view(self, now: int) -> dict[str, Any]:
        names, decided = self.settings.map.zones, self.decision
        zones = []
        for w, name in enumerate(names):
            at = decided.zones[w] if decided is not None else None
            shares = {names[z]: decided.shares[z][w] for z in range(len(names))} if decided else {}
            zones.append(
                {
                    "zone": name,
                    "region": self.settings.map.regions[w],
                    "state": STATES[at.state] if at else STATES[0],
                    "share_in": round(sum(shares.values()) / max(1, len(names)), 4),
                    "shares": shares,
                    "since_ms": (now - at.since_us) // 1000 if at else 0,
                    "why": WHY[at.why] if at else "",
                }
            )
        return {
            "epoch": self.held.number,
            "decided_by": f"{decided.by:016x}" if decided is not None else "",
            "fresh": self.fresh(now) >= 1.0,
            "zones": zones,
        }

    # Who decides

    def _notice(self, now: int) -> None:
        self._note("failover_paused", for_ms=(now - self.due_us) // 1000)
        self.answered.clear()  # nobody's answer of before counts any more
        self.sent.clear()
        self.votes.clear()
        self.ask, self.heard_us = None, now
        self._wait(now)

    def _wait(self, now: int) -> None:
        """Those that are first in the order of their ids offer themselves first."""
        rank = min(MOST_RANK, sum(1 for other in self.fleet.living if other < self.own))
        period = self.settings.period_us
        self.offer_us = now + QUIET * period + rank * period // RANK + self.chance.below(period)

    def _majority(self, n: int) -> bool:
        return 2 * n > max(self.fleet.known, len(self.fleet.living) + 1)

    def _offer(self, now: int) -> None:
        self._wait(now)
        if not self.fleet.sure or not self.fleet.living or now < self.votes_from_us:
            return
        self.number += 1
        term = max(self.epoch.term, self.voted[0]) + 1
        self.ask = Ask(term, self.epoch, self.number)
        self.asked_us, self.votes = now, {self.own}
        self.voted = (term, self.own)
        for other in sorted(self.fleet.living):
            self._post(now, other, self.ask)

    def _hear_ask(self, now: int, by: int, told: Ask) -> None:
        decides = self.leader == self.own or (
            self.leader and self.leader != by and now - self.heard_us <= QUIET * self.settings.period_us
        )
        before = self.voted[0] > told.term or (self.voted[0] == told.term and self.voted[1] != by)
        if decides or before or told.term <= self.epoch.term or told.epoch < self.epoch:
            self._post(now, by, No(max(self.voted[0], self.epoch.term), self.epoch))
            if told.epoch < self.epoch and self.decision is not None:
                self._post(now, by, self.decision)
        elif now >= self.votes_from_us:
            self.voted = (told.term, by)
            self._wait(now)
            self._post(now, by, Vote(told.term, told.number))

    def _hear_vote(self, now: int, by: int, told: Vote) -> None:
        if self.ask is None or (told.term, told.number) != (self.ask.term, self.ask.number):
            return
        if now - self.asked_us > self.settings.lease_us or by not in self.fleet.living:
            return
        self.votes.add(by)
        self.answered[by] = self.asked_us
        if self._majority(len(self.votes)):
            self._win(now, told.term)

    def _win(self, now: int, term: int) -> None:
        self.ask, self.leader = None, self.own
        self.epoch = Epoch(term, 0)
        self.leads_us = self.heard_us = now
        self.told.clear()
        self.sent.clear()
        s = self.settings
        self.planner = Planner(s.map, s.cold_from, s.warm_us, WINDOW * s.period_us, now)
        if self.decision is not None:
            self.planner.take_over(now, self.decision.zones)
        self._note("failover_decides", term=term, votes=len(self.votes), of=self.fleet.known)
        self._beat(now)

    def _hear_no(self, now: int, told: No) -> None:
        self.voted = max(self.voted, (told.term, 0))  # the next offer goes above that
        if told.epoch.term > self.epoch.term and self.leader == self.own:
            self._yield(now, told.epoch)

    def _yield(self, now: int, epoch: Epoch) -> None:
        if self.leader == self.own:
            self._note("failover_decides_no_more", term=self.epoch.term, heard=epoch.term)
        self.leader, self.planner, self.ask = 0, None, None
        self.answered.clear()
        self._wait(now)

    # While this copy decides

    def _holds(self, now: int) -> bool:
        """Whether more than half of the last known fleet answered, within the lease, what this one sent."""
        since = now - self.settings.lease_us
        return self.fleet.sure and self._majority(
            1 + sum(1 for by, at in self.answered.items() if at >= since and by in self.fleet.living)
        )

    def _lead(self, now: int) -> None:
        period, window = self.settings.period_us, WINDOW * self.settings.period_us
        for number in [n for n, at in self.sent.items() if now - at > 2 * self.settings.lease_us]:
            del self.sent[number]
        self.told[self.own] = (self.evidence, now)
        if not self._holds(now):
            if now - self.leads_us > 2 * self.settings.lease_us:
                self._yield(now, self.epoch)
            return
        self.leads_us = self.heard_us = self.confirmed_us = now
        if now - self.beat_us >= BEATS_EVERY * period:
            self._beat(now)
        told = [evidence for evidence, at in self.told.values() if now - at <= window and evidence.towards]
        # Guards against shares by the few who have reported so far.
        if not self.planner or not self._majority(len(told)):
            return
        drained = {wish.zone: wish.until_us for wish in self.wishes.values() if wish.until_us > now}
        n = len(self.settings.map.zones)
        zones = [*self.fleet.living.values(), self.settings.zone]
        seen = picture(told, n, [zones.count(z) for z in range(n)])
        plan = self.planner.plan(now, seen, frozenset(drained))
        before = self.decision
        drains = tuple(sorted(drained.items()))
        if (
            before is not None
            and before.epoch.term == self.epoch.term
            and [zone for zone, _ in before.drains] == [zone for zone, _ in drains]
            and not plan.differs(before.zones, before.shares)
        ):
            return
        epoch = Epoch(self.epoch.term, self.epoch.step + 1)
        self._adopt(now, Decision(epoch, self.own, plan.zones, plan.shares, drains))

    def _beat(self, now: int) -> None:
        self.beat_us = now
        self.beat_no += 1
        self._spread(now, "beat", Beat(self.epoch, self.own, self.beat_no))

    def _hear_report(self, now: int, by: int, told: Report) -> None:
        if self.leader != self.own:
            self._post(now, by, No(self.epoch.term, self.epoch))
            return
        if by not in self.fleet.living:
            return
        if told.echo in self.sent:
            self.answered[by] = max(self.answered.get(by, 0), self.sent[told.echo])
        self.told[by] = (told.evidence, now)
        self.number = self.number + 1 & 0x7FFFFFFF
        if len(self.sent) < MOST_ACKS:
            self.sent[self.number] = now
        self._post(now, by, Ack(self.number, self.epoch))
        if self.decision is not None and told.held < self.decision.epoch:
            self._post(now, by, self.decision)

    # What holds here

    def _hear_ack(self, now: int, by: int, told: Ack) -> None:
        if told.epoch.term < self.epoch.term or by != self.leader:
            return
        self.echo, self.heard_us = told.number, now
        self.epoch = max(self.epoch, told.epoch)
        self._confirm(now, told.epoch)
        self._wait(now)

    @property
    def held(self) -> Epoch:
        return self.decision.epoch if self.decision is not None else Epoch(0, 0)

    def _confirm(self, now: int, epoch: Epoch) -> None:
        """Whoever decides stands by what is held here: by its own last decision, or, before its first, by the
        one of before its time. Guards against a decision that goes on where a later one did not arrive."""
        if self.decision is not None and (epoch.step == 0 or self.held >= epoch):
            self.confirmed_us = now

    def _hear_beat(self, now: int, told: Beat) -> None:
        if told.by == self.own or told.epoch.term < self.epoch.term:
            return
        newer = told.epoch.term > self.epoch.term
        if not newer and told.by == self.leader and told.nth <= self.beat_no:
            return
        if newer and self.leader == self.own:
            self._yield(now, told.epoch)
        if newer or not self.leader or told.by == self.leader:
            self.leader, self.beat_no, self.heard_us = told.by, told.nth, now
            self.epoch = max(self.epoch, told.epoch)
            self._confirm(now, told.epoch)
            self._wait(now)
            self._spread(now, "beat", told)

    def _hear_decision(self, now: int, told: Decision) -> None:
        if told.by == self.own or told.epoch <= self.held or told.epoch < self.epoch:
            return
        if len(told.zones) != len(self.settings.map.zones):
            return  # of a release, or settings, that know other zones
        if told.epoch.term > self.epoch.term and self.leader == self.own:
            self._yield(now, told.epoch)
        self.leader, self.heard_us = told.by, now
        self._wait(now)
        for zone, until_us in told.drains:
            if zone not in self.wishes:
                self.wishes[zone] = DrainRequest(zone, until_us, 0)
        self._adopt(now, told)

    def _adopt(self, now: int, decision: Decision) -> None:
        before = self.decision
        self.decision, self.confirmed_us = decision, now
        self.epoch = max(self.epoch, decision.epoch)
        self._spread(now, "decision", decision)
        self.out.append(Adopted(decision))
        names = self.settings.map.zones
        changed = {
            names[w]: f"{STATES[zone.state]}{': ' + WHY[zone.why] if zone.why else ''}"
            for w, zone in enumerate(decision.zones)
            if before is None or (before.zones[w].state, before.zones[w].why) != (zone.state, zone.why)
        }
        self._note("zones_decided", epoch=decision.epoch.number, by=f"{decision.by:016x}", zones=changed)

    def _hear_wish(self, now: int, told: DrainRequest) -> None:
        known = self.wishes.get(told.zone)
        if told.zone >= len(self.settings.map.zones) or (known is not None and known.nth >= told.nth):
            return
        self.wishes[told.zone] = told
        self._note("drain_asked" if told.until_us else "drain_over", zone=self.settings.map.zones[told.zone])
        self._spread(now, f"wish{told.zone}", told)

    # What goes out

    def _post(self, now: int, to: int, told: codec.Said) -> None:
        self.out.append(Post(to, codec.pack(told, now)))

    def _spread(self, now: int, about: str, told: codec.Said) -> None:
        self.out.append(Spread(about, codec.pack(told, now), not isinstance(told, Beat)))

    def _note(self, event: str, **what: Any) -> None:
        self.out.append(LogEvent(event, what))

    def _done(self) -> list[Command]:
        out, self.out = self.out, []
        return out
