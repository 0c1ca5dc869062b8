"""Load reports: statements of an instance about its own load, sent in the free room of its datagrams.

An instance reports its traffic, the endpoints that fail for it, and the load that it puts on each endpoint
that warms up. Each instance reports only for itself and reports are not forwarded, so their cost does not
depend on the size of the fleet. An instance that has reports of only some peers assumes the mean of these
reports for the others. Of two reports on the same subject the later one is kept, which the receiver
determines from the reporter's sequence numbers and the ages in the reports. The merge keeps the report with
the greater precedence, so it is associative, commutative and idempotent.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Mapping
from typing import NamedTuple

TRAFFIC, FAILING, WARMUP_LOAD = 1, 2, 3
REPORT_KINDS = (TRAFFIC, FAILING, WARMUP_LOAD)
REPORT_STRUCT = struct.Struct("!BQIIH")  # kind, subject, value, sequence, age in milliseconds
FIELD_HEADER_BYTES = 2  # precede each report in a datagram
MAX_VALUE = 1 << 31
MAX_AGE_MS = 60_000
LIFETIME_PERIODS = {TRAFFIC: 60, FAILING: 8, WARMUP_LOAD: 20}  # ping periods until a report expires
MAX_PER_DATAGRAM = 6  # reports sent in one datagram
MAX_PER_INSTANCE = 128  # stored reports of one instance
MAX_STORED = 16_384  # stored reports of all instances
# Reports of one kind on one subject that are needed to assume their mean for all peers. If there are fewer
# peers, reports of all of them suffice.
MIN_REPORTERS = 3
# Peers' reports eject an endpoint only if at least two instances report it as failing, and these are at
# least 1/3 of the instances in the zone that send any reports.
MIN_FAILING_REPORTERS = 2
FAILING_REPORTER_DIVISOR = 3
PER_SECOND_THOUSANDTHS = 1e9  # thousandths of a request per second in one request per microsecond
ReportPrecedence = tuple[int, int, int, int]
ReportKey = tuple[int, int]  # kind, subject


class LoadReport(NamedTuple):
    """A report as sent in a datagram.

    Attributes:
        kind: One of `REPORT_KINDS`.
        subject: Number of the endpoint concerned, or 0 for the instance itself.
        value: For traffic and warm-up load, thousandths of a request per second; for a failing endpoint, 1
            if it fails and 0 if it no longer does.
        sequence: Sequence number assigned by the reporter.
        age_ms: Age in milliseconds at the time the report is sent.
    """

    kind: int
    subject: int
    value: int
    sequence: int
    age_ms: int


class OwnReport(NamedTuple):
    """A report of this instance.

    Attributes:
        value: As in `LoadReport`.
        sequence: As in `LoadReport`.
        made_us: Time at which the report was made, in microseconds.
    """

    value: int
    sequence: int
    made_us: int


class StoredReport(NamedTuple):
    """A report of another instance.

    Attributes:
        precedence: Incarnation, process id, sequence number and the negated `made_us`; of two reports the
            one with the greater precedence is kept.
        value: As in `LoadReport`.
        made_us: Time at which the report was made, in microseconds on this instance's clock.
    """

    precedence: ReportPrecedence
    value: int
    made_us: int


class PeerLoadSummary(NamedTuple):
    """Command: pass a summary of the peers' reports to the policy.

    Attributes:
        failing_endpoints: Numbers of the endpoints that several peers report as failing.
        warmup_loads: Requests per microsecond that all peers together send to each endpoint that warms up,
            by endpoint number.
        total_traffic: Requests per microsecond of all instances, this one included.
    """

    failing_endpoints: tuple[int, ...]
    warmup_loads: Mapping[int, float]
    total_traffic: float


def pack_load_report(report: LoadReport) -> bytes:
    """Encodes a report as the body of a datagram field."""
    return REPORT_STRUCT.pack(*report)


def unpack_load_report(body: bytes) -> LoadReport:
    """Decodes a report from the body of a datagram field.

    Raises:
        ValueError: The value or the age is above its limit.
        struct.error: The body is too short for a report.
    """
    report = LoadReport(*REPORT_STRUCT.unpack_from(body))
    if report.value > MAX_VALUE or report.age_ms > MAX_AGE_MS:
        raise ValueError
    return report


class PeerLoadReports:
    """Holds the reports of this instance and those of its peers.

    Attributes:
        own_reports: Reports of this instance by kind and subject.
        peer_reports: Reports of peers by reporter id, then by kind and subject.
        stored_count: Total number of reports in `peer_reports`.
        times_sent: Number of times each of this instance's reports was sent; those sent least often are sent
            next.
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
        """Replaces all reports of this instance.

        A previous report that is not among the new ones is sent with the value 0 until it would expire.

        Args:
            now_us: Current time in microseconds.
            reports: Kind, subject and value of each report.
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
        """Returns the own reports that were sent least often, as many as fit into `room` bytes."""
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

    # Reports of peers

    def apply_peer_report(
        self, now_us: int, reporter: int, incarnation: int, process_id: int, report: LoadReport
    ) -> None:
        """Stores a report unless it has expired, a newer one is stored or a storage limit is reached."""
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
        """Drops the reports of an instance that is dead or has left."""
        self.stored_count -= len(self.peer_reports.pop(reporter, {}))

    def drop_expired(self, now_us: int) -> None:
        """Drops expired reports of peers."""
        for reporter, stored in list(self.peer_reports.items()):
            expired = [key for key, report in stored.items() if self._is_expired(now_us, key, report.made_us)]
            for key in expired:
                del stored[key]
            self.stored_count -= len(expired)
            if not stored:
                del self.peer_reports[reporter]

    def summarize(self, now_us: int, instances: float, zone_ids: Iterable[int]) -> PeerLoadSummary:
        """Returns a summary of the reports that have not expired.

        Args:
            now_us: Current time in microseconds.
            instances: Number of live instances, this one included.
            zone_ids: Ids of the instances in this instance's zone; only their reports of failing endpoints
                count, because they reach endpoints from the same zone as this instance.
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
        """Returns the numbers of the endpoints that enough instances of the zone report as failing.

        At least two instances must report the endpoint, and at least a third of those that send any reports.
        So neither a single faulty instance nor a partition that affects few instances ejects an endpoint.
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
                if count >= MIN_FAILING_REPORTERS and FAILING_REPORTER_DIVISOR * count >= len(reporters)
            )
        )

    def _is_expired(self, now_us: int, key: ReportKey, made_us: int) -> bool:
        return now_us - made_us > LIFETIME_PERIODS[key[0]] * self._period_us
