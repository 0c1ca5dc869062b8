"""Commands of the failover state machine, executed by the network driver or by the simulation."""

from __future__ import annotations

from typing import NamedTuple

from cressrail.failover.messages import Decision


class SendToInstance(NamedTuple):
    """Sends an encoded message to one instance, without a guarantee of delivery.

    Attributes:
        recipient: Id of the receiving instance.
        payload: The encoded message.
    """

    recipient: int
    payload: bytes


class Broadcast(NamedTuple):
    """Gossips an encoded message to all instances.

    Attributes:
        topic: Topic of the broadcast; a later broadcast on a topic replaces an earlier one.
        payload: The encoded message.
        is_urgent: Whether the message is sent immediately rather than piggybacked on other datagrams.
    """

    topic: str
    payload: bytes
    is_urgent: bool = True


class DecisionAdopted(NamedTuple):
    """Reports that this instance has adopted a decision, which is now in force here."""

    decision: Decision


class LogEvent(NamedTuple):
    """Writes an event and its fields to the log."""

    event: str
    fields: dict[str, object]


Command = SendToInstance | Broadcast | DecisionAdopted | LogEvent
