"""SWIM's failure detector: direct pings, indirect pings by way of others, and what comes of them."""

from __future__ import annotations

from cressrail.membership import codec, log_events
from cressrail.membership.codec import ACK, PING, PING_REQ, PingReference
from cressrail.membership.datagram_sender import DatagramSender
from cressrail.membership.gossip import Gossip
from cressrail.membership.isolation import Isolation
from cressrail.membership.member_updates import MemberUpdates
from cressrail.membership.messages import ALIVE, DEAD, InstanceRecord
from cressrail.membership.peer_selection import PeerSelection
from cressrail.membership.ping_schedule import PingSchedule
from cressrail.membership.self_record import SelfRecord
from cressrail.membership.shared_state import SharedState
from cressrail.membership.suspicion import SuspicionTable
from cressrail.membership.timers import TimerKind
from cressrail.membership.view import names_that_cannot_reach

INDIRECT_PINGS = 3  # instances asked to ping in this one's place, as published
MAX_DIRECT_PINGS = 3  # of a direct ping before others are asked, against lost datagrams
MAX_PINGS_IN_PROGRESS = 8  # in progress
MAX_SCORE_FOR_EARLY_PING = 3  # a less healthy instance does not start the next ping sooner after a failed one
EARLY_PING_DIVISOR = 5  # part of a ping period after which the next ping starts once indirect ones are needed
REFUSED_PING_DIVISOR = 20  # the same after one that was refused
REFUSAL_SPEEDUP_PERIODS = 4  # after a refusal, in which all pings start sooner ...
MIN_SUSPICIONS_FOR_SPEEDUP = 3  # ... while so many are suspected
MAX_REFUSALS = 2  # after which a ping has failed; a single one may meet a process that is being replaced
ALIVE_EVIDENCE_PERIODS = 6  # for which a sign of life counts of one that some can't reach
JITTER_DIVISOR = 16  # a ping starts up to one part in so many of the period earlier or later


class Ping:
    """A ping in progress.

    Attributes:
        target: Id of the instance that is pinged.
        direct_pings: Direct pings sent.
        indirect_pings: Instances that were asked to ping.
        nacks: Those of them that got no answer.
        is_relayed: Whether an ack came by way of another instance.
        refusals: How often the target's machine said that nobody listens.
    """

    __slots__ = ("direct_pings", "indirect_pings", "is_relayed", "nacks", "refusals", "started_us", "target")

    def __init__(self, target: int, now_us: int) -> None:
        self.target, self.started_us = target, now_us
        self.direct_pings = 0
        self.indirect_pings = 0
        self.nacks = 0
        self.is_relayed = False
        self.refusals = 0


