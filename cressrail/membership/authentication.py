"""What makes a datagram one of the fleet's: its code by one of the shared keys, and a number used once.

The code is HMAC-SHA-256 (RFC 2104) of all before it; the window of numbers is the one of RFC 6479 in small:
the highest seen and which of the 64 below it."""

from __future__ import annotations

import hmac

AUTHENTICATION_BYTES = 32  # bytes at the end of a datagram
REPLAY_WINDOW = 64


def sign_datagram(key: bytes, text: bytes) -> bytes:
    return text + hmac.digest(key, text, "sha256")


def verified_payload(keys: tuple[bytes, ...], data: bytes) -> bytes | None:
    """What was sealed, or nothing if none of the keys did."""
    text, code = data[:-AUTHENTICATION_BYTES], data[-AUTHENTICATION_BYTES:]
    for key in keys:
        if hmac.compare_digest(hmac.digest(key, text, "sha256"), code):
            return text
    return None


def advance_replay_window(top: int, seen: int, number: int) -> tuple[int, int] | None:
    """The window after this number; nothing if it was there already or lies too far back."""
    if number > top:
        return number, (seen << min(REPLAY_WINDOW, number - top) | 1) & (1 << REPLAY_WINDOW) - 1
    back = top - number
    if back >= REPLAY_WINDOW or seen >> back & 1:
        return None
    return top, seen | 1 << back
