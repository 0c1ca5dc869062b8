"""Every kind of membership datagram and of field: stored values give the stored bytes, and those are read
back as the stored values."""

from __future__ import annotations

from typing import Any

import pytest

from cressrail.membership import codec
from cressrail.membership.authentication import opened, seal
from cressrail.membership.load_reports import LoadReport
from cressrail.membership.messages import Brief, Edge, Record, Span
from tests.golden.neutral import neutral, stored, tuples

FILE = "membership-datagrams.json"
KEY, OTHER = bytes(range(32)), bytes(range(32, 64))
STORED = stored(FILE)


def field(name: str, value: Any) -> bytes:
    """One field from its stored name and values."""
    told = tuples(value)
    if name == "record":
        return codec.record(Record(*told))
    if name == "brief":
        return codec.brief(Brief(*told))
    if name == "self":
        return codec.self_(Brief(*told))
    if name == "edge":
        return codec.edge(Edge(*told))
    if name == "call":
        return codec.call(codec.Call(*told))
    if name == "span":
        return codec.span(Span(*told))
    if name == "hint":
        return codec.hint(LoadReport(*told))
    if name == "word":
        return codec.word(bytes.fromhex(value))
    if name == "said":
        return codec.said(value[0], bytes.fromhex(value[1]))
    if name == "digest":
        return codec.digest([Brief(*row) for row in told])
    if name == "pad":
        return codec.pad(value)
    assert name == "raw", name
    return bytes.fromhex(value)


def encoded(kind: int, number: int, given: list[Any]) -> bytes:
    return seal(KEY, codec.wrap(kind, number, b"".join(field(name, value) for name, value in given)))


def decoded(data: bytes) -> Any:
    text = opened((OTHER, KEY), data)
    assert text is not None
    return neutral(codec.read(text))


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
    text = opened((OTHER, KEY), bytes.fromhex(data))
    if text is not None:
        with pytest.raises(codec.MalformedDatagramError):
            codec.read(text)


def test_every_kind_is_stored() -> None:
    assert {case[0] for case in STORED["datagrams"]} == set(codec.KINDS)
