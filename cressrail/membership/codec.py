"""Encodes and decodes datagrams; no other module depends on their binary layout.

A datagram consists of (sizes in bytes):

    version (1), kind (1), number (8), field with the sender's own record, more fields, code (32)

A field consists of a tag (1), a length (1) and that number of bytes. The decoder skips fields with an unknown
tag and trailing bytes of known fields, so that instances of different releases understand each other. Each
length is checked against the bytes available before it is used.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from typing import NamedTuple

from cressrail.membership.authentication import AUTHENTICATION_BYTES
from cressrail.membership.load_reports import (
    LoadReport,
    pack_load_report,
    unpack_load_report,
)
from cressrail.membership.messages import (
    LEFT,
    MAX_INCARNATION,
    MAX_NAME_BYTES,
    MAX_ZONE_BYTES,
    IdRange,
    InstanceRecord,
    InstanceStatus,
    ReachabilityReport,
)

VERSION = 1
# Datagram kinds.
PING, ACK, NACK, PING_REQ, PUSH_PULL_REQUEST, PUSH_PULL_RESPONSE, GOSSIP = range(1, 8)
KINDS = range(PING, GOSSIP + 1)
# Field tags.
RECORD_TAG, STATUS_TAG, REACHABILITY_TAG, PING_REFERENCE_TAG, ID_RANGE_TAG, DIGEST_TAG = range(1, 7)
PADDING_TAG, OWN_STATUS_TAG, LOAD_REPORT_TAG, USER_MESSAGE_TAG, USER_BROADCAST_TAG = range(7, 12)

_HEADER = struct.Struct("!BBQ")
_RECORD = struct.Struct("!BQI")
_STATUS = struct.Struct("!QQIBQ")
_REACHABILITY = struct.Struct("!QQIB")
_PING_REFERENCE = struct.Struct("!IQ")
_ID_RANGE = struct.Struct("!QQB")
_DIGEST_ROW = struct.Struct("!QQIB")  # an `InstanceStatus` without `suspected_by`
_DIGEST_VALUES = 4  # leading values of an `InstanceStatus` that a digest row holds
_PORT_BYTES = 2
_SUBJECT_BYTES = 8  # the subject precedes the message in a user broadcast field
_IPV4_BYTES, _IPV6_BYTES = 4, 16
IPV6_FLAG = 0x80  # set in a record's state byte if its address is an IPv6 address
STATE_MASK = 0x7F

FIELD_HEADER_BYTES = 2  # tag and length
MAX_FIELD_BYTES = 255  # limit of the one-byte length, header not included
ROWS_PER_FIELD = MAX_FIELD_BYTES // _DIGEST_ROW.size
STATUS_BYTES = FIELD_HEADER_BYTES + _STATUS.size
PING_REFERENCE_BYTES = FIELD_HEADER_BYTES + _PING_REFERENCE.size
ID_RANGE_BYTES = FIELD_HEADER_BYTES + _ID_RANGE.size
DIGEST_ROW_BYTES = _DIGEST_ROW.size
MIN_DATAGRAM_BYTES = _HEADER.size + FIELD_HEADER_BYTES + _DIGEST_ROW.size + AUTHENTICATION_BYTES
OVERHEAD_BYTES = _HEADER.size + AUTHENTICATION_BYTES  # datagram size without its fields

# Reasons for rejecting a datagram. They are counted by value and appear in the log.
REASON_TOO_SHORT = "too short"  # the datagram ends within the header
REASON_NO_SENDER = "nobody's"  # no field identifies the sender
REASON_FIELD_CUT = "a field is cut"  # a field extends past the end of the datagram
REASON_SIZE = "size"  # the datagram is smaller or larger than allowed
REASON_UNVERIFIED = "stranger"  # none of the shared keys verifies the authentication code
REASON_OWN = "own"  # this process sent the datagram itself
REASON_REPLAYED = "replayed"  # the number was used before or is older than the replay window


class MalformedDatagramError(Exception):
    """A datagram was rejected.

    The message is the reason under which the datagram is counted and logged.
    """


class PingReference(NamedTuple):
    """Identifies the request that a datagram makes or answers.

    Attributes:
        sequence: Sequence number of the request.
        target: Id of the instance that the request is meant for, or 0 for any instance.
    """

    sequence: int
    target: int


class Datagram(NamedTuple):
    """A decoded datagram.

    Attributes:
        kind: One of `KINDS`.
        number: Number of the datagram, which a process never uses twice.
        sender: Record of the sender. A push-pull response may carry only its status, which leaves more room
            for the records of others.
        ping_references: References to requests, of which only the first is used.
        id_ranges: Ranges that a push-pull datagram covers, of which only the first is used.
        records: Records of other instances.
        statuses: Statuses of other instances.
        reachability: Reachability reports of any instance.
        digest: Statuses known to the sender of a push-pull request.
        load_reports: Load reports of the sender.
        user_messages: Messages that other components of the sender's sidecar address to the receiver.
        user_broadcasts: Gossiped messages of such components of any instance, as pairs of subject and
            message.
    """

    kind: int
    number: int
    sender: InstanceRecord | InstanceStatus
    ping_references: list[PingReference]
    id_ranges: list[IdRange]
    records: list[InstanceRecord]
    statuses: list[InstanceStatus]
    reachability: list[ReachabilityReport]
    digest: list[InstanceStatus]
    load_reports: list[LoadReport]
    user_messages: list[bytes]
    user_broadcasts: list[tuple[int, bytes]]


# Encoding


def _field(tag: int, body: bytes) -> bytes:
    return bytes([tag, len(body)]) + body


def encode_record(record: InstanceRecord) -> bytes:
    """Encodes a field with a complete record."""
    host, port = record.address
    is_ipv6 = ":" in host
    zone, name = record.zone.encode(), record.name.encode()
    body = (
        _RECORD.pack(record.state | (IPV6_FLAG if is_ipv6 else 0), record.incarnation, record.process_id)
        + socket.inet_pton(socket.AF_INET6 if is_ipv6 else socket.AF_INET, host)
        + port.to_bytes(_PORT_BYTES, "big")
        + bytes([len(zone)])
        + zone
        + bytes([len(name)])
        + name
    )
    return _field(RECORD_TAG, body)


def encode_status(status: InstanceStatus) -> bytes:
    """Encodes a field with the status of another instance."""
    return _field(STATUS_TAG, _STATUS.pack(*status))


def encode_own_status(status: InstanceStatus) -> bytes:
    """Encodes a field with the sender's status, which takes the place of its record."""
    return _field(OWN_STATUS_TAG, _DIGEST_ROW.pack(*status[:_DIGEST_VALUES]))


