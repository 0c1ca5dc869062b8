"""Queue of gossip broadcasts, each sent as often as it takes to reach the whole fleet.

A broadcast replaces an earlier one on the same topic, so the queue holds one for each instance and each pair
at most. The one sent least often goes first (Das, Gupta, Motivala, "SWIM", 2002, infection-style
dissemination).
"""

from __future__ import annotations

from enum import IntEnum, auto
from typing import NamedTuple

RETRANSMIT_FACTOR = 4  # transmissions of a broadcast, as a multiple of the logarithm of the fleet's size
MIN_BROADCAST_BYTES = 20  # with less room left in a datagram no other broadcast is looked for


class TopicKind(IntEnum):
    """What a broadcast is about."""

    INSTANCE = auto()
    SUSPICION = auto()
    REACHABILITY = auto()
    USER_MESSAGE = auto()


class BroadcastTopic(NamedTuple):
    """What a broadcast is about; `other` is who suspects, or who can't be reached."""

    kind: TopicKind
    subject: int
    other: int = 0


class _Entry(NamedTuple):
    payload: bytes
    times_sent: int


class BroadcastQueue:
    """Broadcasts, encoded as fields of a datagram."""

    def __init__(self) -> None:
        self._entries: dict[BroadcastTopic, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def enqueue(self, topic: BroadcastTopic, payload: bytes) -> None:
        """Adds a broadcast; an earlier one on the topic is not sent any more."""
        self._entries.pop(topic, None)
        self._entries[topic] = _Entry(payload, 0)

    def withdraw(self, topic: BroadcastTopic) -> None:
        """Drops the broadcast on a topic, if there is one."""
        self._entries.pop(topic, None)

    def withdraw_suspicions(self, subject: int) -> None:
        """Drops the broadcasts on all suspicions of one instance."""
        for topic in [topic for topic in self._entries if topic[:2] == (TopicKind.SUSPICION, subject)]:
            del self._entries[topic]

    def clear(self) -> None:
        """Drops all broadcasts."""
        self._entries.clear()

    def drop_larger_than(self, max_bytes: int) -> None:
        """Drops broadcasts that fit into no datagram and would be tried for ever."""
        self._entries = {
            topic: entry for topic, entry in self._entries.items() if len(entry.payload) <= max_bytes
        }

    def next_broadcasts(self, room: int, fleet_size: int) -> bytes:
        """Returns as many broadcasts as fit into `room` bytes, and counts them as sent."""
        if not self._entries or room <= 0:
            return b""
        max_transmissions = RETRANSMIT_FACTOR * max(1, fleet_size.bit_length())
        parts: list[bytes] = []
        for topic, (payload, times_sent) in sorted(
            self._entries.items(), key=lambda item: item[1].times_sent
        ):
            if len(payload) > room:
                continue
            room -= len(payload)
            parts.append(payload)
            if times_sent + 1 >= max_transmissions:
                del self._entries[topic]
            else:
                self._entries[topic] = _Entry(payload, times_sent + 1)
            if room < MIN_BROADCAST_BYTES:
                break
        return b"".join(parts)
