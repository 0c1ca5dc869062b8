"""Load reports: what an instance says of its own work, in what room its datagrams have left.

It reports its traffic, endpoints that fail, and the load that it puts on each endpoint that warms up. Each
instance reports for itself only and nobody passes reports on, so they cost the same in any fleet; who has
few of them takes their mean for the others'. Of two reports on the same the later one holds, by the
reporter's own sequence and the age that the report gives: the merge takes the greater, so it is associative,
commutative and idempotent.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Mapping
from typing import NamedTuple

TRAFFIC, FAILING, WARMUP_LOAD = 1, 2, 3
REPORT_KINDS = (TRAFFIC, FAILING, WARMUP_LOAD)
REPORT_STRUCT = struct.Struct("!BQIIH")  # kind, subject, value, sequence, age in milliseconds
FIELD_HEADER_BYTES = 2  # before each report in a datagram
MAX_VALUE = 1 << 31
MAX_AGE_MS = 60_000
LIFETIME_PERIODS = {TRAFFIC: 60, FAILING: 8, WARMUP_LOAD: 20}  # ping periods for which a report holds
MAX_PER_DATAGRAM = 6
MAX_PER_INSTANCE = 128  # that are stored
MAX_STORED = 16_384  # of all instances
MIN_REPORTERS = 3  # whose reports stand for the others', where there are more
MIN_FAILING_REPORTERS = 2  # and one of three that report anything
FAILING_REPORTER_SHARE = 3
PER_SECOND_THOUSANDTHS = 1e9  # from requests a microsecond to thousandths of a request a second
ReportPrecedence = tuple[int, int, int, int]
ReportKey = tuple[int, int]  # kind, subject


class LoadReport(NamedTuple):
    """One report.

    Attributes:
        kind: One of `REPORT_KINDS`.
        subject: Number of an endpoint; 0 of the instance itself.
        value: Of traffic and warm-up load thousandths of a request a second; of failing 1 or 0.
        sequence: Counted by the reporter.
        age_ms: When it is sent.
    """

    kind: int
    subject: int
    value: int
    sequence: int
    age_ms: int


class OwnReport(NamedTuple):
    """A report of this instance."""

    value: int
    sequence: int
    made_us: int


class StoredReport(NamedTuple):
    """A report of another instance.

    Attributes:
        precedence: Incarnation, process id, sequence, and minus when it was made: the greater holds.
        value: As in `LoadReport`.
        made_us: When it was made, by this instance's clock.
    """

    precedence: ReportPrecedence
    value: int
    made_us: int


class PeerLoadSummary(NamedTuple):
    """Command: go by what the others' reports come to.

    Attributes:
        failing_endpoints: Numbers of endpoints that several report as failing.
        warmup_loads: Requests a microsecond that all others send to each endpoint that warms up, by number.
        total_traffic: Requests a microsecond of all, this instance included.
    """

    failing_endpoints: tuple[int, ...]
    warmup_loads: Mapping[int, float]
    total_traffic: float


def pack_load_report(report: LoadReport) -> bytes:
    """A report as bytes of a datagram."""
    return REPORT_STRUCT.pack(*report)


def unpack_load_report(body: bytes) -> LoadReport:
    """Reads a report.

    Raises:
        ValueError: A value is out of range.
        struct.error: There are too few bytes.
    """
    report = LoadReport(*REPORT_STRUCT.unpack_from(body))
    if report.value > MAX_VALUE or report.age_ms > MAX_AGE_MS:
        raise ValueError
    return report


class PeerLoadReports:
    """Own reports and those of the others.

    Attributes:
        own_reports: By kind and subject.
        peer_reports: By reporter, then by kind and subject.
        stored_count: Reports of others, in all.
        times_sent: How often each own report was sent, so that each gets its turn.
    """

    def __init__(self, period_us: int) -> None:
        self.own_reports: dict[ReportKey, OwnReport] = {}
        self.peer_reports: dict[int, dict[ReportKey, StoredReport]] = {}
        self.stored_count = 0
        self._period_us = period_us
        self.times_sent: dict[ReportKey, int] = {}
        self._sequence = 0

    # Own reports

    def set_own_reports(self, now_us: int, reports: Iterable[tuple[int, int, int]]) -> None:
        """Replaces all own reports, given as kind, subject and value.

        A report that is no longer among them is sent with the value 0 until it would expire.
        """
        values = {(kind, subject): value for kind, subject, value in reports}
        for key, (value, _, made_us) in list(self.own_reports.items()):
            if key in values:
                continue
            if value:
                values[key] = 0
            elif self._is_expired(now_us, key, made_us):
                del self.own_reports[key]
                self.times_sent.pop(key, None)
        times_sent = min(self.times_sent.values(), default=0)
        for key, value in values.items():
            self._sequence += 1
            self.times_sent.setdefault(key, times_sent)
            self.own_reports[key] = OwnReport(min(value, MAX_VALUE), self._sequence, now_us)

    def next_reports(self, now_us: int, room: int) -> list[LoadReport]:
        """Own reports that were sent least often, as many as fit into `room` bytes."""
        count = min(MAX_PER_DATAGRAM, room // (REPORT_STRUCT.size + FIELD_HEADER_BYTES))
        if count <= 0 or not self.own_reports:
            return []
        reports = []
        for key in sorted(self.own_reports, key=self.times_sent.__getitem__)[:count]:
            value, sequence, made_us = self.own_reports[key]
            self.times_sent[key] += 1
            age_ms = min(MAX_AGE_MS, (now_us - made_us) // 1000)
            reports.append(LoadReport(*key, value, sequence, age_ms))
        return reports

    # Reports of others

    def apply_peer_report(
        self, now_us: int, reporter: int, incarnation: int, process_id: int, report: LoadReport
    ) -> None:
        """Stores a report unless it is expired, a later one is known or there are too many."""
        made_us = now_us - report.age_ms * 1000
        key = (report.kind, report.subject)
        if report.kind not in REPORT_KINDS or self._is_expired(now_us, key, made_us):
            return
        stored = self.peer_reports.setdefault(reporter, {})
        precedence = (incarnation, process_id, report.sequence, -made_us)
        previous = stored.get(key)
        if previous is None:
            if len(stored) >= MAX_PER_INSTANCE or self.stored_count >= MAX_STORED:
                return
            self.stored_count += 1
        elif previous.precedence >= precedence:
            return
        stored[key] = StoredReport(precedence, report.value, made_us)

    def forget_instance(self, reporter: int) -> None:
        """An instance is dead or has left."""
        self.stored_count -= len(self.peer_reports.pop(reporter, {}))

    def drop_expired(self, now_us: int) -> None:
        """Drops reports of others that no longer hold."""
        for reporter, stored in list(self.peer_reports.items()):
            expired = [key for key, report in stored.items() if self._is_expired(now_us, key, report.made_us)]
            for key in expired:
                del stored[key]
            self.stored_count -= len(expired)
            if not stored:
                del self.peer_reports[reporter]

    def summarize(self, now_us: int, instances: float, zone_ids: Iterable[int]) -> PeerLoadSummary:
        """What the reports come to.

        Args:
            now_us: The current time.
            instances: How many are live, this one included.
            zone_ids: Those of the own zone, which see endpoints as this instance does.
        """
        self.drop_expired(now_us)
        others = max(0.0, instances - 1)
        traffic: list[int] = []
        loads: dict[int, list[int]] = {}
        for stored in self.peer_reports.values():
            for (kind, subject), report in stored.items():
                if kind == TRAFFIC:
                    traffic.append(report.value)
                elif kind == WARMUP_LOAD:
                    loads.setdefault(subject, []).append(report.value)
        min_reporters = min(float(MIN_REPORTERS), others)
        own = self.own_reports.get((TRAFFIC, 0))
        own_traffic = own.value if own is not None else 0
        others_traffic = 0.0
        if traffic and len(traffic) >= min_reporters:
            others_traffic = sum(traffic) / len(traffic) * others
        return PeerLoadSummary(
            self._failing_endpoints(zone_ids),
            {
                subject: sum(values) / len(values) * others / PER_SECOND_THOUSANDTHS
                for subject, values in loads.items()
                if len(values) >= min_reporters
            },
            (others_traffic + own_traffic) / PER_SECOND_THOUSANDTHS,
        )

    def _failing_endpoints(self, zone_ids: Iterable[int]) -> tuple[int, ...]:
        """Endpoints that at least two report, and a third of those in the zone that report anything.

        So neither a single faulty instance nor a partition that concerns few of them has an endpoint ejected.
        """
        reporters = [self.peer_reports[reporter] for reporter in zone_ids if reporter in self.peer_reports]
        votes: dict[int, int] = {}
        for stored in reporters:
            for (kind, subject), report in stored.items():
                if kind == FAILING and report.value:
                    votes[subject] = votes.get(subject, 0) + 1
        return tuple(
            sorted(
                subject
                for subject, count in votes.items()
                if count >= MIN_FAILING_REPORTERS and FAILING_REPORTER_SHARE * count >= len(reporters)
            )
        )

    def _is_expired(self, now_us: int, key: ReportKey, made_us: int) -> bool:
        return now_us - made_us > LIFETIME_PERIODS[key[0]] * self._period_us
