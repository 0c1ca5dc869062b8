"""Refutes wrong statuses of this instance by gossiping a higher incarnation."""

from __future__ import annotations

from cressrail.membership import codec, log_events
from cressrail.membership.datagram_sender import DatagramSender
from cressrail.membership.gossip import GOSSIP_FANOUT, Gossip
from cressrail.membership.messages import (
    ALIVE,
    DEAD,
    MAX_INCARNATION,
    SUSPECTED,
    InstanceRecord,
    InstanceStatus,
)
from cressrail.membership.peer_selection import PeerSelection
from cressrail.membership.self_record import SelfRecord
from cressrail.membership.shared_state import SharedState


class Refutation:
    """Raises this instance's incarnation, or changes its name if another process holds the name."""

    def __init__(
        self,
        shared: SharedState,
        self_record: SelfRecord,
        sender: DatagramSender,
        selection: PeerSelection,
        gossip: Gossip,
    ) -> None:
        self._shared, self._self_record = shared, self_record
        self._sender, self._selection, self._gossip = sender, selection, gossip

    def prove_alive(self, now_us: int) -> None:
        """Raises and gossips the incarnation, at most once per ping period, as proof of being alive."""
        own = self._self_record
        since_us = now_us - own.incarnation_raised_us
        if since_us >= self._shared.settings.ping_period_us or since_us < 0:
            own.raise_incarnation(now_us, own.incarnation + 1)
            self._gossip.broadcast_status(now_us, own.status())

    def on_own_status(self, now_us: int, claim: InstanceRecord | InstanceStatus) -> None:
        """Handles a status of this instance that another instance sent, and refutes it if necessary."""
        own = self._self_record
        if not self._requires_refutation(now_us, claim):
            return
        is_other_process = claim.process_id != own.process_id
        if is_other_process and own.must_yield_name(claim.process_id, claim.incarnation):
            self._take_other_name(now_us)
            return
        if claim.incarnation >= MAX_INCARNATION:
            self._take_other_name(now_us)
            return
        own.raise_incarnation(now_us, claim.incarnation + 1)
        self._gossip.broadcast_status(now_us, own.status())
        for row in self._selection.random_rows(GOSSIP_FANOUT):
            self._sender.send(self._shared.table.address_of(row), codec.GOSSIP, b"")

    def _requires_refutation(self, now_us: int, claim: InstanceRecord | InstanceStatus) -> bool:
        """Whether the claim has to be answered, because it would override this instance's own record.

        A suspicion or death of this process also degrades local health.
        """
        own = self._self_record
        if claim.process_id != own.process_id:
            return (claim.incarnation, claim.process_id) >= (own.incarnation, own.process_id)
        if claim.incarnation < own.incarnation:
            return False
        if claim.incarnation == own.incarnation and claim.state == ALIVE:
            return False
        if claim.state in (SUSPECTED, DEAD):
            self._shared.local_health.degrade()
            own.note_suspected(now_us)
        return True

    def _take_other_name(self, now_us: int) -> None:
        own = self._self_record
        previous_name = own.name
        own.take_other_name()
        self._shared.reachability.set_own_id(own.id)
        self._shared.log(log_events.INSTANCE_RENAMED, instance=previous_name, new_name=own.name)
        self._gossip.broadcast_record(now_us, own.record())
