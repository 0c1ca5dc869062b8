"""What a run comes to, worked out from its spool once it is over.

Latency counts from when a transaction was due, also for those that had no answer: they took at least as long
as they were waited for. Quantiles come from HDR histograms (Tene; whole microseconds, three significant
digits, up to an hour).
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from heapq import heappop, heappush
from itertools import pairwise
from pathlib import Path
from typing import Any

import numpy as np
import numpy.typing as npt
from hdrh.histogram import HdrHistogram

from cressrail.load import spool

LOWEST_US, HIGHEST_US, DIGITS = 1, 3_600_000_000, 3
QUANTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9}
LATE_US = 5_000  # a send so late is this generator's fault
# of the sends may be, or may have been open while it stood still, before it refuses to tell latencies
LATE_PART = 0.001
Int = npt.NDArray[np.int64]
ALL = slice(None)


def histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


def fill(into: HdrHistogram, values: Int) -> HdrHistogram:
    into.reset()
    for value, count in zip(
        *np.unique(np.clip(values, LOWEST_US, HIGHEST_US), return_counts=True), strict=True
    ):
        into.record_value(int(value), int(count))
    return into


def quantiles(values: Int, work: HdrHistogram) -> dict[str, int] | None:
    if not len(values):
        return None
    filled = fill(work, values)
    found = {name: int(filled.get_value_at_percentile(q)) for name, q in QUANTILES.items()}
    return {**found, "max": int(values.max())}


def closed_loop(due_us: Int, sent_us: Int, ended_us: Int, workers: int) -> Int:
    """Latencies that so many workers in a closed loop would have told of: each sends when a transaction is
    due and it has its last answer, and times from the send. What is due while all wait is never sent, so
    never told: coordinated omission (Tene, 'How NOT to Measure Latency')."""
    free = [0] * workers
    told = []
    for k in np.argsort(due_us, kind="stable"):
        if free[0] <= due_us[k]:
            heappop(free)
            heappush(free, int(ended_us[k]))
            told.append(int(ended_us[k] - max(due_us[k], sent_us[k])))
    return np.array(told, np.int64)


def outcome(status: int) -> str:
    return {200: "committed", 503: "rolled back", 429: "rolled back", 0: "unanswered"}.get(status, "failed")


class Figures:
    """Columns of a spool, in the order of its rows."""

    def __init__(self, path: Path, profiles: list[str], members: list[str]) -> None:
        blocks = list(spool.read(path)) or [np.empty(0, spool.ROW)]
        rows = np.concatenate(blocks)
        self.rows = rows[np.argsort(rows["due_us"], kind="stable")]
        self.profiles, self.members = profiles, members
        self.latency_us: Int = self.rows["ended_us"] - self.rows["due_us"]
        self.late_us: Int = np.maximum(0, self.rows["taken_us"] - self.rows["due_us"])
        self.work = histogram()

    def tainted(self, pauses: Iterable[tuple[int, int]]) -> Int:
        """Rows that were due or open while the generator stood still, so that their end may be its own doing:
        due within a pause, or ended just after one."""
        bad = np.zeros(len(self.rows), bool)
        for start, end in pauses:
            ended = self.rows["ended_us"]
            bad |= (self.rows["due_us"] >= start) & (self.rows["due_us"] <= end)
            bad |= (ended >= start) & (ended <= end + 20_000) & (self.rows["due_us"] <= end)
        return np.flatnonzero(bad)

    def lateness(self, pauses: list[tuple[int, int]]) -> str | None:
        """Why latencies can't be told, in one line, or nothing."""
        n = len(self.rows)
        late = int((self.late_us > LATE_US).sum())
        tainted = len(self.tainted(pauses))
        if not n or max(late, tainted) <= LATE_PART * n:
            return None
        worst = max((end - start for start, end in pauses), default=0)
        stood = f"; it stood still {len(pauses)} times, for up to {worst // 1000} ms" if pauses else ""
        return (
            f"no latencies: the generator itself was late with {late} of {n} sends "
            f"(over {LATE_US // 1000} ms, by up to {int(self.late_us.max()) // 1000} ms){stood}"
        )

    def told(self, pauses: list[tuple[int, int]]) -> dict[str, Any]:
        why = self.lateness(pauses)
        statuses = {
            str(s): int((self.rows["status"] == s).sum()) for s in np.unique(self.rows["status"]) if s
        }
        answered = int((self.rows["status"] > 0).sum())
        told: dict[str, Any] = {
            "offered": len(self.rows),
            "answered": answered,
            "unanswered": len(self.rows) - answered,
            "statuses": statuses,
            "late_sends_us": quantiles(self.late_us, self.work),
            "latency_us": None,
            "closed_loop_us": None,
            "tries": int(self.rows["tries"].sum()),
            "pauses_us": [list(p) for p in pauses],
            "refused": why,
        }
        if why is None and len(self.rows):
            told["latency_us"] = quantiles(self.latency_us, self.work)
            told["closed_loop_workers"] = self.workers()
            told["closed_loop_us"] = quantiles(
                closed_loop(self.rows["due_us"], self.rows["sent_us"], self.rows["ended_us"], self.workers()),
                self.work,
            )
            told["by"] = [
                {
                    "profile": p,
                    "member": m,
                    "outcome": o,
                    "n": len(ix),
                    "latency_us": quantiles(self.latency_us[ix], self.work),
                }
                for (p, m, o), ix in self.groups()
            ]
        told["seconds"] = self.seconds()
        return told

    def workers(self) -> int:
        """So many are in flight as a rule (Little's law, with the median)."""
        span = max(1, int(self.rows["due_us"].max() - self.rows["due_us"].min()))
        return max(1, round(len(self.rows) / span * float(np.median(self.latency_us))))

    def groups(self, within: slice = ALL) -> Iterator[tuple[tuple[str, str, str], Int]]:
        rows = self.rows[within]
        names = np.stack([rows["profile"], rows["member"], rows["status"]], 1)
        kinds, at = np.unique(names, axis=0, return_inverse=True) if len(rows) else (names, np.empty(0, int))
        for k, (p, m, s) in enumerate(kinds):
            yield (self.profiles[p], self.members[m], outcome(int(s))), np.flatnonzero(at.reshape(-1) == k)

    def seconds(self) -> list[dict[str, int]]:
        """By the second in which transactions were due."""
        if not len(self.rows):
            return []
        at = self.rows["due_us"] // 1_000_000
        size = int(at.max()) + 1
        count = {"offered": np.bincount(at, minlength=size)}
        for name in ("committed", "rolled back", "failed", "unanswered"):
            is_it = np.array([outcome(int(s)) == name for s in range(600)])[self.rows["status"]]
            count[name] = np.bincount(at, is_it, size).astype(int)
        return [{name: int(of[k]) for name, of in count.items()} for k in range(size)]

    def write_log(self, path: Path, start_s: float) -> None:
        """A histogram for each second, profile, member and outcome, as interval lines with tags in the log
        format 1.2 of HdrHistogram. Not by the library's own writer, which knows no tags."""
        with open(path, "w") as file:
            file.write(
                f"#[Histogram log format version 1.2]\n#[BaseTime: {start_s:.3f} (seconds since epoch)]\n"
                f"#[StartTime: {start_s:.3f} (seconds since epoch)]\n"
                '"StartTimestamp","Interval_Length","Interval_Max","Interval_Compressed_Histogram"\n'
            )
            edges = np.searchsorted(self.rows["due_us"], np.arange(len(self.seconds()) + 1) * 1_000_000)
            for second, (lo, hi) in enumerate(pairwise(edges)):
                for names, ix in self.groups(slice(lo, hi)):
                    of = fill(self.work, self.latency_us[lo:hi][ix])
                    tag = ".".join(names).replace(" ", "_").replace(",", "_")
                    file.write(
                        f"Tag={tag},{second:.3f},1.000,{of.get_max_value() / 1e6:.6f},"
                        f"{of.encode().decode()}\n"
                    )
