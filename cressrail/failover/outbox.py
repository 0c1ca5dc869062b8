"""Collects the commands that follow from an event, and numbers the messages that require an answer."""

from __future__ import annotations

from cressrail.failover import codec
from cressrail.failover.commands import Broadcast, Command, DecisionAdopted, LogEvent, SendToInstance
from cressrail.failover.messages import Decision, Heartbeat, Message

# Topics of broadcasts. Membership identifies a topic by a hash of its name, so the names must not change.
DECISION_TOPIC = "decision"
HEARTBEAT_TOPIC = "beat"
DRAIN_TOPIC_PREFIX = "wish"
MAX_ACKNOWLEDGEMENT_NUMBER = 0x7FFFFFFF


class Outbox:
    """Collects the commands that follow from one event."""

    def __init__(self) -> None:
        self._commands: list[Command] = []

    def send(self, now_us: int, recipient: int, message: Message) -> None:
        """Queues a message to one instance."""
        self._commands.append(SendToInstance(recipient, codec.encode(message, now_us)))

    def broadcast(self, now_us: int, topic: str, message: Message) -> None:
        """Queues a broadcast. Heartbeats are not urgent and are piggybacked on other datagrams."""
        is_urgent = not isinstance(message, Heartbeat)
        self._commands.append(Broadcast(topic, codec.encode(message, now_us), is_urgent))

    def log(self, event: str, **fields: object) -> None:
        """Queues a log event."""
        self._commands.append(LogEvent(event, fields))

    def announce(self, decision: Decision) -> None:
        """Queues the command that reports the adoption of a decision."""
        self._commands.append(DecisionAdopted(decision))

    def take(self) -> list[Command]:
        """Returns the queued commands and clears the queue."""
        commands, self._commands = self._commands, []
        return commands


class SequenceNumbers:
    """Generates the numbers of vote requests and acknowledgements from a shared sequence."""

    def __init__(self) -> None:
        self._last = 0

    def next_vote_request(self) -> int:
        """Returns the next number, for a vote request."""
        self._last += 1
        return self._last

    def next_acknowledgement(self) -> int:
        """Returns the next number, for an acknowledgement; wraps around at `MAX_ACKNOWLEDGEMENT_NUMBER`."""
        self._last = self._last + 1 & MAX_ACKNOWLEDGEMENT_NUMBER
        return self._last
