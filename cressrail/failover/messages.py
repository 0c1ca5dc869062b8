"""What the parts of failover share: the map of zones, evidence, decisions, effects and settings."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

SERVING, REDUCED, AWAY, DRAINED, RETURNING = range(5)
STATES = ("serving", "reduced", "away", "drained", "returning")
WHY = (
    "",
    "failing",
    "cannot be reached",
    "asked for",
    "more than it bears",
    "proves itself",
    "nobody to carry it",
)
FINE, FAILING, UNREACHED, ASKED, CROWDED, PROVING, NOWHERE = range(len(WHY))
STEPS = 1_000_000  # more than there are decisions in a term
PARTS = 200  # a share is told in so many parts
MOST_ZONES = 8


class Epoch(NamedTuple):
    """Of a decision; the greater holds. `term` grows with each one who decides, `step` with each decision."""

    term: int
    step: int

    @property
    def number(self) -> int:
        """As one, for people."""
        return self.term * STEPS + self.step


class Toward(NamedTuple):
    """What one copy saw of one zone of endpoints over the last seconds."""

    hops: int  # sent
    unreached: int  # of them: no connection came up
    failed: int  # of them: ended in an error that is the endpoint's, or in none
    late: int  # of them: answered after they were late
    bears: float  # hops a second that this copy may have there, as its limits and their latency say


class Evidence(NamedTuple):
    """What one copy tells: `zone` is its own, `towards` by zone."""

    zone: int
    demand: float  # transactions a second that came to it
    towards: tuple[Toward, ...]


@dataclass(frozen=True, slots=True)
class ZoneTopology:
    """Zones in the order of the settings, each with its region, and what a way between regions costs."""

    zones: tuple[str, ...]
    regions: tuple[str, ...]  # of each zone
    way_us: int = 0  # a round trip between two regions; none within one

    def near(self, a: int, b: int) -> int:
        """0 for the zone itself, 1 within its region, 2 beyond."""
        return 0 if a == b else 1 if self.regions[a] == self.regions[b] else 2


class Zone(NamedTuple):
    """Of a decision: how one zone of endpoints stands, and why."""

    state: int
    why: int
    since_us: int  # by the clock of whoever looks; told as an age


@dataclass(frozen=True, slots=True)
class Decision:
    epoch: Epoch
    by: int  # id of the copy that took it
    zones: tuple[Zone, ...]
    shares: tuple[tuple[float, ...], ...]  # of each caller's zone, to each zone; what is left is rolled back
    drains: tuple[tuple[int, int], ...] = ()  # zones that operators want empty, and until when


class DrainRequest(NamedTuple):
    """An operator's: that a zone is drained until then (0: no more)."""

    zone: int
    until_us: int
    nth: int  # the later said holds


# Effects


class Post(NamedTuple):
    """To one copy."""

    to: int
    text: bytes


class Spread(NamedTuple):
    """To all, by way of each other; `about` says what an earlier one it replaces was about."""

    about: str
    text: bytes
    urgent: bool = True


class Adopted(NamedTuple):
    """A decision holds from now on."""

    decision: Decision


class LogEvent(NamedTuple):
    event: str
    fields: dict[str, object]


Command = Post | Spread | Adopted | LogEvent


@dataclass(frozen=True, slots=True)
class Settings:
    """Spans follow from the pause that membership bears."""

    map: ZoneTopology
    zone: int
    cold_from: float = 0.2
    warm_us: int = 10_000_000
    bear_us: int = 3_000_000

    @property
    def period_us(self) -> int:
        """Between two reports, and two looks at them."""
        return self.bear_us // 6

    @property
    def lease_us(self) -> int:
        """For which whoever decides counts on a copy that answered."""
        return self.bear_us // 2

    @property
    def fresh_us(self) -> int:
        """For which a decision holds without a sign that whoever took it is still heard."""
        return 3 * self.bear_us

    @property
    def fade_us(self) -> int:
        """In which one then gives way to each copy's own judgement."""
        return 6 * self.bear_us
