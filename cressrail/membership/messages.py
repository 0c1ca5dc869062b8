"""Types shared by the components of membership: instance states, records, statuses, reports and commands."""

from __future__ import annotations

from hashlib import blake2b
from typing import Any, NamedTuple

from cressrail.membership.load_reports import PeerLoadSummary

# States in ascending order of precedence within one incarnation. Datagrams carry these numbers.
ALIVE, SUSPECTED, DEAD, LEFT = range(4)
VIEW_STATE_NAMES = ("alive", "suspected", "lost", "left")  # names of the states in the operators' interface
# Shown in the operators' interface for an instance that is alive but that some instances can't reach. It is
# never the state of a record.
PARTIALLY_REACHABLE = "partly"

MAX_NAME_BYTES, MAX_ZONE_BYTES = 64, 24  # small enough for a ping with two broadcasts to fit into 256 bytes
MIN_DATAGRAM_BYTES, MAX_DATAGRAM_BYTES = 256, 1400  # bounds of the setting for the largest datagram
MAX_USER_MESSAGE_BYTES = 240
MAX_INCARNATION = 1 << 62

# Membership findings that the policy may use, as named in the settings.
USE_INSTANCE_COUNT, USE_WARMUP_LOAD, USE_PEER_EJECTIONS = USES = ("copies", "cold", "failing")

Address = tuple[str, int]  # host as an IP address, port
Precedence = tuple[int, int, int]


def instance_id(name: str) -> int:
    """Returns the id that identifies an instance in datagrams.

    The id is an eight-byte hash of the instance's name. It is never 0, which stands for any instance.
    """
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big") or 1


def precedence(incarnation: int, process_id: int, state: int) -> Precedence:
    """Returns the precedence of a status over others of the same instance.

    Of two statuses the one with the greater precedence is kept. Such a merge is associative, commutative and
    idempotent.
    """
    return incarnation, process_id, state


class InstanceStatus(NamedTuple):
    """State of an instance whose record is known.

    Attributes:
        id: Id of the instance.
        incarnation: Incarnation number, which only the instance itself raises, to refute a suspicion.
        process_id: Random number chosen by each process, which distinguishes it from an earlier or
            concurrent process with the same instance name.
        state: One of `ALIVE`, `SUSPECTED`, `DEAD` and `LEFT`.
        suspected_by: Id of the instance that raised the suspicion after its own ping failed, or 0.
    """

    id: int
    incarnation: int
    process_id: int
    state: int
    suspected_by: int = 0

    @property
    def precedence(self) -> Precedence:
        """Precedence of this status over others of the instance."""
        return precedence(self.incarnation, self.process_id, self.state)


class InstanceRecord(NamedTuple):
    """Complete description of an instance; for the fields of its status see `InstanceStatus`."""

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
        """Precedence of this record over others of the instance."""
        return precedence(self.incarnation, self.process_id, self.state)

    def status(self) -> InstanceStatus:
        """Returns only the status of the record."""
        return InstanceStatus(self.id, self.incarnation, self.process_id, self.state)


class ReachabilityReport(NamedTuple):
    """Report of one instance on whether its pings to another live instance are answered.

    Attributes:
        reporter: Id of the instance that sends the pings.
        target: Id of the instance that is pinged.
        sequence: Sequence number; of two reports on a pair the one with the higher number is kept.
        is_unreachable: Whether the pings remain unanswered.
    """

    reporter: int
    target: int
    sequence: int
    is_unreachable: bool


class IdRange(NamedTuple):
    """Range of instance ids that a push-pull sync covers.

    Attributes:
        low: Lower end of the range, exclusive.
        high: Upper end of the range, inclusive.
        is_reply: Whether the request itself answers a request, in which case the receiver must not answer it
            with a request of its own.
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
    """Command: make the policy use these numbers of live instances.

    Attributes:
        total: Number of live instances in the fleet.
        in_zone: Number of live instances in this instance's zone.
    """

    total: float
    in_zone: float


class RequestLoadReports(NamedTuple):
    """Command: call `set_own_load_reports` with the current reports of this instance."""


class UserMessage(NamedTuple):
    """Command: pass a received message to another component of the sidecar.

    Attributes:
        sender: Id of the instance that sent the message, or 0 if it was gossiped and may have been relayed.
        payload: The message.
    """

    sender: int
    payload: bytes


Command = SendDatagram | LogEvent | InstanceCount | RequestLoadReports | PeerLoadSummary | UserMessage
