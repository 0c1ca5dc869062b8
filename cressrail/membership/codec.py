"""Datagrams as bytes.

    version 1, kind 1, number 8, the sender's own record, fields ..., code 32

A field is a tag, a length and so many bytes. A field of a tag that is not known is passed over, and so are
bytes behind those of a known one, so that two releases understand each other. Nothing is made of a length
before it was held against what is there."""

from __future__ import annotations

import socket
import struct
from typing import NamedTuple

from cressrail.membership.authentication import CODE
from cressrail.membership.load_reports import FORM, LoadReport, pack, unpack
from cressrail.membership.messages import (
    LEFT,
    LONGEST_NAME,
    LONGEST_ZONE,
    MOST_INCARNATION,
    Brief,
    Edge,
    Record,
    Span,
)

VERSION = 1
PING, ACK, NACK, ASK, PAGE, PAGED, NEWS = range(1, 8)
KINDS = range(PING, NEWS + 1)
RECORD, BRIEF, EDGE, CALL, SPAN, DIGEST, PAD, SELF, HINT, WORD, SAID = range(1, 12)  # tags

_HEAD = struct.Struct("!BBQ")
_RECORD = struct.Struct("!BQI")
_BRIEF = struct.Struct("!QQIBQ")
_EDGE = struct.Struct("!QQIB")
_CALL = struct.Struct("!IQ")
_SPAN = struct.Struct("!QQB")
_ROW = struct.Struct("!QQIB")
ROWS = 255 // _ROW.size  # of a digest in one field
V6 = 0x80
FIELD = 2  # bytes before each field's own

BRIEF_SIZE, EDGE_SIZE = FIELD + _BRIEF.size, FIELD + _EDGE.size
CALL_SIZE, SPAN_SIZE, ROW_SIZE = FIELD + _CALL.size, FIELD + _SPAN.size, _ROW.size
SHORTEST = _HEAD.size + FIELD + _ROW.size + CODE  # of all datagrams
OVERHEAD = _HEAD.size + CODE  # beside its fields


class MalformedDatagramError(Exception):
    """No datagram of the fleet; the text says why."""


class Call(NamedTuple):
    """Which call this is or answers; who is meant, 0 for whoever is there."""

    number: int
    of: int


class Datagram(NamedTuple):
    kind: int
    number: int  # never used twice by one process
    sender: Record | Brief  # the latter of a page, whose room is for others' records
    calls: list[Call]
    spans: list[Span]
    records: list[Record]
    briefs: list[Brief]
    edges: list[Edge]
    digest: list[Brief]
    hints: list[LoadReport]
    words: list[bytes]  # of other parts of the sidecar, from the sender itself
    said: list[tuple[int, bytes]]  # the same by way of others, and what each is about


def record(told: Record) -> bytes:
    host, port = told.address
    v6 = ":" in host
    packed = socket.inet_pton(socket.AF_INET6 if v6 else socket.AF_INET, host)
    zone, name = told.zone.encode(), told.name.encode()
    text = (
        _RECORD.pack(told.state | (V6 if v6 else 0), told.incarnation, told.birth)
        + packed
        + port.to_bytes(2, "big")
        + bytes([len(zone)])
        + zone
        + bytes([len(name)])
        + name
    )
    return bytes([RECORD, len(text)]) + text


def brief(told: Brief) -> bytes:
    return bytes([BRIEF, _BRIEF.size]) + _BRIEF.pack(*told)


def self_(told: Brief) -> bytes:
    return bytes([SELF, _ROW.size]) + _ROW.pack(*told[:4])


def edge(told: Edge) -> bytes:
    return bytes([EDGE, _EDGE.size]) + _EDGE.pack(*told)


def call(told: Call) -> bytes:
    return bytes([CALL, _CALL.size]) + _CALL.pack(*told)


def span(told: Span) -> bytes:
    return bytes([SPAN, _SPAN.size]) + _SPAN.pack(*told)


def hint(told: LoadReport) -> bytes:
    return bytes([HINT, FORM.size]) + pack(told)


def word(text: bytes) -> bytes:
    return bytes([WORD, len(text)]) + text


def said(about: int, text: bytes) -> bytes:
    return bytes([SAID, 8 + len(text)]) + about.to_bytes(8, "big") + text


def digest(rows: list[Brief]) -> bytes:
    text = b""
    for n in range(0, len(rows), ROWS):
        part = b"".join(_ROW.pack(*row[:4]) for row in rows[n : n + ROWS])
        text += bytes([DIGEST, len(part)]) + part
    return text


