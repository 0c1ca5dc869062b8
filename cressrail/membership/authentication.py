"""Authenticates datagrams and protects them against replay.

A datagram ends with an authentication code: the HMAC-SHA-256 (RFC 2104) of all preceding bytes under one of
the shared keys. Each datagram of a process also carries a number that the process uses only once. The replay
window is a small version of the one in RFC 6479: it holds the highest number received and one bit for each
of the 64 numbers that end with it.
"""

from __future__ import annotations

import hmac

AUTHENTICATION_BYTES = 32  # size of the code at the end of a datagram
REPLAY_WINDOW = 64  # datagram numbers covered by the window


def sign_datagram(key: bytes, payload: bytes) -> bytes:
    """Returns the payload with its authentication code appended."""
    return payload + hmac.digest(key, payload, "sha256")


def verified_payload(keys: tuple[bytes, ...], datagram: bytes) -> bytes | None:
    """Returns the payload without its code, or `None` if none of the keys verifies the code."""
    payload, code = datagram[:-AUTHENTICATION_BYTES], datagram[-AUTHENTICATION_BYTES:]
    for key in keys:
        if hmac.compare_digest(hmac.digest(key, payload, "sha256"), code):
            return payload
    return None


def advance_replay_window(highest: int, window: int, number: int) -> tuple[int, int] | None:
    """Updates a replay window for a received datagram.

    Args:
        highest: Highest datagram number received so far.
        window: Bit mask of the received numbers; bit `n` stands for the number `highest - n`.
        number: Number of the received datagram.

    Returns:
        The new highest number and window, or `None` if the number was already received or is older than the
        window, so that a replay can't be ruled out.
    """
    if number > highest:
        shifted = window << min(REPLAY_WINDOW, number - highest) | 1
        return number, shifted & (1 << REPLAY_WINDOW) - 1
    age = highest - number
    if age >= REPLAY_WINDOW or window >> age & 1:
        return None
    return highest, window | 1 << age
