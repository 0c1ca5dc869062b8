"""SWIM failure detector: sends direct and indirect pings and evaluates their results."""

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

INDIRECT_PINGS = 3  # instances that are asked for an indirect ping; value from the SWIM paper
MAX_DIRECT_PINGS = 3  # direct pings before indirect ones are requested; repeated because datagrams get lost
MAX_PINGS_IN_PROGRESS = 8
MAX_SCORE_FOR_EARLY_PING = 3  # local health score up to which an unanswered ping advances the next one
EARLY_PING_DIVISOR = 5  # the next ping starts after ping period / 5 once indirect pings are requested
REFUSED_PING_DIVISOR = 20  # the next ping starts after ping period / 20 once a ping was refused
# For this number of ping periods after a refused ping, the interval between pings is divided by
# `EARLY_PING_DIVISOR` as long as at least `MIN_SUSPICIONS_FOR_SPEEDUP` instances are suspected.
REFUSAL_SPEEDUP_PERIODS = 4
MIN_SUSPICIONS_FOR_SPEEDUP = 3
MAX_REFUSALS = 2  # refusals after which a ping has failed; one alone may hit a process that is being replaced
# Ping periods for which evidence of life counts if the target was recently suspected wrongly or if other
# instances report that they can't reach it.
ALIVE_EVIDENCE_PERIODS = 6
JITTER_DIVISOR = 16  # the start of a ping varies by up to ping period / 16 in either direction


class Ping:
    """A ping in progress.

    Attributes:
        target: Id of the instance that is pinged.
        started_us: Time at which the ping started, in microseconds.
        direct_pings: Number of direct pings sent.
        indirect_pings: Number of instances that were asked for an indirect ping.
        nacks: Number of nacks received from these instances.
        is_relayed: Whether one of these instances relayed an ack of the target.
        refusals: Number of times that the target's machine reported that no process listens at its address.
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
    """Pings the other instances in turn and reports failed pings to `MemberUpdates`."""

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
        """Sends the next direct ping, or requests indirect pings after the last direct one."""
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
            # A target that is already known to be unreachable directly gets indirect pings at once.
            if not shared.reachability.is_unreachable(ping.target) or ping.direct_pings > 1:
                return
        if shared.settings.has_indirect_ping and not ping.indirect_pings:
            self._send_indirect(now_us, ping, sequence)

    def _send_direct(self, row: int, sequence: int) -> None:
        table = self._shared.table
        fields = codec.encode_ping_reference(PingReference(sequence, table.ids[row]))
        if table.states[row] != ALIVE:  # lets the target refute the suspicion at once
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
            # Either several instances have died at the same time, or this instance has lost its connection
            # and needs an answer from any other instance soon.
            self._advance_next_ping(now_us, EARLY_PING_DIVISOR)

    def _advance_next_ping(self, now_us: int, divisor: int) -> None:
        timers = self._shared.timers
        timers.cancel(TimerKind.START_PING)
        timers.set(now_us + self._shared.settings.ping_period_us // divisor, TimerKind.START_PING)

    def finish_ping(self, now_us: int, sequence: int) -> None:
        """Evaluates a ping that was refused or received no direct ack within its ping period."""
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
        """Whether this instance itself may be the cause of the failed ping.

        This is the case if indirect pings were requested, neither ack nor nack was received for them, and no
        other datagram has arrived since the ping started.
        """
        is_without_answer = ping.indirect_pings and not ping.is_relayed and not ping.nacks
        return bool(is_without_answer) and self._isolation.last_datagram_us < ping.started_us

    def _has_evidence_of_life(self, now_us: int, row: int, ping: Ping) -> bool:
        """Whether the target of a failed ping is known to be alive.

        Evidence since the start of the ping counts for every target. Evidence of the last
        `ALIVE_EVIDENCE_PERIODS` ping periods counts if the target was recently suspected wrongly or others
        report that they can't reach it.
        """
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
        """Counts the failed ping and, after several in a row, reports that the target can't be reached."""
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
        """Declares the target dead in this instance's own view after a long isolation of this instance.

        The isolation must have lasted for more than the longest suspicion time-out. Other instances are not
        notified.
        """
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
        """Discards the pings in progress after a pause of this process."""
        self._pings.clear()

    def on_connection_refused(self, now_us: int, target: int) -> None:
        """Ends the target's pings early, as no process listens at its address.

        A ping fails after `MAX_REFUSALS` refusals.
        """
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
        """Acknowledges a ping whose target is this instance, or 0 (any instance at this address)."""
        own_id, table = self._self_record.id, self._shared.table
        if reference.target not in (0, own_id):
            return
        fields = codec.encode_ping_reference(PingReference(reference.sequence, own_id))
        row = table.row_of(sender.id)
        if row >= 0 and table.precedence_of(row) > sender.precedence:
            fields += codec.encode_status(table.status_of(row))  # the sender has to refute this status
        self._sender.send(sender.address, ACK, fields, max_bytes=max_bytes)

    def on_ack(self, now_us: int, reference: PingReference, sender: InstanceRecord) -> bool:
        """Handles an ack that was sent by a ping's target or relayed by another instance.

        Returns:
            Whether the ack belongs to a ping in progress of this instance.
        """
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
        """Ends an isolation, improves local health and counts the answered ping for reachability reports."""
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
        """Counts a nack: the sender works but received no ack for its indirect ping."""
        ping = self._pings.get(reference.sequence)
        if ping is not None:
            ping.nacks += 1
