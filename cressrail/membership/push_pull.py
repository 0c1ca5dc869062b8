"""Push-pull sync (anti-entropy): two instances compare their member tables one range at a time.

A range is an interval of instance ids, chosen so that its statuses fit into one datagram whatever the size of
the fleet.
"""

from __future__ import annotations

from cressrail.membership import codec
from cressrail.membership.codec import (
    PUSH_PULL_REQUEST,
    PUSH_PULL_RESPONSE,
    Datagram,
    PingReference,
)
from cressrail.membership.datagram_sender import DatagramSender
from cressrail.membership.messages import LEFT, Address, IdRange, InstanceRecord, InstanceStatus
from cressrail.membership.peer_selection import PeerSelection
from cressrail.membership.self_record import SelfRecord
from cressrail.membership.shared_state import SharedState
from cressrail.membership.timers import TimerKind

PUSH_PULL_PERIODS = 10  # mean number of ping periods between two requests
HIGHEST_ID = (1 << 64) - 1
ALL_IDS = IdRange(0, HIGHEST_ID, False)
# Until all ranges were received once, the next range is requested after 1/50 of a ping period, plus a random
# time of less than 1/25 of a ping period.
CONTINUE_DIVISOR, CONTINUE_JITTER_DIVISOR = 50, 25


class PushPull:
    """Requests one range after another from random instances and answers requests of other instances.

    Attributes:
        has_joined: Whether any range was received.
        has_full_view: Whether all ranges were received at least once.
    """

    def __init__(
        self,
        shared: SharedState,
        self_record: SelfRecord,
        sender: DatagramSender,
        selection: PeerSelection,
    ) -> None:
        self._shared, self._self_record = shared, self_record
        self._sender, self._selection = sender, selection
        self._cursor = 0  # upper end of the last received range, or 0 after the last range of the table
        self._sequence = 0  # sequence number of the last request
        self.has_joined = False
        self.has_full_view = False

    def set_first_timer(self, now_us: int) -> None:
        """Schedules the first periodic request."""
        self._set_timer(now_us)

    def run(self, now_us: int, _argument: int) -> None:
        """Requests the next range from a random instance and schedules the next periodic request."""
        self.continue_walk(now_us, 0)
        self._set_timer(now_us)

    def continue_walk(self, _now_us: int, _argument: int) -> None:
        """Requests the next range from a random instance."""
        for row in self._selection.random_rows(1):
            self.request_next(self._shared.table.address_of(row))

    def request_next(self, destination: Address) -> None:
        """Requests the next range from an instance."""
        self._request(destination, IdRange(self._cursor, HIGHEST_ID, False))

    def request_all(self, destination: Address) -> None:
        """Requests all ids from an instance; the sync covers as many as fit into a datagram."""
        self._request(destination, ALL_IDS)

    def _set_timer(self, now_us: int) -> None:
        span_us = PUSH_PULL_PERIODS * self._shared.settings.ping_period_us
        due_us = now_us + span_us // 2 + self._shared.random.below(span_us)
        self._shared.timers.set(due_us, TimerKind.PUSH_PULL)

    def _request(self, destination: Address, wanted: IdRange) -> None:
        """Requests a range, shortened to the part whose statuses fit into the datagram.

        The request carries a digest of the statuses known here, so that the response holds only differences.
        """
        settings, table = self._shared.settings, self._shared.table
        self._sequence = self._sender.next_sequence()
        own_bytes = len(codec.encode_record(self._self_record.record()))
        room = settings.max_datagram_bytes - codec.OVERHEAD_BYTES - own_bytes
        max_statuses = _max_statuses_within(room - codec.PING_REFERENCE_BYTES - codec.ID_RANGE_BYTES)
        statuses: list[InstanceStatus] = []
        high = wanted.high
        for row in table.rows_in_range(wanted.low, wanted.high):
            if len(statuses) == max_statuses:
                high = statuses[-1].id
                break
            statuses.append(table.status_of(row))
        fields = (
            codec.encode_ping_reference(PingReference(self._sequence, 0))
            + codec.encode_id_range(IdRange(wanted.low, high, wanted.is_reply))
            + codec.encode_digest(statuses)
        )
        self._sender.send(destination, PUSH_PULL_REQUEST, fields, min_bytes=settings.max_datagram_bytes)

    def on_request(self, datagram: Datagram, sender: InstanceRecord, max_bytes: int) -> None:
        """Answers with the records that take precedence over the sender's digest.

        If the digest contains instances that are unknown here, the same range is requested from the sender,
        unless its request already was such an answer.
        """
        wanted = datagram.id_ranges[0]
        digest = {status.id: status for status in datagram.digest}
        reference = datagram.ping_references[0] if datagram.ping_references else PingReference(0, 0)
        head = codec.encode_ping_reference(reference)
        room = max_bytes - codec.MIN_DATAGRAM_BYTES - len(head) - codec.ID_RANGE_BYTES
        records, high = self._newer_records(wanted, digest, sender.id, room)
        fields = head + codec.encode_id_range(IdRange(wanted.low, high, False)) + records
        self._sender.send(sender.address, PUSH_PULL_RESPONSE, fields, max_bytes=max_bytes)
        own_id, table = self._self_record.id, self._shared.table
        if not wanted.is_reply and any(
            member_id not in table and member_id != own_id for member_id in digest
        ):
            self._request(sender.address, IdRange(wanted.low, wanted.high, True))

    def _newer_records(
        self, wanted: IdRange, digest: dict[int, InstanceStatus], sender_id: int, room: int
    ) -> tuple[bytes, int]:
        """Returns encoded records that take precedence over a digest, and the upper end of their range."""
        table = self._shared.table
        fields, last_id = b"", wanted.low
        for row in table.rows_in_range(wanted.low, wanted.high):
            member_id = table.ids[row]
            theirs = digest.get(member_id)
            is_newer = theirs is None or theirs.precedence < table.precedence_of(row)
            if is_newer and member_id != sender_id and table.states[row] != LEFT:
                record = codec.encode_record(table.record_of(row))
                if len(fields) + len(record) > room:
                    return fields, last_id
                fields += record
            last_id = member_id
        return fields, wanted.high

    def on_response(self, now_us: int, datagram: Datagram) -> None:
        """Advances to the next range after the records of a response were merged.

        Until all ranges were received once, the next request follows after a short delay. Each range is
        requested from another random instance, so that seeds need not send the whole table to everyone.
        """
        if not datagram.id_ranges or not datagram.ping_references:
            return
        if datagram.ping_references[0].sequence != self._sequence:
            return
        if not self.has_joined:
            self.has_joined = True
            self._shared.table.mark_changed(now_us)
        high = datagram.id_ranges[0].high
        self._cursor = 0 if high >= HIGHEST_ID else high
        self.has_full_view = self.has_full_view or not self._cursor
        if not self.has_full_view:
            period_us = self._shared.settings.ping_period_us
            jitter_us = self._shared.random.below(period_us // CONTINUE_JITTER_DIVISOR)
            due_us = now_us + period_us // CONTINUE_DIVISOR + jitter_us
            self._shared.timers.set(due_us, TimerKind.CONTINUE_PUSH_PULL)


def _max_statuses_within(room: int) -> int:
    """Returns how many statuses of a digest fit into `room` bytes, but at least one."""
    field_headers = room // codec.MAX_FIELD_BYTES * codec.FIELD_HEADER_BYTES + codec.FIELD_HEADER_BYTES
    return max(1, (room - field_headers) // codec.DIGEST_ROW_BYTES)
