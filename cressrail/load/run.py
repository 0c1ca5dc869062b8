"""One run of the generator, from its settings to its figures; the front of `cressrail load run`."""

from __future__ import annotations

import asyncio
import gc
import resource
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson
import uvloop

from cressrail.load.figures import Figures
from cressrail.load.plan import Due, Plan, ProfileMix, drawn
from cressrail.load.sender import Sender
from cressrail.load.spool import Spool
from cressrail.load.trace import read as read_trace

SPARE_DESCRIPTORS = 64
BUSY_US = 25_000


@dataclass
class Job:
    plan: Plan
    targets: list[tuple[str, int]]
    trace: Path | None = None
    time_scale: float = 1.0
    rate_scale: float = 1.0
    ledger: Path | None = None
    spool: Path | None = None  # kept there; otherwise gone with the run
    histograms: Path | None = None
    start_us: int | None = None  # of the steady clock; where others are to begin at the same moment
    quiet: bool = False
    profiles: list[ProfileMix] = field(default_factory=list)
    members: list[str] = field(default_factory=list)


def play(job: Job) -> dict[str, Any]:
    """Figures of the run, as `--json` writes them. Raises `BadRow` where a trace can't be read."""
    plan = room(job.plan)
    job.profiles = list(plan.profiles)
    job.members = [m.name for m in plan.members]
    with tempfile.TemporaryDirectory() as folder:
        path = job.spool or Path(folder) / "spool"
        spool = Spool(path)
        try:
            sender = uvloop.run(_send(job, plan, spool))
        finally:
            spool.close()
        figures = Figures(path, [p.name for p in job.profiles], job.members)
        told = figures.told(sender.watchman.pauses)
        if job.histograms is not None and told["refused"] is None:
            figures.write_log(job.histograms, time.time() - job.plan.seconds)
    told.update(
        held_back=sender.held_back,
        surplus_bytes=sender.surplus,
        busy_us=sender.watchman.busy_us,
        interrupted=sender.interrupted,
        connections=sum(c.connections_opened for c in sender.callers),
        start_us=sender.start_us,
    )
    if sender.fault is not None:
        raise sender.fault
    return told


def room(plan: Plan) -> Plan:
    """The descriptors that the plan's connections take, as far as the process may have them."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    most = hard if hard != resource.RLIM_INFINITY else 1 << 20
    wanted = min(most, max(soft, plan.connections + SPARE_DESCRIPTORS))
    if wanted != soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    return plan.model_copy(update={"connections": max(1, min(plan.connections, wanted - SPARE_DESCRIPTORS))})


async def _send(job: Job, plan: Plan, spool: Spool) -> Sender:
    dues = drawn(plan)
    profiles, names = job.profiles, job.members
    if job.trace is not None:
        by_profile = {p.name: n for n, p in enumerate(profiles)}
        by_member = {name: n for n, name in enumerate(names)}
        dues = _grown(
            read_trace(job.trace, by_profile, by_member, job.time_scale, job.rate_scale),
            by_profile,
            by_member,
            profiles,
            names,
        )
    ledger = open(job.ledger, "wb") if job.ledger else None  # noqa: SIM115 - closed below
    try:
        sender = Sender(plan, dues, profiles, names, job.targets, spool, ledger)
        if job.start_us is not None:
            sender.start_us = sender.watchman.start_us = job.start_us
        asyncio.get_running_loop().add_signal_handler(signal.SIGINT, sender.interrupt)
        gc.collect()
        gc.freeze()
        # a whole collection amid a surge takes longer than a send may be late
        # A look at the young takes longer than a send may be late once thousands are open. Nothing here
        # leaves circles
        # behind, so nothing is lost by not looking.
        gc.disable()
        with progress(job) as sender.on_second:
            await sender.run()
    finally:
        gc.enable()
        gc.unfreeze()
        if ledger is not None:
            ledger.close()
    return sender


def _grown(
    rows: Iterator[Due],
    by_profile: dict[str, int],
    by_member: dict[str, int],
    profiles: list[ProfileMix],
    names: list[str],
) -> Iterator[Due]:
    """Names that only the trace knows join the tables as they come."""
    for due in rows:
        for name in list(by_profile)[len(profiles) :]:
            profiles.append(profiles[0].model_copy(update={"name": name}))
        for name in list(by_member)[len(names) :]:
            names.append(name)
        yield due


@contextmanager
def progress(job: Job) -> Iterator[Callable[[Sender], None]]:
    """A bar on a terminal, a plain line every five seconds elsewhere, on standard error."""
    if job.quiet:
        yield lambda sender: None
    elif sys.stderr.isatty():
        from rich.console import Console
        from rich.progress import BarColumn, Progress, TextColumn

        columns = TextColumn("{task.description}"), BarColumn(), TextColumn("{task.percentage:>3.0f}%")
        with Progress(*columns, console=Console(stderr=True), auto_refresh=False, transient=True) as bar:
            task = bar.add_task("sending", total=job.plan.seconds)

            def draw(sender: Sender) -> None:
                bar.update(task, completed=sender.last_us / 1e6, description=_line(sender))
                bar.refresh()

            yield draw
    else:
        seconds = [0]

        def say(sender: Sender) -> None:
            seconds[0] += 1
            if seconds[0] % 5 == 0:
                print(_line(sender), file=sys.stderr, flush=True)

        yield say


def _line(sender: Sender) -> str:
    return f"sent {sender.offered}, answered {sender.answered}, open {len(sender.open)}"


def summary(told: dict[str, Any]) -> str:
    lines = [
        f"offered {told['offered']}, answered {told['answered']}, unanswered {told['unanswered']}, "
        f"held back {told['held_back']}; by status "
        + (", ".join(f"{s}: {n}" for s, n in told["statuses"].items()) or "none")
    ]
    for name, key in (
        ("latency", "latency_us"),
        ("closed loop", "closed_loop_us"),
        ("late sends", "late_sends_us"),
    ):
        if told[key]:
            lines.append(f"{name:12}" + "  ".join(f"{q} {us / 1000:.2f} ms" for q, us in told[key].items()))
    if told["busy_us"] > BUSY_US:
        lines.append(
            f"busy: so much came at once that answers waited up to {told['busy_us'] // 1000} ms to be read"
        )
    if told["refused"]:
        lines.append(told["refused"])
    return "\n".join(lines)


def write_json(path: Path, told: dict[str, Any]) -> None:
    path.write_bytes(orjson.dumps(told, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE))
