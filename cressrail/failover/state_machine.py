"""The failover state machine: dispatches events to the election, leader and follower roles."""

from __future__ import annotations

from cressrail.failover import codec, log_events
from cressrail.failover.commands import Command
from cressrail.failover.election import Election
from cressrail.failover.election_timer import NEVER_US
from cressrail.failover.follower import Follower
from cressrail.failover.instance_parts import new_parts
from cressrail.failover.leader import Leader
from cressrail.failover.local_view import Fleet
from cressrail.failover.messages import (
    Acknowledgement,
    Decision,
    DrainRequest,
    Epoch,
    Evidence,
    Heartbeat,
    Message,
    Report,
    VoteDenied,
    VoteGranted,
    VoteRequest,
)
from cressrail.failover.settings import FailoverSettings
from cressrail.policy.random_generator import RandomGenerator

RELAYED = 0  # sender id of a message that arrived by gossip


class FailoverStateMachine:
    """The failover protocol at one instance. All times are in microseconds on one monotonic clock.

    Methods that process an event return the commands that follow from it.

    Attributes:
        settings: Settings of failover at this instance.
        own_id: Id of this instance.
        local: Local view of the fleet and of this instance's evidence.
        leadership: State about the current leader.
        decisions: Decision in force and its freshness.
        leader: Leader role, active only while this instance leads.
    """

    def __init__(self, settings: FailoverSettings, own_id: int, rng: RandomGenerator, now_us: int) -> None:
        self.settings = settings
        self.own_id = own_id
        self._rng = rng
        self._timer_us = now_us
        self._parts = parts = new_parts(settings, own_id, rng, now_us)
        self.local = parts.local
        self.leadership = parts.leadership
        self.decisions = parts.decisions
        self.leader = Leader(parts, now_us)
        self._follower = Follower(parts, self.leader)
        self._election = Election(parts, now_us)

    @property
    def next_timer_us(self) -> int:
        """Time at which `on_timer` is due, in microseconds."""
        return self._timer_us

    @property
    def decision(self) -> Decision | None:
        """Decision in force at this instance, or None before the first one."""
        return self.decisions.decision

    @property
    def held_epoch(self) -> Epoch:
        """Epoch of the decision in force at this instance."""
        return self.decisions.held_epoch

    @property
    def is_leader(self) -> bool:
        """Whether this instance is the leader."""
        return self.leadership.is_leader

    def freshness(self, now_us: int) -> float:
        """Returns the weight of the held decision against local judgement, from 1 (fresh) to 0 (expired)."""
        return self.decisions.freshness(now_us)

    def zone_weights(self, now_us: int) -> tuple[tuple[float, ...], float]:
        """Returns the shares of the own zone's traffic for each zone, and their freshness from 0 to 1.

        If the shares add up to less than 1, the remaining share is unserved and is to be rejected. Without a
        decision, the shares are empty and the freshness is 0.
        """
        if self.decision is None:
            return (), 0.0
        return self.decision.weights[self.settings.zone], self.freshness(now_us)

    def update_fleet(self, fleet: Fleet) -> None:
        """Updates the fleet as reported by membership."""
        self.local.update_fleet(fleet)

    def update_evidence(self, evidence: Evidence) -> None:
        """Updates the evidence of this instance over the evidence window."""
        self.local.update_evidence(evidence)

    def start(self, now_us: int) -> list[Command]:
        """Starts the timers."""
        self._timer_us = now_us + self._rng.below(self.settings.report_period_us)
        self._parts.timer.restart(now_us)
        return self._parts.outbox.take()

    def request_drain(self, now_us: int, zone: int, until_us: int) -> list[Command]:
        """Processes an operator's request to drain a zone; an `until_us` of 0 ends the drain."""
        self._parts.drains.request(now_us, zone, until_us)
        return self._parts.outbox.take()

    def on_timer(self, now_us: int) -> list[Command]:
        """Runs once per report period: leads, reports to the leader, or becomes a candidate."""
        period_us = self.settings.report_period_us
        if now_us - self._timer_us > period_us:
            self._on_pause(now_us)
        jitter_us = self._rng.below(max(1, period_us // 4))
        self._timer_us = now_us + period_us - period_us // 8 + jitter_us
        if self.is_leader:
            self.leader.on_timer(now_us)
        elif self.leadership.has_recent_contact(now_us, period_us):
            self._follower.send_report(now_us)
        elif now_us >= self._parts.timer.deadline_us:
            self._election.become_candidate(now_us)
        elif self._parts.timer.deadline_us == NEVER_US:
            self._parts.timer.restart(now_us)
        return self._parts.outbox.take()

    def on_message(self, now_us: int, sender: int, payload: bytes) -> list[Command]:
        """Processes a message; invalid messages are ignored.

        Args:
            now_us: Current time in microseconds.
            sender: Id of the sending instance, or `RELAYED` if the message arrived by gossip.
            payload: The encoded message.
        """
        message = codec.decode(payload, now_us)
        if isinstance(message, Decision):
            self._follower.on_decision(now_us, message)
        elif isinstance(message, Heartbeat):
            self._follower.on_heartbeat(now_us, message)
        elif isinstance(message, DrainRequest):
            self._parts.drains.receive(now_us, message)
        elif message is not None and sender != RELAYED:
            self._on_direct_message(now_us, sender, message)
        return self._parts.outbox.take()

    def _on_direct_message(self, now_us: int, sender: int, message: Message) -> None:
        if isinstance(message, Report):
            self.leader.on_report(now_us, sender, message)
        elif isinstance(message, Acknowledgement):
            self._follower.on_acknowledgement(now_us, sender, message)
        elif isinstance(message, VoteRequest):
            self._election.on_vote_request(now_us, sender, message)
        elif isinstance(message, VoteGranted):
            self._election.on_vote_granted(now_us, sender, message, self.leader)
        elif isinstance(message, VoteDenied):
            self._election.on_vote_denied(now_us, message, self.leader)

    def _on_pause(self, now_us: int) -> None:
        """Handles a pause of this process, after which earlier answers of other instances are void."""
        self._parts.outbox.log(log_events.PROCESS_PAUSED, paused_ms=(now_us - self._timer_us) // 1000)
        self.leader.forget_answers()
        self._election.abandon()
        self.leadership.renew_contact(now_us)
        self._parts.timer.restart(now_us)
