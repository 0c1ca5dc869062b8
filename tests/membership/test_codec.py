"""Datagrams: what is encoded is decoded, and odd ones are rejected."""

from __future__ import annotations

from contextlib import suppress

from hypothesis import given
from hypothesis import settings as effort
from hypothesis import strategies as some

from cressrail.membership import codec
from cressrail.membership.authentication import (
    AUTHENTICATION_BYTES,
    sign_datagram,
)
from cressrail.membership.load_reports import LoadReport
from cressrail.membership.messages import (
    IdRange,
    InstanceRecord,
    InstanceStatus,
    ReachabilityReport,
    SendDatagram,
)
from tests.membership.support import (
    KEY,
    LOAD_REPORTS,
    REACHABILITY_REPORTS,
    RECORDS,
    STATUSES,
    single_instance,
)


@given(
    RECORDS,
    some.lists(RECORDS, max_size=3),
    some.lists(STATUSES, max_size=30),
    some.lists(REACHABILITY_REPORTS, max_size=3),
    some.lists(LOAD_REPORTS, max_size=3),
    some.lists(some.binary(max_size=240), max_size=3),
    some.integers(0, 600),
)
def test_decode_datagram_returns_what_was_encoded(
    own: InstanceRecord,
    records: list[InstanceRecord],
    briefs: list[InstanceStatus],
    edges: list[ReachabilityReport],
    hints: list[LoadReport],
    words: list[bytes],
    padding: int,
) -> None:
    call, span = codec.PingReference(7, 8), IdRange(1, 2, True)
    fields = b"".join(
        [
            codec.encode_record(own),
            codec.encode_ping_reference(call),
            codec.encode_id_range(span),
            codec.encode_digest(briefs),
            *map(codec.encode_record, records),
            *map(codec.encode_status, briefs),
            *map(codec.encode_reachability, edges),
            *map(codec.encode_load_report, hints),
            *map(codec.encode_user_message, words),
            *(codec.encode_user_broadcast(7, word) for word in words),
            bytes([99, 3]) + b"new",
            codec.encode_padding(padding),
        ]
    )
    decoded = codec.decode_datagram(codec.encode_datagram(codec.PUSH_PULL_REQUEST, 5, fields))
    rows = [brief._replace(suspected_by=0) for brief in briefs]
    assert decoded == codec.Datagram(
        codec.PUSH_PULL_REQUEST,
        5,
        own,
        [call],
        [span],
        records,
        briefs,
        edges,
        rows,
        hints,
        words,
        [(7, word) for word in words],
    )
    assert len(codec.encode_padding(padding)) in ((padding, padding - 1) if padding else (0,))


@effort(max_examples=400)
@given(some.binary(max_size=200), some.integers(0, 60), RECORDS)
def test_signed_but_odd_datagram_is_only_counted_as_malformed(
    data: bytes, at: int, own: InstanceRecord
) -> None:
    sound = codec.encode_datagram(
        codec.PING, 1, codec.encode_record(own) + codec.encode_ping_reference(codec.PingReference(1, 0))
    )
    for text in (data, sound[:at] + data, sound + data):
        with suppress(codec.MalformedDatagramError):
            codec.decode_datagram(text)
        copy = single_instance()
        for effect in copy.on_datagram(0, sign_datagram(KEY, text)):
            assert (
                not isinstance(effect, SendDatagram)
                or len(effect.payload) <= len(text) + AUTHENTICATION_BYTES
            )
