"""Datagrams as bytes.

    version 1, kind 1, number 8, the sender's own record, fields ..., code 32

A field is a tag, a length and so many bytes. A field of a tag that is not known is passed over, and so are
bytes behind those of a known one, so that two releases understand each other. Nothing is made of a length
before it was held against what is there."""

from __future__ import annotations

import socket
import struct
from typing import NamedTuple

from cressrail.membership.authentication import AUTHENTICATION_BYTES
from cressrail.membership.load_reports import (
    REPORT_STRUCT,
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
PING, ACK, NACK, PING_REQ, PUSH_PULL_REQUEST, PUSH_PULL_RESPONSE, GOSSIP = range(1, 8)
KINDS = range(PING, GOSSIP + 1)
(
    RECORD_TAG,
    STATUS_TAG,
    REACHABILITY_TAG,
    PING_REFERENCE_TAG,
    ID_RANGE_TAG,
    DIGEST_TAG,
    PADDING_TAG,
    OWN_STATUS_TAG,
    LOAD_REPORT_TAG,
    USER_MESSAGE_TAG,
    USER_BROADCAST_TAG,
) = range(1, 12)  # tags

_HEADER = struct.Struct("!BBQ")
_RECORD = struct.Struct("!BQI")
_STATUS = struct.Struct("!QQIBQ")
_REACHABILITY = struct.Struct("!QQIB")
_PING_REFERENCE = struct.Struct("!IQ")
_ID_RANGE = struct.Struct("!QQB")
_DIGEST_ROW = struct.Struct("!QQIB")
ROWS_PER_FIELD = 255 // _DIGEST_ROW.size  # of a digest in one field
IPV6_FLAG = 0x80
FIELD_HEADER_BYTES = 2  # bytes before each field's own

STATUS_BYTES, REACHABILITY_BYTES = FIELD_HEADER_BYTES + _STATUS.size, FIELD_HEADER_BYTES + _REACHABILITY.size
PING_REFERENCE_BYTES, ID_RANGE_BYTES, DIGEST_ROW_BYTES = (
    FIELD_HEADER_BYTES + _PING_REFERENCE.size,
    FIELD_HEADER_BYTES + _ID_RANGE.size,
    _DIGEST_ROW.size,
)
MIN_DATAGRAM_BYTES = (
    _HEADER.size + FIELD_HEADER_BYTES + _DIGEST_ROW.size + AUTHENTICATION_BYTES
)  # of all datagrams
OVERHEAD_BYTES = _HEADER.size + AUTHENTICATION_BYTES  # beside its fields


class MalformedDatagramError(Exception):
    """No datagram of the fleet; the text says why."""


class PingReference(NamedTuple):
    """Which call this is or answers; who is meant, 0 for whoever is there."""

    sequence: int
    target: int


class Datagram(NamedTuple):
    kind: int
    number: int  # never used twice by one process
    sender: InstanceRecord | InstanceStatus  # the latter of a page, whose room is for others' records
    ping_references: list[PingReference]
    id_ranges: list[IdRange]
    records: list[InstanceRecord]
    statuses: list[InstanceStatus]
    reachability: list[ReachabilityReport]
    digest: list[InstanceStatus]
    load_reports: list[LoadReport]
    user_messages: list[bytes]  # of other parts of the sidecar, from the sender itself
    user_broadcasts: list[tuple[int, bytes]]  # the same by way of others, and what each is about


def encode_record(told: InstanceRecord) -> bytes:
    host, port = told.address
    v6 = ":" in host
    packed = socket.inet_pton(socket.AF_INET6 if v6 else socket.AF_INET, host)
    zone, name = told.zone.encode(), told.name.encode()
    text = (
        _RECORD.pack(told.state | (IPV6_FLAG if v6 else 0), told.incarnation, told.process_id)
        + packed
        + port.to_bytes(2, "big")
        + bytes([len(zone)])
        + zone
        + bytes([len(name)])
        + name
    )
    return bytes([RECORD_TAG, len(text)]) + text


def encode_status(told: InstanceStatus) -> bytes:
    return bytes([STATUS_TAG, _STATUS.size]) + _STATUS.pack(*told)


def encode_own_status(told: InstanceStatus) -> bytes:
    return bytes([OWN_STATUS_TAG, _DIGEST_ROW.size]) + _DIGEST_ROW.pack(*told[:4])


def encode_reachability(told: ReachabilityReport) -> bytes:
    return bytes([REACHABILITY_TAG, _REACHABILITY.size]) + _REACHABILITY.pack(*told)


def encode_ping_reference(told: PingReference) -> bytes:
    return bytes([PING_REFERENCE_TAG, _PING_REFERENCE.size]) + _PING_REFERENCE.pack(*told)


def encode_id_range(told: IdRange) -> bytes:
    return bytes([ID_RANGE_TAG, _ID_RANGE.size]) + _ID_RANGE.pack(*told)


def encode_load_report(told: LoadReport) -> bytes:
    return bytes([LOAD_REPORT_TAG, REPORT_STRUCT.size]) + pack_load_report(told)


def encode_user_message(text: bytes) -> bytes:
    return bytes([USER_MESSAGE_TAG, len(text)]) + text


def encode_user_broadcast(about: int, text: bytes) -> bytes:
    return bytes([USER_BROADCAST_TAG, 8 + len(text)]) + about.to_bytes(8, "big") + text


def encode_digest(rows: list[InstanceStatus]) -> bytes:
    text = b""
    for n in range(0, len(rows), ROWS_PER_FIELD):
        part = b"".join(_DIGEST_ROW.pack(*row[:4]) for row in rows[n : n + ROWS_PER_FIELD])
        text += bytes([DIGEST_TAG, len(part)]) + part
    return text


def encode_padding(size: int) -> bytes:
    """So many bytes that say nothing; a single one can't be filled."""
    text = b""
    while size >= FIELD_HEADER_BYTES:
        of = min(255, size - FIELD_HEADER_BYTES)
        if size - FIELD_HEADER_BYTES - of == 1:  # guards against a last byte that is no field
            of -= 1
        text += bytes([PADDING_TAG, of]) + bytes(of)
        size -= FIELD_HEADER_BYTES + of
    return text


def encode_datagram(kind: int, number: int, fields: bytes) -> bytes:
    """Without its code. The first of the fields is the sender's record."""
    return _HEADER.pack(VERSION, kind, number) + fields


def decode_datagram(text: bytes) -> Datagram:
    """Of what was sealed. Raises `Junk`."""
    if len(text) < _HEADER.size:
        raise MalformedDatagramError("too short")
    version, kind, number = _HEADER.unpack_from(text)
    if version != VERSION:
        raise MalformedDatagramError(f"version {version}")
    if kind not in KINDS:
        raise MalformedDatagramError(f"kind {kind}")
    calls: list[PingReference] = []
    spans: list[IdRange] = []
    records: list[InstanceRecord] = []
    briefs: list[InstanceStatus] = []
    edges: list[ReachabilityReport] = []
    rows: list[InstanceStatus] = []
    short: list[InstanceStatus] = []
    hints: list[LoadReport] = []
    words: list[bytes] = []
    said_: list[tuple[int, bytes]] = []
    at, end = _HEADER.size, len(text)
    while at < end:
        if at + FIELD_HEADER_BYTES > end or at + FIELD_HEADER_BYTES + text[at + 1] > end:
            raise MalformedDatagramError("a field is cut")
        tag, body = text[at], text[at + FIELD_HEADER_BYTES : at + FIELD_HEADER_BYTES + text[at + 1]]
        at += FIELD_HEADER_BYTES + len(body)
        try:
            if tag == RECORD_TAG:
                records.append(_decode_record(body))
            elif tag == STATUS_TAG:
                briefs.append(_checked(InstanceStatus(*_STATUS.unpack_from(body))))
            elif tag == OWN_STATUS_TAG:
                short.append(_checked(InstanceStatus(*_DIGEST_ROW.unpack_from(body))))
            elif tag == REACHABILITY_TAG:
                by, of, count, on = _REACHABILITY.unpack_from(body)
                edges.append(ReachabilityReport(by, of, count, bool(on)))
            elif tag == PING_REFERENCE_TAG:
                calls.append(PingReference(*_PING_REFERENCE.unpack_from(body)))
            elif tag == ID_RANGE_TAG:
                low, high, answers = _ID_RANGE.unpack_from(body)
                spans.append(IdRange(low, high, bool(answers)))
            elif tag == LOAD_REPORT_TAG:
                hints.append(unpack_load_report(body))
            elif tag == USER_MESSAGE_TAG:
                words.append(body)
            elif tag == USER_BROADCAST_TAG and len(body) >= 8:
                said_.append((int.from_bytes(body[:8], "big"), body[8:]))
            elif tag == DIGEST_TAG:
                rows += [
                    _checked(InstanceStatus(*row))
                    for row in _DIGEST_ROW.iter_unpack(
                        body[: len(body) // DIGEST_ROW_BYTES * DIGEST_ROW_BYTES]
                    )
                ]
        except (struct.error, IndexError, ValueError):
            raise MalformedDatagramError(f"field {tag} can't be read") from None
    rest = (calls, spans, records, briefs, edges, rows, hints, words, said_)
    if kind == PUSH_PULL_RESPONSE and short:
        return Datagram(kind, number, short[0], *rest)
    if not records:
        raise MalformedDatagramError("nobody's")
    return Datagram(kind, number, records.pop(0), *rest)


def _decode_record(body: bytes) -> InstanceRecord:
    flags, incarnation, birth = _RECORD.unpack_from(body)
    at, size = _RECORD.size, 16 if flags & IPV6_FLAG else 4
    host = socket.inet_ntop(socket.AF_INET6 if flags & IPV6_FLAG else socket.AF_INET, body[at : at + size])
    at += size
    port = int.from_bytes(body[at : at + 2], "big")
    at += 2
    zone, at = _decode_text(body, at, MAX_ZONE_BYTES)
    name, at = _decode_text(body, at, MAX_NAME_BYTES)
    if not name or not port:
        raise ValueError
    told = InstanceRecord(name, zone, (host, port), incarnation, birth, flags & 0x7F)
    _check_limits(incarnation, told.state)
    return told


def _decode_text(body: bytes, at: int, longest: int) -> tuple[str, int]:
    size = body[at]
    if size > longest or at + 1 + size > len(body):
        raise ValueError
    return body[at + 1 : at + 1 + size].decode(), at + 1 + size


def _checked(told: InstanceStatus) -> InstanceStatus:
    _check_limits(told.incarnation, told.state)
    return told


def _check_limits(incarnation: int, state: int) -> None:
    if incarnation > MAX_INCARNATION or state > LEFT:
        raise ValueError
