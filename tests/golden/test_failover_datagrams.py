"""Every kind of failover message.

Stored values give the stored bytes, and those are read back as the stored values at a later time.
"""

from __future__ import annotations

from typing import Any

import pytest

from cressrail.failover import codec, messages
from cressrail.failover.messages import Decision, DrainRequest, Epoch, Evidence, ZoneObservation, ZoneStatus
from tests.golden.neutral import neutral, stored, tuples

FILE = "failover-datagrams.json"
STORED = stored(FILE)
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
    """From the stored name and values, in order."""
    values = list(tuples(value))
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


def encoded(kind: str, value: list[Any], now: int) -> bytes:
    return codec.encode(message(kind, value), now)


def decoded(data: bytes, now: int) -> Any:
    """The name and the values, or nothing."""
    message = codec.decode(data, now)
    if message is None:
        return None
    [kind] = [name for name, message_type in KINDS.items() if type(message) is message_type]
    return [kind, neutral(message)]


@pytest.mark.parametrize("case", STORED["messages"], ids=lambda case: str(case[0]))
def test_a_message_has_the_stored_bytes_and_is_read_back(case: list[Any]) -> None:
    kind, value, now, data, later, read = case
    assert encoded(kind, value, now).hex() == data
    assert decoded(bytes.fromhex(data), later) == [kind, read]


@pytest.mark.parametrize("case", STORED["odd"])
def test_odd_bytes_are_read_as_they_were(case: list[Any]) -> None:
    data, later, read = case
    assert decoded(bytes.fromhex(data), later) == read


def test_every_kind_is_stored() -> None:
    assert {case[0] for case in STORED["messages"]} == set(KINDS)
    assert {bytes.fromhex(case[3])[0] for case in STORED["messages"]} == set(range(1, 9))
