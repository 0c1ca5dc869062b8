"""Membership state machine of one instance, which takes events as input and returns commands.

The protocol is SWIM (Das, Gupta, Motivala, 2002) with the Lifeguard extensions (Dadgar, Phillips, Currey,
2017) and three additions that docs/membership.md describes: an instance that some others can't reach proves
that it is alive, a reported death is accepted only after this instance's own suspicion time-out has expired,
and push-pull sync exchanges ranges of the member table instead of the whole table.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from cressrail.membership import codec, log_events
from cressrail.membership.codec import GOSSIP, MalformedDatagramError
from cressrail.membership.datagram_receiver import DatagramReceiver
from cressrail.membership.datagram_sender import DatagramSender
from cressrail.membership.dead_retries import DeadRetries
from cressrail.membership.failure_detector import FailureDetector
from cressrail.membership.gossip import Gossip
from cressrail.membership.instance_counter import InstanceCounter
from cressrail.membership.isolation import Isolation
from cressrail.membership.join import Join
from cressrail.membership.live_count import ObservedInstances
from cressrail.membership.maintenance import Maintenance
from cressrail.membership.malformed_log import MalformedLog
from cressrail.membership.member_table import MemberTable
from cressrail.membership.member_updates import MemberUpdates
from cressrail.membership.messages import (
    DEAD,
    MAX_USER_MESSAGE_BYTES,
    Address,
    Command,
    InstanceCount,
    instance_id,
)
from cressrail.membership.peer_selection import PeerSelection
from cressrail.membership.ping_schedule import PingSchedule
from cressrail.membership.push_pull import PushPull
from cressrail.membership.refutation import Refutation
from cressrail.membership.relayed_pings import RelayedPings
from cressrail.membership.self_record import SelfRecord
from cressrail.membership.settings import MembershipSettings
from cressrail.membership.shared_state import SharedState
from cressrail.membership.suspicion import SuspicionTable
from cressrail.membership.timers import TimerKind
from cressrail.membership.view import membership_view
from cressrail.policy.random_generator import RandomGenerator

LEAVE_FANOUT = 8  # number of instances that are notified when this one leaves
SETTLED_PERIODS = 4  # ping periods without a change after which the view is settled
LATE_TIMER_DIVISOR = 8  # a timer that is late by more than ping period / 8 degrades local health
PAUSE_DIVISOR = 2  # a timer that is late by more than ping period / 2 means that the process was paused
LONG_PAUSE_PERIODS = 2  # ping periods of pause after which others may have declared this instance dead
MAX_PAUSE_PENALTY = 2  # largest increase of the local health score for one pause


class MembershipStateMachine:
    """Membership state machine of one instance.

    Each event method returns the commands that the caller is to execute. All times are in microseconds.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        random: RandomGenerator,
        now_us: int,
        process_id: int,
        incarnation: int,
    ) -> None:
        """Creates the state machine; `start` makes it take part in membership.

        Args:
            settings: Membership settings of this instance.
            random: Generator of all random values that the state machine uses.
            now_us: Current time.
            process_id: Random number that identifies this process; it does not depend on a clock.
            incarnation: Initial incarnation; it may be lower than the incarnation that other instances know
                for this name.
        """
        self.settings = settings
        self.self_record = SelfRecord(settings, now_us, process_id, incarnation)
        self.shared = SharedState(settings, random, self.self_record.id, now_us)
        self._suspicions = SuspicionTable(settings)
        self.isolation = Isolation(self.shared, self._suspicions, now_us)
        self._connect_parts(now_us)
        self._is_leaving = False
        self._timer_handlers: dict[TimerKind, Callable[[int, int], None]] = {
            TimerKind.START_PING: self._failure_detector.start_ping,
            TimerKind.RETRY_PING: self._failure_detector.retry_ping,
            TimerKind.FINISH_PING: self._failure_detector.finish_ping,
            TimerKind.EXPIRE_RELAYED_PING: self._relayed_pings.expire,
            TimerKind.EXPIRE_SUSPICION: self.updates.expire_suspicion,
            TimerKind.GOSSIP: self._gossip.run_round,
            TimerKind.PUSH_PULL: self._push_pull.run,
            TimerKind.CONTINUE_PUSH_PULL: self._push_pull.continue_walk,
            TimerKind.JOIN: self._join.run,
            TimerKind.MAINTAIN: self._maintenance.run,
        }

    def _connect_parts(self, now_us: int) -> None:
        shared, own, suspicions, isolation = (
            self.shared,
            self.self_record,
            self._suspicions,
            self.isolation,
        )
        self._sender = sender = DatagramSender(shared, own, now_us)
        self._selection = selection = PeerSelection(shared, suspicions)
        self._gossip = gossip = Gossip(shared, own, sender, selection)
        self._refutation = refutation = Refutation(shared, own, sender, selection, gossip)
        schedule = PingSchedule(shared, suspicions)
        dead_retries = DeadRetries(shared)
        self.updates = MemberUpdates(
            shared, own, suspicions, isolation, gossip, schedule, dead_retries, refutation
        )
        self._failure_detector = FailureDetector(
            shared, own, suspicions, isolation, sender, selection, gossip, schedule, self.updates
        )
        self._relayed_pings = RelayedPings(shared, sender)
        self._push_pull = PushPull(shared, own, sender, selection)
        self._join = Join(shared, self._push_pull)
        self._counter = InstanceCounter(shared, isolation, self.updates, self._push_pull, now_us)
        self._maintenance = Maintenance(
            shared,
            own,
            suspicions,
            isolation,
            sender,
            gossip,
            refutation,
            dead_retries,
            self._counter,
            now_us,
        )
        self._malformed_log = MalformedLog(shared)
        self._receiver = DatagramReceiver(
            shared,
            own,
            isolation,
            sender,
            gossip,
            refutation,
            self.updates,
            self._failure_detector,
            self._relayed_pings,
            self._push_pull,
        )

    # Events

    def start(self, now_us: int) -> list[Command]:
        """Starts to take part in membership and sets the first timers."""
        period_us = self.settings.ping_period_us
        self.shared.timers.clear()
        self._join.set_first_timer(now_us)
        first_ping_us = now_us + period_us + self.shared.random.below(period_us)
        self.shared.timers.set(first_ping_us, TimerKind.START_PING)
        self._maintenance.set_timer(now_us)
        self._push_pull.set_first_timer(now_us)
        return self.shared.take_commands()

    def on_timer(self, now_us: int) -> list[Command]:
        """Runs the timers that are due. The caller calls it at `next_timer_us`."""
        late_us = now_us - self.next_timer_us
        self._check_own_pause(now_us)
        if late_us > self.settings.ping_period_us // LATE_TIMER_DIVISOR:
            # Local health is degraded only here, not for each datagram, so that one delay counts once
            # regardless of how many datagrams were queued during it.
            self.shared.local_health.degrade()
        while not self._is_leaving and (timer := self.shared.timers.pop_due(now_us)) is not None:
            self._timer_handlers[timer.kind](now_us, timer.argument)
        return self.shared.take_commands()

    def on_datagram(self, now_us: int, payload: bytes) -> list[Command]:
        """Processes a received datagram; a malformed one is only counted and logged."""
        self._check_own_pause(now_us)
        if self._is_leaving:
            return self.shared.take_commands()
        try:
            self._receiver.receive(now_us, payload)
        except MalformedDatagramError as error:
            self._malformed_log.add(now_us, str(error))
        if self.updates.needs_recount:
            self._counter.update(now_us)
        return self.shared.take_commands()

    def on_connection_refused(self, now_us: int, address: Address) -> list[Command]:
        """Handles the report that no process listens at the address to which a datagram was sent.

        A refusal shows that the process has ended, whereas a missing answer can also mean a network partition
        or a pause. A refusal alone does not make an instance dead, but its pings fail without waiting for
        their time-out, and its suspicion gets a shorter time-out than one that is based on missing answers.
        """
        self._check_own_pause(now_us)
        table = self.shared.table
        for row in table.rows_at(address) if not self._is_leaving else []:
            member_id = table.ids[row]
            table.note_refused(row)
            self._failure_detector.on_connection_refused(now_us, member_id)
            self.updates.on_connection_refused(now_us, member_id)
        return self.shared.take_commands()

    def leave(self, now_us: int, *, announces: bool = True) -> list[Command]:
        """Stops taking part permanently.

        Args:
            now_us: Current time.
            announces: Whether other instances are notified; false if another process continues under the
                same name.
        """
        if not self._is_leaving and announces:
            self.shared.broadcasts.clear()
            for row in self._selection.random_rows(LEAVE_FANOUT):
                self._sender.send(self.shared.table.address_of(row), GOSSIP, b"", has_left=True)
        self._is_leaving = True
        self.shared.timers.clear()
        return self.shared.take_commands()

    def set_keys(self, keys: tuple[bytes, ...]) -> None:
        """Replaces the shared keys that sign and verify datagrams."""
        self._sender.set_keys(keys)

    def set_own_load_reports(self, now_us: int, reports: Iterable[tuple[int, int, int]]) -> None:
        """Replaces all load reports of this instance; each is a tuple of kind, subject and value."""
        self.shared.load_reports.set_own_reports(now_us, reports)

    def send_user_message(self, now_us: int, member_id: int, payload: bytes) -> list[Command]:
        """Sends a message of another sidecar component to one instance, without guaranteed delivery.

        The message is dropped if the instance is unknown, if this instance is leaving, or if the payload
        exceeds `MAX_USER_MESSAGE_BYTES`.
        """
        self._sender.set_time(now_us)
        row = self.shared.table.row_of(member_id)
        if row >= 0 and not self._is_leaving and len(payload) <= MAX_USER_MESSAGE_BYTES:
            fields = codec.encode_user_message(payload)
            self._sender.send(self.shared.table.address_of(row), GOSSIP, fields)
        return self.shared.take_commands()

    def broadcast_user_message(
        self, now_us: int, subject: str, payload: bytes, is_urgent: bool
    ) -> list[Command]:
        """Gossips a message of another sidecar component to all instances.

        It replaces an earlier message on the same subject. A message that is not urgent starts no gossip
        round of its own: it is only attached to datagrams that are sent for other reasons.
        """
        if not self._is_leaving and len(payload) <= MAX_USER_MESSAGE_BYTES:
            self._gossip.broadcast_user_message(now_us, instance_id(subject), payload, is_urgent)
        return self.shared.take_commands()

    def _check_own_pause(self, now_us: int) -> None:
        """Detects from an overdue timer that this process was paused, and discards what was in progress.

        Otherwise the instance would interpret answers that it missed during the pause as the deaths of
        other instances.
        """
        shared, period_us = self.shared, self.settings.ping_period_us
        self._sender.set_time(now_us)
        late_us = now_us - shared.timers.next_us
        if self._is_leaving or late_us <= period_us // PAUSE_DIVISOR:
            return
        shared.log(log_events.INSTANCE_PAUSED, paused_ms=late_us // 1000)
        shared.local_health.degrade(min(MAX_PAUSE_PENALTY, late_us // period_us))
        self._failure_detector.cancel_all()
        self._relayed_pings.cancel_all()
        self._gossip.cancel()
        self.isolation.begin(now_us)
        self._suspicions.restart_timeouts(now_us)
        self.isolation.note_datagram(now_us)
        if late_us > LONG_PAUSE_PERIODS * period_us:
            self._refutation.prove_alive(now_us)
        shared.timers.restart_after_pause(now_us, period_us)
        for member_id in self._suspicions.ids():
            due_us = now_us + self.settings.min_suspicion_us
            shared.timers.set(due_us, TimerKind.EXPIRE_SUSPICION, member_id)
        self._gossip.schedule(now_us)

    # Queries

    @property
    def next_timer_us(self) -> int:
        """Time at which `on_timer` is to be called next."""
        return self.shared.timers.next_us

    @property
    def name(self) -> str:
        """Name of this instance, which differs from the configured one after a name conflict."""
        return self.self_record.name

    @property
    def id(self) -> int:
        """Id of this instance, derived from its name."""
        return self.self_record.id

    @property
    def table(self) -> MemberTable:
        """Table of all other known instances."""
        return self.shared.table

    @property
    def instance_count(self) -> InstanceCount | None:
        """The instance count that was announced last, or `None` if none was."""
        return self._counter.announced

    def live_instance_count(self) -> int:
        """Number of instances that are alive or suspected, including this one."""
        return self.isolation.live_instance_count()

    def is_settled(self, now_us: int) -> bool:
        """Whether the view is stable.

        It is if this instance has joined (or has no seeds), is not isolated, suspects no instance, and its
        member table has not changed for `SETTLED_PERIODS` ping periods.
        """
        span_us = SETTLED_PERIODS * self.settings.ping_period_us
        return (
            (self._push_pull.has_joined or not self.settings.seeds)
            and self.isolation.since_us is None
            and not len(self._suspicions)
            and now_us - self.shared.table.changed_us >= span_us
        )

    def observed_instances(self) -> ObservedInstances:
        """Observed numbers of instances from which the live instance count is estimated."""
        return self._counter.observed()

    def instance_zones(self) -> dict[int, str]:
        """Maps the id of each other live instance to its zone."""
        table = self.shared.table
        return {
            member_id: table.zone_of(row)
            for row, member_id in enumerate(table.ids)
            if table.states[row] < DEAD and member_id not in self.isolation.dead_in_own_view
        }

    def instance_names(self) -> dict[int, str]:
        """Maps the id of each other known instance to its name."""
        return dict(zip(self.shared.table.ids, self.shared.table.names, strict=True))

    def view(self, now_us: int) -> dict[str, Any]:
        """Content of the JSON document that the admin endpoint `/membership` serves."""
        return membership_view(
            now_us,
            self.shared,
            self.self_record,
            self.isolation,
            self._counter.announced,
            is_settled=self.is_settled(now_us),
        )
