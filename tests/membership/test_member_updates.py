"""MemberUpdates."""

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


def test_death_not_timed_here_counts_as_suspicion() -> None:
    copy = single_instance()
    copy.on_datagram(0, signed_ping(1))
    copy.on_datagram(0, signed_ping(1, "liar"))
    row = copy.table.row_of(InstanceRecord("two", "", ("", 1), 0, 0, 0).id)
    claim = codec.encode_status(copy.table.status_of(row)._replace(state=DEAD, suspected_by=9))
    own = codec.encode_record(InstanceRecord("liar", "b", ("127.0.0.2", 2), 5, 9, ALIVE))
    copy.on_datagram(1, sign_datagram(KEY, codec.encode_datagram(codec.GOSSIP, 2, own + claim)))
    assert copy.table.states[copy.table.row_of(InstanceRecord("two", "", ("", 1), 0, 0, 0).id)] == SUSPECTED
