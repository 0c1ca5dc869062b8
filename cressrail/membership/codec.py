"""Datagrams as bytes, mapped to the types of this package here alone.

    version 1, kind 1, number 8, the sender's own record, fields ..., code 32

A field is a tag, a length and so many bytes. A field of a tag that is not known is passed over, and so are
bytes behind those of a known one, so that two releases understand each other. No length is used before it
was compared with what is there.
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
# Kinds of datagrams.
PING, ACK, NACK, PING_REQ, PUSH_PULL_REQUEST, PUSH_PULL_RESPONSE, GOSSIP = range(1, 8)
KINDS = range(PING, GOSSIP + 1)
# Tags of fields.
RECORD_TAG, STATUS_TAG, REACHABILITY_TAG, PING_REFERENCE_TAG, ID_RANGE_TAG, DIGEST_TAG = range(1, 7)
PADDING_TAG, OWN_STATUS_TAG, LOAD_REPORT_TAG, USER_MESSAGE_TAG, USER_BROADCAST_TAG = range(7, 12)

_HEADER = struct.Struct("!BBQ")
_RECORD = struct.Struct("!BQI")
_STATUS = struct.Struct("!QQIBQ")
_REACHABILITY = struct.Struct("!QQIB")
_PING_REFERENCE = struct.Struct("!IQ")
_ID_RANGE = struct.Struct("!QQB")
_DIGEST_ROW = struct.Struct("!QQIB")  # a status without who suspects
_DIGEST_VALUES = 4
_PORT_BYTES = 2
_SUBJECT_BYTES = 8  # before a user broadcast
_IPV4_BYTES, _IPV6_BYTES = 4, 16
IPV6_FLAG = 0x80  # in the byte of the state
STATE_MASK = 0x7F

FIELD_HEADER_BYTES = 2  # tag and length
MAX_FIELD_BYTES = 255  # after them
ROWS_PER_FIELD = MAX_FIELD_BYTES // _DIGEST_ROW.size
STATUS_BYTES = FIELD_HEADER_BYTES + _STATUS.size
PING_REFERENCE_BYTES = FIELD_HEADER_BYTES + _PING_REFERENCE.size
ID_RANGE_BYTES = FIELD_HEADER_BYTES + _ID_RANGE.size
DIGEST_ROW_BYTES = _DIGEST_ROW.size
MIN_DATAGRAM_BYTES = _HEADER.size + FIELD_HEADER_BYTES + _DIGEST_ROW.size + AUTHENTICATION_BYTES
OVERHEAD_BYTES = _HEADER.size + AUTHENTICATION_BYTES  # beside the fields


class MalformedDatagramError(Exception):
    """No datagram of the fleet; the text says why."""


class PingReference(NamedTuple):
    """Sequence number of a request, and the id of the instance that it is meant for, 0 for anybody."""

    sequence: int
    target: int


class Datagram(NamedTuple):
    """A decoded datagram.

    Attributes:
        kind: One of `KINDS`.
        number: Never used twice by one process.
        sender: Its record; of a push-pull response, whose room is for others' records, its status.
        ping_references: At most one is used, as of `id_ranges`.
        id_ranges: What a push-pull datagram covers.
        records: Of other instances.
        statuses: Of other instances.
        reachability: Reports of any instance.
        digest: Statuses that the sender of a push-pull request has.
        load_reports: Of the sender.
        user_messages: Of the sender's other parts.
        user_broadcasts: The same by way of others: subject and message.
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
    """Field with a whole record."""
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
    """Field with the status of another instance."""
    return _field(STATUS_TAG, _STATUS.pack(*status))


def encode_own_status(status: InstanceStatus) -> bytes:
    """Field with the sender's status, in place of its record."""
    return _field(OWN_STATUS_TAG, _DIGEST_ROW.pack(*status[:_DIGEST_VALUES]))


def encode_reachability(report: ReachabilityReport) -> bytes:
    """Field with a reachability report."""
    return _field(REACHABILITY_TAG, _REACHABILITY.pack(*report))


def encode_ping_reference(reference: PingReference) -> bytes:
    """Field that says which request a datagram is or answers."""
    return _field(PING_REFERENCE_TAG, _PING_REFERENCE.pack(*reference))


def encode_id_range(id_range: IdRange) -> bytes:
    """Field with the range of a push-pull sync."""
    return _field(ID_RANGE_TAG, _ID_RANGE.pack(*id_range))


def encode_load_report(report: LoadReport) -> bytes:
    """Field with a load report."""
    return _field(LOAD_REPORT_TAG, pack_load_report(report))


def encode_user_message(message: bytes) -> bytes:
    """Field with a message of another part of the sidecar."""
    return _field(USER_MESSAGE_TAG, message)


def encode_user_broadcast(subject: int, message: bytes) -> bytes:
    """Field with a gossiped message of another part of the sidecar."""
    return _field(USER_BROADCAST_TAG, subject.to_bytes(_SUBJECT_BYTES, "big") + message)


def encode_digest(statuses: list[InstanceStatus]) -> bytes:
    """Fields with the statuses that the sender has, as many as are needed."""
    fields = b""
    for first in range(0, len(statuses), ROWS_PER_FIELD):
        rows = statuses[first : first + ROWS_PER_FIELD]
        fields += _field(DIGEST_TAG, b"".join(_DIGEST_ROW.pack(*row[:_DIGEST_VALUES]) for row in rows))
    return fields


def encode_padding(size: int) -> bytes:
    """Fields of `size` bytes in all that say nothing; a single byte can't be filled."""
    fields = b""
    while size >= FIELD_HEADER_BYTES:
        body_bytes = min(MAX_FIELD_BYTES, size - FIELD_HEADER_BYTES)
        if size - FIELD_HEADER_BYTES - body_bytes == 1:  # the next field could not be that short
            body_bytes -= 1
        fields += _field(PADDING_TAG, bytes(body_bytes))
        size -= FIELD_HEADER_BYTES + body_bytes
    return fields


def encode_datagram(kind: int, number: int, fields: bytes) -> bytes:
    """A datagram without its code; the first of the fields is the sender's record or status."""
    return _HEADER.pack(VERSION, kind, number) + fields


# Decoding


class _Fields:
    """Decoded fields by type, in their order."""

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
    """Decodes a datagram whose code was verified and taken off.

    Raises:
        MalformedDatagramError: It does not follow the format.
    """
    if len(payload) < _HEADER.size:
        raise MalformedDatagramError("too short")
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
        raise MalformedDatagramError("nobody's")
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
            raise MalformedDatagramError("a field is cut")
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
    """A text that its length precedes, and the position after it."""
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
