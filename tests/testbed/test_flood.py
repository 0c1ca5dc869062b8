"""The datagrams of a flood: only the replayed one is signed with the key of the fleet."""

from __future__ import annotations

from cressrail.membership.authentication import verified_payload
from cressrail.testbed.flood import build_datagrams

KEY = b"k" * 32


def test_only_the_replayed_datagram_is_signed() -> None:
    replayed, *others = build_datagrams(KEY)

    assert verified_payload((KEY,), replayed) is not None
    assert len(others) == 6
    assert all(verified_payload((KEY,), datagram) is None for datagram in others)


def test_same_seed_gives_same_random_datagrams() -> None:
    assert build_datagrams(KEY, seed=3)[-3:] == build_datagrams(KEY, seed=3)[-3:]
    assert build_datagrams(KEY, seed=3)[-3:] != build_datagrams(KEY, seed=4)[-3:]
