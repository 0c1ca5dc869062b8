"""Queue of gossip broadcasts, each of which is retransmitted until it has reached the whole fleet.

A broadcast replaces any earlier one on the same topic, so apart from user messages the queue holds at most
one broadcast about the state of each instance and one about each pair of instances in a suspicion or
reachability report. Broadcasts that were sent least often are sent first, as in the infection-style
dissemination of Das, Gupta and Motivala, "SWIM", 2002.
"""

from __future__ import annotations

from enum import IntEnum, auto
from typing import NamedTuple

RETRANSMIT_FACTOR = 4  # transmissions of a broadcast per bit of the fleet's size (binary logarithm)
MIN_BROADCAST_BYTES = 20  # no more broadcasts are added to a datagram with fewer free bytes


class TopicKind(IntEnum):
    """Kind of information that a broadcast carries."""

    INSTANCE = auto()
    SUSPICION = auto()
    REACHABILITY = auto()
    USER_MESSAGE = auto()


class BroadcastTopic(NamedTuple):
    """Key under which a broadcast replaces an earlier one.

    Attributes:
        kind: Kind of information.
        subject: For a reachability report, the id of its reporter; for a user message, its subject; for
            the other kinds, the id of the instance that the broadcast is about.
        other: For a suspicion, the id of the instance that raised it; for a reachability report, the id of
            its target; 0 for the other kinds.
    """

    kind: TopicKind
    subject: int
    other: int = 0


class _Entry(NamedTuple):
    payload: bytes
    times_sent: int


class BroadcastQueue:
    """Holds broadcasts that are encoded as datagram fields, with the number of times each was sent."""

    def __init__(self) -> None:
        self._entries: dict[BroadcastTopic, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def enqueue(self, topic: BroadcastTopic, payload: bytes) -> None:
        """Adds a broadcast and drops any earlier one on the same topic."""
        self._entries.pop(topic, None)
        self._entries[topic] = _Entry(payload, 0)

    def withdraw(self, topic: BroadcastTopic) -> None:
        """Drops the broadcast on a topic, if the queue holds one."""
        self._entries.pop(topic, None)

    def withdraw_suspicions(self, subject: int) -> None:
        """Drops all broadcasts that report a suspicion of one instance, whoever raised it."""
        for topic in [topic for topic in self._entries if topic[:2] == (TopicKind.SUSPICION, subject)]:
            del self._entries[topic]

    def clear(self) -> None:
        """Drops all broadcasts."""
        self._entries.clear()

    def drop_larger_than(self, max_bytes: int) -> None:
        """Drops broadcasts of more than `max_bytes` bytes, which would otherwise stay queued for ever."""
        self._entries = {
            topic: entry for topic, entry in self._entries.items() if len(entry.payload) <= max_bytes
        }

    def next_broadcasts(self, room: int, fleet_size: int) -> bytes:
        """Returns the broadcasts that fit into `room` bytes, concatenated, and counts them as sent.

        A broadcast is dropped after its last transmission. The number of transmissions grows with the
        logarithm of `fleet_size`, the number of instances in the fleet.
        """
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
