"""Builds, signs and sends datagrams, and fills their free room with gossip broadcasts and load reports."""

from __future__ import annotations

from cressrail.membership import codec
from cressrail.membership.authentication import AUTHENTICATION_BYTES, sign_datagram
from cressrail.membership.codec import PUSH_PULL_RESPONSE, PingReference
from cressrail.membership.messages import Address, SendDatagram
from cressrail.membership.self_record import SelfRecord
from cressrail.membership.shared_state import SharedState

SEQUENCE_MASK = 0xFFFFFFFF  # sequence numbers of requests have 32 bits


class DatagramSender:
    """Sends datagrams for all components of membership.

    Attributes:
        keys: Shared keys; the first signs datagrams, and each of them verifies received ones.
    """

    def __init__(self, shared: SharedState, self_record: SelfRecord, now_us: int) -> None:
        self._shared, self._self_record = shared, self_record
        self.keys = shared.settings.keys
        self._now_us = now_us
        self._datagram_number = 0
        self._sequence = 0

    def set_time(self, now_us: int) -> None:
        """Sets the current time in microseconds, from which the ages of sent load reports are computed."""
        self._now_us = now_us

    def set_keys(self, keys: tuple[bytes, ...]) -> None:
        """Replaces the shared keys; the first signs datagrams."""
        self.keys = keys

    def next_sequence(self) -> int:
        """Returns a new sequence number for a request."""
        self._sequence = self._sequence + 1 & SEQUENCE_MASK
        return self._sequence

    def send_request(self, row: int, kind: int, fields: bytes) -> None:
        """Sends a request to the instance in a row of the member table.

        An answer must not be larger than its request. The request is therefore padded to the size of an
        answer that holds the target's record, a ping reference and one status.
        """
        table = self._shared.table
        answer = codec.encode_datagram(
            kind,
            0,
            codec.encode_record(table.record_of(row)) + codec.encode_ping_reference(PingReference(0, 0)),
        )
        min_bytes = len(answer) + codec.STATUS_BYTES + AUTHENTICATION_BYTES
        self.send(table.address_of(row), kind, fields, min_bytes=min_bytes)

    def send(
        self,
        destination: Address,
        kind: int,
        fields: bytes,
        *,
        max_bytes: int = 0,
        min_bytes: int = 0,
        has_left: bool = False,
    ) -> None:
        """Sends one datagram and fills its free room with broadcasts and load reports.

        Nothing is sent if the fields exceed the size limit.

        Args:
            destination: Address of the receiver.
            kind: Kind of the datagram.
            fields: Encoded fields that follow the sender's own record or status.
            max_bytes: Size limit in bytes of an answer, which must not be larger than its request; 0 applies
                only the limit of the settings.
            min_bytes: Size in bytes up to which the datagram is padded, within these limits; 0 adds no
                padding.
            has_left: Whether the datagram announces that this instance leaves.
        """
        shared, self_record = self._shared, self._self_record
        self._datagram_number += 1
        own = (
            codec.encode_own_status(self_record.status())
            if kind == PUSH_PULL_RESPONSE
            else codec.encode_record(self_record.record(has_left=has_left))
        )
        payload = codec.encode_datagram(kind, self._datagram_number, own + fields)
        limit = shared.settings.max_datagram_bytes
        room = min(max_bytes or limit, limit) - len(payload) - AUTHENTICATION_BYTES
        if room < 0:
            return
        extra = shared.broadcasts.next_broadcasts(room, len(shared.table))
        if shared.exchanges_load_reports:
            for report in shared.load_reports.next_reports(self._now_us, room - len(extra)):
                extra += codec.encode_load_report(report)
        payload += extra
        missing = min_bytes - len(payload) - AUTHENTICATION_BYTES
        if missing > 0:
            payload += codec.encode_padding(min(missing, room - len(extra)))
        shared.commands.append(SendDatagram(destination, sign_datagram(self.keys[0], payload)))
