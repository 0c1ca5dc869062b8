"""Periodic maintenance of the membership state, every two ping periods."""

from __future__ import annotations

from cressrail.membership import codec
from cressrail.membership.broadcast_queue import BroadcastTopic, TopicKind
from cressrail.membership.codec import PING, PingReference
from cressrail.membership.datagram_sender import DatagramSender
from cressrail.membership.dead_retries import DeadRetries
from cressrail.membership.gossip import Gossip
from cressrail.membership.instance_counter import InstanceCounter
from cressrail.membership.isolation import Isolation
from cressrail.membership.load_reports import PeerLoadSummary
from cressrail.membership.messages import (
    USE_PEER_EJECTIONS,
    USE_WARMUP_LOAD,
    RequestLoadReports,
)
from cressrail.membership.refutation import Refutation
from cressrail.membership.self_record import SelfRecord
from cressrail.membership.shared_state import SharedState
from cressrail.membership.suspicion import SuspicionTable
from cressrail.membership.timers import TimerKind

MAINTENANCE_PERIODS = 2  # ping periods between two runs
REACHABILITY_REFRESH_PERIODS = 20  # ping periods after which this instance's reports are sent again
# Ping periods for which an instance stays in the table after it has died or left.
KEEP_DEAD_PERIODS, KEEP_LEFT_PERIODS = 7200, 120


class Maintenance:
    """Periodic work that is not triggered by a datagram."""

    def __init__(
        self,
        shared: SharedState,
        self_record: SelfRecord,
        suspicions: SuspicionTable,
        isolation: Isolation,
        sender: DatagramSender,
        gossip: Gossip,
        refutation: Refutation,
        dead_retries: DeadRetries,
        counter: InstanceCounter,
        now_us: int,
    ) -> None:
        self._shared, self._self_record = shared, self_record
        self._suspicions, self._isolation = suspicions, isolation
        self._sender, self._gossip, self._refutation = sender, gossip, refutation
        self._dead_retries, self._counter = dead_retries, counter
        self._reachability_refreshed_us = now_us

    def set_timer(self, now_us: int) -> None:
        """Schedules the next run."""
        due_us = now_us + MAINTENANCE_PERIODS * self._shared.settings.ping_period_us
        self._shared.timers.set(due_us, TimerKind.MAINTAIN)

    def run(self, now_us: int, _argument: int) -> None:
        """Runs all maintenance tasks and schedules the next run."""
        self.set_timer(now_us)
        self._counter.update(now_us)
        if self._shared.exchanges_load_reports:
            self._exchange_load_reports(now_us)
        self._prove_alive_if_needed(now_us)
        self._refresh_reachability(now_us)
        self._retry_dead(now_us)
        self._forget_expired(now_us)
        self._suspicions.drop_expired(now_us)

    def _exchange_load_reports(self, now_us: int) -> None:
        """Emits a summary of other instances' load reports and requests this instance's own reports."""
        shared, count = self._shared, self._counter.announced
        uses = shared.settings.uses
        instances = count.total if count is not None else float(self._isolation.live_instance_count())
        zone_ids = [
            member_id
            for row, member_id in enumerate(shared.table.ids)
            if shared.table.zone_of(row) == shared.settings.zone
        ]
        summary = shared.load_reports.summarize(now_us, instances, zone_ids)
        shared.commands.append(
            PeerLoadSummary(
                summary.failing_endpoints if USE_PEER_EJECTIONS in uses else (),
                summary.warmup_loads if USE_WARMUP_LOAD in uses else {},
                summary.total_traffic,
            )
        )
        shared.commands.append(RequestLoadReports())

    def _prove_alive_if_needed(self, now_us: int) -> None:
        """Raises the incarnation if other instances may consider this one dead.

        This is the case if this instance receives no datagrams (which also begins its isolation), if it was
        recently suspected, or if others report that they can't reach it. Instances that can't reach it
        directly see from the higher incarnation, which others gossip, that it is alive.
        """
        receives_no_datagrams = self._isolation.receives_no_datagrams(now_us)
        if receives_no_datagrams:
            self._isolation.begin(now_us)
        own = self._self_record
        if (
            receives_no_datagrams
            or now_us < own.suspected_until_us
            or self._shared.reachability.unreachable_from(own.id)
        ):
            self._refutation.prove_alive(now_us)

    def _refresh_reachability(self, now_us: int) -> None:
        """Sends this instance's reachability reports again before other instances drop them as expired."""
        span_us = REACHABILITY_REFRESH_PERIODS * self._shared.settings.ping_period_us
        if now_us - self._reachability_refreshed_us < span_us:
            return
        self._reachability_refreshed_us = now_us
        for report in self._shared.reachability.refresh(now_us):
            self._gossip.broadcast_reachability(now_us, report)

    def _retry_dead(self, now_us: int) -> None:
        table = self._shared.table
        for member_id in self._dead_retries.take_due(now_us):
            row = table.row_of(member_id)
            reference = PingReference(self._sender.next_sequence(), member_id)
            fields = codec.encode_ping_reference(reference) + codec.encode_status(table.status_of(row))
            self._sender.send_request(row, PING, fields)

    def _forget_expired(self, now_us: int) -> None:
        shared, period_us = self._shared, self._shared.settings.ping_period_us
        for member_id in shared.table.expired_ids(
            now_us, KEEP_DEAD_PERIODS * period_us, KEEP_LEFT_PERIODS * period_us
        ):
            shared.table.remove(member_id)
            self._dead_retries.remove(member_id)
            shared.broadcasts.withdraw(BroadcastTopic(TopicKind.INSTANCE, member_id))
            shared.reachability.forget_instance(member_id)
            shared.load_reports.forget_instance(member_id)