class FailureDetector:
    """Pings the other instances in turn."""

    def __init__(
        self,
        shared: SharedState,
        self_record: SelfRecord,
        suspicions: SuspicionTable,
        isolation: Isolation,
        sender: DatagramSender,
        selection: PeerSelection,
        gossip: Gossip,
        schedule: PingSchedule,
        updates: MemberUpdates,
    ) -> None:
        self._shared, self._self_record = shared, self_record
        self._suspicions, self._isolation = suspicions, isolation
        self._sender, self._selection = sender, selection
        self._gossip, self._schedule, self._updates = gossip, schedule, updates
        self._pings: dict[int, Ping] = {}  # by sequence number
        self._speedup_until_us = 0

    # Pings of this instance

    def start_ping(self, now_us: int, _argument: int) -> None:
        """Pings the next instance and schedules the ping after it."""
        shared = self._shared
        period_us = shared.local_health.scaled_us(shared.settings.ping_period_us)
        target = 0
        if len(self._pings) < MAX_PINGS_IN_PROGRESS:
            target = self._schedule.next_target({ping.target for ping in self._pings.values()})
        if target:
            sequence = self._sender.next_sequence()
            self._pings[sequence] = Ping(target, now_us)
            self.retry_ping(now_us, sequence)
            shared.timers.set(now_us + period_us, TimerKind.FINISH_PING, sequence)
        is_sped_up = now_us < self._speedup_until_us and len(self._suspicions) >= MIN_SUSPICIONS_FOR_SPEEDUP
        span_us = period_us // EARLY_PING_DIVISOR if is_sped_up else period_us
        earliest_us = now_us + span_us - span_us // JITTER_DIVISOR
        jitter_us = shared.random.below(max(1, span_us // (JITTER_DIVISOR // 2)))
        shared.timers.set(earliest_us + jitter_us, TimerKind.START_PING)

    def retry_ping(self, now_us: int, sequence: int) -> None:
        """Sends the next direct ping; after the last try asks others to ping."""
        ping = self._pings.get(sequence)
        if ping is None:
            return
        shared = self._shared
        row = shared.table.row_of(ping.target)
        if row < 0:
            del self._pings[sequence]
            return
        if ping.direct_pings < MAX_DIRECT_PINGS:
            ping.direct_pings += 1
            self._send_direct(row, sequence)
            span_us = shared.local_health.scaled_us(shared.settings.ping_period_us * 2 // 5)
            shared.timers.set(now_us + span_us // MAX_DIRECT_PINGS, TimerKind.RETRY_PING, sequence)
            # One that is known not to be reachable directly is pinged by way of others at once.
            if not shared.reachability.is_unreachable(ping.target) or ping.direct_pings > 1:
                return
        if shared.settings.has_indirect_ping and not ping.indirect_pings:
            self._send_indirect(now_us, ping, sequence)

    def _send_direct(self, row: int, sequence: int) -> None:
        table = self._shared.table
        fields = codec.encode_ping_reference(PingReference(sequence, table.ids[row]))
        if table.states[row] != ALIVE:  # so that it learns of the suspicion at once and can refute it
            fields += codec.encode_status(table.status_of(row))
        self._sender.send_request(row, PING, fields)

    def _send_indirect(self, now_us: int, ping: Ping, sequence: int) -> None:
        fields = codec.encode_ping_reference(PingReference(sequence, ping.target))
        for row in self._selection.rows_with_recent_acks(INDIRECT_PINGS, now_us, excluded_id=ping.target):
            ping.indirect_pings += 1
            self._sender.send_request(row, PING_REQ, fields)
        if (
            self._shared.local_health.score <= MAX_SCORE_FOR_EARLY_PING
            and len(self._pings) < MAX_PINGS_IN_PROGRESS
        ):
            # Several may have died together, or this instance looks for anybody who hears it.
            self._advance_next_ping(now_us, EARLY_PING_DIVISOR)

    def _advance_next_ping(self, now_us: int, divisor: int) -> None:
        timers = self._shared.timers
        timers.cancel(TimerKind.START_PING)
        timers.set(now_us + self._shared.settings.ping_period_us // divisor, TimerKind.START_PING)

    def finish_ping(self, now_us: int, sequence: int) -> None:
        """Judges a ping that got no direct ack within its period."""
        ping = self._pings.pop(sequence, None)
        if ping is None:
            return
        table = self._shared.table
        row = table.row_of(ping.target)
        if row < 0 or table.states[row] >= DEAD:
            return
        self._selection.forget_ack(ping.target)
        if self._may_be_local_fault(ping):
            self._shared.local_health.degrade()
        if self._has_evidence_of_life(now_us, row, ping):
            self._on_unreachable_but_alive(now_us, row)
        elif self._isolation.since_us is not None or self._isolation.receives_no_datagrams(now_us):
            self._declare_dead_if_isolated_long(now_us, row)
        else:
            self._updates.suspect(now_us, row)

    def _may_be_local_fault(self, ping: Ping) -> bool:
        """Whether not even those answered who were asked to ping, nor anybody else was heard."""
        is_without_answer = ping.indirect_pings and not ping.is_relayed and not ping.nacks
        return bool(is_without_answer) and self._isolation.last_datagram_us < ping.started_us

    def _has_evidence_of_life(self, now_us: int, row: int, ping: Ping) -> bool:
        last_alive_us = self._shared.table.last_alive_us[row]
        if ping.is_relayed or last_alive_us > ping.started_us:
            return True
        if not self._suspicions.was_wrongly_suspected(
            ping.target
        ) and not self._shared.reachability.unreachable_from(ping.target):
            return False
        evidence_us = ALIVE_EVIDENCE_PERIODS * self._shared.settings.ping_period_us
        return now_us - last_alive_us < evidence_us

    def _on_unreachable_but_alive(self, now_us: int, row: int) -> None:
        shared = self._shared
        target = shared.table.ids[row]
        report = shared.reachability.on_ping_unanswered(target, now_us)
        if report is not None:
            self._gossip.broadcast_reachability(now_us, report)
            shared.log(
                log_events.INSTANCE_PARTIALLY_REACHABLE,
                instance=shared.table.names[row],
                cannot_reach=names_that_cannot_reach(shared, self._self_record, target),
            )
        if shared.reachability.needs_another_ping(target):
            self._schedule.prioritize(target)

    def _declare_dead_if_isolated_long(self, now_us: int, row: int) -> None:
        """Holds the target for dead in the own view alone, once the isolation has lasted long enough."""
        table = self._shared.table
        isolated_us = now_us - self._isolation.begin(now_us)
        target = table.ids[row]
        if (
            isolated_us > self._shared.settings.max_suspicion_us
            and target not in self._isolation.dead_in_own_view
        ):
            self._isolation.declare_dead(now_us, target)
            self._shared.log(
                log_events.INSTANCE_DEAD, instance=table.names[row], reason=log_events.REASON_ISOLATED
            )

    def cancel_all(self) -> None:
        """Forgets the pings in progress, after a pause of this process."""
        self._pings.clear()

    def on_connection_refused(self, now_us: int, target: int) -> None:
        """Nobody listens at the target's address: its pings need not be waited for."""
        for sequence in [number for number, ping in self._pings.items() if ping.target == target]:
            ping = self._pings[sequence]
            ping.refusals += 1
            if ping.refusals == MAX_REFUSALS:
                period_us = self._shared.settings.ping_period_us
                self._speedup_until_us = now_us + REFUSAL_SPEEDUP_PERIODS * period_us
                self.finish_ping(now_us, sequence)
                self._advance_next_ping(now_us, REFUSED_PING_DIVISOR)

    # Datagrams

    def on_ping(self, reference: PingReference, sender: InstanceRecord, max_bytes: int) -> None:
        """Acknowledges a ping that is meant for this instance, or for whoever has its address."""
        own_id, table = self._self_record.id, self._shared.table
        if reference.target not in (0, own_id):
            return
        fields = codec.encode_ping_reference(PingReference(reference.sequence, own_id))
        row = table.row_of(sender.id)
        if row >= 0 and table.precedence_of(row) > sender.precedence:
            fields += codec.encode_status(table.status_of(row))  # what the sender has to refute
        self._sender.send(sender.address, ACK, fields, max_bytes=max_bytes)

    def on_ack(self, now_us: int, reference: PingReference, sender: InstanceRecord) -> bool:
        """Takes an ack of the target, or of one asked to ping; returns whether it was for an own ping."""
        ping = self._pings.get(reference.sequence)
        if ping is None:
            return False
        if ping.target == sender.id:
            del self._pings[reference.sequence]
            self._on_direct_ack(now_us, sender.id)
            return True
        if ping.target == reference.target:
            ping.is_relayed = True
            row = self._shared.table.row_of(reference.target)
            if row >= 0:
                self._shared.table.note_alive(row, now_us)
            return True
        return False

    def _on_direct_ack(self, now_us: int, target: int) -> None:
        shared = self._shared
        self._isolation.end(now_us)
        shared.local_health.improve()
        self._selection.note_ack(now_us, target)
        report = shared.reachability.on_ping_answered(target, now_us)
        if report is not None:
            self._gossip.broadcast_reachability(now_us, report)
        if shared.reachability.needs_another_ping(target):
            self._schedule.prioritize(target)

    def on_nack(self, reference: PingReference) -> None:
        """One that was asked to ping got no answer, but is well itself."""
        ping = self._pings.get(reference.sequence)
        if ping is not None:
            ping.nacks += 1
