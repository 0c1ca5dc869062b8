"""Authenticates datagrams: a code by one of the shared keys, and a number that is used once.

The code is HMAC-SHA-256 (RFC 2104) of all before it. The window of numbers is that of RFC 6479 in small: the
highest number seen, and a bit for each of the 64 from there down.
"""

from __future__ import annotations

import hmac

AUTHENTICATION_BYTES = 32  # at the end of a datagram
REPLAY_WINDOW = 64  # numbers


def sign_datagram(key: bytes, payload: bytes) -> bytes:
    """Returns the payload with its code appended."""
    return payload + hmac.digest(key, payload, "sha256")


def verified_payload(keys: tuple[bytes, ...], datagram: bytes) -> bytes | None:
    """Returns the payload, or `None` if it was signed with none of the keys."""
    payload, code = datagram[:-AUTHENTICATION_BYTES], datagram[-AUTHENTICATION_BYTES:]
    for key in keys:
        if hmac.compare_digest(hmac.digest(key, payload, "sha256"), code):
            return payload
    return None


def advance_replay_window(highest: int, window: int, number: int) -> tuple[int, int] | None:
    """Returns the highest number and the window after a datagram of this number.

    `None` if the number was used already, or is too old to tell.
    """
    if number > highest:
        shifted = window << min(REPLAY_WINDOW, number - highest) | 1
        return number, shifted & (1 << REPLAY_WINDOW) - 1
    age = highest - number
    if age >= REPLAY_WINDOW or window >> age & 1:
        return None
    return highest, window | 1 << age
