"""Indirect pings that this instance sends on behalf of others (SWIM ping-req, Lifeguard nack)."""

from __future__ import annotations

from typing import NamedTuple

from cressrail.membership import codec
from cressrail.membership.codec import ACK, NACK, PING, PingReference
from cressrail.membership.datagram_sender import DatagramSender
from cressrail.membership.messages import Address, InstanceRecord, InstanceStatus
from cressrail.membership.shared_state import SharedState
from cressrail.membership.timers import TimerKind

MAX_RELAYED_PINGS = 1024  # in progress at the same time; further requests are answered with a nack


class _RelayedPing(NamedTuple):
    """Address and sequence number of the requester, and id of the target."""

    requester: Address
    requester_sequence: int
    target: int


class RelayedPings:
    """Pings in progress on behalf of others, indexed by this instance's own sequence number."""

    def __init__(self, shared: SharedState, sender: DatagramSender) -> None:
        self._shared, self._sender = shared, sender
        self._pings: dict[int, _RelayedPing] = {}

    def on_ping_req(
        self, now_us: int, reference: PingReference, requester: InstanceRecord, max_bytes: int
    ) -> None:
        """Pings the target, or sends a nack if it is unknown or too many relayed pings are in progress."""
        row = self._shared.table.row_of(reference.target)
        if row < 0 or len(self._pings) >= MAX_RELAYED_PINGS:
            fields = codec.encode_ping_reference(reference)
            self._sender.send(requester.address, NACK, fields, max_bytes=max_bytes)
            return
        sequence = self._sender.next_sequence()
        self._pings[sequence] = _RelayedPing(requester.address, reference.sequence, reference.target)
        fields = codec.encode_ping_reference(PingReference(sequence, reference.target))
        self._sender.send_request(row, PING, fields)
        due_us = now_us + self._shared.settings.ping_period_us * 2 // 5
        self._shared.timers.set(due_us, TimerKind.EXPIRE_RELAYED_PING, sequence)

    def on_ack(self, sequence: int, sender: InstanceRecord) -> None:
        """Forwards an ack of the target to the requester."""
        ping = self._pings.get(sequence)
        if ping is None or ping.target != sender.id:
            return
        del self._pings[sequence]
        status = InstanceStatus(ping.target, sender.incarnation, sender.process_id, sender.state)
        reference = PingReference(ping.requester_sequence, ping.target)
        fields = codec.encode_ping_reference(reference) + codec.encode_status(status)
        self._sender.send(ping.requester, ACK, fields)

    def expire(self, _now_us: int, sequence: int) -> None:
        """Sends a nack, which says that this instance works but the target did not answer in time."""
        ping = self._pings.pop(sequence, None)
        if ping is not None:
            fields = codec.encode_ping_reference(PingReference(ping.requester_sequence, ping.target))
            self._sender.send(ping.requester, NACK, fields)

    def cancel_all(self) -> None:
        """Discards all relayed pings after a pause of this process."""
        self._pings.clear()
