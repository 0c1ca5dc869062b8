"""The failover state machine: dispatches events to election, leader and follower, and returns commands."""

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

RELAYED = 0  # the sender of a message that arrived by gossip


class FailoverStateMachine:
    """One instance's part in deciding jointly. All times are in microseconds of one monotonic clock.

    Methods that take an event return the commands that follow from it.
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
        """When `on_timer` is due."""
        return self._timer_us

    @property
    def decision(self) -> Decision | None:
        """The decision that holds here, or None before the first."""
        return self.decisions.decision

    @property
    def held_epoch(self) -> Epoch:
        """Epoch of the decision that holds here."""
        return self.decisions.held_epoch

    @property
    def is_leader(self) -> bool:
        """Whether this instance is the leader."""
        return self.leadership.is_leader

    def freshness(self, now_us: int) -> float:
        """How much the held decision counts, from 1 down to 0."""
        return self.decisions.freshness(now_us)

    def zone_weights(self, now_us: int) -> tuple[tuple[float, ...], float]:
        """Returns the shares of the own zone's traffic to each zone, and how much they count (0 to 1).

        The unserved share, the rest to 1, is to be rejected.
        """
        if self.decision is None:
            return (), 0.0
        return self.decision.weights[self.settings.zone], self.freshness(now_us)

    def update_fleet(self, fleet: Fleet) -> None:
        """Takes the fleet as membership sees it."""
        self.local.update_fleet(fleet)

    def update_evidence(self, evidence: Evidence) -> None:
        """Takes this instance's own evidence over the window."""
        self.local.update_evidence(evidence)

    def start(self, now_us: int) -> list[Command]:
        """Starts the timers."""
        self._timer_us = now_us + self._rng.below(self.settings.report_period_us)
        self._parts.timer.restart(now_us)
        return self._parts.outbox.take()

    def request_drain(self, now_us: int, zone: int, until_us: int) -> list[Command]:
        """Takes an operator's request to drain a zone; `until_us` of 0 ends a drain."""
        self._parts.drains.request(now_us, zone, until_us)
        return self._parts.outbox.take()

    def on_timer(self, now_us: int) -> list[Command]:
        """Leads, reports to the leader or becomes a candidate, once a report period."""
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
        """Takes a message from an instance itself, or (`RELAYED`) by gossip; unreadable ones are ignored."""
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
        """This process was stopped: nothing that it knew of the others' answers counts any longer."""
        self._parts.outbox.log(log_events.PROCESS_PAUSED, paused_ms=(now_us - self._timer_us) // 1000)
        self.leader.forget_answers()
        self._election.abandon()
        self.leadership.renew_contact(now_us)
        self._parts.timer.restart(now_us)
