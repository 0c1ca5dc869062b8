"""What the parts of membership share: states of an instance, its record and status, reports and commands."""

from __future__ import annotations

from hashlib import blake2b
from typing import Any, NamedTuple

from cressrail.membership.load_reports import PeerLoadSummary

ALIVE, SUSPECTED, DEAD, LEFT = range(4)  # by precedence at one incarnation; also the numbers in datagrams
VIEW_STATE_NAMES = ("alive", "suspected", "lost", "left")  # as the operators' interface has them
PARTIALLY_REACHABLE = "partly"  # there: alive, but some can't reach it; never in a record

MAX_NAME_BYTES, MAX_ZONE_BYTES = 64, 24  # with them a ping and two broadcasts fit into 256 bytes
MIN_DATAGRAM_BYTES, MAX_DATAGRAM_BYTES = 256, 1400  # to which the largest datagram may be set
MAX_USER_MESSAGE_BYTES = 240
MAX_INCARNATION = 1 << 62

# What the policy may go by, in the words of the settings.
USE_INSTANCE_COUNT, USE_WARMUP_LOAD, USE_PEER_EJECTIONS = USES = ("copies", "cold", "failing")

Address = tuple[str, int]  # host as an IP address, port
Precedence = tuple[int, int, int]


def instance_id(name: str) -> int:
    """The id of an instance in datagrams: eight bytes of a hash of its name, never 0, which means anybody."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big") or 1


def precedence(incarnation: int, process_id: int, state: int) -> Precedence:
    """What decides between two statuses of an instance: the greater holds.

    A merge that takes the greater is associative, commutative and idempotent.
    """
    return incarnation, process_id, state


class InstanceStatus(NamedTuple):
    """State of an instance whose record is known.

    Attributes:
        id: Of the instance.
        incarnation: Raised by the instance itself to refute a suspicion.
        process_id: Drawn at random by each process, to tell it from an earlier or second one of the name.
        state: One of `ALIVE`, `SUSPECTED`, `DEAD` and `LEFT`.
        suspected_by: Id of the instance whose own ping failed, 0 if there is none.
    """

    id: int
    incarnation: int
    process_id: int
    state: int
    suspected_by: int = 0

    @property
    def precedence(self) -> Precedence:
        """What decides between this and another status."""
        return precedence(self.incarnation, self.process_id, self.state)


class InstanceRecord(NamedTuple):
    """All that an instance says of itself, with its state; see `InstanceStatus`."""

    name: str
    zone: str
    address: Address
    incarnation: int
    process_id: int
    state: int

    @property
    def id(self) -> int:
        """Id of the instance."""
        return instance_id(self.name)

    @property
    def precedence(self) -> Precedence:
        """What decides between this and another record."""
        return precedence(self.incarnation, self.process_id, self.state)

    def status(self) -> InstanceStatus:
        """The status without the rest."""
        return InstanceStatus(self.id, self.incarnation, self.process_id, self.state)


class ReachabilityReport(NamedTuple):
    """Whether the pings of one instance to another go unanswered though that lives.

    Attributes:
        reporter: Id of the instance that pings.
        target: Id of the one that is pinged.
        sequence: Of two reports on the pair the one with the higher number holds.
        is_unreachable: Whether the pings go unanswered.
    """

    reporter: int
    target: int
    sequence: int
    is_unreachable: bool


class IdRange(NamedTuple):
    """The part of the ring of instance ids that a push-pull sync covers: above `low`, up to `high`.

    `is_reply` marks a request that itself answers one, so that no further one follows.
    """

    low: int
    high: int
    is_reply: bool


class SendDatagram(NamedTuple):
    """Command: send a datagram."""

    destination: Address
    payload: bytes


class LogEvent(NamedTuple):
    """Command: write a log event."""

    event: str
    fields: dict[str, Any]


class InstanceCount(NamedTuple):
    """Command: go by so many instances in all, and so many in the own zone."""

    total: float
    in_zone: float


class RequestLoadReports(NamedTuple):
    """Command: call `set_own_load_reports` with what there is to report."""


class UserMessage(NamedTuple):
    """Command: pass a message to another part of the sidecar.

    `sender` is the id of the instance that sent it, 0 if it came by way of others.
    """

    sender: int
    payload: bytes


Command = SendDatagram | LogEvent | InstanceCount | RequestLoadReports | PeerLoadSummary | UserMessage
