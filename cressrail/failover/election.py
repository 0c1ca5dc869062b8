"""Election of a leader: the election timer, candidacy, and granting or denying votes.

After Raft (Ongaro and Ousterhout, 2014), without a log: what is decided is one small table, and each decision
replaces the one before. A term counts only once it is won, so a candidate that is cut off in one direction
disturbs nobody.
"""

from __future__ import annotations

from typing import NamedTuple

from cressrail.failover.decision_store import DecisionStore
from cressrail.failover.leader import Leader
from cressrail.failover.leadership import LEADER_TIMEOUT_PERIODS, Leadership
from cressrail.failover.local_view import LocalView
from cressrail.failover.messages import VoteDenied, VoteGranted, VoteRequest
from cressrail.failover.outbox import Outbox, SequenceNumbers
from cressrail.failover.settings import FailoverSettings
from cressrail.policy.load_balancer import RandomGenerator

NEVER_US = 1 << 62
NOBODY = 0
RANKS_PER_PERIOD = 2  # by which candidates that come later in the order of ids wait longer
MAX_RANK = 12


class ElectionTimer:
    """When this instance becomes a candidate if there is no sign of a leader until then."""

    def __init__(
        self, settings: FailoverSettings, local: LocalView, own_id: int, rng: RandomGenerator
    ) -> None:
        self.deadline_us = NEVER_US
        self._settings = settings
        self._local = local
        self._own_id = own_id
        self._rng = rng

    def restart(self, now_us: int) -> None:
        """Waits anew. Instances that come first in the order of ids become candidates first."""
        earlier = sum(1 for other in self._local.fleet.living if other < self._own_id)
        rank = min(MAX_RANK, earlier)
        period_us = self._settings.report_period_us
        self.deadline_us = (
            now_us
            + LEADER_TIMEOUT_PERIODS * period_us
            + rank * period_us // RANKS_PER_PERIOD
            + self._rng.below(period_us)
        )


class Vote(NamedTuple):
    """The last vote of this instance: the term, and the candidate (`NOBODY`: a term that others know of)."""

    term: int
    candidate: int


class Election:
    """This instance as a voter and as a candidate."""

    def __init__(
        self,
        settings: FailoverSettings,
        local: LocalView,
        leadership: Leadership,
        decisions: DecisionStore,
        numbers: SequenceNumbers,
        outbox: Outbox,
        timer: ElectionTimer,
        now_us: int,
    ) -> None:
        self._settings = settings
        self._local = local
        self._leadership = leadership
        self._decisions = decisions
        self._numbers = numbers
        self._outbox = outbox
        self._timer = timer
        self._own_id = leadership.own_id
        self._vote = Vote(0, NOBODY)
        # A process that was restarted does not know its vote: it waits so as not to vote twice in a term.
        self._may_vote_from_us = now_us + 2 * settings.lease_us
        self._votes: set[int] = set()
        self._request: VoteRequest | None = None
        self._requested_us = now_us

    def abandon(self) -> None:
        """Ends a candidacy."""
        self._votes.clear()
        self._request = None

    def become_candidate(self, now_us: int) -> None:
        """Requests votes for the next term, if this instance may vote and hears others."""
        self._timer.restart(now_us)
        fleet = self._local.fleet
        if not fleet.has_quorum_view or not fleet.living or now_us < self._may_vote_from_us:
            return
        number = self._numbers.next_vote_request()
        term = max(self._leadership.epoch.term, self._vote.term) + 1
        request = VoteRequest(term, self._leadership.epoch, number)
        self._request = request
        self._requested_us = now_us
        self._votes = {self._own_id}
        self._vote = Vote(term, self._own_id)
        for other in sorted(fleet.living):
            self._outbox.send(now_us, other, request)

    def on_vote_request(self, now_us: int, candidate: int, request: VoteRequest) -> None:
        """Grants or denies a vote, and gives a candidate that lacks the held decision that decision."""
        known_epoch = self._leadership.epoch
        is_behind = request.epoch < known_epoch
        if self._must_deny(now_us, candidate, request) or request.term <= known_epoch.term or is_behind:
            denied = VoteDenied(max(self._vote.term, known_epoch.term), known_epoch)
            self._outbox.send(now_us, candidate, denied)
            if is_behind and self._decisions.decision is not None:
                self._outbox.send(now_us, candidate, self._decisions.decision)
        elif now_us >= self._may_vote_from_us:
            self._vote = Vote(request.term, candidate)
            self._timer.restart(now_us)
            self._outbox.send(now_us, candidate, VoteGranted(request.term, request.number))

    def _must_deny(self, now_us: int, candidate: int, request: VoteRequest) -> bool:
        """Whether there is a leader, or this instance voted for another in that term or in a later one."""
        leadership = self._leadership
        has_other_leader = leadership.leader != candidate and leadership.has_recent_contact(
            now_us, self._settings.report_period_us
        )
        has_voted = self._vote.term > request.term or (
            self._vote.term == request.term and self._vote.candidate != candidate
        )
        return leadership.is_leader or has_other_leader or has_voted

    def on_vote_granted(self, now_us: int, voter: int, granted: VoteGranted, leader: Leader) -> None:
        """Counts a vote, and takes the lead once a majority has voted for this instance."""
        request = self._request
        if request is None or (granted.term, granted.number) != (request.term, request.number):
            return
        is_late = now_us - self._requested_us > self._settings.lease_us
        if is_late or voter not in self._local.fleet.living:
            return
        self._votes.add(voter)
        leader.record_vote(voter, self._requested_us)
        if self._local.fleet.is_majority(len(self._votes)):
            self._request = None
            leader.begin_term(now_us, granted.term, len(self._votes))

    def on_vote_denied(self, now_us: int, denied: VoteDenied, leader: Leader) -> None:
        """Continues above the other's term; a leader steps down for a later term."""
        self._vote = max(self._vote, Vote(denied.term, NOBODY))
        if denied.epoch.term > self._leadership.epoch.term and self._leadership.is_leader:
            leader.step_down(now_us, denied.epoch)
