"""The words of failover as bytes: a kind, then fields of fixed size. What can't be read is nothing; bytes
behind what is known are passed over, so two releases understand each other."""

from __future__ import annotations

import struct
from typing import NamedTuple

from cressrail.failover.messages import (
    MOST_ZONES,
    PARTS,
    STATES,
    WHY,
    Decision,
    DrainRequest,
    Epoch,
    Evidence,
    Toward,
    Zone,
)

REPORT, ACK, ASK, VOTE, NO, BEAT, DECIDED, WISHED = range(1, 9)
LONGEST = 240
SECOND = 1_000_000
MOST_TERM = 1 << 30

_EPOCH = struct.Struct("!II")
_REPORT = struct.Struct("!IIIBIB")  # number echoed, epoch, zone, demand in thousandths, zones
_TOWARD = struct.Struct("!HHHHI")
_DECIDED = struct.Struct("!IIQB")
_ZONE = struct.Struct("!BBH")  # state, why, age in seconds
_DRAIN = struct.Struct("!BH")  # zone, seconds left
_WISH = struct.Struct("!BHQ")


class Report(NamedTuple):
    """Of a copy to whoever decides: the last of its acks that came, the decision held, and evidence."""

    echo: int
    held: Epoch
    evidence: Evidence


class Ack(NamedTuple):
    number: int
    epoch: Epoch


class Ask(NamedTuple):
    """To be voted for in that term, by one who holds that epoch."""

    term: int
    epoch: Epoch
    number: int


class Vote(NamedTuple):
    term: int
    number: int


class No(NamedTuple):
    """Not now: there is a greater term, or somebody decides already."""

    term: int
    epoch: Epoch


class Beat(NamedTuple):
    """Whoever decides in that term still hears a majority; of its beats the later counts."""

    epoch: Epoch
    by: int
    nth: int


Said = Report | Ack | Ask | Vote | No | Beat | Decision | DrainRequest


def _clip(value: float, most: int) -> int:
    return max(0, min(most, int(value)))


def pack(told: Said, now: int = 0) -> bytes:
    """`now` where it tells of ages."""
    if isinstance(told, Report):
        e = told.evidence
        demand = _clip(e.demand * 1000, (1 << 32) - 1)
        text = _REPORT.pack(told.echo, *told.held, e.zone, demand, len(e.towards))
        for t in e.towards:
            counts = (_clip(n, 65535) for n in (t.hops, t.unreached, t.failed, t.late))
            text += _TOWARD.pack(*counts, _clip(t.bears * 1000, (1 << 32) - 1))
        return bytes([REPORT]) + text
    if isinstance(told, Ack):
        return bytes([ACK]) + struct.pack("!I", told.number) + _EPOCH.pack(*told.epoch)
    if isinstance(told, Ask):
        return bytes([ASK]) + struct.pack("!II", told.term, told.number) + _EPOCH.pack(*told.epoch)
    if isinstance(told, Vote):
        return bytes([VOTE]) + struct.pack("!II", *told)
    if isinstance(told, No):
        return bytes([NO]) + struct.pack("!I", told.term) + _EPOCH.pack(*told.epoch)
    if isinstance(told, Beat):
        return bytes([BEAT]) + _EPOCH.pack(*told.epoch) + struct.pack("!QI", told.by, told.nth)
    if isinstance(told, DrainRequest):
        left_s = 0 if told.until_us <= 0 else max(1, _clip((told.until_us - now) / SECOND, 65535))
        return bytes([WISHED]) + _WISH.pack(told.zone, left_s, told.nth)
    text = _DECIDED.pack(*told.epoch, told.by, len(told.zones))
    for zone in told.zones:
        text += _ZONE.pack(zone.state, zone.why, _clip((now - zone.since_us) / SECOND, 65535))
    text += bytes(_clip(share * PARTS + 0.5, PARTS) for row in told.shares for share in row)
    for at, until_us in told.drains:
        text += _DRAIN.pack(at, _clip((until_us - now) / SECOND, 65535))
    return bytes([DECIDED]) + text


def unpack(text: bytes, now: int = 0) -> Said | None:
    """Nothing where it can't be read, or says what can't be."""
    try:
        return _unpack(text[0], text[1:], now)
    except (struct.error, IndexError, ValueError):
        return None


def _unpack(kind: int, body: bytes, now: int) -> Said | None:
    if kind == REPORT:
        echo, term, step, zone, demand, n = _REPORT.unpack_from(body)
        if n > MOST_ZONES or zone >= n:
            return None
        towards = []
        for k in range(n):
            hops, unreached, failed, late, bears = _TOWARD.unpack_from(body, _REPORT.size + k * _TOWARD.size)
            if unreached + failed + late > hops:
                return None
            towards.append(Toward(hops, unreached, failed, late, bears / 1000))
        return Report(echo, Epoch(_term(term), step), Evidence(zone, demand / 1000, tuple(towards)))
    if kind == ACK:
        return Ack(struct.unpack_from("!I", body)[0], _epoch(body, 4))
    if kind == ASK:
        term, number = struct.unpack_from("!II", body)
        return Ask(_term(term), _epoch(body, 8), number)
    if kind == VOTE:
        term, number = struct.unpack_from("!II", body)
        return Vote(_term(term), number)
    if kind == NO:
        return No(_term(struct.unpack_from("!I", body)[0]), _epoch(body, 4))
    if kind == BEAT:
        by, nth = struct.unpack_from("!QI", body, _EPOCH.size)
        return Beat(_epoch(body, 0), by, nth)
    if kind == WISHED:
        zone, left_s, wish_no = _WISH.unpack_from(body)
        return (
            DrainRequest(zone, now + left_s * SECOND if left_s else 0, wish_no) if zone < MOST_ZONES else None
        )
    return _decision(body, now) if kind == DECIDED else None


def _decision(body: bytes, now: int) -> Decision | None:
    term, step, by, n = _DECIDED.unpack_from(body)
    if not 1 <= n <= MOST_ZONES:
        return None
    at, zones = _DECIDED.size, []
    for _ in range(n):
        state, why, age_s = _ZONE.unpack_from(body, at)
        if state >= len(STATES) or why >= len(WHY):
            return None
        zones.append(Zone(state, why, now - age_s * SECOND))
        at += _ZONE.size
    table = body[at : at + n * n]
    rows = tuple(tuple(part / PARTS for part in table[k * n : k * n + n]) for k in range(n))
    if len(table) < n * n or any(sum(row) > 1 + 1e-9 for row in rows):
        return None
    at += n * n
    drains = []
    for k in range(at, len(body) - _DRAIN.size + 1, _DRAIN.size):
        zone, left_s = _DRAIN.unpack_from(body, k)
        if zone < n:
            drains.append((zone, now + left_s * SECOND))
    return Decision(Epoch(_term(term), step), by, tuple(zones), rows, tuple(drains[:n]))


def _epoch(body: bytes, at: int) -> Epoch:
    term, step = _EPOCH.unpack_from(body, at)
    return Epoch(_term(term), step)


def _term(term: int) -> int:
    if term > MOST_TERM:
        raise ValueError
    return term
