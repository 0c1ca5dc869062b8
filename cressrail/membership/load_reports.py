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

TRAFFIC, FAILING, WARMUP_LOAD = 1, 2, 3
REPORT_KINDS = (TRAFFIC, FAILING, WARMUP_LOAD)
REPORT_STRUCT = struct.Struct("!BQIIH")  # kind, about, value, count, age in milliseconds
MAX_VALUE = 1 << 31
MAX_AGE_MS = 60_000
LIFETIME_PERIODS = {TRAFFIC: 60, FAILING: 8, WARMUP_LOAD: 20}  # periods for which one is good
MAX_PER_DATAGRAM = 6  # hints in a datagram
MAX_PER_INSTANCE = 128  # that are kept of one copy
MAX_STORED = 16_384  # that are kept
MIN_REPORTERS = 3  # copies whose words stand for the others', where there are more
ReportPrecedence = tuple[int, int, int, int]


class LoadReport(NamedTuple):
    """`about`: an endpoint's number, 0 of the copy itself. `value`: of WEIGHT and COLD thousandths of a
    transaction a second, of FAILING 1 or 0."""

    kind: int
    subject: int
    value: int
    sequence: int
    age_ms: int


class StoredReport(NamedTuple):
    precedence: ReportPrecedence  # incarnation, birth, count, and minus when it was made: the greater holds
    value: int
    made_us: int


class PeerLoadSummary(NamedTuple):
    """What the others' words come to. Rates are of transactions a microsecond."""

    failing_endpoints: tuple[int, ...]  # endpoints
    warmup_loads: Mapping[int, float]  # work that all others give to each of these
    total_traffic: float  # traffic of all, this copy's included


def pack_load_report(told: LoadReport) -> bytes:
    return REPORT_STRUCT.pack(*told)


def unpack_load_report(body: bytes) -> LoadReport:
    """Raises `ValueError` and `struct.error`."""
    told = LoadReport(*REPORT_STRUCT.unpack_from(body))
    if told.value > MAX_VALUE or told.age_ms > MAX_AGE_MS:
        raise ValueError
    return told


class PeerLoadReports:
    def __init__(self, period_us: int) -> None:
        self.period_us = period_us
        self.own_reports: dict[tuple[int, int], tuple[int, int, int]] = {}  # value, count, when made
        self.times_sent: dict[tuple[int, int], int] = {}  # how often, so that each gets its turn
        self.sequence = 0
        self.peer_reports: dict[int, dict[tuple[int, int], StoredReport]] = {}  # by who said it
        self.stored_count = 0

    # Own words

    def set_own_reports(self, now: int, words: Iterable[tuple[int, int, int]]) -> None:
        """(kind, about, value): all that there is to say now. What was said before and is no more is said to
        be 0 until it would be forgotten by itself."""
        new = {(kind, about): value for kind, about, value in words}
        for key, (value, _, made_us) in list(self.own_reports.items()):
            if key not in new:
                if value == 0 and now - made_us > LIFETIME_PERIODS[key[0]] * self.period_us:
                    del self.own_reports[key]
                    self.times_sent.pop(key, None)
                elif value:
                    new[key] = 0
        least = min(self.times_sent.values(), default=0)
        for key, value in new.items():
            self.sequence += 1
            self.times_sent.setdefault(key, least)
            self.own_reports[key] = (min(value, MAX_VALUE), self.sequence, now)

    def next_reports(self, now: int, room: int) -> list[LoadReport]:
        """Those said least often, as many as go into a datagram."""
        most = min(MAX_PER_DATAGRAM, room // (REPORT_STRUCT.size + 2))
        if most <= 0 or not self.own_reports:
            return []
        keys = sorted(self.own_reports, key=self.times_sent.__getitem__)[:most]
        out = []
        for key in keys:
            value, count, made_us = self.own_reports[key]
            self.times_sent[key] += 1
            out.append(LoadReport(*key, value, count, min(MAX_AGE_MS, (now - made_us) // 1000)))
        return out

    # Others' words

    def apply_peer_report(self, now: int, by: int, incarnation: int, birth: int, told: LoadReport) -> None:
        if told.kind not in REPORT_KINDS or told.age_ms * 1000 > LIFETIME_PERIODS[told.kind] * self.period_us:
            return
        made_us = now - told.age_ms * 1000
        of, key = self.peer_reports.setdefault(by, {}), (told.kind, told.subject)
        new = StoredReport((incarnation, birth, told.sequence, -made_us), told.value, made_us)
        before = of.get(key)
        if before is None:
            if len(of) >= MAX_PER_INSTANCE or self.stored_count >= MAX_STORED:
                return
            self.stored_count += 1
        elif before.precedence >= new.precedence:
            return
        of[key] = new

    def forget_instance(self, by: int) -> None:
        """One that is lost or has left: its words end with it."""
        self.stored_count -= len(self.peer_reports.pop(by, {}))

    def drop_expired(self, now: int) -> None:
        for by, of in list(self.peer_reports.items()):
            for key in [
                k for k, kept in of.items() if now - kept.made_us > LIFETIME_PERIODS[k[0]] * self.period_us
            ]:
                del of[key]
                self.stored_count -= 1
            if not of:
                del self.peer_reports[by]

    def summarize(self, now: int, copies: float, near: Iterable[int]) -> PeerLoadSummary:
        """`copies`: that are up, this one included; `near`: those of the own zone, which see endpoints as
        this one does."""
        self.drop_expired(now)
        others = max(0.0, copies - 1)
        weights: list[int] = []
        cold: dict[int, list[int]] = {}
        for of in self.peer_reports.values():
            for (kind, about), kept in of.items():
                if kind == TRAFFIC:
                    weights.append(kept.value)
                elif kind == WARMUP_LOAD:
                    cold.setdefault(about, []).append(kept.value)
        enough = min(float(MIN_REPORTERS), others)
        own = self.own_reports.get((TRAFFIC, 0), (0, 0, 0))[0]
        weight = sum(weights) / len(weights) * others if weights and len(weights) >= enough else 0.0
        return PeerLoadSummary(
            self._failing_endpoints(near),
            {about: sum(of) / len(of) * others / 1e9 for about, of in cold.items() if len(of) >= enough},
            (weight + own) / 1e9,
        )

    def _failing_endpoints(self, near: Iterable[int]) -> tuple[int, ...]:
        """Endpoints of which two say so at least, and a third of those near that say anything: guards against
        a copy that is wrong or lies, and against a way of a few that is cut."""
        heard = [self.peer_reports[by] for by in near if by in self.peer_reports]
        votes: dict[int, int] = {}
        for of in heard:
            for (kind, about), kept in of.items():
                if kind == FAILING and kept.value:
                    votes[about] = votes.get(about, 0) + 1
        return tuple(sorted(about for about, n in votes.items() if n >= 2 and 3 * n >= len(heard)))
