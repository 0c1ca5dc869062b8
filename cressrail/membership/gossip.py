"""What is to be told onwards, each item so often that it gets round: a few times the logarithm of the
fleet's size.

Items replace each other by what they are about, so the queue holds one for each copy and each pair at most.
The one told least goes first (Das, Gupta, Motivala, "SWIM", 2002, infection-style dissemination)."""

from __future__ import annotations

from collections.abc import Hashable

RETRANSMIT_FACTOR = 4  # the logarithm


class BroadcastQueue:
    def __init__(self) -> None:
        self.entries: dict[Hashable, tuple[bytes, int]] = {}  # as bytes of a datagram, and how often told

    def enqueue(self, about: Hashable, text: bytes) -> None:
        self.entries.pop(about, None)
        self.entries[about] = (text, 0)

    def withdraw(self, about: Hashable) -> None:
        self.entries.pop(about, None)

    def drop_larger_than(self, room: int) -> None:
        """Guards against an item that fits into no datagram and is tried for ever."""
        for about in [about for about, (text, _) in self.entries.items() if len(text) > room]:
            del self.entries[about]

    def __len__(self) -> int:
        return len(self.entries)

    def next_broadcasts(self, room: int, copies: int) -> bytes:
        """As many as go into so many bytes. Each told once more; those told often enough are dropped."""
        if not self.entries or room <= 0:
            return b""
        most = RETRANSMIT_FACTOR * max(1, copies.bit_length())
        parts: list[bytes] = []
        for about, (text, told) in sorted(self.entries.items(), key=lambda item: item[1][1]):
            if len(text) > room:
                continue
            room -= len(text)
            parts.append(text)
            if told + 1 >= most:
                del self.entries[about]
            else:
                self.entries[about] = (text, told + 1)
            if room < 20:
                break
        return b"".join(parts)
