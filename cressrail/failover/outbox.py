"""Collects the commands of one event, and numbers the messages that want an answer."""

from __future__ import annotations

from cressrail.failover import codec
from cressrail.failover.commands import Broadcast, Command, DecisionAdopted, LogEvent, SendToInstance
from cressrail.failover.messages import Decision, Heartbeat, Message

# Topics of broadcasts. Membership numbers them by a hash of the name, which all releases must agree on.
DECISION_TOPIC = "decision"
HEARTBEAT_TOPIC = "beat"
DRAIN_TOPIC_PREFIX = "wish"
MAX_ACKNOWLEDGEMENT_NUMBER = 0x7FFFFFFF


class Outbox:
    """Collects the commands of one event."""

    def __init__(self) -> None:
        self._commands: list[Command] = []

    def send(self, now_us: int, recipient: int, message: Message) -> None:
        """Sends a message to one instance."""
        self._commands.append(SendToInstance(recipient, codec.encode(message, now_us)))

    def broadcast(self, now_us: int, topic: str, message: Message) -> None:
        """Gossips a message to all instances; heartbeats travel with other datagrams."""
        is_urgent = not isinstance(message, Heartbeat)
        self._commands.append(Broadcast(topic, codec.encode(message, now_us), is_urgent))

    def log(self, event: str, **fields: object) -> None:
        """Writes an event to the log."""
        self._commands.append(LogEvent(event, fields))

    def announce(self, decision: Decision) -> None:
        """Says that a decision holds here from now on."""
        self._commands.append(DecisionAdopted(decision))

    def take(self) -> list[Command]:
        """Returns the collected commands, and begins anew."""
        commands, self._commands = self._commands, []
        return commands


class SequenceNumbers:
    """Numbers for vote requests and acknowledgements, from one sequence."""

    def __init__(self) -> None:
        self._last = 0

    def next_vote_request(self) -> int:
        """Returns the number of a vote request."""
        self._last += 1
        return self._last

    def next_acknowledgement(self) -> int:
        """Returns the number of an acknowledgement, which wraps around."""
        self._last = self._last + 1 & MAX_ACKNOWLEDGEMENT_NUMBER
        return self._last
