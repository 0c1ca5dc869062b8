"""Golden tests of every kind of membership datagram and every kind of field.

Encoding the stored values gives the stored bytes; decoding these gives the stored decoded values.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from cressrail.membership import codec
from cressrail.membership.authentication import sign_datagram, verified_payload
from cressrail.membership.load_reports import LoadReport
from cressrail.membership.messages import IdRange, InstanceRecord, InstanceStatus, ReachabilityReport
from tests.golden.neutral import plain_values, read_stored, to_tuples

FILE = "membership-datagrams.json"
KEY, OTHER = bytes(range(32)), bytes(range(32, 64))
STORED = read_stored(FILE)


ENCODERS: dict[str, Callable[[Any], bytes]] = {
    "record": lambda values: codec.encode_record(InstanceRecord(*values)),
    "brief": lambda values: codec.encode_status(InstanceStatus(*values)),
    "self": lambda values: codec.encode_own_status(InstanceStatus(*values)),
    "edge": lambda values: codec.encode_reachability(ReachabilityReport(*values)),
    "call": lambda values: codec.encode_ping_reference(codec.PingReference(*values)),
    "span": lambda values: codec.encode_id_range(IdRange(*values)),
    "hint": lambda values: codec.encode_load_report(LoadReport(*values)),
    "word": lambda text: codec.encode_user_message(bytes.fromhex(text)),
    "said": lambda values: codec.encode_user_broadcast(values[0], bytes.fromhex(values[1])),
    "digest": lambda rows: codec.encode_digest([InstanceStatus(*row) for row in rows]),
    "pad": codec.encode_padding,
    "raw": bytes.fromhex,
}


def field(name: str, value: Any) -> bytes:
    """Encodes a field from its stored name and values."""
    return ENCODERS[name](to_tuples(value))


def encode(kind: int, number: int, given: list[Any]) -> bytes:
    return sign_datagram(
        KEY, codec.encode_datagram(kind, number, b"".join(field(name, value) for name, value in given))
    )


def decode(data: bytes) -> Any:
    text = verified_payload((OTHER, KEY), data)
    assert text is not None
    return plain_values(codec.decode_datagram(text))


@pytest.mark.parametrize("case", STORED["fields"], ids=lambda case: str(case[0]))
def test_field_has_stored_bytes(case: list[Any]) -> None:
    name, value, data = case
    assert field(name, value).hex() == data


@pytest.mark.parametrize("case", STORED["datagrams"], ids=lambda case: f"kind{case[0]}")
def test_datagram_has_stored_bytes_and_is_decoded(case: list[Any]) -> None:
    kind, number, given, data, read = case
    assert encode(kind, number, given).hex() == data
    assert decode(bytes.fromhex(data)) == read


@pytest.mark.parametrize("data", STORED["refused"])
def test_malformed_datagram_is_rejected(data: str) -> None:
    text = verified_payload((OTHER, KEY), bytes.fromhex(data))
    if text is not None:
        with pytest.raises(codec.MalformedDatagramError):
            codec.decode_datagram(text)


def test_every_kind_is_recorded() -> None:
    assert {case[0] for case in STORED["datagrams"]} == set(codec.KINDS)