def encode_reachability(report: ReachabilityReport) -> bytes:
    """Encodes a field with a reachability report."""
    return _field(REACHABILITY_TAG, _REACHABILITY.pack(*report))


def encode_ping_reference(reference: PingReference) -> bytes:
    """Encodes a field that identifies the request that a datagram makes or answers."""
    return _field(PING_REFERENCE_TAG, _PING_REFERENCE.pack(*reference))


def encode_id_range(id_range: IdRange) -> bytes:
    """Encodes a field with the id range of a push-pull sync."""
    return _field(ID_RANGE_TAG, _ID_RANGE.pack(*id_range))


def encode_load_report(report: LoadReport) -> bytes:
    """Encodes a field with a load report."""
    return _field(LOAD_REPORT_TAG, pack_load_report(report))


def encode_user_message(message: bytes) -> bytes:
    """Encodes a field with a message of another component of the sidecar."""
    return _field(USER_MESSAGE_TAG, message)


def encode_user_broadcast(subject: int, message: bytes) -> bytes:
    """Encodes a field with a gossiped message of another component of the sidecar."""
    return _field(USER_BROADCAST_TAG, subject.to_bytes(_SUBJECT_BYTES, "big") + message)


def encode_digest(statuses: list[InstanceStatus]) -> bytes:
    """Encodes the statuses known to the sender, in as many fields as they need."""
    fields = b""
    for first in range(0, len(statuses), ROWS_PER_FIELD):
        rows = statuses[first : first + ROWS_PER_FIELD]
        fields += _field(DIGEST_TAG, b"".join(_DIGEST_ROW.pack(*row[:_DIGEST_VALUES]) for row in rows))
    return fields


