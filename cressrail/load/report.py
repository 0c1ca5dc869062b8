"""The report of a run, as JSON for `--json` and as text for a terminal.

The keys and the outcome names are part of the format of figures files, which are stored and compared.
"""

from __future__ import annotations

from pathlib import Path
from typing import TypedDict

import orjson

from cressrail.load.latency_histogram import Quantiles
from cressrail.load.units import US_PER_MS

MAX_BUSY_US = 25_000  # the summary mentions a longer delay in reading responses


class GroupFigures(TypedDict):
    """The figures of one request class ("profile"), tenant ("member") and outcome; `n` counts requests."""

    profile: str
    member: str
    outcome: str
    n: int
    latency_us: Quantiles | None


class LoadReport(TypedDict, total=False):
    """The figures of a run; latencies are missing if the generator itself was late.

    Attributes:
        offered: The number of requests that were due.
        answered: The number of requests with a complete response.
        unanswered: The number of requests without a complete response.
        statuses: The number of requests by the status of their last attempt.
        late_sends_us: Quantiles of the delay between a request's due time and its start.
        latency_us: Quantiles of the latency, measured from when requests were due.
        closed_loop_us: The quantiles that a closed loop of `closed_loop_workers` workers would have reported.
        tries: The number of attempts of all requests.
        pauses_us: The start and end of each pause of the generator itself, from the start of the run.
        refused: The reason why latencies are not reported, or None if they are.
        by: The figures by request class, tenant and outcome.
        seconds: The number of requests by outcome, for each second in which they were due.
        held_back: The number of attempts that waited for a connection.
        surplus_bytes: The number of bytes received after final responses.
        busy_us: The longest time for which responses may have waited to be read.
        interrupted: Whether the run was ended by SIGINT.
        connections: The number of connections opened.
        start_us: The start of the run on the monotonic clock.
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
    """Returns a summary of a few lines for a terminal."""
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
            "busy: responses arrived faster than they were read and waited up to "
            f"{report['busy_us'] // US_PER_MS} ms"
        )
    if report["refused"]:
        lines.append(report["refused"])
    return "\n".join(lines)


def write_report(path: Path, report: LoadReport) -> None:
    """Writes the figures as indented JSON."""
    path.write_bytes(orjson.dumps(report, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE))
