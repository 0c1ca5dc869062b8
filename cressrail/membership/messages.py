"""What the parts of membership share: the states of a copy, records, rumours, effects and settings."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, NamedTuple

from cressrail.membership.load_reports import PeerLoadSummary

ALIVE, SUSPECTED, DEAD, LEFT = range(4)  # in the order in which one stands above another at one incarnation
VIEW_STATE_NAMES = ("alive", "suspected", "lost", "left")
PARTIALLY_REACHABLE = "partly"  # alive, but some can't reach it: of the view, not of a record

MAX_NAME_BYTES, MAX_ZONE_BYTES = 64, 24  # bytes; with them a ping and two rumours fit into 256
MIN_DATAGRAM_BYTES, MAX_DATAGRAM_BYTES = 256, 1400  # of a datagram
MAX_USER_MESSAGE_BYTES = 240
MAX_INCARNATION = 1 << 62

USE_INSTANCE_COUNT, USE_WARMUP_LOAD, USE_PEER_EJECTIONS = USES = (
    "copies",
    "cold",
    "failing",
)  # what a sidecar may go by
Address = tuple[str, int]


def instance_id(name: str) -> int:
    """A copy's number in rumours: eight bytes that follow from its name, never 0, which means anybody."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big") or 1


class InstanceRecord(NamedTuple):
    """All that a copy says of itself, with the state that is told of it. Of two the higher `order` holds."""

    name: str
    zone: str
    address: Address
    incarnation: int
    process_id: int  # drawn by each process, so that a restart or a second one of the name can be told apart
    state: int

    @property
    def id(self) -> int:
        return instance_id(self.name)


class InstanceStatus(NamedTuple):
    """The same of a copy that is known already; `by` says whose own probe it was that failed."""

    id: int
    incarnation: int
    process_id: int
    state: int
    suspected_by: int = 0


class ReachabilityReport(NamedTuple):
    """Whether one copy's calls to another go unanswered though it lives; of two the higher `nth` holds."""

    reporter: int
    target: int
    sequence: int
    is_unreachable: bool


class IdRange(NamedTuple):
    """The part of the ring of ids that a page of an exchange speaks of: above `low`, up to `high`."""

    low: int
    high: int
    is_reply: bool  # it is asked back by the one who was asked, and asks for no more


def precedence(incarnation: int, process_id: int, state: int) -> tuple[int, int, int]:
    """What decides between two words on one copy: the laws of a merge follow from taking the greater."""
    return incarnation, process_id, state


# Effects


class SendDatagram(NamedTuple):
    destination: Address
    payload: bytes


class LogEvent(NamedTuple):
    """A line for the log."""

    event: str
    fields: dict[str, Any]


class InstanceCount(NamedTuple):
    """How many copies this one goes by, and how many of them in its own zone."""

    total: float
    in_zone: float


class RequestLoadReports(NamedTuple):
    """The sidecar is asked what there is to say of its work: `Membership.say`."""


class UserMessage(NamedTuple):
    """For another part of the sidecar; `by` is the copy that said it, 0 where it came by way of others."""

    sender: int
    payload: bytes


Command = SendDatagram | LogEvent | InstanceCount | RequestLoadReports | PeerLoadSummary | UserMessage


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """What a copy is told. Spans follow from the pause that is to be borne, so that there is one figure to
    set."""

    name: str
    zone: str
    advertise: Address
    seeds: tuple[Address, ...] = ()
    keys: tuple[bytes, ...] = (b"\0" * 32,)  # the first signs, each is good
    tolerated_pause_us: int = 3_000_000
    max_datagram_bytes: int = MAX_DATAGRAM_BYTES
    configured_instance_count: int = 1  # copies, by the settings
    uses: tuple[str, ...] = ()  # of USES
    carries_user_messages: bool = False  # other parts of the sidecar talk by way of this one
    # What an ablation takes out; all on in service.
    has_local_health: bool = True
    has_indirect_ping: bool = True
    has_dynamic_suspicion: bool = True

    @property
    def ping_period_us(self) -> int:
        """Between two probes of one copy: six to the pause that is borne."""
        return self.tolerated_pause_us // 6

    @property
    def min_suspicion_us(self) -> int:
        """A suspicion that many share runs for so long. A paused copy is suspected a period after its pause
        began at the earliest, so more than a period is left for its answer to get round."""
        return self.tolerated_pause_us * 11 // 10

    @property
    def max_suspicion_us(self) -> int:
        """One that nobody else shares."""
        return 2 * self.min_suspicion_us
