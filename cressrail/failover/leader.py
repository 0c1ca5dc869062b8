"""The leader role: the lease, reports from followers, heartbeats and decisions."""

from __future__ import annotations

from typing import NamedTuple

from cressrail.failover import log_events
from cressrail.failover.evidence import aggregate
from cressrail.failover.instance_parts import InstanceParts
from cressrail.failover.messages import (
    Acknowledgement,
    Decision,
    Epoch,
    Evidence,
    Heartbeat,
    Report,
    VoteDenied,
    ZoneDrain,
)
from cressrail.failover.outbox import HEARTBEAT_TOPIC
from cressrail.failover.planner import Plan, Planner

EVIDENCE_WINDOW_PERIODS = 3  # length of the evidence window in report periods
HEARTBEAT_PERIODS = 2  # heartbeat interval in report periods
MAX_PENDING_ACKNOWLEDGEMENTS = 8192  # unconfirmed acknowledgements whose sending time is kept


class ReceivedEvidence(NamedTuple):
    """Evidence of one instance and the time of its receipt in microseconds."""

    evidence: Evidence
    received_us: int


class Leader:
    """Leads the tier while a majority of the last known fleet answers within the lease.

    The lease starts when the answered message was sent, not when the answer arrived. A process that was
    suspended and resumes therefore finds its lease expired.
    """

    def __init__(self, parts: InstanceParts, now_us: int) -> None:
        self._parts = parts
        self._planner: Planner | None = None
        self._evidence: dict[int, ReceivedEvidence] = {}
        self._acknowledgement_sent_us: dict[int, int] = {}
        self._answered_us: dict[int, int] = {}  # by instance: sending time of the last answered message
        self._had_majority_us = now_us
        self._heartbeat_us = now_us

    @property
    def received_evidence(self) -> dict[int, Evidence]:
        """Latest evidence of each instance that has reported, by instance id."""
        return {instance: received.evidence for instance, received in self._evidence.items()}

    def forget_answers(self) -> None:
        """Discards all earlier answers, which are void after a pause of this process."""
        self._answered_us.clear()
        self._acknowledgement_sent_us.clear()

    def record_vote(self, voter: int, requested_us: int) -> None:
        """Records a vote as an answer to the request sent at `requested_us`, which extends the lease."""
        self._answered_us[voter] = requested_us

    def begin_term(self, now_us: int, term: int, votes: int) -> None:
        """Starts a term as the leader, with the last known decision as the initial state of the planner."""
        self._parts.leadership.begin_term(now_us, term)
        self._had_majority_us = now_us
        self._evidence.clear()
        self._acknowledgement_sent_us.clear()
        settings = self._parts.settings
        self._planner = Planner(
            settings.topology,
            settings.slow_start_fraction,
            settings.warm_up_us,
            EVIDENCE_WINDOW_PERIODS * settings.report_period_us,
            now_us,
        )
        if self._parts.decisions.decision is not None:
            self._planner.take_over(self._parts.decisions.decision.zones)
        fleet_size = self._parts.local.fleet.known_size
        self._parts.outbox.log(log_events.LEADER_ELECTED, term=term, votes=votes, fleet_size=fleet_size)
        heartbeat = self._send_heartbeat(now_us)
        # A broadcast waits for datagrams to travel on; the votes may have expired before it has arrived.
        for instance in sorted(self._parts.local.fleet.live_instances):
            self._parts.outbox.send(now_us, instance, heartbeat)

    def step_down(self, now_us: int, observed_epoch: Epoch) -> None:
        """Steps down, because the majority is lost or there is a later term."""
        self._parts.outbox.log(
            log_events.LEADER_STEPPED_DOWN,
            term=self._parts.leadership.epoch.term,
            observed_term=observed_epoch.term,
        )
        self._parts.leadership.end_term()
        self._planner = None
        self._answered_us.clear()
        self._parts.timer.restart(now_us)

    def on_timer(self, now_us: int) -> None:
        """Checks the lease, sends heartbeats and takes a new decision if the plan has changed."""
        self._forget_old_acknowledgements(now_us)
        self._evidence[self._parts.leadership.own_id] = ReceivedEvidence(self._parts.local.evidence, now_us)
        if not self._holds_lease(now_us):
            if now_us - self._had_majority_us > 2 * self._parts.settings.lease_us:
                self.step_down(now_us, self._parts.leadership.epoch)
            return
        self._had_majority_us = now_us
        self._parts.leadership.renew_contact(now_us)
        self._parts.decisions.confirm_own(now_us)
        if now_us - self._heartbeat_us >= HEARTBEAT_PERIODS * self._parts.settings.report_period_us:
            self._send_heartbeat(now_us)
        self._decide(now_us)

    def on_report(self, now_us: int, follower: int, report: Report) -> None:
        """Stores and acknowledges a follower's evidence, and sends the decision if the follower lacks it."""
        epoch = self._parts.leadership.epoch
        if not self._parts.leadership.is_leader:
            self._parts.outbox.send(now_us, follower, VoteDenied(epoch.term, epoch))
            return
        if follower not in self._parts.local.fleet.live_instances:
            return
        sent_us = self._acknowledgement_sent_us.get(report.acknowledged)
        if sent_us is not None:
            self._answered_us[follower] = max(self._answered_us.get(follower, 0), sent_us)
        self._evidence[follower] = ReceivedEvidence(report.evidence, now_us)
        number = self._parts.numbers.next_acknowledgement()
        if len(self._acknowledgement_sent_us) < MAX_PENDING_ACKNOWLEDGEMENTS:
            self._acknowledgement_sent_us[number] = now_us
        self._parts.outbox.send(now_us, follower, Acknowledgement(number, epoch))
        decision = self._parts.decisions.decision
        if decision is not None and report.held_epoch < decision.epoch:
            self._parts.outbox.send(now_us, follower, decision)

    def _holds_lease(self, now_us: int) -> bool:
        """Returns whether a majority has answered messages that were sent within the last lease time."""
        since_us = now_us - self._parts.settings.lease_us
        fleet = self._parts.local.fleet
        answered = sum(
            1
            for instance, sent_us in self._answered_us.items()
            if sent_us >= since_us and instance in fleet.live_instances
        )
        return fleet.has_quorum_view and fleet.is_majority(1 + answered)

    def _forget_old_acknowledgements(self, now_us: int) -> None:
        oldest_us = now_us - 2 * self._parts.settings.lease_us
        sent = self._acknowledgement_sent_us
        for number in [number for number, sent_us in sent.items() if sent_us < oldest_us]:
            del sent[number]

    def _send_heartbeat(self, now_us: int) -> Heartbeat:
        leadership = self._parts.leadership
        self._heartbeat_us = now_us
        leadership.set_heartbeat_sequence(leadership.heartbeat_sequence + 1)
        heartbeat = Heartbeat(leadership.epoch, leadership.own_id, leadership.heartbeat_sequence)
        self._parts.outbox.broadcast(now_us, HEARTBEAT_TOPIC, heartbeat)
        return heartbeat

    def _decide(self, now_us: int) -> None:
        window_us = EVIDENCE_WINDOW_PERIODS * self._parts.settings.report_period_us
        evidence = [
            received.evidence
            for received in self._evidence.values()
            if now_us - received.received_us <= window_us and received.evidence.observations
        ]
        # Evidence from a minority of the fleet is not sufficient for a plan.
        if self._planner is None or not self._parts.local.fleet.is_majority(len(evidence)):
            return
        drains = self._parts.drains.active(now_us)
        aggregated = aggregate(evidence, len(self._parts.settings.topology.zones), self._instance_counts())
        plan = self._planner.plan(now_us, aggregated, frozenset(drain.zone for drain in drains))
        if not self._matches_held_decision(plan, drains):
            epoch = self._parts.leadership.epoch
            next_epoch = Epoch(epoch.term, epoch.step + 1)
            own_id = self._parts.leadership.own_id
            self._parts.decisions.adopt(
                now_us, Decision(next_epoch, own_id, plan.zones, plan.weights, drains)
            )

    def _instance_counts(self) -> list[int]:
        zones = [*self._parts.local.fleet.live_instances.values(), self._parts.settings.zone]
        return [zones.count(zone) for zone in range(len(self._parts.settings.topology.zones))]

    def _matches_held_decision(self, plan: Plan, drains: tuple[ZoneDrain, ...]) -> bool:
        """Returns whether the held decision is of this term and nearly equal to the plan."""
        held = self._parts.decisions.decision
        return (
            held is not None
            and held.epoch.term == self._parts.leadership.epoch.term
            and [zone for zone, _ in held.drains] == [zone for zone, _ in drains]
            and not plan.differs(held.zones, held.weights)
        )
