"""What the parts of membership share: the states of a copy, records, rumours, effects and settings."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, NamedTuple

from cressrail.membership.load_reports import PeerReports

ALIVE, SUSPECTED, LOST, LEFT = range(4)  # in the order in which one stands above another at one incarnation
STATES = ("alive", "suspected", "lost", "left")
PARTLY = "partly"  # alive, but some can't reach it: of the view, not of a record

LONGEST_NAME, LONGEST_ZONE = 64, 24  # bytes; with them a ping and two rumours fit into 256
LEAST_BYTES, MOST_BYTES = 256, 1400  # of a datagram
LONGEST_WORD = 240
MOST_INCARNATION = 1 << 62

COPIES, COLD, FAILING = USES = ("copies", "cold", "failing")  # what a sidecar may go by
Address = tuple[str, int]


def id_of(name: str) -> int:
    """A copy's number in rumours: eight bytes that follow from its name, never 0, which means anybody."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big") or 1


class Record(NamedTuple):
    """All that a copy says of itself, with the state that is told of it. Of two the higher `order` holds."""

    name: str
    zone: str
    address: Address
    incarnation: int
    birth: int  # drawn by each process, so that a restart or a second one of the name can be told apart
    state: int

    @property
    def id(self) -> int:
        return id_of(self.name)


class Brief(NamedTuple):
    """The same of a copy that is known already; `by` says whose own probe it was that failed."""

    id: int
    incarnation: int
    birth: int
    state: int
    by: int = 0


class Edge(NamedTuple):
    """Whether one copy's calls to another go unanswered though it lives; of two the higher `nth` holds."""

    by: int
    of: int
    nth: int
    on: bool


class Span(NamedTuple):
    """The part of the ring of ids that a page of an exchange speaks of: above `low`, up to `high`."""

    low: int
    high: int
    answers: bool  # it is asked back by the one who was asked, and asks for no more


def order(incarnation: int, birth: int, state: int) -> tuple[int, int, int]:
    """What decides between two words on one copy: the laws of a merge follow from taking the greater."""
    return incarnation, birth, state


# Effects


class Send(NamedTuple):
    to: Address
    data: bytes


class LogEvent(NamedTuple):
    """A line for the log."""

    event: str
    fields: dict[str, Any]


class InstanceCount(NamedTuple):
    """How many copies this one goes by, and how many of them in its own zone."""

    all: float
    in_zone: float


class Report(NamedTuple):
    """The sidecar is asked what there is to say of its work: `Membership.say`."""


class Word(NamedTuple):
    """For another part of the sidecar; `by` is the copy that said it, 0 where it came by way of others."""

    by: int
    text: bytes


Command = Send | LogEvent | InstanceCount | Report | PeerReports | Word


@dataclass(frozen=True, slots=True)
class Settings:
    """What a copy is told. Spans follow from the pause that is to be borne, so that there is one figure to
    set."""

    name: str
    zone: str
    advertise: Address
    seeds: tuple[Address, ...] = ()
    keys: tuple[bytes, ...] = (b"\0" * 32,)  # the first signs, each is good
    bear_us: int = 3_000_000
    most_bytes: int = MOST_BYTES
    figure: int = 1  # copies, by the settings
    use: tuple[str, ...] = ()  # of USES
    words: bool = False  # other parts of the sidecar talk by way of this one
    # What an ablation takes out; all on in service.
    aware: bool = True
    indirect: bool = True
    shrinks: bool = True

    @property
    def period_us(self) -> int:
        """Between two probes of one copy: six to the pause that is borne."""
        return self.bear_us // 6

    @property
    def least_us(self) -> int:
        """A suspicion that many share runs for so long. A paused copy is suspected a period after its pause
        began at the earliest, so more than a period is left for its answer to get round."""
        return self.bear_us * 11 // 10

    @property
    def most_us(self) -> int:
        """One that nobody else shares."""
        return 2 * self.least_us
