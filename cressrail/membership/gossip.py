"""Gossip: broadcasts are sent to a few random instances at a time until they have reached all."""

from __future__ import annotations

from cressrail.membership import codec
from cressrail.membership.broadcast_queue import BroadcastTopic, TopicKind
from cressrail.membership.datagram_sender import DatagramSender
from cressrail.membership.messages import InstanceRecord, InstanceStatus, ReachabilityReport
from cressrail.membership.peer_selection import PeerSelection
from cressrail.membership.self_record import SelfRecord
from cressrail.membership.shared_state import SharedState
from cressrail.membership.timers import TimerKind

GOSSIP_FANOUT = 3  # instances that get a datagram in one round
ROUNDS_PER_PERIOD = 5
FIRST_ROUND_SHARE = 20  # of a ping period: the first round is within one part in so many


class Gossip:
    """Spreads broadcasts."""

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
        """Spreads the whole record of an instance."""
        topic = BroadcastTopic(TopicKind.INSTANCE, record.id)
        self._broadcast(now_us, topic, codec.encode_record(record))

    def broadcast_status(self, now_us: int, status: InstanceStatus) -> None:
        """Spreads the status of an instance whose record the others have."""
        topic = BroadcastTopic(TopicKind.INSTANCE, status.id)
        self._broadcast(now_us, topic, codec.encode_status(status))

    def broadcast_suspicion(self, now_us: int, status: InstanceStatus) -> None:
        """Spreads that an instance is suspected, and by whom."""
        topic = BroadcastTopic(TopicKind.SUSPICION, status.id, status.suspected_by)
        self._broadcast(now_us, topic, codec.encode_status(status))

    def broadcast_reachability(self, now_us: int, report: ReachabilityReport) -> None:
        """Spreads whether one instance reaches another."""
        topic = BroadcastTopic(TopicKind.REACHABILITY, report.reporter, report.target)
        self._broadcast(now_us, topic, codec.encode_reachability(report))

    def broadcast_user_message(self, now_us: int, subject: int, payload: bytes, is_urgent: bool) -> None:
        """Spreads a message of another part of the sidecar, in place of an earlier one on the subject.

        One that is not urgent only rides on datagrams that are sent anyway.
        """
        topic = BroadcastTopic(TopicKind.USER_MESSAGE, subject)
        self._shared.broadcasts.enqueue(topic, codec.encode_user_broadcast(subject, payload))
        if is_urgent:
            self.schedule(now_us)

    def schedule(self, now_us: int) -> None:
        """Has a round begin soon if there is something to spread."""
        if self._is_scheduled or not len(self._shared.broadcasts):
            return
        self._is_scheduled = True
        latest_us = max(1, self._shared.settings.ping_period_us // FIRST_ROUND_SHARE)
        self._shared.timers.set(now_us + self._shared.random.below(latest_us), TimerKind.GOSSIP)

    def cancel(self) -> None:
        """The timer of the next round was voided."""
        self._is_scheduled = False

    def run_round(self, now_us: int, _argument: int) -> None:
        """Sends to a few instances; another round follows while something is left."""
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
