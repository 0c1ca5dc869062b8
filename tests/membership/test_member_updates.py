"""Tests of MemberUpdates."""

from __future__ import annotations

from cressrail.membership import codec
from cressrail.membership.authentication import (
    sign_datagram,
)
from cressrail.membership.messages import (
    ALIVE,
    DEAD,
    SUSPECTED,
    InstanceRecord,
)
from tests.membership.support import (
    KEY,
    signed_ping,
    single_instance,
)


def test_death_report_before_own_timeout_counts_as_suspicion() -> None:
    instance = single_instance()
    instance.on_datagram(0, signed_ping(1))
    instance.on_datagram(0, signed_ping(1, "three"))
    row = instance.table.row_of(InstanceRecord("two", "", ("", 1), 0, 0, 0).id)
    claim = codec.encode_status(instance.table.status_of(row)._replace(state=DEAD, suspected_by=9))
    sender = codec.encode_record(InstanceRecord("three", "b", ("127.0.0.2", 2), 5, 9, ALIVE))
    instance.on_datagram(1, sign_datagram(KEY, codec.encode_datagram(codec.GOSSIP, 2, sender + claim)))
    assert (
        instance.table.states[instance.table.row_of(InstanceRecord("two", "", ("", 1), 0, 0, 0).id)]
        == SUSPECTED
    )