def encode_padding(size: int) -> bytes:
    """Encodes padding fields of `size` bytes in total.

    A field needs at least a header of two bytes, so a `size` of 1 yields no padding.
    """
    fields = b""
    while size >= FIELD_HEADER_BYTES:
        body_bytes = min(MAX_FIELD_BYTES, size - FIELD_HEADER_BYTES)
        if size - FIELD_HEADER_BYTES - body_bytes == 1:  # a single byte is too short for another field
            body_bytes -= 1
        fields += _field(PADDING_TAG, bytes(body_bytes))
        size -= FIELD_HEADER_BYTES + body_bytes
    return fields


def encode_datagram(kind: int, number: int, fields: bytes) -> bytes:
    """Encodes a datagram without its authentication code.

    The first field must be the sender's record, or its status in a push-pull response.
    """
    return _HEADER.pack(VERSION, kind, number) + fields


# Decoding


class _Fields:
    """Decoded fields grouped by type, each group in the order of the datagram."""

    __slots__ = (
        "digest",
        "id_ranges",
        "load_reports",
        "own_statuses",
        "ping_references",
        "reachability",
        "records",
        "statuses",
        "user_broadcasts",
        "user_messages",
    )

    def __init__(self) -> None:
        self.ping_references: list[PingReference] = []
        self.id_ranges: list[IdRange] = []
        self.records: list[InstanceRecord] = []
        self.statuses: list[InstanceStatus] = []
        self.reachability: list[ReachabilityReport] = []
        self.digest: list[InstanceStatus] = []
        self.own_statuses: list[InstanceStatus] = []
        self.load_reports: list[LoadReport] = []
        self.user_messages: list[bytes] = []
        self.user_broadcasts: list[tuple[int, bytes]] = []


def decode_datagram(payload: bytes) -> Datagram:
    """Decodes a datagram whose authentication code was verified and removed.

    Raises:
        MalformedDatagramError: The datagram does not follow the format.
    """
    if len(payload) < _HEADER.size:
        raise MalformedDatagramError(REASON_TOO_SHORT)
    version, kind, number = _HEADER.unpack_from(payload)
    if version != VERSION:
        raise MalformedDatagramError(f"version {version}")
    if kind not in KINDS:
        raise MalformedDatagramError(f"kind {kind}")
    fields = _decode_fields(payload)
    if kind == PUSH_PULL_RESPONSE and fields.own_statuses:
        sender: InstanceRecord | InstanceStatus = fields.own_statuses[0]
    elif fields.records:
        sender = fields.records.pop(0)
    else:
        raise MalformedDatagramError(REASON_NO_SENDER)
    return Datagram(
        kind,
        number,
        sender,
        fields.ping_references,
        fields.id_ranges,
        fields.records,
        fields.statuses,
        fields.reachability,
        fields.digest,
        fields.load_reports,
        fields.user_messages,
        fields.user_broadcasts,
    )


def _decode_fields(payload: bytes) -> _Fields:
    fields, position, end = _Fields(), _HEADER.size, len(payload)
    while position < end:
        start = position + FIELD_HEADER_BYTES
        if start > end or start + payload[position + 1] > end:
            raise MalformedDatagramError(REASON_FIELD_CUT)
        tag, position = payload[position], start + payload[position + 1]
        decoder = _DECODERS.get(tag)
        if decoder is None:
            continue
        try:
            decoder(fields, payload[start:position])
        except (struct.error, IndexError, ValueError):
            raise MalformedDatagramError(f"field {tag} can't be read") from None
    return fields


def _add_record(fields: _Fields, body: bytes) -> None:
    fields.records.append(_decode_record(body))


