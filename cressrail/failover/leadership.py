"""What this instance knows of the leader of its tier."""

from __future__ import annotations

from cressrail.failover.messages import NO_EPOCH, Epoch

NO_LEADER = 0
LEADER_TIMEOUT_PERIODS = 3  # without a sign of the leader, before an instance becomes a candidate


class Leadership:
    """What this instance knows of the leader of its tier.

    Attributes:
        leader: Id of the leader, or `NO_LEADER`.
        epoch: The greatest epoch that this instance knows.
        last_contact_us: When there was the last sign of the leader.
        heartbeat_sequence: Sequence number of the leader's last heartbeat.
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
        """Whether there is a leader that gave a sign lately."""
        silence_us = now_us - self.last_contact_us
        return self.leader != NO_LEADER and silence_us <= LEADER_TIMEOUT_PERIODS * report_period_us

    def begin_term(self, now_us: int, term: int) -> None:
        """This instance is the leader from now on."""
        self.leader = self.own_id
        self.epoch = Epoch(term, 0)
        self.last_contact_us = now_us

    def end_term(self) -> None:
        """This instance is the leader no longer."""
        self.leader = NO_LEADER

    def follow(self, now_us: int, leader: int) -> None:
        """Another instance gave a sign of being the leader."""
        self.leader = leader
        self.last_contact_us = now_us

    def renew_contact(self, now_us: int) -> None:
        """The leader is there, or a new wait for a sign of it begins."""
        self.last_contact_us = now_us

    def observe_epoch(self, epoch: Epoch) -> None:
        """Remembers the greatest epoch."""
        self.epoch = max(self.epoch, epoch)

    def set_heartbeat_sequence(self, sequence: int) -> None:
        """Remembers the leader's last heartbeat, by which older ones are told."""
        self.heartbeat_sequence = sequence
