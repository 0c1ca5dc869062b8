"""What is to be told onwards, each item so often that it gets round: a few times the logarithm of the
fleet's size.

Items replace each other by what they are about, so the queue holds one for each copy and each pair at most.
The one told least goes first (Das, Gupta, Motivala, "SWIM", 2002, infection-style dissemination)."""

from __future__ import annotations

from collections.abc import Hashable

TIMES = 4  # the logarithm


class Rumours:
    def __init__(self) -> None:
        self.items: dict[Hashable, tuple[bytes, int]] = {}  # as bytes of a datagram, and how often told

    def add(self, about: Hashable, text: bytes) -> None:
        self.items.pop(about, None)
        self.items[about] = (text, 0)

    def drop(self, about: Hashable) -> None:
        self.items.pop(about, None)

    def keep_below(self, room: int) -> None:
        """Guards against an item that fits into no datagram and is tried for ever."""
        for about in [about for about, (text, _) in self.items.items() if len(text) > room]:
            del self.items[about]

    def __len__(self) -> int:
        return len(self.items)

    def take(self, room: int, copies: int) -> bytes:
        """As many as go into so many bytes. Each told once more; those told often enough are dropped."""
        if not self.items or room <= 0:
            return b""
        most = TIMES * max(1, copies.bit_length())
        parts: list[bytes] = []
        for about, (text, told) in sorted(self.items.items(), key=lambda item: item[1][1]):
            if len(text) > room:
                continue
            room -= len(text)
            parts.append(text)
            if told + 1 >= most:
                del self.items[about]
            else:
                self.items[about] = (text, told + 1)
            if room < 20:
                break
        return b"".join(parts)
