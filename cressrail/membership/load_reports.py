"""What a copy says of its own work, in what room its datagrams have left: the weight of its traffic,
endpoints that it calls failing, work that it gave to each cold endpoint.

Each copy speaks for itself only and nobody passes it on, so a copy's words cost the same in any fleet; who
hears few of them takes the mean of those for the others'. Of two words on the same the later said holds, by
the sayer's own count, with what it says of its age as it came: the merge takes the greater of two, so it is
associative, commutative and idempotent."""

from __future__ import annotations

import struct
from collections.abc import Iterable, Mapping
from typing import NamedTuple

WEIGHT, FAILING, COLD = 1, 2, 3
KINDS = (WEIGHT, FAILING, COLD)
FORM = struct.Struct("!BQIIH")  # kind, about, value, count, age in milliseconds
MOST_VALUE = 1 << 31
MOST_AGE_MS = 60_000
LIFE = {WEIGHT: 60, FAILING: 8, COLD: 20}  # periods for which one is good
AT_ONCE = 6  # hints in a datagram
MOST_OF_ONE = 128  # that are kept of one copy
MOST = 16_384  # that are kept
ENOUGH = 3  # copies whose words stand for the others', where there are more
Order = tuple[int, int, int, int]


class LoadReport(NamedTuple):
    """`about`: an endpoint's number, 0 of the copy itself. `value`: of WEIGHT and COLD thousandths of a
    transaction a second, of FAILING 1 or 0."""

    kind: int
    about: int
    value: int
    nth: int
    age_ms: int


class Kept(NamedTuple):
    order: Order  # incarnation, birth, count, and minus when it was made: the greater holds
    value: int
    made_us: int


class PeerReports(NamedTuple):
    """What the others' words come to. Rates are of transactions a microsecond."""

    failing: tuple[int, ...]  # endpoints
    cold: Mapping[int, float]  # work that all others give to each of these
    weight: float  # traffic of all, this copy's included


def pack(told: LoadReport) -> bytes:
    return FORM.pack(*told)


def unpack(body: bytes) -> LoadReport:
    """Raises `ValueError` and `struct.error`."""
    told = LoadReport(*FORM.unpack_from(body))
    if told.value > MOST_VALUE or told.age_ms > MOST_AGE_MS:
        raise ValueError
    return told


class Hints:
    def __init__(self, period_us: int) -> None:
        self.period_us = period_us
        self.own: dict[tuple[int, int], tuple[int, int, int]] = {}  # value, count, when made
        self.told: dict[tuple[int, int], int] = {}  # how often, so that each gets its turn
        self.count = 0
        self.kept: dict[int, dict[tuple[int, int], Kept]] = {}  # by who said it
        self.size = 0

    # Own words

    def say(self, now: int, words: Iterable[tuple[int, int, int]]) -> None:
        """(kind, about, value): all that there is to say now. What was said before and is no more is said to
        be 0 until it would be forgotten by itself."""
        new = {(kind, about): value for kind, about, value in words}
        for key, (value, _, made_us) in list(self.own.items()):
            if key not in new:
                if value == 0 and now - made_us > LIFE[key[0]] * self.period_us:
                    del self.own[key]
                    self.told.pop(key, None)
                elif value:
                    new[key] = 0
        least = min(self.told.values(), default=0)
        for key, value in new.items():
            self.count += 1
            self.told.setdefault(key, least)
            self.own[key] = (min(value, MOST_VALUE), self.count, now)

    def take(self, now: int, room: int) -> list[LoadReport]:
        """Those said least often, as many as go into a datagram."""
        most = min(AT_ONCE, room // (FORM.size + 2))
        if most <= 0 or not self.own:
            return []
        keys = sorted(self.own, key=self.told.__getitem__)[:most]
        out = []
        for key in keys:
            value, count, made_us = self.own[key]
            self.told[key] += 1
            out.append(LoadReport(*key, value, count, min(MOST_AGE_MS, (now - made_us) // 1000)))
        return out

    # Others' words

    def hear(self, now: int, by: int, incarnation: int, birth: int, told: LoadReport) -> None:
        if told.kind not in KINDS or told.age_ms * 1000 > LIFE[told.kind] * self.period_us:
            return
        made_us = now - told.age_ms * 1000
        of, key = self.kept.setdefault(by, {}), (told.kind, told.about)
        new = Kept((incarnation, birth, told.nth, -made_us), told.value, made_us)
        before = of.get(key)
        if before is None:
            if len(of) >= MOST_OF_ONE or self.size >= MOST:
                return
            self.size += 1
        elif before.order >= new.order:
            return
        of[key] = new

    def forget(self, by: int) -> None:
        """One that is lost or has left: its words end with it."""
        self.size -= len(self.kept.pop(by, {}))

    def fade(self, now: int) -> None:
        for by, of in list(self.kept.items()):
            for key in [k for k, kept in of.items() if now - kept.made_us > LIFE[k[0]] * self.period_us]:
                del of[key]
                self.size -= 1
            if not of:
                del self.kept[by]

    def sums(self, now: int, copies: float, near: Iterable[int]) -> PeerReports:
        """`copies`: that are up, this one included; `near`: those of the own zone, which see endpoints as
        this one does."""
        self.fade(now)
        others = max(0.0, copies - 1)
        weights: list[int] = []
        cold: dict[int, list[int]] = {}
        for of in self.kept.values():
            for (kind, about), kept in of.items():
                if kind == WEIGHT:
                    weights.append(kept.value)
                elif kind == COLD:
                    cold.setdefault(about, []).append(kept.value)
        enough = min(float(ENOUGH), others)
        own = self.own.get((WEIGHT, 0), (0, 0, 0))[0]
        weight = sum(weights) / len(weights) * others if weights and len(weights) >= enough else 0.0
        return PeerReports(
            self._failing(near),
            {about: sum(of) / len(of) * others / 1e9 for about, of in cold.items() if len(of) >= enough},
            (weight + own) / 1e9,
        )

    def _failing(self, near: Iterable[int]) -> tuple[int, ...]:
        """Endpoints of which two say so at least, and a third of those near that say anything: guards against
        a copy that is wrong or lies, and against a way of a few that is cut."""
        heard = [self.kept[by] for by in near if by in self.kept]
        votes: dict[int, int] = {}
        for of in heard:
            for (kind, about), kept in of.items():
                if kind == FAILING and kept.value:
                    votes[about] = votes.get(about, 0) + 1
        return tuple(sorted(about for about, n in votes.items() if n >= 2 and 3 * n >= len(heard)))
