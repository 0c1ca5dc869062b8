"""Tests of the time from which the deadline of a request counts that is still being received."""

from __future__ import annotations

from cressrail.network.upload_clock import MAX_UNSENT_BYTES, UploadClock

MANY = 10 * MAX_UNSENT_BYTES


def test_request_was_incomplete_when_nothing_more_waited() -> None:
    clock = UploadClock(1, None)
    clock.on_drained(5)
    clock.on_drained(3)
    assert clock.incomplete_us == 5


def test_request_with_length_is_incomplete_while_more_is_missing_than_can_wait_unread() -> None:
    clock = UploadClock(1, MANY)
    clock.on_received(2, MANY - MAX_UNSENT_BYTES - 10, unread_bytes=9)
    assert clock.incomplete_us == 2
    clock.on_received(3, MANY - MAX_UNSENT_BYTES - 10, unread_bytes=10)
    assert clock.incomplete_us == 2


def test_request_without_length_was_incomplete_if_more_came_later_than_can_have_waited() -> None:
    clock = UploadClock(1, None)
    clock.on_received(2, 100, unread_bytes=50)
    clock.on_received(3, 150 + MAX_UNSENT_BYTES, unread_bytes=0)
    assert clock.incomplete_us == 1
    clock.on_received(4, 151 + MAX_UNSENT_BYTES, unread_bytes=0)
    assert clock.incomplete_us == 2