def pad(size: int) -> bytes:
    """So many bytes that say nothing; a single one can't be filled."""
    text = b""
    while size >= FIELD:
        of = min(255, size - FIELD)
        if size - FIELD - of == 1:  # guards against a last byte that is no field
            of -= 1
        text += bytes([PAD, of]) + bytes(of)
        size -= FIELD + of
    return text


def wrap(kind: int, number: int, fields: bytes) -> bytes:
    """Without its code. The first of the fields is the sender's record."""
    return _HEAD.pack(VERSION, kind, number) + fields


def read(text: bytes) -> Datagram:
    """Of what was sealed. Raises `Junk`."""
    if len(text) < _HEAD.size:
        raise MalformedDatagramError("too short")
    version, kind, number = _HEAD.unpack_from(text)
    if version != VERSION:
        raise MalformedDatagramError(f"version {version}")
    if kind not in KINDS:
        raise MalformedDatagramError(f"kind {kind}")
    calls: list[Call] = []
    spans: list[Span] = []
    records: list[Record] = []
    briefs: list[Brief] = []
    edges: list[Edge] = []
    rows: list[Brief] = []
    short: list[Brief] = []
    hints: list[LoadReport] = []
    words: list[bytes] = []
    said_: list[tuple[int, bytes]] = []
    at, end = _HEAD.size, len(text)
    while at < end:
        if at + FIELD > end or at + FIELD + text[at + 1] > end:
            raise MalformedDatagramError("a field is cut")
        tag, body = text[at], text[at + FIELD : at + FIELD + text[at + 1]]
        at += FIELD + len(body)
        try:
            if tag == RECORD:
                records.append(_read_record(body))
            elif tag == BRIEF:
                briefs.append(_sane(Brief(*_BRIEF.unpack_from(body))))
            elif tag == SELF:
                short.append(_sane(Brief(*_ROW.unpack_from(body))))
            elif tag == EDGE:
                by, of, count, on = _EDGE.unpack_from(body)
                edges.append(Edge(by, of, count, bool(on)))
            elif tag == CALL:
                calls.append(Call(*_CALL.unpack_from(body)))
            elif tag == SPAN:
                low, high, answers = _SPAN.unpack_from(body)
                spans.append(Span(low, high, bool(answers)))
            elif tag == HINT:
                hints.append(unpack(body))
            elif tag == WORD:
                words.append(body)
            elif tag == SAID and len(body) >= 8:
                said_.append((int.from_bytes(body[:8], "big"), body[8:]))
            elif tag == DIGEST:
                rows += [
                    _sane(Brief(*row)) for row in _ROW.iter_unpack(body[: len(body) // ROW_SIZE * ROW_SIZE])
                ]
        except (struct.error, IndexError, ValueError):
            raise MalformedDatagramError(f"field {tag} can't be read") from None
    rest = (calls, spans, records, briefs, edges, rows, hints, words, said_)
    if kind == PAGED and short:
        return Datagram(kind, number, short[0], *rest)
    if not records:
        raise MalformedDatagramError("nobody's")
    return Datagram(kind, number, records.pop(0), *rest)


def _read_record(body: bytes) -> Record:
    flags, incarnation, birth = _RECORD.unpack_from(body)
    at, size = _RECORD.size, 16 if flags & V6 else 4
    host = socket.inet_ntop(socket.AF_INET6 if flags & V6 else socket.AF_INET, body[at : at + size])
    at += size
    port = int.from_bytes(body[at : at + 2], "big")
    at += 2
    zone, at = _text(body, at, LONGEST_ZONE)
    name, at = _text(body, at, LONGEST_NAME)
    if not name or not port:
        raise ValueError
    told = Record(name, zone, (host, port), incarnation, birth, flags & 0x7F)
    _check(incarnation, told.state)
    return told


def _text(body: bytes, at: int, longest: int) -> tuple[str, int]:
    size = body[at]
    if size > longest or at + 1 + size > len(body):
        raise ValueError
    return body[at + 1 : at + 1 + size].decode(), at + 1 + size


def _sane(told: Brief) -> Brief:
    _check(told.incarnation, told.state)
    return told


def _check(incarnation: int, state: int) -> None:
    if incarnation > MOST_INCARNATION or state > LEFT:
        raise ValueError
