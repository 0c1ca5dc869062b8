"""Encodes failover messages to bytes and decodes them: one byte for the kind, then fields of fixed size.

Trailing bytes after the known fields are ignored, so that a release can read messages of a later release.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from enum import IntEnum

from cressrail.failover.messages import (
    MAX_ZONES,
    WEIGHT_UNITS,
    Acknowledgement,
    Decision,
    DrainRequest,
    Epoch,
    Evidence,
    Heartbeat,
    Message,
    Report,
    VoteDenied,
    VoteGranted,
    VoteRequest,
    ZoneDrain,
    ZoneObservation,
    ZoneReason,
    ZoneState,
    ZoneStatus,
)

MAX_MESSAGE_BYTES = 240
MAX_TERM = 1 << 30
SECOND_US = 1_000_000
_MAX_U16 = (1 << 16) - 1
_MAX_U32 = (1 << 32) - 1
_RATE_UNITS = 1000  # rates are encoded in thousandths of a unit per second
_WEIGHT_SUM_TOLERANCE = 1e-9

_EPOCH = struct.Struct("!II")  # term, step
_REPORT = struct.Struct("!IIIBIB")  # acknowledged number, epoch, zone, demand, number of observations
_OBSERVATION = struct.Struct("!HHHHI")  # attempts, connect failures, failures, slow attempts, capacity
_ACKNOWLEDGEMENT = struct.Struct("!III")  # number, epoch
_VOTE_REQUEST = struct.Struct("!IIII")  # term, number, epoch
_VOTE_GRANTED = struct.Struct("!II")  # term, number
_VOTE_DENIED = struct.Struct("!III")  # term, epoch
_HEARTBEAT = struct.Struct("!IIQI")  # epoch, leader, sequence
_DECISION = struct.Struct("!IIQB")  # epoch, leader, number of zones
_ZONE_STATUS = struct.Struct("!BBH")  # state, reason, age in seconds
_ZONE_DRAIN = struct.Struct("!BH")  # zone, remaining seconds
_DRAIN_REQUEST = struct.Struct("!BHQ")  # zone, remaining seconds, sequence


class MessageKind(IntEnum):
    """The first byte of an encoded message."""

    REPORT = 1
    ACKNOWLEDGEMENT = 2
    VOTE_REQUEST = 3
    VOTE_GRANTED = 4
    VOTE_DENIED = 5
    HEARTBEAT = 6
    DECISION = 7
    DRAIN_REQUEST = 8


class FailoverMessageError(ValueError):
    """An encoded failover message holds an invalid value."""


def encode(message: Message, now_us: int = 0) -> bytes:
    """Encodes a message.

    Args:
        message: Message to encode. Counts and rates that exceed the size of their field are clipped.
        now_us: Time of sending in microseconds, relative to which ages and remaining times are encoded.

    Returns:
        The byte of the kind, followed by the fields.
    """
    kind, encode_fields = _ENCODERS[type(message)]
    return bytes([kind]) + encode_fields(message, now_us)


def decode(data: bytes, now_us: int = 0) -> Message | None:
    """Decodes a message.

    Args:
        data: Received bytes.
        now_us: Time of receipt in microseconds, from which ages and remaining times are converted to times.

    Returns:
        The message, or None if it is truncated, of an unknown kind, or holds an invalid value.
    """
    try:
        decode_fields = _DECODERS.get(data[0])
        return decode_fields(data[1:], now_us) if decode_fields is not None else None
    except (struct.error, IndexError, FailoverMessageError):
        return None


def _clip(value: float, maximum: int) -> int:
    return max(0, min(maximum, int(value)))


def _seconds(duration_us: int) -> int:
    return _clip(duration_us / SECOND_US, _MAX_U16)


def _encode_report(message: Report, _now_us: int) -> bytes:
    evidence = message.evidence
    demand = _clip(evidence.demand * _RATE_UNITS, _MAX_U32)
    data = _REPORT.pack(
        message.acknowledged, *message.held_epoch, evidence.zone, demand, len(evidence.observations)
    )
    for observation in evidence.observations:
        counts = (_clip(count, _MAX_U16) for count in observation[:4])
        data += _OBSERVATION.pack(*counts, _clip(observation.capacity * _RATE_UNITS, _MAX_U32))
    return data


def _encode_acknowledgement(message: Acknowledgement, _now_us: int) -> bytes:
    return _ACKNOWLEDGEMENT.pack(message.number, *message.epoch)


def _encode_vote_request(message: VoteRequest, _now_us: int) -> bytes:
    return _VOTE_REQUEST.pack(message.term, message.number, *message.epoch)


def _encode_vote_granted(message: VoteGranted, _now_us: int) -> bytes:
    return _VOTE_GRANTED.pack(*message)


def _encode_vote_denied(message: VoteDenied, _now_us: int) -> bytes:
    return _VOTE_DENIED.pack(message.term, *message.epoch)


def _encode_heartbeat(message: Heartbeat, _now_us: int) -> bytes:
    return _HEARTBEAT.pack(*message.epoch, message.leader, message.sequence)


def _encode_decision(message: Decision, now_us: int) -> bytes:
    data = _DECISION.pack(*message.epoch, message.leader, len(message.zones))
    for status in message.zones:
        data += _ZONE_STATUS.pack(status.state, status.reason, _seconds(now_us - status.since_us))
    data += bytes(
        _clip(weight * WEIGHT_UNITS + 0.5, WEIGHT_UNITS) for row in message.weights for weight in row
    )
    for zone, until_us in message.drains:
        data += _ZONE_DRAIN.pack(zone, _seconds(until_us - now_us))
    return data


def _encode_drain_request(message: DrainRequest, now_us: int) -> bytes:
    # 0 seconds encode the end of a drain, so a drain that is about to end is encoded as 1 second.
    remaining_s = 0 if message.until_us <= 0 else max(1, _seconds(message.until_us - now_us))
    return _DRAIN_REQUEST.pack(message.zone, remaining_s, message.sequence)


def _decode_report(body: bytes, _now_us: int) -> Report:
    acknowledged, term, step, zone, demand, count = _REPORT.unpack_from(body)
    if count > MAX_ZONES or zone >= count:
        raise FailoverMessageError(
            f"report: zone {zone} of {count} zones is out of range, at most {MAX_ZONES} zones"
        )
    observations = tuple(
        _decode_observation(body, _REPORT.size + index * _OBSERVATION.size) for index in range(count)
    )
    evidence = Evidence(zone, demand / _RATE_UNITS, observations)
    return Report(acknowledged, Epoch(_checked_term(term), step), evidence)


def _decode_observation(body: bytes, offset: int) -> ZoneObservation:
    attempts, connect_failures, failures, slow, capacity = _OBSERVATION.unpack_from(body, offset)
    if connect_failures + failures + slow > attempts:
        raise FailoverMessageError(
            f"report: {connect_failures + failures + slow} failed or slow attempts of only {attempts}"
        )
    return ZoneObservation(attempts, connect_failures, failures, slow, capacity / _RATE_UNITS)


def _decode_acknowledgement(body: bytes, _now_us: int) -> Acknowledgement:
    number, term, step = _ACKNOWLEDGEMENT.unpack_from(body)
    return Acknowledgement(number, Epoch(_checked_term(term), step))


def _decode_vote_request(body: bytes, _now_us: int) -> VoteRequest:
    term, number, epoch_term, step = _VOTE_REQUEST.unpack_from(body)
    return VoteRequest(_checked_term(term), Epoch(_checked_term(epoch_term), step), number)


def _decode_vote_granted(body: bytes, _now_us: int) -> VoteGranted:
    term, number = _VOTE_GRANTED.unpack_from(body)
    return VoteGranted(_checked_term(term), number)


def _decode_vote_denied(body: bytes, _now_us: int) -> VoteDenied:
    term, epoch_term, step = _VOTE_DENIED.unpack_from(body)
    return VoteDenied(_checked_term(term), Epoch(_checked_term(epoch_term), step))


def _decode_heartbeat(body: bytes, _now_us: int) -> Heartbeat:
    term, step, leader, sequence = _HEARTBEAT.unpack_from(body)
    return Heartbeat(Epoch(_checked_term(term), step), leader, sequence)


def _decode_drain_request(body: bytes, now_us: int) -> DrainRequest:
    zone, remaining_s, sequence = _DRAIN_REQUEST.unpack_from(body)
    if zone >= MAX_ZONES:
        raise FailoverMessageError(f"drain request: zone {zone} is out of range, must be below {MAX_ZONES}")
    return DrainRequest(zone, now_us + remaining_s * SECOND_US if remaining_s else 0, sequence)


def _decode_decision(body: bytes, now_us: int) -> Decision:
    term, step, leader, count = _DECISION.unpack_from(body)
    if not 1 <= count <= MAX_ZONES:
        raise FailoverMessageError(f"decision: {count} zones, must be 1 to {MAX_ZONES}")
    weights_start = _DECISION.size + count * _ZONE_STATUS.size
    zones = tuple(
        _decode_zone_status(body, offset, now_us)
        for offset in range(_DECISION.size, weights_start, _ZONE_STATUS.size)
    )
    drains_start = weights_start + count * count
    weights = _decode_weights(body[weights_start:drains_start], count)
    drains = _decode_drains(body, drains_start, count, now_us)
    return Decision(Epoch(_checked_term(term), step), leader, zones, weights, drains)


def _decode_zone_status(body: bytes, offset: int, now_us: int) -> ZoneStatus:
    state, reason, age_s = _ZONE_STATUS.unpack_from(body, offset)
    if state >= len(ZoneState) or reason >= len(ZoneReason):
        raise FailoverMessageError(f"decision: unknown zone state {state} or reason {reason}")
    return ZoneStatus(ZoneState(state), ZoneReason(reason), now_us - age_s * SECOND_US)


def _decode_weights(data: bytes, count: int) -> tuple[tuple[float, ...], ...]:
    if len(data) < count * count:
        raise FailoverMessageError(f"decision: weights are truncated to {len(data)} of {count * count} bytes")
    rows = tuple(
        tuple(units / WEIGHT_UNITS for units in data[start : start + count])
        for start in range(0, count * count, count)
    )
    if any(sum(row) > 1 + _WEIGHT_SUM_TOLERANCE for row in rows):
        raise FailoverMessageError("decision: the weights of a zone add up to more than 1")
    return rows


def _decode_drains(body: bytes, start: int, count: int, now_us: int) -> tuple[ZoneDrain, ...]:
    drains = []
    for offset in range(start, len(body) - _ZONE_DRAIN.size + 1, _ZONE_DRAIN.size):
        zone, remaining_s = _ZONE_DRAIN.unpack_from(body, offset)
        if zone < count:
            drains.append(ZoneDrain(zone, now_us + remaining_s * SECOND_US))
    return tuple(drains[:count])


def _checked_term(term: int) -> int:
    if term > MAX_TERM:
        raise FailoverMessageError(f"term {term} exceeds {MAX_TERM}")
    return term


# The encoders are typed `Callable[..., bytes]`, because each accepts only the message type that is its key.
_ENCODERS: dict[type, tuple[MessageKind, Callable[..., bytes]]] = {
    Report: (MessageKind.REPORT, _encode_report),
    Acknowledgement: (MessageKind.ACKNOWLEDGEMENT, _encode_acknowledgement),
    VoteRequest: (MessageKind.VOTE_REQUEST, _encode_vote_request),
    VoteGranted: (MessageKind.VOTE_GRANTED, _encode_vote_granted),
    VoteDenied: (MessageKind.VOTE_DENIED, _encode_vote_denied),
    Heartbeat: (MessageKind.HEARTBEAT, _encode_heartbeat),
    Decision: (MessageKind.DECISION, _encode_decision),
    DrainRequest: (MessageKind.DRAIN_REQUEST, _encode_drain_request),
}
_DECODERS: dict[int, Callable[[bytes, int], Message]] = {
    MessageKind.REPORT: _decode_report,
    MessageKind.ACKNOWLEDGEMENT: _decode_acknowledgement,
    MessageKind.VOTE_REQUEST: _decode_vote_request,
    MessageKind.VOTE_GRANTED: _decode_vote_granted,
    MessageKind.VOTE_DENIED: _decode_vote_denied,
    MessageKind.HEARTBEAT: _decode_heartbeat,
    MessageKind.DECISION: _decode_decision,
    MessageKind.DRAIN_REQUEST: _decode_drain_request,
}
