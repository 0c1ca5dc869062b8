"""IdempotencyKeys: how long a key is remembered."""

from __future__ import annotations

from cressrail.testbed.idempotency_keys import IdempotencyKeys


def test_key_is_remembered_only_within_its_window() -> None:
    keys = IdempotencyKeys()
    arrivals = (("k", 0), ("k", 90), ("j", 95), ("k", 120), ("k", 130))

    assert [keys.is_repeat(key, now_us, 100) for key, now_us in arrivals] == [False, True, False, False, True]
    assert len(keys.first_seen_us) == 2
