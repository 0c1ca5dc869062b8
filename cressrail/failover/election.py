"""Leader election: candidacy, and granting or denying votes.

The protocol follows Raft (Ongaro and Ousterhout, 2014) but replicates no log, because a decision is one small
table that replaces the previous decision entirely. A term takes effect only once a candidate has won it, so a
candidate that is cut off in one direction does not disrupt the other instances.
"""

from __future__ import annotations

from typing import NamedTuple

from cressrail.failover.instance_parts import InstanceParts
from cressrail.failover.leader import Leader
from cressrail.failover.messages import VoteDenied, VoteGranted, VoteRequest

NO_CANDIDATE = 0


class Vote(NamedTuple):
    """The last vote of this instance.

    Attributes:
        term: Term of the vote.
        candidate: Id of the candidate, or `NO_CANDIDATE` for a term learned from a denied vote.
    """

    term: int
    candidate: int


class Election:
    """This instance as a voter and as a candidate."""

    def __init__(self, parts: InstanceParts, now_us: int) -> None:
        self._parts = parts
        self._own_id = parts.leadership.own_id
        self._vote = Vote(0, NO_CANDIDATE)
        # A restarted process does not know its last vote, so it waits rather than vote twice in one term.
        self._may_vote_from_us = now_us + 2 * parts.settings.lease_us
        self._votes: set[int] = set()
        self._request: VoteRequest | None = None
        self._requested_us = now_us

    def abandon(self) -> None:
        """Abandons the candidacy and discards the votes received."""
        self._votes.clear()
        self._request = None

    def become_candidate(self, now_us: int) -> None:
        """Requests votes for the next term, if this instance may vote and is in contact with others."""
        self._parts.timer.restart(now_us)
        fleet = self._parts.local.fleet
        if not fleet.has_quorum_view or not fleet.live_instances or now_us < self._may_vote_from_us:
            return
        number = self._parts.numbers.next_vote_request()
        term = max(self._parts.leadership.epoch.term, self._vote.term) + 1
        request = VoteRequest(term, self._parts.leadership.epoch, number)
        self._request = request
        self._requested_us = now_us
        self._votes = {self._own_id}
        self._vote = Vote(term, self._own_id)
        for other in sorted(fleet.live_instances):
            self._parts.outbox.send(now_us, other, request)

    def on_vote_request(self, now_us: int, candidate: int, request: VoteRequest) -> None:
        """Grants or denies a vote, and sends the held decision to a candidate whose epoch is behind."""
        known_epoch = self._parts.leadership.epoch
        is_behind = request.epoch < known_epoch
        if self._must_deny(now_us, candidate, request) or request.term <= known_epoch.term or is_behind:
            denied = VoteDenied(max(self._vote.term, known_epoch.term), known_epoch)
            self._parts.outbox.send(now_us, candidate, denied)
            if is_behind and self._parts.decisions.decision is not None:
                self._parts.outbox.send(now_us, candidate, self._parts.decisions.decision)
        elif now_us >= self._may_vote_from_us:
            self._vote = Vote(request.term, candidate)
            self._parts.timer.restart(now_us)
            self._parts.outbox.send(now_us, candidate, VoteGranted(request.term, request.number))

    def _must_deny(self, now_us: int, candidate: int, request: VoteRequest) -> bool:
        """Returns whether a vote request must be denied.

        This is the case while a leader is active, or if this instance has voted for another candidate in the
        requested term, or in a later term.
        """
        leadership = self._parts.leadership
        has_other_leader = leadership.leader != candidate and leadership.has_recent_contact(
            now_us, self._parts.settings.report_period_us
        )
        has_voted = self._vote.term > request.term or (
            self._vote.term == request.term and self._vote.candidate != candidate
        )
        return leadership.is_leader or has_other_leader or has_voted

    def on_vote_granted(self, now_us: int, voter: int, granted: VoteGranted, leader: Leader) -> None:
        """Counts a vote, and becomes the leader once a majority has voted for this instance.

        Votes that arrive after the lease time, or from instances that are not live, are ignored.
        """
        request = self._request
        if request is None or (granted.term, granted.number) != (request.term, request.number):
            return
        is_late = now_us - self._requested_us > self._parts.settings.lease_us
        if is_late or voter not in self._parts.local.fleet.live_instances:
            return
        self._votes.add(voter)
        leader.record_vote(voter, self._requested_us)
        if self._parts.local.fleet.is_majority(len(self._votes)):
            self._request = None
            leader.begin_term(now_us, granted.term, len(self._votes))

    def on_vote_denied(self, now_us: int, denied: VoteDenied, leader: Leader) -> None:
        """Adopts the term of the denial as a lower bound, and steps down if a later term has a leader."""
        self._vote = max(self._vote, Vote(denied.term, NO_CANDIDATE))
        if denied.epoch.term > self._parts.leadership.epoch.term and self._parts.leadership.is_leader:
            leader.step_down(now_us, denied.epoch)
