"""Gossip: sends broadcasts to a few random instances in each round until they have reached the fleet."""

from __future__ import annotations

from cressrail.membership import codec
from cressrail.membership.broadcast_queue import BroadcastTopic, TopicKind
from cressrail.membership.datagram_sender import DatagramSender
from cressrail.membership.messages import InstanceRecord, InstanceStatus, ReachabilityReport
from cressrail.membership.peer_selection import PeerSelection
from cressrail.membership.self_record import SelfRecord
from cressrail.membership.shared_state import SharedState
from cressrail.membership.timers import TimerKind

GOSSIP_FANOUT = 3  # instances that are sent a datagram in one round
ROUNDS_PER_PERIOD = 5  # gossip rounds in a ping period
FIRST_ROUND_DIVISOR = 20  # the first round starts within 1/20 of a ping period


class Gossip:
    """Queues broadcasts and runs the gossip rounds that send them."""

    def __init__(
        self,
        shared: SharedState,
        self_record: SelfRecord,
        sender: DatagramSender,
        selection: PeerSelection,
    ) -> None:
        self._shared, self._self_record = shared, self_record
        self._sender, self._selection = sender, selection
        self._is_scheduled = False

    def broadcast_record(self, now_us: int, record: InstanceRecord) -> None:
        """Broadcasts the complete record of an instance."""
        topic = BroadcastTopic(TopicKind.INSTANCE, record.id)
        self._broadcast(now_us, topic, codec.encode_record(record))

    def broadcast_status(self, now_us: int, status: InstanceStatus) -> None:
        """Broadcasts the status of an instance whose record the other instances already have."""
        topic = BroadcastTopic(TopicKind.INSTANCE, status.id)
        self._broadcast(now_us, topic, codec.encode_status(status))

    def broadcast_suspicion(self, now_us: int, status: InstanceStatus) -> None:
        """Broadcasts that an instance is suspected, and which instance suspects it."""
        topic = BroadcastTopic(TopicKind.SUSPICION, status.id, status.suspected_by)
        self._broadcast(now_us, topic, codec.encode_status(status))

    def broadcast_reachability(self, now_us: int, report: ReachabilityReport) -> None:
        """Broadcasts whether one instance can reach another."""
        topic = BroadcastTopic(TopicKind.REACHABILITY, report.reporter, report.target)
        self._broadcast(now_us, topic, codec.encode_reachability(report))

    def broadcast_user_message(self, now_us: int, subject: int, payload: bytes, is_urgent: bool) -> None:
        """Broadcasts a message of another component of the sidecar.

        It replaces an earlier message on the same subject. A message that is not urgent starts no
        gossip round and is only added to datagrams that are sent anyway.
        """
        topic = BroadcastTopic(TopicKind.USER_MESSAGE, subject)
        self._shared.broadcasts.enqueue(topic, codec.encode_user_broadcast(subject, payload))
        if is_urgent:
            self.schedule(now_us)

    def schedule(self, now_us: int) -> None:
        """Schedules a round in the near future if broadcasts are queued and no round is scheduled."""
        if self._is_scheduled or not len(self._shared.broadcasts):
            return
        self._is_scheduled = True
        latest_us = max(1, self._shared.settings.ping_period_us // FIRST_ROUND_DIVISOR)
        self._shared.timers.set(now_us + self._shared.random.below(latest_us), TimerKind.GOSSIP)

    def cancel(self) -> None:
        """Records that the timer of the next round was cancelled, so that `schedule` sets a new one."""
        self._is_scheduled = False

    def run_round(self, now_us: int, _argument: int) -> None:
        """Sends queued broadcasts to a few instances and schedules another round while any are left."""
        self._is_scheduled = False
        broadcasts, settings = self._shared.broadcasts, self._shared.settings
        own = codec.encode_record(self._self_record.record())
        broadcasts.drop_larger_than(settings.max_datagram_bytes - codec.OVERHEAD_BYTES - len(own) + 1)
        for row in self._selection.rows_with_recent_acks(GOSSIP_FANOUT, now_us):
            if len(broadcasts):
                self._sender.send(self._shared.table.address_of(row), codec.GOSSIP, b"")
        if len(broadcasts) and len(self._shared.table):
            self._is_scheduled = True
            interval_us = settings.ping_period_us // ROUNDS_PER_PERIOD
            self._shared.timers.set(now_us + interval_us, TimerKind.GOSSIP)

    def _broadcast(self, now_us: int, topic: BroadcastTopic, payload: bytes) -> None:
        self._shared.broadcasts.enqueue(topic, payload)
        self.schedule(now_us)
