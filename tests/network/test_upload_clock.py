"""Tests of the time from which the deadline of a request counts that is still being received."""

from __future__ import annotations

import pytest

from cressrail.network.upload_clock import MAX_UNSENT_BYTES, SETTLED_US, SURE_WINDOW_BYTES, UploadClock

MANY = 10 * MAX_UNSENT_BYTES


def test_request_was_incomplete_when_nothing_more_waited() -> None:
    clock = UploadClock(1, None)
    clock.on_empty(2)
    clock.on_read(1, 5)
    clock.on_empty(2)
    clock.on_read(1, 3)
    assert clock.incomplete_us == 5


@pytest.mark.parametrize(
    ("read_bytes", "pause_us", "is_sure"),
    [
        (SURE_WINDOW_BYTES - 1, 1, True),
        (SURE_WINDOW_BYTES, SETTLED_US - 1, False),
        (SURE_WINDOW_BYTES, SETTLED_US, True),
    ],
)
def test_short_pause_shows_nothing_where_the_window_may_have_been_shut(
    read_bytes: int, pause_us: int, is_sure: bool
) -> None:
    clock = UploadClock(1, None)
    clock.on_read(read_bytes, 1)
    clock.on_empty(2)
    clock.on_read(1, 2 + pause_us)
    assert clock.incomplete_us == (2 + pause_us if is_sure else 1)


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
