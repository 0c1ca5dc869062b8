"""Membership as one copy sees it: what happens goes in, what is to be done comes out.

SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's refinements (Dadgar, Phillips, Currey, 2017) and what
docs/membership.md adds: signs of life of those that can't be called, losses that are believed only if timed
here, pages of an exchange in place of whole tables."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from heapq import heappop, heappush
from typing import Any

from cressrail.membership import codec
from cressrail.membership.authentication import CODE, fresh, opened, seal
from cressrail.membership.codec import (
    ACK,
    ASK,
    NACK,
    NEWS,
    PAGE,
    PAGED,
    PING,
    Call,
    Datagram,
    MalformedDatagramError,
)
from cressrail.membership.gossip import Rumours
from cressrail.membership.live_count import Live, Seen
from cressrail.membership.load_reports import Hints, PeerReports
from cressrail.membership.local_health import Awareness, Suspicion
from cressrail.membership.member_table import Table
from cressrail.membership.messages import (
    ALIVE,
    COLD,
    COPIES,
    FAILING,
    LEFT,
    LONGEST_WORD,
    LOST,
    MOST_INCARNATION,
    PARTLY,
    STATES,
    SUSPECTED,
    Address,
    Brief,
    Command,
    InstanceCount,
    LogEvent,
    Record,
    Report,
    Send,
    Settings,
    Span,
    Word,
    id_of,
    order,
)
from cressrail.membership.reachability import Edges
from cressrail.policy.random_generator import RandomGenerator

THROUGH = 3  # copies that are asked to call in one's place, as published
FAN = 3  # copies that hear news at once
TRIES = 3  # of a direct call within its span, against lost messages
AT_ONCE = 8  # calls under way
SOON_PART = 3  # one call in so many goes to those who are to be called out of turn, if there are others
HASTY = 3  # at this level of slowness at most a copy calls the next sooner after one in vain
HASTE, HURRY = 5, 20  # parts of a period after which it is; the latter after one that was refused
HASTE_FOR, MANY = 4, 3  # periods after a refusal, while so many are suspected: all are called sooner
REFUSALS = 2  # of one call, by which it has failed: one may meet a process that is just being replaced
MOST_COPIES = 4096  # that are kept; who makes up more is not believed
MOST_WORDS = 4  # for other parts of the sidecar, in one datagram
HIGHEST = (1 << 64) - 1
LIFE = 6  # periods for which a sign of life of a copy that some can't call is good
SILENT = 4  # periods without a word from anybody, after which this copy takes itself for the one at fault
# copies over the fleet that call a suspected one at once, so that it is soon told from a living one
SHARED_BY = 6
PAGE_EVERY, SEED_EVERY = 10, 40  # periods
LOST_AGAIN, LOST_AGAIN_MOST = 4, 120  # periods until a lost copy is tried again, first and at most
FIRST_TRIES = 8  # of copies just lost, in two periods
COUNTED_WITHIN = 32  # a change of the count by less than one part in so many is not told
KEEP_LOST, KEEP_LEFT = 7200, 120  # periods
# periods for which an answer tells that its copy can be called, and so many copies
ANSWERED, MOST_ANSWERED = 10, 16
MARKS_EVERY, MARKS_FADE = 20, 60  # periods until own marks are told anew, and until those of others fade
JUNK_EVERY = 20  # periods to a line on junk


class Probe:
    __slots__ = ("asked", "began_us", "nacks", "of", "over_us", "refusals", "relayed", "tries")

    def __init__(self, of: int, now: int, over_us: int) -> None:
        self.of, self.began_us, self.over_us = of, now, over_us
        self.tries = 0
        self.asked = self.nacks = 0  # copies asked to call in this one's place, and those that did in vain
        self.relayed = False
        self.refusals = 0  # by the machine that it went to


class MembershipStateMachine:
    """`birth` is drawn anew by each process; `incarnation` is where it starts to count, and need not be
    above what others know: it is told and counts on from there. Both rest on no clock."""

    def __init__(
        self, settings: Settings, chance: RandomGenerator, now: int, birth: int, incarnation: int
    ) -> None:
        self.settings, self.chance = settings, chance
        self.name, self.id = settings.name, id_of(settings.name)
        self.birth, self.incarnation = birth, incarnation
        self.keys = settings.keys
        self.table = Table()
        self.awareness = Awareness(settings.aware)
        self.rumours = Rumours()
        self.edges = Edges(self.id, settings.period_us * MARKS_FADE)
        self.suspicions: dict[int, Suspicion] = {}
        self.doubtful: dict[int, int] = {}  # suspected wrongly of late, until when that counts
        self.private: dict[int, int] = {}  # lost in this copy's eyes alone, and since when
        self.lost: dict[int, tuple[int, int]] = {}  # when to try them again, and how often that was done
        self.foreign: dict[int, int] = {}  # other processes of this name, and the highest they counted
        self.round: list[int] = []
        self.soon: deque[int] = deque(maxlen=64)  # to be called out of turn
        self.probes: dict[int, Probe] = {}
        self.answered: dict[int, int] = {}  # who answered a call, and when last
        self.relays: dict[int, tuple[Address, int, int]] = {}  # calls made for others
        self.timers: list[tuple[int, int, str, int]] = []
        self.timer_no = 0
        self.number = 0  # of datagrams
        self.calls = 0
        self.gossiping = False
        self.cursor = 0  # of the exchange's pages
        self.page = 0  # the call that asked for one
        self.joined = False
        self.walked = False  # through all pages once
        self.seed_tries = 0
        self.seeds: list[Address] = []
        self.heard_us = self.changed_us = now
        self.mute_us = -1  # since when it tells nobody whom it can't reach, as the fault may be its own
        self.bumped_us = self.marked_us = now
        self.live = Live(settings.figure, settings.bear_us, now) if COPIES in settings.use else None
        self.hints = Hints(settings.period_us)
        self.now_us = now
        self.hinted = COLD in settings.use or FAILING in settings.use
        self.counted: InstanceCount | None = None  # as told last
        self.recount = False  # one is new
        self.haste_us = now  # until then others are called sooner
        self.doubted_us = now  # until then it shows signs of life, as others had taken it for lost
        self.leaving = False
        self.junk = 0
        self.junk_why: dict[str, int] = {}
        self.junk_us = -(1 << 60)
        self.out: list[Command] = []

    # Happenings

    @property
    def wake_us(self) -> int:
        return self.timers[0][0] if self.timers else 1 << 62

    def start(self, now: int) -> list[Command]:
        period = self.settings.period_us
        self.timers.clear()
        self._after(now, self.chance.below(2 * period) if self.settings.seeds else 0, "join")
        self._after(now, period + self.chance.below(period), "probe")
        self._after(now, 2 * period, "tend")
        self._after(now, PAGE_EVERY * period // 2 + self.chance.below(PAGE_EVERY * period), "page")
        return self._done()

    def woke(self, now: int) -> list[Command]:
        late_us = now - self.wake_us
        self._notice(now)
        if late_us > self.settings.period_us // 8:  # once a lag, however many datagrams waited meanwhile
            self.awareness.worse()
        while self.timers and self.timers[0][0] <= now and not self.leaving:
            _, _, what, arg = heappop(self.timers)
            getattr(self, f"_{what}")(now, arg)
        return self._done()

    def heard(self, now: int, data: bytes) -> list[Command]:
        self._notice(now)
        if self.leaving:
            return self._done()
        self._read(now, data)
        if self.recount:
            self._count(now)
        return self._done()

    def _read(self, now: int, data: bytes) -> None:
        try:
            if not codec.SHORTEST <= len(data) <= self.settings.most_bytes:
                raise MalformedDatagramError("size")
            text = opened(self.keys, data)
            if text is None:
                raise MalformedDatagramError("stranger")
            self._take(now, codec.read(text), len(data))
        except MalformedDatagramError as fault:
            self._junk(now, str(fault))

    def refused(self, now: int, address: Address) -> list[Command]:
        """A datagram to that address came to a machine where nobody listens: a process that is gone, where
        silence may be a cut or a pause. It makes nobody lost, but a call need not be waited for, nor a
        suspicion for as long as one that rests on silence."""
        self._notice(now)
        for at in self.table.at(address) if not self.leaving else []:
            ident = self.table.ids[at]
            self.table.refused[at] = 1
            for number in [n for n, probe in self.probes.items() if probe.of == ident]:
                self.probes[number].refusals += 1
                if self.probes[number].refusals == REFUSALS:
                    self.haste_us = now + HASTE_FOR * self.settings.period_us
                    self._finish(now, number)
                    self._hasten(now, HURRY)
            suspicion = self.suspicions.get(ident)
            if suspicion is not None and suspicion.own and not suspicion.sure:
                suspicion.sure = True
                self._after(now, max(0, suspicion.over_us() - now), "expire", ident)
        return self._done()

    def leave(self, now: int, tell: bool = True) -> list[Command]:
        """For good; `tell` unless another process goes on under the same name."""
        if not self.leaving and tell:
            self.rumours.items.clear()
            for at in self._some(8):
                self._send(self.table.address(at), NEWS, b"", left=True)
        self.leaving = True
        self.timers.clear()
        return self._done()

    def rekey(self, keys: tuple[bytes, ...]) -> None:
        self.keys = keys

    # What others ask of it

    def alive(self) -> int:
        """Copies that take part, this one included."""
        return 1 + sum(1 for ident in self.table.living() if ident not in self.private)

    def settled(self, now: int) -> bool:
        """Whether its view may be gone by: it hears others, suspects none and has not changed for a while."""
        return (
            (self.joined or not self.settings.seeds)
            and self.mute_us < 0
            and not self.suspicions
            and now - self.changed_us >= 4 * self.settings.period_us
        )

    def seen(self, now: int) -> Seen:
        """What the count of live copies goes by."""
        own, alive, silent, near_alive, near_silent = self.settings.zone, 1, 0, 1, 0
        for at, ident in enumerate(self.table.ids):
            state, near = self.table.states[at], self.table.zone(at) == own
            if state < LOST and ident not in self.private:
                alive, near_alive = alive + 1, near_alive + near
            elif state <= LOST and not self.table.refused[at]:
                silent, near_silent = silent + 1, near_silent + near
        sure = self.mute_us < 0 and self.walked
        return Seen(alive, silent, near_alive, near_silent, sure)

    def post(self, now: int, to: int, text: bytes) -> list[Command]:
        """A word of another part of the sidecar to one copy. It may be lost, like any datagram."""
        self.now_us = now
        at = self.table.row(to)
        if at >= 0 and not self.leaving and len(text) <= LONGEST_WORD:
            self._send(self.table.address(at), NEWS, codec.word(text))
        return self._done()

    def spread(self, now: int, about: str, text: bytes, urgent: bool) -> list[Command]:
        """One to all, by way of each other; an earlier one about the same is not told on. One that is not
        urgent only rides on what is sent anyway."""
        if not self.leaving and len(text) <= LONGEST_WORD:
            ident = id_of(about)
            self.rumours.add(("said", ident), codec.said(ident, text))
            if urgent:
                self._stir(now)
        return self._done()

    def zones(self) -> dict[int, str]:
        """Of those that take part, this one not included."""
        return {
            ident: self.table.zone(at)
            for at, ident in enumerate(self.table.ids)
            if self.table.states[at] < LOST and ident not in self.private
        }

    def names(self) -> dict[int, str]:
        return dict(zip(self.table.ids, self.table.names, strict=True))

    def say(self, now: int, words: Iterable[tuple[int, int, int]]) -> None:
        """Kind, what it is about, value: all that this copy has to say of its own work."""
        self.hints.say(now, words)

    def _hear_say(self, now: int) -> None:
        copies = self.counted.all if self.counted is not None else float(self.alive())
        near = [i for at, i in enumerate(self.table.ids) if self.table.zone(at) == self.settings.zone]
        told = self.hints.sums(now, copies, near)
        self.out.append(
            PeerReports(
                told.failing if FAILING in self.settings.use else (),
                told.cold if COLD in self.settings.use else {},
                told.weight,
            )
        )
        self.out.append(Report())

    def _count(self, now: int) -> None:
        """Tells how many copies to go by, where that has changed by more than a hair."""
        self.recount = False
        if self.live is None or self.leaving:
            return
        told, before = self.live.weigh(now, self.seen(now)), self.counted
        if before is None or any(abs(a - b) * COUNTED_WITHIN > b for a, b in zip(told, before, strict=True)):
            self.counted = told
            self.out.append(told)

    def view(self, now: int) -> dict[str, Any]:
        copies = [
            {
                "name": self.name,
                "zone": self.settings.zone,
                "state": self._said(ALIVE, self.id),
                "since_ms": 0,
                "heard_ms": 0,
                "cannot_reach": self._callers(self.id),
            }
        ]
        for at, ident in enumerate(self.table.ids):
            state, since = self.table.states[at], self.table.since[at]
            if ident in self.private:
                state, since = LOST, self.private[ident]
            heard = self.table.heard[at]
            copies.append(
                {
                    "name": self.table.names[at],
                    "zone": self.table.zone(at),
                    "state": self._said(state, ident),
                    "since_ms": (now - since) // 1000,
                    "heard_ms": (now - heard) // 1000 if heard >= 0 else -1,
                    "cannot_reach": self._callers(ident),
                }
            )
        return {
            "self": self.name,
            "incarnation": self.incarnation,
            "alive": self.alive(),
            "settled": self.settled(now),
            "copies": copies,
        } | ({"goes_by": round(self.counted.all, 2)} if self.counted else {})

    def _said(self, state: int, ident: int) -> str:
        return PARTLY if state == ALIVE and self._callers(ident) else STATES[state]

    def _callers(self, ident: int) -> list[str]:
        """Names of copies that take part and can't call that one."""
        rows = [(by, self.table.row(by)) for by in self.edges.callers(ident)]
        return sorted(
            self.name if by == self.id else self.table.names[at]
            for by, at in rows
            if by == self.id or (at >= 0 and self.table.states[at] < LOST)
        )

    # Time

    def _after(self, now: int, span_us: int, what: str, arg: int = 0) -> None:
        self.timer_no += 1
        heappush(self.timers, (now + span_us, self.timer_no, what, arg))

    def _notice(self, now: int) -> None:
        """Guards against a copy that was stopped and, waking, takes all the others for dead: its own timers
        tell."""
        period, self.now_us = self.settings.period_us, now
        late_us = now - self.timers[0][0] if self.timers else 0
        if self.leaving or late_us <= period // 2:
            return
        self._note("copy_paused", for_ms=late_us // 1000)
        self.awareness.worse(min(2, late_us // period))
        self.probes.clear()
        self.relays.clear()
        self.gossiping = False
        if self.mute_us < 0:
            self.mute_us = now
        for suspicion in self.suspicions.values():
            suspicion.since_us = now
        self.heard_us = now
        if late_us > 2 * period:
            self._bump(now)
        self.timers = [
            (now if what in ("probe", "gossip") else now + period, n, what, arg)
            for _, n, what, arg in self.timers
            if what not in ("again", "finish", "relay", "gossip", "expire")
        ]
        self.timers.sort()
        for ident in self.suspicions:
            self._after(now, self.settings.least_us, "expire", ident)
        self._stir(now)

    def _tend(self, now: int, _: int) -> None:
        period = self.settings.period_us
        self._after(now, 2 * period, "tend")
        self._count(now)
        if self.hinted:
            self._hear_say(now)
        if self._silent(now) and self.mute_us < 0:
            self.mute_us = now
        if self._silent(now) or now < self.doubted_us or self.edges.callers(self.id):
            self._bump(now)  # a sign of life for those who can't call it, as long as anybody hears it
        again = now - self.marked_us >= MARKS_EVERY * period
        self.marked_us = now if again else self.marked_us
        for edge in self.edges.again(now) if again else []:
            self._tell(now, ("edge", edge.by, edge.of), codec.edge(edge))
        due = [i for i, (at_us, _) in self.lost.items() if at_us <= now]
        # Guards against many deaths of which it takes a minute to see that they are no cut.
        new = [i for i in due if not self.lost[i][1]]
        for i in due[:2] + [i for i in new if i not in due[:2]][:FIRST_TRIES]:
            tries = self.lost[i][1]
            span = min(LOST_AGAIN_MOST, int(LOST_AGAIN * 1.5 ** min(tries, 20))) * period
            self.lost[i] = (now + span // 2 + self.chance.below(span), tries + 1)
            at = self.table.row(i)
            self._question(at, PING, codec.call(Call(self._call(), i)) + codec.brief(self.table.brief(at)))
        for i in self.table.old(now, KEEP_LOST * period, KEEP_LEFT * period):
            self._forget(i)
        self.doubtful = {i: until for i, until in self.doubtful.items() if until > now}

    def _silent(self, now: int) -> bool:
        return bool(len(self.table)) and now - self.heard_us > SILENT * self.settings.period_us

    def _bump(self, now: int) -> None:
        if now - self.bumped_us >= self.settings.period_us or self.bumped_us > now:
            self.bumped_us = now
            self.incarnation += 1
            self._tell(now, self.id, codec.brief(self._self()))

    # Calls

    def _probe(self, now: int, _: int) -> None:
        period = self.awareness.stretch(self.settings.period_us)
        ident = self._next() if len(self.probes) < AT_ONCE else 0
        if ident:
            number = self._call()
            self.probes[number] = Probe(ident, now, now + period)
            self._again(now, number)
            self._after(now, period, "finish", number)
        # Guards against some of many that died together who are met by nobody's call for long.
        span = period // HASTE if now < self.haste_us and len(self.suspicions) >= MANY else period
        self._after(now, span - span // 16 + self.chance.below(max(1, span // 8)), "probe")

    def _next(self) -> int:
        """Whom to call: one out of turn, else the next of a round in which each comes once, in an order
        drawn anew."""
        under_way = {probe.of for probe in self.probes.values()}
        if self.soon and not (self.chance.below(SOON_PART) and self.round):
            ident = self.soon.popleft()
            if ident not in under_way and self._lives(ident):
                return ident
        for _ in range(2):
            while self.round:
                ident = self.round.pop()
                if (
                    ident not in under_way
                    and self._lives(ident)
                    and (ident not in self.suspicions or not self.suspicions[ident].own)
                ):
                    return ident
            # Guards against survivors who ask the dead in turn and hear nobody while many have died at once.
            self.round = [
                i for i in self.table.living() if i not in self.suspicions or not self.suspicions[i].own
            ]
            self._shuffle(self.round)
        return self.soon.popleft() if self.soon and self.soon[0] not in under_way else 0

    def _lives(self, ident: int) -> bool:
        at = self.table.row(ident)
        return at >= 0 and self.table.states[at] < LOST

    def _shuffle(self, items: list[Any]) -> None:
        for n in range(len(items) - 1, 0, -1):
            k = self.chance.below(n + 1)
            items[n], items[k] = items[k], items[n]

    def _call(self) -> int:
        self.calls = self.calls + 1 & 0xFFFFFFFF
        return self.calls

    def _again(self, now: int, number: int) -> None:
        """The next try of a call, or others asked to make it."""
        probe = self.probes.get(number)
        if probe is None:
            return
        at = self.table.row(probe.of)
        if at < 0:
            del self.probes[number]
            return
        span = self.awareness.stretch(self.settings.period_us * 2 // 5)
        if probe.tries < TRIES:
            probe.tries += 1
            fields = codec.call(Call(number, probe.of))
            if self.table.states[at] != ALIVE:  # it is to hear at once what is said of it, and to deny it
                fields += codec.brief(self.table.brief(at))
            self._question(at, PING, fields)
            self._after(now, span // TRIES, "again", number)
            if not self.edges.marked(probe.of) or probe.tries > 1:
                return
        if self.settings.indirect and not probe.asked:
            for other in self._mixed(THROUGH, now, but=probe.of):
                probe.asked += 1
                self._question(other, ASK, codec.call(Call(number, probe.of)))
            if self.awareness.level <= HASTY and len(self.probes) < AT_ONCE:
                # Several may have died together, or this copy looks for anybody who hears it: the next is
                # called sooner.
                self._hasten(now, HASTE)

    def _hasten(self, now: int, part: int) -> None:
        self.timers = [t for t in self.timers if t[2] != "probe"]
        self.timers.sort()
        self._after(now, self.settings.period_us // part, "probe")

    def _finish(self, now: int, number: int) -> None:
        probe = self.probes.pop(number, None)
        at = self.table.row(probe.of) if probe is not None else -1
        if probe is None or at < 0 or self.table.states[at] >= LOST:
            return
        self.answered.pop(probe.of, None)
        life = self.table.life[at]
        doubtful = probe.of in self.doubtful or bool(self.edges.callers(probe.of))
        lives = (
            probe.relayed
            or life > probe.began_us
            or (doubtful and now - life < LIFE * self.settings.period_us)
        )
        if probe.asked and not probe.relayed and not probe.nacks and self.heard_us < probe.began_us:
            # Not even those answered who were asked to call: it may be this copy's fault. Unless others are
            # heard: guards against survivors of many deaths that slow down while they ask the dead.
            self.awareness.worse()
        if lives:
            edge = self.edges.missed(probe.of, now)
            if edge is not None:
                self._tell(now, ("edge", edge.by, edge.of), codec.edge(edge))
                self._note("copy_partly", copy=self.table.names[at], cannot_reach=self._callers(probe.of))
            if self.edges.pending(probe.of):
                self.soon.append(probe.of)
        elif self.mute_us >= 0 or self._silent(now):
            if self.mute_us < 0:
                self.mute_us = now
            if now - self.mute_us > self.settings.most_us and probe.of not in self.private:
                self.private[probe.of] = self.changed_us = now
                self._note("copy_lost", copy=self.table.names[at], why="nobody is heard")
        else:
            self._suspect(now, at)

    def _suspect(self, now: int, at: int) -> None:
        ident = self.table.ids[at]
        if self.table.states[at] == ALIVE:
            self._adopt(now, at, self.table.brief(at)._replace(state=SUSPECTED, by=self.id))
        else:
            self._shared(now, ident, self.id)
        if ident in self.suspicions:
            self.suspicions[ident].own = True
            self.soon.append(ident)

    def _shared(self, now: int, ident: int, by: int) -> None:
        suspicion = self.suspicions.get(ident)
        if suspicion is not None and suspicion.shared(by):
            at = self.table.row(ident)
            self._tell(now, (ident, by), codec.brief(self.table.brief(at, by)))
            self._after(now, max(0, suspicion.over_us() - now), "expire", ident)

    def _expire(self, now: int, ident: int) -> None:
        suspicion = self.suspicions.get(ident)
        if suspicion is None:
            return
        over_us = suspicion.over_us() + (self.awareness.level * self.settings.period_us // 2)
        at = self.table.row(ident)
        if self.table.life[at] > suspicion.since_us:  # its own word came: what is missing is only its denial
            suspicion.since_us = now
            over_us = suspicion.over_us()
        if self.mute_us >= 0:  # this copy can't judge
            self._after(now, self.settings.period_us, "expire", ident)
        elif now < over_us:
            self._after(now, over_us - now, "expire", ident)
        else:
            self._adopt(now, at, self.table.brief(at)._replace(state=LOST, by=self.id))

    # What comes in

    def _junk(self, now: int, why: str) -> None:
        self.junk += 1
        if len(self.junk_why) < 16 or why in self.junk_why:
            self.junk_why[why] = self.junk_why.get(why, 0) + 1
        if now - self.junk_us >= JUNK_EVERY * self.settings.period_us:
            self.junk_us = now
            self._note("membership_junk", count=self.junk, why=self.junk_why)
            self.junk, self.junk_why = 0, {}

    def _take(self, now: int, told: Datagram, size: int) -> None:
        sender = told.sender
        if sender.id == self.id:
            if sender.birth == self.birth:
                raise MalformedDatagramError("own")
            self._of_self(now, sender.incarnation, sender.birth, sender.state)
            return
        at = self.table.row(sender.id)
        window = (told.number, 1)
        if at >= 0 and self.table.births[at] == sender.birth:
            moved = fresh(self.table.tops[at], self.table.seen[at], told.number)
            if moved is None:
                raise MalformedDatagramError("replayed")
            window = moved
        elif at >= 0 and sender[-3:-1] < (self.table.incarnations[at], self.table.births[at]):
            # A process that counts from below what is known of its name: it is to hear that, and count on.
            if isinstance(sender, Record):
                self._send(sender.address, NEWS, codec.brief(self.table.brief(at)), limit=size)
            return
        if sender.state == ALIVE and sender.id in self.private:
            del self.private[sender.id]
            self.changed_us = now
        if isinstance(sender, Record):
            self._hear(now, sender)
        else:
            self._hear_brief(now, sender)
        at = self.table.row(sender.id)
        if at >= 0:
            self.heard_us = self.table.heard[at] = self.table.life[at] = now
            self.table.refused[at] = 0
            if self.table.births[at] == sender.birth:
                self.table.tops[at], self.table.seen[at] = window
            for hint in told.hints if self.hinted else []:
                self.hints.hear(now, sender.id, sender.incarnation, sender.birth, hint)
        elif isinstance(sender, Record):
            return  # left, or one too many
        for text in told.words[:MOST_WORDS] if self.settings.words else []:
            self.out.append(Word(sender.id, text))
        for _, text in told.said if self.settings.words else []:
            self.out.append(Word(0, text))
        for told_of in told.records:
            self._hear(now, told_of)
        for brief in (*told.briefs, *told.digest):
            self._hear_brief(now, brief)
        for edge in told.edges:
            known = edge.by in self.table and (edge.of in self.table or edge.of == self.id)
            if known and self.edges.hear(edge, now):
                self._tell(now, ("edge", edge.by, edge.of), codec.edge(edge))
        if isinstance(sender, Record):
            self._answer(now, told, sender, size)
        elif told.spans and told.calls and told.calls[0].number == self.page:
            self._got_page(now, told.spans[0])

    def _answer(self, now: int, told: Datagram, sender: Record, size: int) -> None:
        call = told.calls[0] if told.calls else None
        at = self.table.row(sender.id)
        if told.kind == PING and call is not None and call.of in (0, self.id):
            fields = codec.call(Call(call.number, self.id))
            if at >= 0 and self.table.order(at) > order(sender.incarnation, sender.birth, sender.state):
                fields += codec.brief(self.table.brief(at))  # what it has to deny
            self._send(sender.address, ACK, fields, limit=size)
        elif told.kind == ASK and call is not None:
            of = self.table.row(call.of)
            if of < 0 or len(self.relays) >= 1024:
                self._send(sender.address, NACK, codec.call(call), limit=size)
                return
            number = self._call()
            self.relays[number] = (sender.address, call.number, call.of)
            self._question(of, PING, codec.call(Call(number, call.of)))
            self._after(now, self.settings.period_us * 2 // 5, "relay", number)
        elif told.kind == ACK and call is not None:
            self._acked(now, call, sender)
        elif told.kind == NACK and call is not None and call.number in self.probes:
            self.probes[call.number].nacks += 1
        elif told.kind == PAGE and told.spans:
            self._paged_for(now, told, sender, size)

    def _acked(self, now: int, call: Call, sender: Record) -> None:
        probe = self.probes.get(call.number)
        if probe is not None and probe.of == sender.id:
            del self.probes[call.number]
            self.mute_over(now)
            self.awareness.better()
            self.answered.pop(sender.id, None)
            self.answered[sender.id] = now
            if len(self.answered) > MOST_ANSWERED:
                del self.answered[next(iter(self.answered))]
            edge = self.edges.reached(sender.id, now)
            if edge is not None:
                self._tell(now, ("edge", edge.by, edge.of), codec.edge(edge))
            if self.edges.pending(sender.id):
                self.soon.append(sender.id)
        elif probe is not None and probe.of == call.of:
            probe.relayed = True
            if (at := self.table.row(call.of)) >= 0:
                self.table.life[at] = now
        elif call.number in self.relays and self.relays[call.number][2] == sender.id:
            to, number, of = self.relays.pop(call.number)
            self._send(
                to,
                ACK,
                codec.call(Call(number, of))
                + codec.brief(Brief(of, sender.incarnation, sender.birth, sender.state)),
            )

    def mute_over(self, now: int) -> None:
        """A call was answered: what it holds of others is worth telling again."""
        if self.mute_us >= 0:
            if self.private:
                self.private.clear()
                self.changed_us = now
            for suspicion in self.suspicions.values():  # what it could not judge does not count
                suspicion.since_us += now - max(self.mute_us, suspicion.since_us)
            self.mute_us = -1

    def _relay(self, now: int, number: int) -> None:
        """No answer in time to a call that was made for another; it may still come, and is then passed on."""
        if number in self.relays:
            to, theirs, of = self.relays.pop(number)
            self._send(to, NACK, codec.call(Call(theirs, of)))

    def _hear(self, now: int, told: Record) -> None:
        if told.id == self.id:
            self._of_self(now, told.incarnation, told.birth, told.state)
            return
        at = self.table.row(told.id)
        if at >= 0:
            if order(told.incarnation, told.birth, told.state) > self.table.order(at):
                self._adopt(now, at, Brief(told.id, told.incarnation, told.birth, told.state), told)
            return
        if told.state == LEFT or len(self.table) >= MOST_COPIES:
            return
        at = self.table.add(told, now)
        self.changed_us, self.recount = now, True
        if told.state == LOST:
            self.lost[told.id] = (now + self.chance.below(LOST_AGAIN * self.settings.period_us), 0)
            return
        self._note("copy_joined", copy=told.name, zone=told.zone)
        self.round.insert(self.chance.below(len(self.round) + 1), told.id)
        if told.state == SUSPECTED:
            self.table.states[at] = ALIVE
            self._adopt(now, at, Brief(told.id, told.incarnation, told.birth, SUSPECTED, self.id))
        else:
            self._tell(now, told.id, codec.record(told))

    def _hear_brief(self, now: int, told: Brief) -> None:
        if told.id == self.id:
            self._of_self(now, told.incarnation, told.birth, told.state)
            return
        at = self.table.row(told.id)
        if at < 0:
            return
        over = order(told.incarnation, told.birth, told.state)
        if over > self.table.order(at):
            self._adopt(now, at, told)
        elif over == self.table.order(at) and told.state == SUSPECTED and told.by:
            self._shared(now, told.id, told.by)

    def _adopt(self, now: int, at: int, told: Brief, record: Record | None = None) -> None:
        """A word that stands above what is known."""
        ident, before, state = told.id, self.table.states[at], told.state
        born = self.table.births[at]
        newer = (told.incarnation, told.birth) > (self.table.incarnations[at], self.table.births[at])
        if state == LOST and ident not in self.suspicions and before == ALIVE:
            state = SUSPECTED  # nobody believes a loss that it did not time itself
        elif state == LOST and ident in self.suspicions and now < self.suspicions[ident].over_us():
            self._shared(now, ident, told.by)
            return
        if newer and state == ALIVE:
            self.table.life[at] = now
        if record is not None and state == record.state:
            self.table.replace(at, record, now)
        else:
            self.table.change(at, told.incarnation, told.birth, state, now)
        name = self.table.names[at]
        self.changed_us = now if before != state else self.changed_us
        if state == SUSPECTED:
            suspicion = self.suspicions.get(ident)
            if suspicion is None or newer:
                suspicion = self.suspicions[ident] = Suspicion(
                    now, self.settings.least_us, self.settings.most_us, self.settings.shrinks
                )
            if before != SUSPECTED:
                self._note("copy_suspected", copy=name, by=self._name(told.by))
            suspicion.shared(told.by)
            self._tell(now, (ident, told.by), codec.brief(self.table.brief(at, told.by)))
            self._after(now, max(0, suspicion.over_us() - now), "expire", ident)
            if (
                told.by != self.id
                and self.chance.below(max(1, self.alive() - len(self.suspicions))) < SHARED_BY
            ):
                self.soon.append(ident)
            return
        was_suspected = self.suspicions.pop(ident, None) is not None
        for by in [about for about in self.rumours.items if isinstance(about, tuple) and about[0] == ident]:
            self.rumours.drop(by)
        if state == ALIVE:
            if was_suspected or before == LOST:
                self.doubtful[ident] = now + 20 * self.settings.period_us
            if before >= LOST:
                self.recount = True
                self.lost.pop(ident, None)
                self.round.insert(self.chance.below(len(self.round) + 1), ident)
                self._note("copy_joined", copy=name, zone=self.table.zone(at), back=True)
                # A split may have healed: the others that were lost are tried sooner.
                self.lost = {
                    i: (min(at_us, now + self.chance.below(LOST_AGAIN * self.settings.period_us)), 0)
                    for i, (at_us, _) in self.lost.items()
                }
            moved = record is not None and record.birth != born
            self._tell(
                now,
                ident,
                codec.record(record) if moved and record is not None else codec.brief(self.table.brief(at)),
            )
            return
        self.edges.forget(ident)
        self.hints.forget(ident)
        self.private.pop(ident, None)
        if state == LOST:
            if before < LOST:
                self._note("copy_lost", copy=name, why="no answer")
            span = LOST_AGAIN * self.settings.period_us
            self.lost[ident] = (now + span // 2 + self.chance.below(span), 0)
        elif before != LEFT:
            self.lost.pop(ident, None)
            self._note("copy_left", copy=name)
        self._tell(now, ident, codec.brief(self.table.brief(at, told.by)))

    def _of_self(self, now: int, incarnation: int, birth: int, state: int) -> None:
        """What others hold of this copy's name."""
        if birth == self.birth:
            if incarnation < self.incarnation or (incarnation == self.incarnation and state == ALIVE):
                return
            if state in (SUSPECTED, LOST):
                self.awareness.worse()
                self.doubted_us = now + 20 * self.settings.period_us
        else:
            if (incarnation, birth) < (self.incarnation, self.birth):
                return
            rising = incarnation > self.foreign.get(birth, 1 << 63)
            if birth in self.foreign or len(self.foreign) < 8:
                self.foreign[birth] = incarnation
            if rising and self.birth < birth:
                # Only a living process counts on: there are two of this name, and the one born lower gives
                # way.
                self._rename(now)
                return
        if incarnation >= MOST_INCARNATION:
            self._rename(now)
            return
        self.incarnation = incarnation + 1
        self.bumped_us = now
        self._tell(now, self.id, codec.brief(self._self()))
        for at in self._some(FAN):
            self._send(self.table.address(at), NEWS, b"")

    def _rename(self, now: int) -> None:
        before, self.name = (
            self.name,
            f"{self.settings.name.encode()[:48].decode(errors='ignore')}~{self.birth:08x}",
        )
        self.id = self.edges.own = id_of(self.name)
        self._note("copy_twin", copy=before, now=self.name)
        self._tell(now, self.id, codec.record(self._own()))

    def _forget(self, ident: int) -> None:
        self.table.forget(ident)
        self.lost.pop(ident, None)
        self.rumours.drop(ident)
        self.edges.forget(ident)
        self.hints.forget(ident)

    # The exchange, and joining

    def _join(self, now: int, _: int) -> None:
        """Asks a seed for all it knows until one answers; later, now and then, one that is not among the
        living."""
        period, living = self.settings.period_us, set()
        for i in self.table.living():
            living.add(self.table.address(self.table.row(i)))
        if not self.seeds:
            self.seeds = [seed for seed in self.settings.seeds if seed != self.settings.advertise]
            self._shuffle(self.seeds)
        alone = not living
        while self.seeds:
            seed = self.seeds.pop()
            if seed not in living:
                self.page = self._call()
                self._ask_page(seed, self.page, Span(0, HIGHEST, False) if alone else self._span())
                break
        self.seed_tries = min(self.seed_tries + 1, 4) if alone else 0
        span = period << self.seed_tries if alone else SEED_EVERY * period
        self._after(now, span // 2 + self.chance.below(span), "join")

    def _page(self, now: int, arg: int) -> None:
        """A page of the exchange with one of the living, drawn at random; `arg`: the next of a walk through
        all."""
        for at in self._some(1):
            self.page = self._call()
            self._ask_page(self.table.address(at), self.page, self._span())
        if not arg:
            span = PAGE_EVERY * self.settings.period_us
            self._after(now, span // 2 + self.chance.below(span), "page")

    def _span(self) -> Span:
        return Span(self.cursor, HIGHEST, False)

    def _ask_page(self, to: Address, number: int, span: Span) -> None:
        own = codec.record(self._own())
        room = self.settings.most_bytes - codec.OVERHEAD - len(own) - codec.CALL_SIZE - codec.SPAN_SIZE
        rows: list[Brief] = []
        high = span.high
        most = max(1, (room - room // 255 * 2 - 2) // codec.ROW_SIZE)
        for at in self.table.within(span.low, span.high):
            if len(rows) == most:
                high = rows[-1].id
                break
            rows.append(self.table.brief(at))
        fields = (
            codec.call(Call(number, 0)) + codec.span(Span(span.low, high, span.answers)) + codec.digest(rows)
        )
        self._send(to, PAGE, fields, least=self.settings.most_bytes)

    def _paged_for(self, now: int, told: Datagram, sender: Record, size: int) -> None:
        span, theirs = told.spans[0], {row.id: row for row in told.digest}
        fields, upto = b"", span.high
        head = codec.call(told.calls[0] if told.calls else Call(0, 0))
        room = size - codec.SHORTEST - len(head) - codec.SPAN_SIZE
        last = span.low
        for at in self.table.within(span.low, span.high):
            ident = self.table.ids[at]
            row = theirs.get(ident)
            if (
                ident != sender.id
                and self.table.states[at] != LEFT
                and (row is None or order(row.incarnation, row.birth, row.state) < self.table.order(at))
            ):
                text = codec.record(self.table.record(at))
                if len(fields) + len(text) > room:
                    upto = last
                    break
                fields += text
            last = ident
        self._send(sender.address, PAGED, head + codec.span(Span(span.low, upto, False)) + fields, limit=size)
        if any(i not in self.table and i != self.id for i in theirs) and not span.answers:
            # It knows some that are not known here: asked for in turn, in a question of this copy's own.
            self.page = self._call()
            self._ask_page(sender.address, self.page, Span(span.low, span.high, True))

    def _got_page(self, now: int, span: Span) -> None:
        if not self.joined:
            self.joined = True
            self.changed_us = now
        self.cursor = 0 if span.high >= HIGHEST else span.high
        self.walked = self.walked or not self.cursor
        if not self.walked:  # on at once, with another copy, so that no seed is asked for all by all
            self._after(
                now,
                self.settings.period_us // 50 + self.chance.below(self.settings.period_us // 25),
                "page",
                1,
            )

    # What goes out

    def _own(self, left: bool = False) -> Record:
        return Record(
            self.name,
            self.settings.zone,
            self.settings.advertise,
            self.incarnation,
            self.birth,
            LEFT if left else ALIVE,
        )

    def _question(self, to: int, kind: int, fields: bytes) -> None:
        """To the copy of that row, and so large that its answer fits into the same size."""
        answer = codec.wrap(kind, 0, codec.record(self.table.record(to)) + codec.call(Call(0, 0)))
        self._send(self.table.address(to), kind, fields, least=len(answer) + codec.BRIEF_SIZE + CODE)

    def _self(self) -> Brief:
        return Brief(self.id, self.incarnation, self.birth, ALIVE)

    def _send(
        self, to: Address, kind: int, fields: bytes, limit: int = 0, left: bool = False, least: int = 0
    ) -> None:
        """One datagram, with what room there is filled with rumours; an answer is no larger than its
        question."""
        self.number += 1
        own = codec.self_(self._self()) if kind == PAGED else codec.record(self._own(left))
        text = codec.wrap(kind, self.number, own + fields)
        room = min(limit or self.settings.most_bytes, self.settings.most_bytes) - len(text) - CODE
        if room < 0:
            return
        told = self.rumours.take(room, len(self.table))
        if self.hinted:  # what room is left; after a datagram's own words its number is known to be new
            for hint in self.hints.take(self.now_us, room - len(told)):
                told += codec.hint(hint)
        text += told
        if len(text) + CODE < least:
            text += codec.pad(min(least - len(text) - CODE, room - len(told)))
        self.out.append(Send(to, seal(self.keys[0], text)))

    def _tell(self, now: int, about: Any, text: bytes) -> None:
        self.rumours.add(about, text)
        self._stir(now)

    def _stir(self, now: int) -> None:
        if not self.gossiping and len(self.rumours):
            self.gossiping = True
            self._after(now, self.chance.below(max(1, self.settings.period_us // 20)), "gossip")

    def _gossip(self, now: int, _: int) -> None:
        self.gossiping = False
        own = codec.record(self._own())
        self.rumours.keep_below(self.settings.most_bytes - codec.OVERHEAD - len(own) + 1)
        for at in self._mixed(FAN, now):
            if len(self.rumours):
                self._send(self.table.address(at), NEWS, b"")
        if len(self.rumours) and len(self.table):
            self.gossiping = True
            self._after(now, self.settings.period_us // 5, "gossip")

    def _some(self, most: int, but: int = 0) -> list[int]:
        """Rows of so many that take part, drawn at random."""
        living = [i for i in self.table.living() if i != but and not self.edges.marked(i)]
        # Guards against news that go to the dead while many have died at once.
        living = [i for i in living if i not in self.suspicions or not self.suspicions[i].own] or living
        chosen: list[int] = []
        while living and len(chosen) < most:
            chosen.append(self.table.row(living.pop(self.chance.below(len(living)))))
        return chosen

    def _mixed(self, most: int, now: int, but: int = 0) -> list[int]:
        """The same, all but one of them drawn from those that answered lately: guards against news that get
        no further, or too late, where most can't call each other."""
        sure = [
            i
            for i, at_us in self.answered.items()
            if i != but and now - at_us < ANSWERED * self.settings.period_us and self._lives(i)
        ]
        chosen: list[int] = []
        while sure and len(chosen) < most - 1:
            chosen.append(self.table.row(sure.pop(self.chance.below(len(sure)))))
        for at in self._some(most, but):
            if at not in chosen and len(chosen) < most:
                chosen.append(at)
        return chosen

    def _name(self, ident: int) -> str:
        at = self.table.row(ident)
        return self.name if ident == self.id else self.table.names[at] if at >= 0 else f"{ident:016x}"

    def _note(self, event: str, **what: Any) -> None:
        self.out.append(LogEvent(event, what))

    def _done(self) -> list[Command]:
        out, self.out = self.out, []
        return out
