"""Tests of datagram encoding and decoding, and of the rejection of malformed datagrams."""

from __future__ import annotations

from contextlib import suppress

from hypothesis import given, settings
from hypothesis import strategies as st

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
    st.lists(RECORDS, max_size=3),
    st.lists(STATUSES, max_size=30),
    st.lists(REACHABILITY_REPORTS, max_size=3),
    st.lists(LOAD_REPORTS, max_size=3),
    st.lists(st.binary(max_size=240), max_size=3),
    st.integers(0, 600),
)
def test_decode_datagram_returns_what_was_encoded(
    own_record: InstanceRecord,
    records: list[InstanceRecord],
    statuses: list[InstanceStatus],
    reachability_reports: list[ReachabilityReport],
    load_reports: list[LoadReport],
    messages: list[bytes],
    padding: int,
) -> None:
    reference, id_range = codec.PingReference(7, 8), IdRange(1, 2, True)
    fields = b"".join(
        [
            codec.encode_record(own_record),
            codec.encode_ping_reference(reference),
            codec.encode_id_range(id_range),
            codec.encode_digest(statuses),
            *map(codec.encode_record, records),
            *map(codec.encode_status, statuses),
            *map(codec.encode_reachability, reachability_reports),
            *map(codec.encode_load_report, load_reports),
            *map(codec.encode_user_message, messages),
            *(codec.encode_user_broadcast(7, message) for message in messages),
            bytes([99, 3]) + b"new",  # field of a later release, with an unknown tag
            codec.encode_padding(padding),
        ]
    )
    decoded = codec.decode_datagram(codec.encode_datagram(codec.PUSH_PULL_REQUEST, 5, fields))
    digest = [status._replace(suspected_by=0) for status in statuses]
    assert decoded == codec.Datagram(
        codec.PUSH_PULL_REQUEST,
        5,
        own_record,
        [reference],
        [id_range],
        records,
        statuses,
        reachability_reports,
        digest,
        load_reports,
        messages,
        [(7, message) for message in messages],
    )
    assert len(codec.encode_padding(padding)) in ((padding, padding - 1) if padding else (0,))


@settings(max_examples=400)
@given(st.binary(max_size=200), st.integers(0, 60), RECORDS)
def test_signed_but_malformed_datagram_is_only_counted(
    data: bytes, cut_at: int, own_record: InstanceRecord
) -> None:
    valid = codec.encode_datagram(
        codec.PING,
        1,
        codec.encode_record(own_record) + codec.encode_ping_reference(codec.PingReference(1, 0)),
    )
    for payload in (data, valid[:cut_at] + data, valid + data):
        with suppress(codec.MalformedDatagramError):
            codec.decode_datagram(payload)
        instance = single_instance()
        for command in instance.on_datagram(0, sign_datagram(KEY, payload)):
            assert (
                not isinstance(command, SendDatagram)
                or len(command.payload) <= len(payload) + AUTHENTICATION_BYTES
            )
