"""What a run came to, as `--json` writes it and as a terminal shows it.

The keys and the words for outcomes are those of figures files, which are kept and compared.
"""

from __future__ import annotations

from pathlib import Path
from typing import TypedDict

import orjson

from cressrail.load.latency_histogram import Quantiles
from cressrail.load.units import US_PER_MS

MAX_BUSY_US = 25_000  # a longer backlog of answers is worth a line


class GroupFigures(TypedDict):
    """Requests of one request class ("profile"), tenant ("member") and outcome."""

    profile: str
    member: str
    outcome: str
    n: int
    latency_us: Quantiles | None


class LoadReport(TypedDict, total=False):
    """The figures of a run; latencies are missing where the generator itself was late.

    Attributes:
        statuses: Requests by the status of their last attempt.
        late_sends_us: How late the generator turned to requests.
        latency_us: From when requests were due.
        closed_loop_us: What a closed loop of `closed_loop_workers` would have reported.
        tries: Attempts of all requests.
        pauses_us: Start and end of each pause of the generator itself, from the start of the run.
        refused: Why there are no latencies.
        by: Figures by request class, tenant and outcome.
        seconds: Requests by the second in which they were due and by outcome.
        held_back: Attempts that waited for a connection.
        surplus_bytes: Bytes that came after a final answer.
        busy_us: The longest time for which answers may have waited to be read.
        connections: How many were opened.
        start_us: The start of the run on the steady clock.
    """

    offered: int
    answered: int
    unanswered: int
    statuses: dict[str, int]
    late_sends_us: Quantiles | None
    latency_us: Quantiles | None
    closed_loop_us: Quantiles | None
    tries: int
    pauses_us: list[list[int]]
    refused: str | None
    closed_loop_workers: int
    by: list[GroupFigures]
    seconds: list[dict[str, int]]
    held_back: int
    surplus_bytes: int
    busy_us: int
    interrupted: bool
    connections: int
    start_us: int


def summary_text(report: LoadReport) -> str:
    """Returns a few lines for a terminal."""
    statuses = ", ".join(f"{status}: {count}" for status, count in report["statuses"].items())
    lines = [
        f"offered {report['offered']}, answered {report['answered']}, unanswered {report['unanswered']}, "
        f"held back {report['held_back']}; by status {statuses or 'none'}"
    ]
    for title, figures_us in (
        ("latency", report["latency_us"]),
        ("closed loop", report["closed_loop_us"]),
        ("late sends", report["late_sends_us"]),
    ):
        if figures_us:
            columns = [f"{name} {value_us / US_PER_MS:.2f} ms" for name, value_us in figures_us.items()]
            lines.append(f"{title:12}" + "  ".join(columns))
    if report["busy_us"] > MAX_BUSY_US:
        lines.append(
            "busy: so much came at once that answers waited up to "
            f"{report['busy_us'] // US_PER_MS} ms to be read"
        )
    if report["refused"]:
        lines.append(report["refused"])
    return "\n".join(lines)


def write_report(path: Path, report: LoadReport) -> None:
    """Writes the figures as indented JSON."""
    path.write_bytes(orjson.dumps(report, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE))
