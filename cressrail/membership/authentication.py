"""What makes a datagram one of the fleet's: its code by one of the shared keys, and a number used once.

The code is HMAC-SHA-256 (RFC 2104) of all before it; the window of numbers is the one of RFC 6479 in small:
the highest seen and which of the 64 below it."""

from __future__ import annotations

import hmac

CODE = 32  # bytes at the end of a datagram
WINDOW = 64


def seal(key: bytes, text: bytes) -> bytes:
    return text + hmac.digest(key, text, "sha256")


def opened(keys: tuple[bytes, ...], data: bytes) -> bytes | None:
    """What was sealed, or nothing if none of the keys did."""
    text, code = data[:-CODE], data[-CODE:]
    for key in keys:
        if hmac.compare_digest(hmac.digest(key, text, "sha256"), code):
            return text
    return None


def fresh(top: int, seen: int, number: int) -> tuple[int, int] | None:
    """The window after this number; nothing if it was there already or lies too far back."""
    if number > top:
        return number, (seen << min(WINDOW, number - top) | 1) & (1 << WINDOW) - 1
    back = top - number
    if back >= WINDOW or seen >> back & 1:
        return None
    return top, seen | 1 << back
