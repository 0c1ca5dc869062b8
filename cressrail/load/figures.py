"""The figures of a run, computed from its request records after it ends.

Latency is measured from when a request was due. Requests without a response are included: their latency is at
least the time for which the client waited.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from enum import Enum
from pathlib import Path
from typing import NamedTuple

import numpy as np
import numpy.typing as npt

from cressrail.load.closed_loop import closed_loop_latencies, typical_worker_count
from cressrail.load.latency_histogram import Microseconds, compute_quantiles, new_histogram
from cressrail.load.report import GroupFigures, LoadReport
from cressrail.load.request_records import read_records
from cressrail.load.stall_detector import Pause
from cressrail.load.units import US_PER_MS, US_PER_S

MAX_SEND_DELAY_US = 5_000  # a send delayed by more than this is attributed to the generator
MAX_UNRELIABLE_SHARE = 0.001  # share of late or paused requests above which no latency is reported
AFTER_PAUSE_US = 20_000  # a response read this soon after a pause may have been delayed by the pause
MAX_STATUS = 599
WHOLE_RUN = slice(None)
Indices = npt.NDArray[np.int64]  # positions in an array of request records


class RequestOutcome(Enum):
    """The outcome of a request as the client sees it; the values are those written to figures files."""

    SUCCEEDED = "committed"
    REJECTED = "rolled back"
    FAILED = "failed"
    UNANSWERED = "unanswered"


OUTCOME_BY_STATUS = {
    0: RequestOutcome.UNANSWERED,
    200: RequestOutcome.SUCCEEDED,
    429: RequestOutcome.REJECTED,
    503: RequestOutcome.REJECTED,
}


def outcome_of(status: int) -> RequestOutcome:
    """Returns the outcome for the status of a request's last attempt; 0 stands for no complete response."""
    return OUTCOME_BY_STATUS.get(status, RequestOutcome.FAILED)


class RequestGroup(NamedTuple):
    """Requests of one class, tenant and outcome; `indices` are relative to the slice that was split."""

    request_class: str
    tenant: str
    outcome: RequestOutcome
    indices: Indices


class LoadFigures:
    """The records of a run, ordered by due time, and the figures computed from them."""

    def __init__(self, path: Path, class_names: Sequence[str], tenant_names: Sequence[str]) -> None:
        records = read_records(path)
        self.records = records[np.argsort(records["due_us"], kind="stable")]
        self.class_names, self.tenant_names = class_names, tenant_names
        self.latency_us: Microseconds = self.records["ended_us"] - self.records["due_us"]
        self.send_delay_us: Microseconds = np.maximum(0, self.records["started_us"] - self.records["due_us"])
        self.histogram = new_histogram()

    def requests_in_pauses(self, pauses: Iterable[Pause]) -> Indices:
        """Returns the indices of requests that were due during a pause, or ended during or just after one."""
        is_affected = np.zeros(len(self.records), bool)
        due_us, ended_us = self.records["due_us"], self.records["ended_us"]
        for start_us, end_us in pauses:
            is_affected |= (due_us >= start_us) & (due_us <= end_us)
            is_affected |= (ended_us >= start_us) & (ended_us <= end_us + AFTER_PAUSE_US) & (due_us <= end_us)
        return np.flatnonzero(is_affected)

    def unreliability_reason(self, pauses: Sequence[Pause]) -> str | None:
        """Returns one line that says why latencies cannot be reported, or None if they can."""
        count = len(self.records)
        late_count = int((self.send_delay_us > MAX_SEND_DELAY_US).sum())
        in_pauses = len(self.requests_in_pauses(pauses))
        if not count or max(late_count, in_pauses) <= MAX_UNRELIABLE_SHARE * count:
            return None
        longest_us = max((pause.end_us - pause.start_us for pause in pauses), default=0)
        paused = f"; pauses: {len(pauses)}, the longest {longest_us // US_PER_MS} ms" if pauses else ""
        return (
            f"latencies are not reported: the generator itself was late for {late_count} of {count} sends "
            f"(by more than {MAX_SEND_DELAY_US // US_PER_MS} ms, "
            f"up to {int(self.send_delay_us.max()) // US_PER_MS} ms){paused}"
        )

    def build_report(self, pauses: Sequence[Pause]) -> LoadReport:
        """Returns the part of the report that is computed from the records and the generator's pauses."""
        statuses = self.records["status"]
        answered = int((statuses > 0).sum())
        refused = self.unreliability_reason(pauses)
        report: LoadReport = {
            "offered": len(self.records),
            "answered": answered,
            "unanswered": len(self.records) - answered,
            "statuses": {
                str(status): int((statuses == status).sum()) for status in np.unique(statuses) if status
            },
            "late_sends_us": compute_quantiles(self.send_delay_us, self.histogram),
            "latency_us": None,
            "closed_loop_us": None,
            "tries": int(self.records["attempts"].sum()),
            "pauses_us": [list(pause) for pause in pauses],
            "refused": refused,
        }
        if refused is None and len(self.records):
            self._add_latencies(report)
        report["seconds"] = self.count_by_second()
        return report

    def _add_latencies(self, report: LoadReport) -> None:
        due_us = self.records["due_us"]
        workers = typical_worker_count(due_us, self.latency_us)
        closed_loop_us = closed_loop_latencies(
            due_us, self.records["sent_us"], self.records["ended_us"], workers
        )
        report["latency_us"] = compute_quantiles(self.latency_us, self.histogram)
        report["closed_loop_workers"] = workers
        report["closed_loop_us"] = compute_quantiles(closed_loop_us, self.histogram)
        report["by"] = [self._group_figures(group) for group in self.split_into_groups()]

    def _group_figures(self, group: RequestGroup) -> GroupFigures:
        return {
            "profile": group.request_class,
            "member": group.tenant,
            "outcome": group.outcome.value,
            "n": len(group.indices),
            "latency_us": compute_quantiles(self.latency_us[group.indices], self.histogram),
        }

    def split_into_groups(self, record_range: slice = WHOLE_RUN) -> Iterator[RequestGroup]:
        """Yields the requests of a slice of the records, grouped by class, tenant and status."""
        records = self.records[record_range]
        if not len(records):
            return
        keys = np.stack([records["request_class"], records["tenant"], records["status"]], 1)
        distinct_keys, group_of_record = np.unique(keys, axis=0, return_inverse=True)
        for number, (request_class, tenant, status) in enumerate(distinct_keys):
            yield RequestGroup(
                self.class_names[request_class],
                self.tenant_names[tenant],
                outcome_of(int(status)),
                np.flatnonzero(group_of_record.reshape(-1) == number),
            )

    def count_by_second(self) -> list[dict[str, int]]:
        """Returns the number of requests that were due in each second of the run, by outcome."""
        if not len(self.records):
            return []
        second_due = self.records["due_us"] // US_PER_S
        size = int(second_due.max()) + 1
        counts = {"offered": np.bincount(second_due, minlength=size)}
        for outcome in RequestOutcome:
            has_outcome = np.array([outcome_of(status) is outcome for status in range(MAX_STATUS + 1)])
            weights = has_outcome[self.records["status"]]
            counts[outcome.value] = np.bincount(second_due, weights, size).astype(int)
        return [
            {name: int(by_second[second]) for name, by_second in counts.items()} for second in range(size)
        ]
