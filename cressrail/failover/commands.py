"""Commands that the failover state machine returns; the network driver or the simulation carries them out."""

from __future__ import annotations

from typing import NamedTuple

from cressrail.failover.messages import Decision


class SendToInstance(NamedTuple):
    """Sends an encoded message to one instance; it may be lost."""

    recipient: int
    payload: bytes


class Broadcast(NamedTuple):
    """Gossips an encoded message to all instances.

    Attributes:
        topic: A later broadcast on the same topic replaces an earlier one.
        payload: The encoded message.
        is_urgent: Whether it is sent at once; otherwise it travels with other datagrams.
    """

    topic: str
    payload: bytes
    is_urgent: bool = True


class DecisionAdopted(NamedTuple):
    """A decision holds at this instance from now on."""

    decision: Decision


class LogEvent(NamedTuple):
    """Writes an event with its fields to the log."""

    event: str
    fields: dict[str, object]


Command = SendToInstance | Broadcast | DecisionAdopted | LogEvent