def _add_status(fields: _Fields, body: bytes) -> None:
    fields.statuses.append(_checked(InstanceStatus(*_STATUS.unpack_from(body))))


def _add_own_status(fields: _Fields, body: bytes) -> None:
    fields.own_statuses.append(_checked(InstanceStatus(*_DIGEST_ROW.unpack_from(body))))


def _add_reachability(fields: _Fields, body: bytes) -> None:
    reporter, target, sequence, is_unreachable = _REACHABILITY.unpack_from(body)
    fields.reachability.append(ReachabilityReport(reporter, target, sequence, bool(is_unreachable)))


def _add_ping_reference(fields: _Fields, body: bytes) -> None:
    fields.ping_references.append(PingReference(*_PING_REFERENCE.unpack_from(body)))


def _add_id_range(fields: _Fields, body: bytes) -> None:
    low, high, is_reply = _ID_RANGE.unpack_from(body)
    fields.id_ranges.append(IdRange(low, high, bool(is_reply)))


def _add_load_report(fields: _Fields, body: bytes) -> None:
    fields.load_reports.append(unpack_load_report(body))


def _add_user_message(fields: _Fields, body: bytes) -> None:
    fields.user_messages.append(body)


def _add_user_broadcast(fields: _Fields, body: bytes) -> None:
    if len(body) >= _SUBJECT_BYTES:
        subject = int.from_bytes(body[:_SUBJECT_BYTES], "big")
        fields.user_broadcasts.append((subject, body[_SUBJECT_BYTES:]))


def _add_digest(fields: _Fields, body: bytes) -> None:
    whole_rows = body[: len(body) // DIGEST_ROW_BYTES * DIGEST_ROW_BYTES]
    fields.digest += [_checked(InstanceStatus(*row)) for row in _DIGEST_ROW.iter_unpack(whole_rows)]


_DECODERS: dict[int, Callable[[_Fields, bytes], None]] = {
    RECORD_TAG: _add_record,
    STATUS_TAG: _add_status,
    OWN_STATUS_TAG: _add_own_status,
    REACHABILITY_TAG: _add_reachability,
    PING_REFERENCE_TAG: _add_ping_reference,
    ID_RANGE_TAG: _add_id_range,
    LOAD_REPORT_TAG: _add_load_report,
    USER_MESSAGE_TAG: _add_user_message,
    USER_BROADCAST_TAG: _add_user_broadcast,
    DIGEST_TAG: _add_digest,
}


def _decode_record(body: bytes) -> InstanceRecord:
    flags, incarnation, process_id = _RECORD.unpack_from(body)
    is_ipv6 = bool(flags & IPV6_FLAG)
    start = _RECORD.size
    end = start + (_IPV6_BYTES if is_ipv6 else _IPV4_BYTES)
    host = socket.inet_ntop(socket.AF_INET6 if is_ipv6 else socket.AF_INET, body[start:end])
    port = int.from_bytes(body[end : end + _PORT_BYTES], "big")
    zone, end = _decode_text(body, end + _PORT_BYTES, MAX_ZONE_BYTES)
    name, end = _decode_text(body, end, MAX_NAME_BYTES)
    if not name or not port:
        raise ValueError
    state = flags & STATE_MASK
    _check_limits(incarnation, state)
    return InstanceRecord(name, zone, (host, port), incarnation, process_id, state)


def _decode_text(body: bytes, position: int, max_bytes: int) -> tuple[str, int]:
    """Decodes a length-prefixed text at `position`; returns it with the position after it.

    Raises:
        ValueError: The text is longer than `max_bytes`, is cut off or is not valid UTF-8.
    """
    size, start = body[position], position + 1
    if size > max_bytes or start + size > len(body):
        raise ValueError
    return body[start : start + size].decode(), start + size


def _checked(status: InstanceStatus) -> InstanceStatus:
    _check_limits(status.incarnation, status.state)
    return status


def _check_limits(incarnation: int, state: int) -> None:
    if incarnation > MAX_INCARNATION or state > LEFT:
        raise ValueError
