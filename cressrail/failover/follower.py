"""The follower role: reports evidence to the leader and processes its heartbeats and decisions."""

from __future__ import annotations

from cressrail.failover.instance_parts import InstanceParts
from cressrail.failover.leader import Leader
from cressrail.failover.leadership import NO_LEADER
from cressrail.failover.messages import Acknowledgement, Decision, Heartbeat, Report
from cressrail.failover.outbox import HEARTBEAT_TOPIC


class Follower:
    """Follows the current leader. A leader that learns of a later term steps down and becomes a follower."""

    def __init__(self, parts: InstanceParts, leader: Leader) -> None:
        self._parts = parts
        self._leader = leader
        self._acknowledged = 0  # number of the leader's last acknowledgement

    def send_report(self, now_us: int) -> None:
        """Sends a report with the evidence of this instance to the leader."""
        report = Report(self._acknowledged, self._parts.decisions.held_epoch, self._parts.local.evidence)
        self._parts.outbox.send(now_us, self._parts.leadership.leader, report)

    def on_acknowledgement(self, now_us: int, sender: int, acknowledgement: Acknowledgement) -> None:
        """Processes the leader's acknowledgement of a report; ignores earlier terms and other senders."""
        leadership = self._parts.leadership
        if acknowledgement.epoch.term < leadership.epoch.term or sender != leadership.leader:
            return
        self._acknowledged = acknowledgement.number
        leadership.renew_contact(now_us)
        leadership.observe_epoch(acknowledgement.epoch)
        self._parts.decisions.confirm(now_us, acknowledgement.epoch)
        self._parts.timer.restart(now_us)

    def on_heartbeat(self, now_us: int, heartbeat: Heartbeat) -> None:
        """Processes a heartbeat of a leader that has a majority, and gossips it on if it is new."""
        leadership = self._parts.leadership
        if heartbeat.leader == leadership.own_id or heartbeat.epoch.term < leadership.epoch.term:
            return
        is_later_term = heartbeat.epoch.term > leadership.epoch.term
        is_from_leader = heartbeat.leader == leadership.leader
        if not is_later_term and is_from_leader and heartbeat.sequence <= leadership.heartbeat_sequence:
            return
        if is_later_term and leadership.is_leader:
            self._leader.step_down(now_us, heartbeat.epoch)
        if is_later_term or leadership.leader == NO_LEADER or is_from_leader:
            leadership.follow(now_us, heartbeat.leader)
            leadership.set_heartbeat_sequence(heartbeat.sequence)
            leadership.observe_epoch(heartbeat.epoch)
            self._parts.decisions.confirm(now_us, heartbeat.epoch)
            self._parts.timer.restart(now_us)
            self._parts.outbox.broadcast(now_us, HEARTBEAT_TOPIC, heartbeat)

    def on_decision(self, now_us: int, decision: Decision) -> None:
        """Adopts a decision that is later than the held one and not older than any known epoch."""
        leadership = self._parts.leadership
        if decision.leader == leadership.own_id or decision.epoch <= self._parts.decisions.held_epoch:
            return
        if decision.epoch < leadership.epoch:
            return
        if len(decision.zones) != len(self._parts.settings.topology.zones):
            return  # from an instance whose release or settings have a different number of zones
        if decision.epoch.term > leadership.epoch.term and leadership.is_leader:
            self._leader.step_down(now_us, decision.epoch)
        leadership.follow(now_us, decision.leader)
        self._parts.timer.restart(now_us)
        self._parts.drains.take_over(decision.drains)
        self._parts.decisions.adopt(now_us, decision)
