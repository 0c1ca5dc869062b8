"""Golden tests of every kind of failover message.

Encoding the stored values gives the stored bytes; decoding these at a later time gives the values that are
stored for that time.
"""

from __future__ import annotations

from typing import Any

import pytest

from cressrail.failover import codec, messages
from cressrail.failover.messages import Decision, DrainRequest, Epoch, Evidence, ZoneObservation, ZoneStatus
from tests.golden.neutral import plain_values, read_stored, to_tuples

FILE = "failover-datagrams.json"
STORED = read_stored(FILE)
KINDS: dict[str, type] = {
    "report": messages.Report,
    "ack": messages.Acknowledgement,
    "ask": messages.VoteRequest,
    "vote": messages.VoteGranted,
    "no": messages.VoteDenied,
    "beat": messages.Heartbeat,
    "decision": Decision,
    "wish": DrainRequest,
}


def message(kind: str, value: list[Any]) -> Any:
    """Builds a message from the stored name of its kind and its values, in the order of the fields."""
    values = list(to_tuples(value))
    if kind == "report":
        zone, demand, towards = values[2]
        values[1:] = (
            Epoch(*values[1]),
            Evidence(zone, demand, tuple(ZoneObservation(*row) for row in towards)),
        )
    elif kind in ("ack", "ask", "no"):
        values[1] = Epoch(*values[1])
    elif kind in ("beat", "decision"):
        values[0] = Epoch(*values[0])
    if kind == "decision":
        values[2] = tuple(ZoneStatus(*zone) for zone in values[2])
    return KINDS[kind](*values)


def encode(kind: str, value: list[Any], now: int) -> bytes:
    return codec.encode(message(kind, value), now)


def decode(data: bytes, now: int) -> Any:
    """Returns the name of the kind and the values; None if the bytes are not a valid message."""
    message = codec.decode(data, now)
    if message is None:
        return None
    [kind] = [name for name, message_type in KINDS.items() if type(message) is message_type]
    return [kind, plain_values(message)]


@pytest.mark.parametrize("case", STORED["messages"], ids=lambda case: str(case[0]))
def test_message_has_stored_bytes_and_is_decoded(case: list[Any]) -> None:
    kind, value, now, data, later, read = case
    assert encode(kind, value, now).hex() == data
    assert decode(bytes.fromhex(data), later) == [kind, read]


@pytest.mark.parametrize("case", STORED["odd"])
def test_malformed_and_unusual_bytes_are_decoded_as_recorded(case: list[Any]) -> None:
    data, later, read = case
    assert decode(bytes.fromhex(data), later) == read


def test_every_kind_is_recorded() -> None:
    assert {case[0] for case in STORED["messages"]} == set(KINDS)
    assert {bytes.fromhex(case[3])[0] for case in STORED["messages"]} == set(range(1, 9))
