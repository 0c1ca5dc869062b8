"""Membership as one copy sees it: what happens goes in, what is to be done comes out.

SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's refinements (Dadgar, Phillips, Currey, 2017) and what
docs/membership.md adds: signs of life of those that can't be called, losses that are believed only if timed
here, pages of an exchange in place of whole tables."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from enum import Enum, auto
from heapq import heappop, heappush
from typing import Any

from cressrail.membership import codec
from cressrail.membership.authentication import (
    AUTHENTICATION_BYTES,
    advance_replay_window,
    sign_datagram,
    verified_payload,
)
from cressrail.membership.codec import (
    ACK,
    GOSSIP,
    NACK,
    PING,
    PING_REQ,
    PUSH_PULL_REQUEST,
    PUSH_PULL_RESPONSE,
    Datagram,
    MalformedDatagramError,
    PingReference,
)
from cressrail.membership.gossip import BroadcastQueue
from cressrail.membership.live_count import LiveInstanceCount, ObservedInstances
from cressrail.membership.load_reports import PeerLoadReports, PeerLoadSummary
from cressrail.membership.local_health import LocalHealth, Suspicion
from cressrail.membership.member_table import MemberTable
from cressrail.membership.messages import (
    ALIVE,
    DEAD,
    LEFT,
    MAX_INCARNATION,
    MAX_USER_MESSAGE_BYTES,
    PARTIALLY_REACHABLE,
    SUSPECTED,
    USE_INSTANCE_COUNT,
    USE_PEER_EJECTIONS,
    USE_WARMUP_LOAD,
    VIEW_STATE_NAMES,
    Address,
    Command,
    IdRange,
    InstanceCount,
    InstanceRecord,
    InstanceStatus,
    LogEvent,
    MembershipSettings,
    RequestLoadReports,
    SendDatagram,
    UserMessage,
    instance_id,
    precedence,
)
from cressrail.membership.reachability import ReachabilityReports
from cressrail.policy.random_generator import RandomGenerator

INDIRECT_PINGS = 3  # copies that are asked to call in one's place, as published
GOSSIP_FANOUT = 3  # copies that hear news at once
PING_TRIES = 3  # of a direct call within its span, against lost messages
MAX_PINGS = 8  # calls under way
PRIORITY_SHARE = 3  # one call in so many goes to those who are to be called out of turn, if there are others
MAX_SCORE_TO_HASTEN = 3  # at this level of slowness at most a copy calls the next sooner after one in vain
HASTENED_SHARE, REFUSED_SHARE = (
    5,
    20,
)  # parts of a period after which it is; the latter after one that was refused
HASTENED_PERIODS, MIN_SUSPICIONS_TO_HASTEN = (
    4,
    3,
)  # periods after a refusal, while so many are suspected: all are called sooner
MAX_REFUSALS = 2  # of one call, by which it has failed: one may meet a process that is just being replaced
MAX_INSTANCES = 4096  # that are kept; who makes up more is not believed
MAX_USER_MESSAGES = 4  # for other parts of the sidecar, in one datagram
HIGHEST_ID = (1 << 64) - 1
ALIVE_EVIDENCE_PERIODS = 6  # periods for which a sign of life of a copy that some can't call is good
SILENCE_PERIODS = (
    4  # periods without a word from anybody, after which this copy takes itself for the one at fault
)
# copies over the fleet that call a suspected one at once, so that it is soon told from a living one
CROSS_CHECKS = 6
PUSH_PULL_PERIODS, SEED_PERIODS = 10, 40  # periods
DEAD_RETRY_PERIODS, MAX_DEAD_RETRY_PERIODS = (
    4,
    120,
)  # periods until a lost copy is tried again, first and at most
MAX_FIRST_RETRIES = 8  # of copies just lost, in two periods
COUNT_CHANGE_SHARE = 32  # a change of the count by less than one part in so many is not told
KEEP_DEAD_PERIODS, KEEP_LEFT_PERIODS = 7200, 120  # periods
# periods for which an answer tells that its copy can be called, and so many copies
RECENT_ACK_PERIODS, MAX_RECENT_ACKS = 10, 16
REACHABILITY_REFRESH_PERIODS, REACHABILITY_LIFETIME_PERIODS = (
    20,
    60,
)  # periods until own marks are told anew, and until those of others fade
MALFORMED_LOG_PERIODS = 20  # periods to a line on junk


class TimerKind(Enum):
    """What is to be done when a timer runs out."""

    START_PING = auto()
    MAINTAIN = auto()
    PUSH_PULL = auto()
    RETRY_PING = auto()
    FINISH_PING = auto()
    EXPIRE_RELAYED_PING = auto()
    GOSSIP = auto()
    EXPIRE_SUSPICION = auto()
    JOIN = auto()


class Ping:
    __slots__ = (
        "deadline_us",
        "indirect_pings",
        "is_relayed",
        "nacks",
        "refusals",
        "started_us",
        "target",
        "tries",
    )

    def __init__(self, of: int, now: int, over_us: int) -> None:
        self.target, self.started_us, self.deadline_us = of, now, over_us
        self.tries = 0
        self.indirect_pings = self.nacks = (
            0  # copies asked to call in this one's place, and those that did in vain
        )
        self.is_relayed = False
        self.refusals = 0  # by the machine that it went to


class MembershipStateMachine:
    """`birth` is drawn anew by each process; `incarnation` is where it starts to count, and need not be
    above what others know: it is told and counts on from there. Both rest on no clock."""

    def __init__(
        self, settings: MembershipSettings, chance: RandomGenerator, now: int, birth: int, incarnation: int
    ) -> None:
        self.settings, self.random = settings, chance
        self.name, self.id = settings.name, instance_id(settings.name)
        self.process_id, self.incarnation = birth, incarnation
        self.keys = settings.keys
        self.table = MemberTable()
        self.local_health = LocalHealth(settings.has_local_health)
        self.broadcasts = BroadcastQueue()
        self.reachability = ReachabilityReports(
            self.id, settings.ping_period_us * REACHABILITY_LIFETIME_PERIODS
        )
        self.suspicions: dict[int, Suspicion] = {}
        self.wrongly_suspected: dict[int, int] = {}  # suspected wrongly of late, until when that counts
        self.dead_in_own_view: dict[int, int] = {}  # lost in this copy's eyes alone, and since when
        self.dead_retries: dict[
            int, tuple[int, int]
        ] = {}  # when to try them again, and how often that was done
        self.namesakes: dict[int, int] = {}  # other processes of this name, and the highest they counted
        self.ping_round: list[int] = []
        self.priority_targets: deque[int] = deque(maxlen=64)  # to be called out of turn
        self.pings: dict[int, Ping] = {}
        self.recent_acks: dict[int, int] = {}  # who answered a call, and when last
        self.relayed_pings: dict[int, tuple[Address, int, int]] = {}  # calls made for others
        self.timers: list[tuple[int, int, TimerKind, int]] = []
        self.timer_no = 0
        self.datagram_number = 0  # of datagrams
        self.ping_sequence = 0
        self.is_gossiping = False
        self.push_pull_cursor = 0  # of the exchange's pages
        self.push_pull_sequence = 0  # the call that asked for one
        self.has_joined = False
        self.has_full_view = False  # through all pages once
        self.seed_tries = 0
        self.seeds: list[Address] = []
        self.last_datagram_us = self.changed_us = now
        self.isolated_since_us = (
            -1
        )  # since when it tells nobody whom it can't reach, as the fault may be its own
        self.incarnated_us = self.reachability_refreshed_us = now
        self.live_count = (
            LiveInstanceCount(settings.configured_instance_count, settings.tolerated_pause_us, now)
            if USE_INSTANCE_COUNT in settings.uses
            else None
        )
        self.load_reports = PeerLoadReports(settings.ping_period_us)
        self.now_us = now
        self.exchanges_load_reports = USE_WARMUP_LOAD in settings.uses or USE_PEER_EJECTIONS in settings.uses
        self.instance_count: InstanceCount | None = None  # as told last
        self.needs_recount = False  # one is new
        self.hastened_until_us = now  # until then others are called sooner
        self.suspected_until_us = now  # until then it shows signs of life, as others had taken it for lost
        self.is_leaving = False
        self.malformed_count = 0
        self.malformed_reasons: dict[str, int] = {}
        self.malformed_logged_us = -(1 << 60)
        self.commands: list[Command] = []
        self._timer_handlers: dict[TimerKind, Callable[[int, int], None]] = {
            TimerKind.START_PING: self._start_ping,
            TimerKind.MAINTAIN: self._maintain,
            TimerKind.PUSH_PULL: self._push_pull,
            TimerKind.RETRY_PING: self._retry_ping,
            TimerKind.FINISH_PING: self._finish_ping,
            TimerKind.EXPIRE_RELAYED_PING: self._expire_relayed_ping,
            TimerKind.GOSSIP: self._gossip,
            TimerKind.EXPIRE_SUSPICION: self._expire_suspicion,
            TimerKind.JOIN: self._join,
        }

    # Happenings

    @property
    def next_timer_us(self) -> int:
        return self.timers[0][0] if self.timers else 1 << 62

    def start(self, now: int) -> list[Command]:
        period = self.settings.ping_period_us
        self.timers.clear()
        self._set_timer(now, self.random.below(2 * period) if self.settings.seeds else 0, TimerKind.JOIN)
        self._set_timer(now, period + self.random.below(period), TimerKind.START_PING)
        self._set_timer(now, 2 * period, TimerKind.MAINTAIN)
        self._set_timer(
            now,
            PUSH_PULL_PERIODS * period // 2 + self.random.below(PUSH_PULL_PERIODS * period),
            TimerKind.PUSH_PULL,
        )
        return self._take_commands()

    def on_timer(self, now: int) -> list[Command]:
        late_us = now - self.next_timer_us
        self._check_own_pause(now)
        if late_us > self.settings.ping_period_us // 8:  # once a lag, however many datagrams waited meanwhile
            self.local_health.degrade()
        while self.timers and self.timers[0][0] <= now and not self.is_leaving:
            _, _, what, arg = heappop(self.timers)
            self._timer_handlers[what](now, arg)
        return self._take_commands()

    def on_datagram(self, now: int, data: bytes) -> list[Command]:
        self._check_own_pause(now)
        if self.is_leaving:
            return self._take_commands()
        self._read_datagram(now, data)
        if self.needs_recount:
            self._update_instance_count(now)
        return self._take_commands()

    def _read_datagram(self, now: int, data: bytes) -> None:
        try:
            if not codec.MIN_DATAGRAM_BYTES <= len(data) <= self.settings.max_datagram_bytes:
                raise MalformedDatagramError("size")
            text = verified_payload(self.keys, data)
            if text is None:
                raise MalformedDatagramError("stranger")
            self._process_datagram(now, codec.decode_datagram(text), len(data))
        except MalformedDatagramError as fault:
            self._count_malformed(now, str(fault))

    def on_connection_refused(self, now: int, address: Address) -> list[Command]:
        """A datagram to that address came to a machine where nobody listens: a process that is gone, where
        silence may be a cut or a pause. It makes nobody lost, but a call need not be waited for, nor a
        suspicion for as long as one that rests on silence."""
        self._check_own_pause(now)
        for at in self.table.rows_at(address) if not self.is_leaving else []:
            ident = self.table.ids[at]
            self.table.refused[at] = 1
            for number in [n for n, probe in self.pings.items() if probe.target == ident]:
                self.pings[number].refusals += 1
                if self.pings[number].refusals == MAX_REFUSALS:
                    self.hastened_until_us = now + HASTENED_PERIODS * self.settings.ping_period_us
                    self._finish_ping(now, number)
                    self._hasten_next_ping(now, REFUSED_SHARE)
            suspicion = self.suspicions.get(ident)
            if suspicion is not None and suspicion.is_own and not suspicion.is_refused:
                suspicion.is_refused = True
                self._set_timer(now, max(0, suspicion.deadline_us() - now), TimerKind.EXPIRE_SUSPICION, ident)
        return self._take_commands()

    def leave(self, now: int, announces: bool = True) -> list[Command]:
        """For good; `tell` unless another process goes on under the same name."""
        if not self.is_leaving and announces:
            self.broadcasts.entries.clear()
            for at in self._random_rows(8):
                self._send(self.table.address_of(at), GOSSIP, b"", left=True)
        self.is_leaving = True
        self.timers.clear()
        return self._take_commands()

    def set_keys(self, keys: tuple[bytes, ...]) -> None:
        self.keys = keys

    # What others ask of it

    def live_instance_count(self) -> int:
        """Copies that take part, this one included."""
        return 1 + sum(1 for ident in self.table.live_ids() if ident not in self.dead_in_own_view)

    def is_settled(self, now: int) -> bool:
        """Whether its view may be gone by: it hears others, suspects none and has not changed for a while."""
        return (
            (self.has_joined or not self.settings.seeds)
            and self.isolated_since_us < 0
            and not self.suspicions
            and now - self.changed_us >= 4 * self.settings.ping_period_us
        )

    def observed_instances(self, now: int) -> ObservedInstances:
        """What the count of live copies goes by."""
        own, alive, silent, near_alive, near_silent = self.settings.zone, 1, 0, 1, 0
        for at, ident in enumerate(self.table.ids):
            state, near = self.table.states[at], self.table.zone_of(at) == own
            if state < DEAD and ident not in self.dead_in_own_view:
                alive, near_alive = alive + 1, near_alive + near
            elif state <= DEAD and not self.table.refused[at]:
                silent, near_silent = silent + 1, near_silent + near
        sure = self.isolated_since_us < 0 and self.has_full_view
        return ObservedInstances(alive, silent, near_alive, near_silent, sure)

    def send_user_message(self, now: int, to: int, text: bytes) -> list[Command]:
        """A word of another part of the sidecar to one copy. It may be lost, like any datagram."""
        self.now_us = now
        at = self.table.row_of(to)
        if at >= 0 and not self.is_leaving and len(text) <= MAX_USER_MESSAGE_BYTES:
            self._send(self.table.address_of(at), GOSSIP, codec.encode_user_message(text))
        return self._take_commands()

    def broadcast_user_message(self, now: int, about: str, text: bytes, urgent: bool) -> list[Command]:
        """One to all, by way of each other; an earlier one about the same is not told on. One that is not
        urgent only rides on what is sent anyway."""
        if not self.is_leaving and len(text) <= MAX_USER_MESSAGE_BYTES:
            ident = instance_id(about)
            self.broadcasts.enqueue(("said", ident), codec.encode_user_broadcast(ident, text))
            if urgent:
                self._schedule_gossip(now)
        return self._take_commands()

    def instance_zones(self) -> dict[int, str]:
        """Of those that take part, this one not included."""
        return {
            ident: self.table.zone_of(at)
            for at, ident in enumerate(self.table.ids)
            if self.table.states[at] < DEAD and ident not in self.dead_in_own_view
        }

    def instance_names(self) -> dict[int, str]:
        return dict(zip(self.table.ids, self.table.names, strict=True))

    def set_own_load_reports(self, now: int, words: Iterable[tuple[int, int, int]]) -> None:
        """Kind, what it is about, value: all that this copy has to say of its own work."""
        self.load_reports.set_own_reports(now, words)

    def _exchange_load_reports(self, now: int) -> None:
        copies = (
            self.instance_count.total
            if self.instance_count is not None
            else float(self.live_instance_count())
        )
        near = [i for at, i in enumerate(self.table.ids) if self.table.zone_of(at) == self.settings.zone]
        told = self.load_reports.summarize(now, copies, near)
        self.commands.append(
            PeerLoadSummary(
                told.failing_endpoints if USE_PEER_EJECTIONS in self.settings.uses else (),
                told.warmup_loads if USE_WARMUP_LOAD in self.settings.uses else {},
                told.total_traffic,
            )
        )
        self.commands.append(RequestLoadReports())

    def _update_instance_count(self, now: int) -> None:
        """Tells how many copies to go by, where that has changed by more than a hair."""
        self.needs_recount = False
        if self.live_count is None or self.is_leaving:
            return
        told, before = self.live_count.update(now, self.observed_instances(now)), self.instance_count
        if before is None or any(
            abs(a - b) * COUNT_CHANGE_SHARE > b for a, b in zip(told, before, strict=True)
        ):
            self.instance_count = told
            self.commands.append(told)

    def view(self, now: int) -> dict[str, Any]:
        copies = [
            {
                "name": self.name,
                "zone": self.settings.zone,
                "state": self._view_state(ALIVE, self.id),
                "since_ms": 0,
                "heard_ms": 0,
                "cannot_reach": self._names_unreachable_from(self.id),
            }
        ]
        for at, ident in enumerate(self.table.ids):
            state, since = self.table.states[at], self.table.state_since_us[at]
            if ident in self.dead_in_own_view:
                state, since = DEAD, self.dead_in_own_view[ident]
            heard = self.table.last_datagram_us[at]
            copies.append(
                {
                    "name": self.table.names[at],
                    "zone": self.table.zone_of(at),
                    "state": self._view_state(state, ident),
                    "since_ms": (now - since) // 1000,
                    "heard_ms": (now - heard) // 1000 if heard >= 0 else -1,
                    "cannot_reach": self._names_unreachable_from(ident),
                }
            )
        return {
            "self": self.name,
            "incarnation": self.incarnation,
            "alive": self.live_instance_count(),
            "settled": self.is_settled(now),
            "copies": copies,
        } | ({"goes_by": round(self.instance_count.total, 2)} if self.instance_count else {})

    def _view_state(self, state: int, ident: int) -> str:
        return (
            PARTIALLY_REACHABLE
            if state == ALIVE and self._names_unreachable_from(ident)
            else VIEW_STATE_NAMES[state]
        )

    def _names_unreachable_from(self, ident: int) -> list[str]:
        """Names of copies that take part and can't call that one."""
        rows = [(by, self.table.row_of(by)) for by in self.reachability.unreachable_from(ident)]
        return sorted(
            self.name if by == self.id else self.table.names[at]
            for by, at in rows
            if by == self.id or (at >= 0 and self.table.states[at] < DEAD)
        )

    # Time

    def _set_timer(self, now: int, span_us: int, what: TimerKind, arg: int = 0) -> None:
        self.timer_no += 1
        heappush(self.timers, (now + span_us, self.timer_no, what, arg))

    def _check_own_pause(self, now: int) -> None:
        """Guards against a copy that was stopped and, waking, takes all the others for dead: its own timers
        tell."""
        period, self.now_us = self.settings.ping_period_us, now
        late_us = now - self.timers[0][0] if self.timers else 0
        if self.is_leaving or late_us <= period // 2:
            return
        self._log("copy_paused", for_ms=late_us // 1000)
        self.local_health.degrade(min(2, late_us // period))
        self.pings.clear()
        self.relayed_pings.clear()
        self.is_gossiping = False
        if self.isolated_since_us < 0:
            self.isolated_since_us = now
        for suspicion in self.suspicions.values():
            suspicion.since_us = now
        self.last_datagram_us = now
        if late_us > 2 * period:
            self._increment_incarnation(now)
        self.timers = [
            (now if what in (TimerKind.START_PING, TimerKind.GOSSIP) else now + period, n, what, arg)
            for _, n, what, arg in self.timers
            if what
            not in (
                TimerKind.RETRY_PING,
                TimerKind.FINISH_PING,
                TimerKind.EXPIRE_RELAYED_PING,
                TimerKind.GOSSIP,
                TimerKind.EXPIRE_SUSPICION,
            )
        ]
        self.timers.sort()
        for ident in self.suspicions:
            self._set_timer(now, self.settings.min_suspicion_us, TimerKind.EXPIRE_SUSPICION, ident)
        self._schedule_gossip(now)

    def _maintain(self, now: int, _: int) -> None:
        period = self.settings.ping_period_us
        self._set_timer(now, 2 * period, TimerKind.MAINTAIN)
        self._update_instance_count(now)
        if self.exchanges_load_reports:
            self._exchange_load_reports(now)
        if self._hears_nobody(now) and self.isolated_since_us < 0:
            self.isolated_since_us = now
        if (
            self._hears_nobody(now)
            or now < self.suspected_until_us
            or self.reachability.unreachable_from(self.id)
        ):
            self._increment_incarnation(
                now
            )  # a sign of life for those who can't call it, as long as anybody hears it
        again = now - self.reachability_refreshed_us >= REACHABILITY_REFRESH_PERIODS * period
        self.reachability_refreshed_us = now if again else self.reachability_refreshed_us
        for edge in self.reachability.refresh(now) if again else []:
            self._broadcast(now, ("edge", edge.reporter, edge.target), codec.encode_reachability(edge))
        due = [i for i, (at_us, _) in self.dead_retries.items() if at_us <= now]
        # Guards against many deaths of which it takes a minute to see that they are no cut.
        new = [i for i in due if not self.dead_retries[i][1]]
        for i in due[:2] + [i for i in new if i not in due[:2]][:MAX_FIRST_RETRIES]:
            tries = self.dead_retries[i][1]
            span = min(MAX_DEAD_RETRY_PERIODS, int(DEAD_RETRY_PERIODS * 1.5 ** min(tries, 20))) * period
            self.dead_retries[i] = (now + span // 2 + self.random.below(span), tries + 1)
            at = self.table.row_of(i)
            self._send_request(
                at,
                PING,
                codec.encode_ping_reference(PingReference(self._next_sequence(), i))
                + codec.encode_status(self.table.status_of(at)),
            )
        for i in self.table.expired_ids(now, KEEP_DEAD_PERIODS * period, KEEP_LEFT_PERIODS * period):
            self._forget(i)
        self.wrongly_suspected = {i: until for i, until in self.wrongly_suspected.items() if until > now}

    def _hears_nobody(self, now: int) -> bool:
        return (
            bool(len(self.table))
            and now - self.last_datagram_us > SILENCE_PERIODS * self.settings.ping_period_us
        )

    def _increment_incarnation(self, now: int) -> None:
        if now - self.incarnated_us >= self.settings.ping_period_us or self.incarnated_us > now:
            self.incarnated_us = now
            self.incarnation += 1
            self._broadcast(now, self.id, codec.encode_status(self._own_status()))

    # Calls

    def _start_ping(self, now: int, _: int) -> None:
        period = self.local_health.scaled_us(self.settings.ping_period_us)
        ident = self._next_target() if len(self.pings) < MAX_PINGS else 0
        if ident:
            number = self._next_sequence()
            self.pings[number] = Ping(ident, now, now + period)
            self._retry_ping(now, number)
            self._set_timer(now, period, TimerKind.FINISH_PING, number)
        # Guards against some of many that died together who are met by nobody's call for long.
        span = (
            period // HASTENED_SHARE
            if now < self.hastened_until_us and len(self.suspicions) >= MIN_SUSPICIONS_TO_HASTEN
            else period
        )
        self._set_timer(now, span - span // 16 + self.random.below(max(1, span // 8)), TimerKind.START_PING)

    def _next_target(self) -> int:
        """Whom to call: one out of turn, else the next of a round in which each comes once, in an order
        drawn anew."""
        under_way = {probe.target for probe in self.pings.values()}
        if self.priority_targets and not (self.random.below(PRIORITY_SHARE) and self.ping_round):
            ident = self.priority_targets.popleft()
            if ident not in under_way and self._is_live(ident):
                return ident
        for _ in range(2):
            while self.ping_round:
                ident = self.ping_round.pop()
                if (
                    ident not in under_way
                    and self._is_live(ident)
                    and (ident not in self.suspicions or not self.suspicions[ident].is_own)
                ):
                    return ident
            # Guards against survivors who ask the dead in turn and hear nobody while many have died at once.
            self.ping_round = [
                i for i in self.table.live_ids() if i not in self.suspicions or not self.suspicions[i].is_own
            ]
            self._shuffle(self.ping_round)
        return (
            self.priority_targets.popleft()
            if self.priority_targets and self.priority_targets[0] not in under_way
            else 0
        )

    def _is_live(self, ident: int) -> bool:
        at = self.table.row_of(ident)
        return at >= 0 and self.table.states[at] < DEAD

    def _shuffle(self, items: list[Any]) -> None:
        for n in range(len(items) - 1, 0, -1):
            k = self.random.below(n + 1)
            items[n], items[k] = items[k], items[n]

    def _next_sequence(self) -> int:
        self.ping_sequence = self.ping_sequence + 1 & 0xFFFFFFFF
        return self.ping_sequence

    def _retry_ping(self, now: int, number: int) -> None:
        """The next try of a call, or others asked to make it."""
        probe = self.pings.get(number)
        if probe is None:
            return
        at = self.table.row_of(probe.target)
        if at < 0:
            del self.pings[number]
            return
        span = self.local_health.scaled_us(self.settings.ping_period_us * 2 // 5)
        if probe.tries < PING_TRIES:
            probe.tries += 1
            fields = codec.encode_ping_reference(PingReference(number, probe.target))
            if self.table.states[at] != ALIVE:  # it is to hear at once what is said of it, and to deny it
                fields += codec.encode_status(self.table.status_of(at))
            self._send_request(at, PING, fields)
            self._set_timer(now, span // PING_TRIES, TimerKind.RETRY_PING, number)
            if not self.reachability.is_unreachable(probe.target) or probe.tries > 1:
                return
        if self.settings.has_indirect_ping and not probe.indirect_pings:
            for other in self._rows_with_recent_acks(INDIRECT_PINGS, now, but=probe.target):
                probe.indirect_pings += 1
                self._send_request(
                    other, PING_REQ, codec.encode_ping_reference(PingReference(number, probe.target))
                )
            if self.local_health.score <= MAX_SCORE_TO_HASTEN and len(self.pings) < MAX_PINGS:
                # Several may have died together, or this copy looks for anybody who hears it: the next is
                # called sooner.
                self._hasten_next_ping(now, HASTENED_SHARE)

    def _hasten_next_ping(self, now: int, part: int) -> None:
        self.timers = [t for t in self.timers if t[2] != TimerKind.START_PING]
        self.timers.sort()
        self._set_timer(now, self.settings.ping_period_us // part, TimerKind.START_PING)

    def _finish_ping(self, now: int, number: int) -> None:
        probe = self.pings.pop(number, None)
        at = self.table.row_of(probe.target) if probe is not None else -1
        if probe is None or at < 0 or self.table.states[at] >= DEAD:
            return
        self.recent_acks.pop(probe.target, None)
        life = self.table.last_alive_us[at]
        doubtful = probe.target in self.wrongly_suspected or bool(
            self.reachability.unreachable_from(probe.target)
        )
        lives = (
            probe.is_relayed
            or life > probe.started_us
            or (doubtful and now - life < ALIVE_EVIDENCE_PERIODS * self.settings.ping_period_us)
        )
        if (
            probe.indirect_pings
            and not probe.is_relayed
            and not probe.nacks
            and self.last_datagram_us < probe.started_us
        ):
            # Not even those answered who were asked to call: it may be this copy's fault. Unless others are
            # heard: guards against survivors of many deaths that slow down while they ask the dead.
            self.local_health.degrade()
        if lives:
            edge = self.reachability.on_ping_unanswered(probe.target, now)
            if edge is not None:
                self._broadcast(now, ("edge", edge.reporter, edge.target), codec.encode_reachability(edge))
                self._log(
                    "copy_partly",
                    copy=self.table.names[at],
                    cannot_reach=self._names_unreachable_from(probe.target),
                )
            if self.reachability.needs_another_ping(probe.target):
                self.priority_targets.append(probe.target)
        elif self.isolated_since_us >= 0 or self._hears_nobody(now):
            if self.isolated_since_us < 0:
                self.isolated_since_us = now
            if (
                now - self.isolated_since_us > self.settings.max_suspicion_us
                and probe.target not in self.dead_in_own_view
            ):
                self.dead_in_own_view[probe.target] = self.changed_us = now
                self._log("copy_lost", copy=self.table.names[at], why="nobody is heard")
        else:
            self._suspect(now, at)

    def _suspect(self, now: int, at: int) -> None:
        ident = self.table.ids[at]
        if self.table.states[at] == ALIVE:
            self._apply_status(
                now, at, self.table.status_of(at)._replace(state=SUSPECTED, suspected_by=self.id)
            )
        else:
            self._confirm_suspicion(now, ident, self.id)
        if ident in self.suspicions:
            self.suspicions[ident].is_own = True
            self.priority_targets.append(ident)

    def _confirm_suspicion(self, now: int, ident: int, by: int) -> None:
        suspicion = self.suspicions.get(ident)
        if suspicion is not None and suspicion.confirm(by):
            at = self.table.row_of(ident)
            self._broadcast(now, (ident, by), codec.encode_status(self.table.status_of(at, by)))
            self._set_timer(now, max(0, suspicion.deadline_us() - now), TimerKind.EXPIRE_SUSPICION, ident)

    def _expire_suspicion(self, now: int, ident: int) -> None:
        suspicion = self.suspicions.get(ident)
        if suspicion is None:
            return
        over_us = suspicion.deadline_us() + (self.local_health.score * self.settings.ping_period_us // 2)
        at = self.table.row_of(ident)
        if (
            self.table.last_alive_us[at] > suspicion.since_us
        ):  # its own word came: what is missing is only its denial
            suspicion.since_us = now
            over_us = suspicion.deadline_us()
        if self.isolated_since_us >= 0:  # this copy can't judge
            self._set_timer(now, self.settings.ping_period_us, TimerKind.EXPIRE_SUSPICION, ident)
        elif now < over_us:
            self._set_timer(now, over_us - now, TimerKind.EXPIRE_SUSPICION, ident)
        else:
            self._apply_status(now, at, self.table.status_of(at)._replace(state=DEAD, suspected_by=self.id))

    # What comes in

    def _count_malformed(self, now: int, why: str) -> None:
        self.malformed_count += 1
        if len(self.malformed_reasons) < 16 or why in self.malformed_reasons:
            self.malformed_reasons[why] = self.malformed_reasons.get(why, 0) + 1
        if now - self.malformed_logged_us >= MALFORMED_LOG_PERIODS * self.settings.ping_period_us:
            self.malformed_logged_us = now
            self._log("membership_junk", count=self.malformed_count, why=self.malformed_reasons)
            self.malformed_count, self.malformed_reasons = 0, {}

    def _process_datagram(self, now: int, told: Datagram, size: int) -> None:
        sender = told.sender
        if sender.id == self.id:
            if sender.process_id == self.process_id:
                raise MalformedDatagramError("own")
            self._on_own_status(now, sender.incarnation, sender.process_id, sender.state)
            return
        at = self.table.row_of(sender.id)
        window = (told.number, 1)
        if at >= 0 and self.table.process_ids[at] == sender.process_id:
            moved = advance_replay_window(
                self.table.highest_numbers[at], self.table.replay_windows[at], told.number
            )
            if moved is None:
                raise MalformedDatagramError("replayed")
            window = moved
        elif at >= 0 and sender[-3:-1] < (self.table.incarnations[at], self.table.process_ids[at]):
            # A process that counts from below what is known of its name: it is to hear that, and count on.
            if isinstance(sender, InstanceRecord):
                self._send(sender.address, GOSSIP, codec.encode_status(self.table.status_of(at)), limit=size)
            return
        if sender.state == ALIVE and sender.id in self.dead_in_own_view:
            del self.dead_in_own_view[sender.id]
            self.changed_us = now
        if isinstance(sender, InstanceRecord):
            self._merge_record(now, sender)
        else:
            self._merge_status(now, sender)
        at = self.table.row_of(sender.id)
        if at >= 0:
            self.last_datagram_us = self.table.last_datagram_us[at] = self.table.last_alive_us[at] = now
            self.table.refused[at] = 0
            if self.table.process_ids[at] == sender.process_id:
                self.table.highest_numbers[at], self.table.replay_windows[at] = window
            for hint in told.load_reports if self.exchanges_load_reports else []:
                self.load_reports.apply_peer_report(
                    now, sender.id, sender.incarnation, sender.process_id, hint
                )
        elif isinstance(sender, InstanceRecord):
            return  # left, or one too many
        for text in told.user_messages[:MAX_USER_MESSAGES] if self.settings.carries_user_messages else []:
            self.commands.append(UserMessage(sender.id, text))
        for _, text in told.user_broadcasts if self.settings.carries_user_messages else []:
            self.commands.append(UserMessage(0, text))
        for told_of in told.records:
            self._merge_record(now, told_of)
        for brief in (*told.statuses, *told.digest):
            self._merge_status(now, brief)
        for edge in told.reachability:
            known = edge.reporter in self.table and (edge.target in self.table or edge.target == self.id)
            if known and self.reachability.merge(edge, now):
                self._broadcast(now, ("edge", edge.reporter, edge.target), codec.encode_reachability(edge))
        if isinstance(sender, InstanceRecord):
            self._answer(now, told, sender, size)
        elif (
            told.id_ranges
            and told.ping_references
            and told.ping_references[0].sequence == self.push_pull_sequence
        ):
            self._on_range_received(now, told.id_ranges[0])

    def _answer(self, now: int, told: Datagram, sender: InstanceRecord, size: int) -> None:
        call = told.ping_references[0] if told.ping_references else None
        at = self.table.row_of(sender.id)
        if told.kind == PING and call is not None and call.target in (0, self.id):
            fields = codec.encode_ping_reference(PingReference(call.sequence, self.id))
            if at >= 0 and self.table.precedence_of(at) > precedence(
                sender.incarnation, sender.process_id, sender.state
            ):
                fields += codec.encode_status(self.table.status_of(at))  # what it has to deny
            self._send(sender.address, ACK, fields, limit=size)
        elif told.kind == PING_REQ and call is not None:
            of = self.table.row_of(call.target)
            if of < 0 or len(self.relayed_pings) >= 1024:
                self._send(sender.address, NACK, codec.encode_ping_reference(call), limit=size)
                return
            number = self._next_sequence()
            self.relayed_pings[number] = (sender.address, call.sequence, call.target)
            self._send_request(of, PING, codec.encode_ping_reference(PingReference(number, call.target)))
            self._set_timer(now, self.settings.ping_period_us * 2 // 5, TimerKind.EXPIRE_RELAYED_PING, number)
        elif told.kind == ACK and call is not None:
            self._on_ack(now, call, sender)
        elif told.kind == NACK and call is not None and call.sequence in self.pings:
            self.pings[call.sequence].nacks += 1
        elif told.kind == PUSH_PULL_REQUEST and told.id_ranges:
            self._answer_range(now, told, sender, size)

    def _on_ack(self, now: int, call: PingReference, sender: InstanceRecord) -> None:
        probe = self.pings.get(call.sequence)
        if probe is not None and probe.target == sender.id:
            del self.pings[call.sequence]
            self._end_isolation(now)
            self.local_health.improve()
            self.recent_acks.pop(sender.id, None)
            self.recent_acks[sender.id] = now
            if len(self.recent_acks) > MAX_RECENT_ACKS:
                del self.recent_acks[next(iter(self.recent_acks))]
            edge = self.reachability.on_ping_answered(sender.id, now)
            if edge is not None:
                self._broadcast(now, ("edge", edge.reporter, edge.target), codec.encode_reachability(edge))
            if self.reachability.needs_another_ping(sender.id):
                self.priority_targets.append(sender.id)
        elif probe is not None and probe.target == call.target:
            probe.is_relayed = True
            if (at := self.table.row_of(call.target)) >= 0:
                self.table.last_alive_us[at] = now
        elif call.sequence in self.relayed_pings and self.relayed_pings[call.sequence][2] == sender.id:
            to, number, of = self.relayed_pings.pop(call.sequence)
            self._send(
                to,
                ACK,
                codec.encode_ping_reference(PingReference(number, of))
                + codec.encode_status(
                    InstanceStatus(of, sender.incarnation, sender.process_id, sender.state)
                ),
            )

    def _end_isolation(self, now: int) -> None:
        """A call was answered: what it holds of others is worth telling again."""
        if self.isolated_since_us >= 0:
            if self.dead_in_own_view:
                self.dead_in_own_view.clear()
                self.changed_us = now
            for suspicion in self.suspicions.values():  # what it could not judge does not count
                suspicion.since_us += now - max(self.isolated_since_us, suspicion.since_us)
            self.isolated_since_us = -1

    def _expire_relayed_ping(self, now: int, number: int) -> None:
        """No answer in time to a call that was made for another; it may still come, and is then passed on."""
        if number in self.relayed_pings:
            to, theirs, of = self.relayed_pings.pop(number)
            self._send(to, NACK, codec.encode_ping_reference(PingReference(theirs, of)))

    def _merge_record(self, now: int, told: InstanceRecord) -> None:
        if told.id == self.id:
            self._on_own_status(now, told.incarnation, told.process_id, told.state)
            return
        at = self.table.row_of(told.id)
        if at >= 0:
            if precedence(told.incarnation, told.process_id, told.state) > self.table.precedence_of(at):
                self._apply_status(
                    now, at, InstanceStatus(told.id, told.incarnation, told.process_id, told.state), told
                )
            return
        if told.state == LEFT or len(self.table) >= MAX_INSTANCES:
            return
        at = self.table.add(told, now)
        self.changed_us, self.needs_recount = now, True
        if told.state == DEAD:
            self.dead_retries[told.id] = (
                now + self.random.below(DEAD_RETRY_PERIODS * self.settings.ping_period_us),
                0,
            )
            return
        self._log("copy_joined", copy=told.name, zone=told.zone)
        self.ping_round.insert(self.random.below(len(self.ping_round) + 1), told.id)
        if told.state == SUSPECTED:
            self.table.states[at] = ALIVE
            self._apply_status(
                now, at, InstanceStatus(told.id, told.incarnation, told.process_id, SUSPECTED, self.id)
            )
        else:
            self._broadcast(now, told.id, codec.encode_record(told))

    def _merge_status(self, now: int, told: InstanceStatus) -> None:
        if told.id == self.id:
            self._on_own_status(now, told.incarnation, told.process_id, told.state)
            return
        at = self.table.row_of(told.id)
        if at < 0:
            return
        over = precedence(told.incarnation, told.process_id, told.state)
        if over > self.table.precedence_of(at):
            self._apply_status(now, at, told)
        elif over == self.table.precedence_of(at) and told.state == SUSPECTED and told.suspected_by:
            self._confirm_suspicion(now, told.id, told.suspected_by)

    def _apply_status(
        self, now: int, at: int, told: InstanceStatus, record: InstanceRecord | None = None
    ) -> None:
        """A word that stands above what is known."""
        ident, before, state = told.id, self.table.states[at], told.state
        born = self.table.process_ids[at]
        newer = (told.incarnation, told.process_id) > (
            self.table.incarnations[at],
            self.table.process_ids[at],
        )
        if state == DEAD and ident not in self.suspicions and before == ALIVE:
            state = SUSPECTED  # nobody believes a loss that it did not time itself
        elif state == DEAD and ident in self.suspicions and now < self.suspicions[ident].deadline_us():
            self._confirm_suspicion(now, ident, told.suspected_by)
            return
        if newer and state == ALIVE:
            self.table.last_alive_us[at] = now
        if record is not None and state == record.state:
            self.table.set_record(at, record, now)
        else:
            self.table.set_status(at, told.incarnation, told.process_id, state, now)
        name = self.table.names[at]
        self.changed_us = now if before != state else self.changed_us
        if state == SUSPECTED:
            suspicion = self.suspicions.get(ident)
            if suspicion is None or newer:
                suspicion = self.suspicions[ident] = Suspicion(
                    now,
                    self.settings.min_suspicion_us,
                    self.settings.max_suspicion_us,
                    self.settings.has_dynamic_suspicion,
                )
            if before != SUSPECTED:
                self._log("copy_suspected", copy=name, by=self._name_of(told.suspected_by))
            suspicion.confirm(told.suspected_by)
            self._broadcast(
                now,
                (ident, told.suspected_by),
                codec.encode_status(self.table.status_of(at, told.suspected_by)),
            )
            self._set_timer(now, max(0, suspicion.deadline_us() - now), TimerKind.EXPIRE_SUSPICION, ident)
            if (
                told.suspected_by != self.id
                and self.random.below(max(1, self.live_instance_count() - len(self.suspicions)))
                < CROSS_CHECKS
            ):
                self.priority_targets.append(ident)
            return
        was_suspected = self.suspicions.pop(ident, None) is not None
        for by in [
            about for about in self.broadcasts.entries if isinstance(about, tuple) and about[0] == ident
        ]:
            self.broadcasts.withdraw(by)
        if state == ALIVE:
            if was_suspected or before == DEAD:
                self.wrongly_suspected[ident] = now + 20 * self.settings.ping_period_us
            if before >= DEAD:
                self.needs_recount = True
                self.dead_retries.pop(ident, None)
                self.ping_round.insert(self.random.below(len(self.ping_round) + 1), ident)
                self._log("copy_joined", copy=name, zone=self.table.zone_of(at), back=True)
                # A split may have healed: the others that were lost are tried sooner.
                self.dead_retries = {
                    i: (
                        min(
                            at_us, now + self.random.below(DEAD_RETRY_PERIODS * self.settings.ping_period_us)
                        ),
                        0,
                    )
                    for i, (at_us, _) in self.dead_retries.items()
                }
            moved = record is not None and record.process_id != born
            self._broadcast(
                now,
                ident,
                codec.encode_record(record)
                if moved and record is not None
                else codec.encode_status(self.table.status_of(at)),
            )
            return
        self.reachability.forget_instance(ident)
        self.load_reports.forget_instance(ident)
        self.dead_in_own_view.pop(ident, None)
        if state == DEAD:
            if before < DEAD:
                self._log("copy_lost", copy=name, why="no answer")
            span = DEAD_RETRY_PERIODS * self.settings.ping_period_us
            self.dead_retries[ident] = (now + span // 2 + self.random.below(span), 0)
        elif before != LEFT:
            self.dead_retries.pop(ident, None)
            self._log("copy_left", copy=name)
        self._broadcast(now, ident, codec.encode_status(self.table.status_of(at, told.suspected_by)))

    def _on_own_status(self, now: int, incarnation: int, birth: int, state: int) -> None:
        """What others hold of this copy's name."""
        if birth == self.process_id:
            if incarnation < self.incarnation or (incarnation == self.incarnation and state == ALIVE):
                return
            if state in (SUSPECTED, DEAD):
                self.local_health.degrade()
                self.suspected_until_us = now + 20 * self.settings.ping_period_us
        else:
            if (incarnation, birth) < (self.incarnation, self.process_id):
                return
            rising = incarnation > self.namesakes.get(birth, 1 << 63)
            if birth in self.namesakes or len(self.namesakes) < 8:
                self.namesakes[birth] = incarnation
            if rising and self.process_id < birth:
                # Only a living process counts on: there are two of this name, and the one born lower gives
                # way.
                self._take_other_name(now)
                return
        if incarnation >= MAX_INCARNATION:
            self._take_other_name(now)
            return
        self.incarnation = incarnation + 1
        self.incarnated_us = now
        self._broadcast(now, self.id, codec.encode_status(self._own_status()))
        for at in self._random_rows(GOSSIP_FANOUT):
            self._send(self.table.address_of(at), GOSSIP, b"")

    def _take_other_name(self, now: int) -> None:
        before, self.name = (
            self.name,
            f"{self.settings.name.encode()[:48].decode(errors='ignore')}~{self.process_id:08x}",
        )
        self.id = self.reachability.own_id = instance_id(self.name)
        self._log("copy_twin", copy=before, now=self.name)
        self._broadcast(now, self.id, codec.encode_record(self._own_record()))

    def _forget(self, ident: int) -> None:
        self.table.remove(ident)
        self.dead_retries.pop(ident, None)
        self.broadcasts.withdraw(ident)
        self.reachability.forget_instance(ident)
        self.load_reports.forget_instance(ident)

    # The exchange, and joining

    def _join(self, now: int, _: int) -> None:
        """Asks a seed for all it knows until one answers; later, now and then, one that is not among the
        living."""
        period, living = self.settings.ping_period_us, set()
        for i in self.table.live_ids():
            living.add(self.table.address_of(self.table.row_of(i)))
        if not self.seeds:
            self.seeds = [seed for seed in self.settings.seeds if seed != self.settings.advertise]
            self._shuffle(self.seeds)
        alone = not living
        while self.seeds:
            seed = self.seeds.pop()
            if seed not in living:
                self.push_pull_sequence = self._next_sequence()
                self._request_range(
                    seed,
                    self.push_pull_sequence,
                    IdRange(0, HIGHEST_ID, False) if alone else self._next_range(),
                )
                break
        self.seed_tries = min(self.seed_tries + 1, 4) if alone else 0
        span = period << self.seed_tries if alone else SEED_PERIODS * period
        self._set_timer(now, span // 2 + self.random.below(span), TimerKind.JOIN)

    def _push_pull(self, now: int, arg: int) -> None:
        """A page of the exchange with one of the living, drawn at random; `arg`: the next of a walk through
        all."""
        for at in self._random_rows(1):
            self.push_pull_sequence = self._next_sequence()
            self._request_range(self.table.address_of(at), self.push_pull_sequence, self._next_range())
        if not arg:
            span = PUSH_PULL_PERIODS * self.settings.ping_period_us
            self._set_timer(now, span // 2 + self.random.below(span), TimerKind.PUSH_PULL)

    def _next_range(self) -> IdRange:
        return IdRange(self.push_pull_cursor, HIGHEST_ID, False)

    def _request_range(self, to: Address, number: int, span: IdRange) -> None:
        own = codec.encode_record(self._own_record())
        room = (
            self.settings.max_datagram_bytes
            - codec.OVERHEAD_BYTES
            - len(own)
            - codec.PING_REFERENCE_BYTES
            - codec.ID_RANGE_BYTES
        )
        rows: list[InstanceStatus] = []
        high = span.high
        most = max(1, (room - room // 255 * 2 - 2) // codec.DIGEST_ROW_BYTES)
        for at in self.table.rows_in_range(span.low, span.high):
            if len(rows) == most:
                high = rows[-1].id
                break
            rows.append(self.table.status_of(at))
        fields = (
            codec.encode_ping_reference(PingReference(number, 0))
            + codec.encode_id_range(IdRange(span.low, high, span.is_reply))
            + codec.encode_digest(rows)
        )
        self._send(to, PUSH_PULL_REQUEST, fields, least=self.settings.max_datagram_bytes)

    def _answer_range(self, now: int, told: Datagram, sender: InstanceRecord, size: int) -> None:
        span, theirs = told.id_ranges[0], {row.id: row for row in told.digest}
        fields, upto = b"", span.high
        head = codec.encode_ping_reference(
            told.ping_references[0] if told.ping_references else PingReference(0, 0)
        )
        room = size - codec.MIN_DATAGRAM_BYTES - len(head) - codec.ID_RANGE_BYTES
        last = span.low
        for at in self.table.rows_in_range(span.low, span.high):
            ident = self.table.ids[at]
            row = theirs.get(ident)
            if (
                ident != sender.id
                and self.table.states[at] != LEFT
                and (
                    row is None
                    or precedence(row.incarnation, row.process_id, row.state) < self.table.precedence_of(at)
                )
            ):
                text = codec.encode_record(self.table.record_of(at))
                if len(fields) + len(text) > room:
                    upto = last
                    break
                fields += text
            last = ident
        self._send(
            sender.address,
            PUSH_PULL_RESPONSE,
            head + codec.encode_id_range(IdRange(span.low, upto, False)) + fields,
            limit=size,
        )
        if any(i not in self.table and i != self.id for i in theirs) and not span.is_reply:
            # It knows some that are not known here: asked for in turn, in a question of this copy's own.
            self.push_pull_sequence = self._next_sequence()
            self._request_range(sender.address, self.push_pull_sequence, IdRange(span.low, span.high, True))

    def _on_range_received(self, now: int, span: IdRange) -> None:
        if not self.has_joined:
            self.has_joined = True
            self.changed_us = now
        self.push_pull_cursor = 0 if span.high >= HIGHEST_ID else span.high
        self.has_full_view = self.has_full_view or not self.push_pull_cursor
        if not self.has_full_view:  # on at once, with another copy, so that no seed is asked for all by all
            self._set_timer(
                now,
                self.settings.ping_period_us // 50 + self.random.below(self.settings.ping_period_us // 25),
                TimerKind.PUSH_PULL,
                1,
            )

    # What goes out

    def _own_record(self, left: bool = False) -> InstanceRecord:
        return InstanceRecord(
            self.name,
            self.settings.zone,
            self.settings.advertise,
            self.incarnation,
            self.process_id,
            LEFT if left else ALIVE,
        )

    def _send_request(self, to: int, kind: int, fields: bytes) -> None:
        """To the copy of that row, and so large that its answer fits into the same size."""
        answer = codec.encode_datagram(
            kind,
            0,
            codec.encode_record(self.table.record_of(to)) + codec.encode_ping_reference(PingReference(0, 0)),
        )
        self._send(
            self.table.address_of(to),
            kind,
            fields,
            least=len(answer) + codec.STATUS_BYTES + AUTHENTICATION_BYTES,
        )

    def _own_status(self) -> InstanceStatus:
        return InstanceStatus(self.id, self.incarnation, self.process_id, ALIVE)

    def _send(
        self, to: Address, kind: int, fields: bytes, limit: int = 0, left: bool = False, least: int = 0
    ) -> None:
        """One datagram, with what room there is filled with rumours; an answer is no larger than its
        question."""
        self.datagram_number += 1
        own = (
            codec.encode_own_status(self._own_status())
            if kind == PUSH_PULL_RESPONSE
            else codec.encode_record(self._own_record(left))
        )
        text = codec.encode_datagram(kind, self.datagram_number, own + fields)
        room = (
            min(limit or self.settings.max_datagram_bytes, self.settings.max_datagram_bytes)
            - len(text)
            - AUTHENTICATION_BYTES
        )
        if room < 0:
            return
        told = self.broadcasts.next_broadcasts(room, len(self.table))
        if (
            self.exchanges_load_reports
        ):  # what room is left; after a datagram's own words its number is known to be new
            for hint in self.load_reports.next_reports(self.now_us, room - len(told)):
                told += codec.encode_load_report(hint)
        text += told
        if len(text) + AUTHENTICATION_BYTES < least:
            text += codec.encode_padding(min(least - len(text) - AUTHENTICATION_BYTES, room - len(told)))
        self.commands.append(SendDatagram(to, sign_datagram(self.keys[0], text)))

    def _broadcast(self, now: int, about: Any, text: bytes) -> None:
        self.broadcasts.enqueue(about, text)
        self._schedule_gossip(now)

    def _schedule_gossip(self, now: int) -> None:
        if not self.is_gossiping and len(self.broadcasts):
            self.is_gossiping = True
            self._set_timer(
                now, self.random.below(max(1, self.settings.ping_period_us // 20)), TimerKind.GOSSIP
            )

    def _gossip(self, now: int, _: int) -> None:
        self.is_gossiping = False
        own = codec.encode_record(self._own_record())
        self.broadcasts.drop_larger_than(
            self.settings.max_datagram_bytes - codec.OVERHEAD_BYTES - len(own) + 1
        )
        for at in self._rows_with_recent_acks(GOSSIP_FANOUT, now):
            if len(self.broadcasts):
                self._send(self.table.address_of(at), GOSSIP, b"")
        if len(self.broadcasts) and len(self.table):
            self.is_gossiping = True
            self._set_timer(now, self.settings.ping_period_us // 5, TimerKind.GOSSIP)

    def _random_rows(self, most: int, but: int = 0) -> list[int]:
        """Rows of so many that take part, drawn at random."""
        living = [i for i in self.table.live_ids() if i != but and not self.reachability.is_unreachable(i)]
        # Guards against news that go to the dead while many have died at once.
        living = [i for i in living if i not in self.suspicions or not self.suspicions[i].is_own] or living
        chosen: list[int] = []
        while living and len(chosen) < most:
            chosen.append(self.table.row_of(living.pop(self.random.below(len(living)))))
        return chosen

    def _rows_with_recent_acks(self, most: int, now: int, but: int = 0) -> list[int]:
        """The same, all but one of them drawn from those that answered lately: guards against news that get
        no further, or too late, where most can't call each other."""
        sure = [
            i
            for i, at_us in self.recent_acks.items()
            if i != but
            and now - at_us < RECENT_ACK_PERIODS * self.settings.ping_period_us
            and self._is_live(i)
        ]
        chosen: list[int] = []
        while sure and len(chosen) < most - 1:
            chosen.append(self.table.row_of(sure.pop(self.random.below(len(sure)))))
        for at in self._random_rows(most, but):
            if at not in chosen and len(chosen) < most:
                chosen.append(at)
        return chosen

    def _name_of(self, ident: int) -> str:
        at = self.table.row_of(ident)
        return self.name if ident == self.id else self.table.names[at] if at >= 0 else f"{ident:016x}"

    def _log(self, event: str, **what: Any) -> None:
        self.commands.append(LogEvent(event, what))

    def _take_commands(self) -> list[Command]:
        out, self.commands = self.commands, []
        return out
