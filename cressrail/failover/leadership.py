"""State about the leader of the tier, as known to this instance."""

from __future__ import annotations

from cressrail.failover.messages import NO_EPOCH, Epoch

NO_LEADER = 0
LEADER_TIMEOUT_PERIODS = 3  # report periods without contact to a leader before a candidacy


class Leadership:
    """Tracks the leader of the tier, as known to this instance.

    Attributes:
        own_id: Id of this instance.
        leader: Id of the leader, or `NO_LEADER`.
        epoch: Greatest known epoch.
        last_contact_us: Time of the last contact with the leader, in microseconds.
        heartbeat_sequence: Sequence number of the last heartbeat of the leader.
    """

    def __init__(self, own_id: int, now_us: int) -> None:
        self.own_id = own_id
        self.leader = NO_LEADER
        self.epoch = NO_EPOCH
        self.last_contact_us = now_us
        self.heartbeat_sequence = 0

    @property
    def is_leader(self) -> bool:
        """Whether this instance is the leader."""
        return self.leader == self.own_id

    def has_recent_contact(self, now_us: int, report_period_us: int) -> bool:
        """Returns whether the leader is known and was heard from within `LEADER_TIMEOUT_PERIODS` periods."""
        silence_us = now_us - self.last_contact_us
        return self.leader != NO_LEADER and silence_us <= LEADER_TIMEOUT_PERIODS * report_period_us

    def begin_term(self, now_us: int, term: int) -> None:
        """Makes this instance the leader of a new term."""
        self.leader = self.own_id
        self.epoch = Epoch(term, 0)
        self.last_contact_us = now_us

    def end_term(self) -> None:
        """Ends the leadership of this instance; no leader is known until another one is heard from."""
        self.leader = NO_LEADER

    def follow(self, now_us: int, leader: int) -> None:
        """Records contact with another instance that is the leader."""
        self.leader = leader
        self.last_contact_us = now_us

    def renew_contact(self, now_us: int) -> None:
        """Records contact with the leader, or restarts the wait for it."""
        self.last_contact_us = now_us

    def observe_epoch(self, epoch: Epoch) -> None:
        """Raises the greatest known epoch to `epoch` if it is later."""
        self.epoch = max(self.epoch, epoch)

    def set_heartbeat_sequence(self, sequence: int) -> None:
        """Stores the sequence number of the last heartbeat, by which older heartbeats are recognized."""
        self.heartbeat_sequence = sequence
