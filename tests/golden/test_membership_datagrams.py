"""Every kind of membership datagram and of field.

Stored values give the stored bytes, and those are read back as the stored values.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from cressrail.membership import codec
from cressrail.membership.authentication import sign_datagram, verified_payload
from cressrail.membership.load_reports import LoadReport
from cressrail.membership.messages import IdRange, InstanceRecord, InstanceStatus, ReachabilityReport
from tests.golden.neutral import neutral, stored, tuples

FILE = "membership-datagrams.json"
KEY, OTHER = bytes(range(32)), bytes(range(32, 64))
STORED = stored(FILE)


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
    """One field from its stored name and values."""
    return ENCODERS[name](tuples(value))


def encoded(kind: int, number: int, given: list[Any]) -> bytes:
    return sign_datagram(
        KEY, codec.encode_datagram(kind, number, b"".join(field(name, value) for name, value in given))
    )


def decoded(data: bytes) -> Any:
    text = verified_payload((OTHER, KEY), data)
    assert text is not None
    return neutral(codec.decode_datagram(text))


@pytest.mark.parametrize("case", STORED["fields"], ids=lambda case: str(case[0]))
def test_a_field_has_the_stored_bytes(case: list[Any]) -> None:
    name, value, data = case
    assert field(name, value).hex() == data


@pytest.mark.parametrize("case", STORED["datagrams"], ids=lambda case: f"kind{case[0]}")
def test_a_datagram_has_the_stored_bytes_and_is_read_back(case: list[Any]) -> None:
    kind, number, given, data, read = case
    assert encoded(kind, number, given).hex() == data
    assert decoded(bytes.fromhex(data)) == read


@pytest.mark.parametrize("data", STORED["refused"])
def test_what_was_refused_is_refused(data: str) -> None:
    text = verified_payload((OTHER, KEY), bytes.fromhex(data))
    if text is not None:
        with pytest.raises(codec.MalformedDatagramError):
            codec.decode_datagram(text)


def test_every_kind_is_stored() -> None:
    assert {case[0] for case in STORED["datagrams"]} == set(codec.KINDS)
