"""`cressrail load`: the generator."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import Annotated

import typer
from pydantic import ValidationError

from cressrail.cli.output import fail, parse_address
from cressrail.load.plan import MemberMix, Plan, ProfileMix, reason
from cressrail.load.record import recorded
from cressrail.load.run import Job, play, summary, write_json
from cressrail.load.shapes import SHAPES
from cressrail.load.trace import BadRow, write

app = typer.Typer(
    help="Open-loop load, traces, and what a run came to.",
    no_args_is_help=True,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)


@app.command()
def run(
    target: Annotated[list[str], typer.Option(help="HOST:PORT; several share the load in turn.")],
    rate: Annotated[float, typer.Option(help="Transactions a second.")] = 100.0,
    seconds: float = 10.0,
    profile: Annotated[
        list[str] | None, typer.Option(help="NAME, NAME:safe|keyed|unsafe, NAME:KIND:PART.")
    ] = None,
    member: Annotated[list[str] | None, typer.Option(help="NAME or NAME:PART.")] = None,
    seed: int = 1,
    shape: Annotated[str, typer.Option(help=", ".join(SHAPES))] = "steady",
    times: Annotated[float, typer.Option(help="How high a surge goes.")] = 2.4,
    size: Annotated[int, typer.Option(help="Mean bytes of a body.")] = 0,
    limit_ms: Annotated[float, typer.Option(help="The hard limit.")] = 3000.0,
    repeats: int = 0,
    backoff: Annotated[str, typer.Option(help="none, fixed or exp")] = "exp",
    honour: Annotated[float, typer.Option(help="Share that waits as Retry-After says.")] = 1.0,
    give_up: Annotated[float, typer.Option(help="A try is waited for so much of the hard limit.")] = 1.0,
    keep: Annotated[bool, typer.Option(help="Keep connections.")] = True,
    connections: int = 8000,
    trace: Annotated[Path | None, typer.Option(help="Play this in place of a shape.")] = None,
    time_scale: float = 1.0,
    rate_scale: float = 1.0,
    json: Annotated[Path | None, typer.Option(help="Where the figures go.")] = None,
    ledger: Annotated[Path | None, typer.Option(help="A line for each try.")] = None,
    histograms: Annotated[Path | None, typer.Option(help="An HdrHistogram log.")] = None,
) -> None:
    """Send load and tell what became of it, timed from when each transaction was due."""
    words = {"times": times} if shape in ("surge", "snowmelt", "bursts") and times != 2.4 else {}
    try:
        plan = Plan.model_validate(
            {
                "rate": rate,
                "seconds": seconds,
                "seed": seed,
                "shape": shape,
                "with": words,
                "connections": connections,
                "profiles": [_profile(text, size, limit_ms).model_dump() for text in profile or ["read"]],
                "members": [_member(text).model_dump() for text in member or ["acme"]],
                "clients": {
                    "give_up": give_up,
                    "repeats": repeats,
                    "backoff": backoff,
                    "honour": honour,
                    "keep": keep,
                },
            }
        )
        told = play(
            Job(
                plan,
                [parse_address(text) for text in target],
                trace,
                time_scale,
                rate_scale,
                ledger,
                histograms=histograms,
            )
        )
    except ValidationError as fault:
        fail(f"load: {reason(fault)}")
    except (BadRow, OSError, ValueError) as fault:
        fail(str(fault))
    if json is not None:
        write_json(json, told)
    print(summary(told))


@app.command()
def ceiling(
    least: float = 1000.0, step: Annotated[float, typer.Option(min=1.05)] = 1.5, seconds: float = 3.0
) -> None:
    """Send to a server that answers at once, faster and faster, until this generator is late itself."""
    words = [sys.executable, "-m", "cressrail.experiment.sink", "1", os.devnull]
    with subprocess.Popen(words, stdout=subprocess.PIPE, text=True) as sink:
        assert sink.stdout is not None
        at = ("127.0.0.1", int(sink.stdout.readline().split()[0]))
        rate, kept = least, 0.0
        try:
            while True:
                told = play(Job(Plan(rate=rate, seconds=seconds), [at], quiet=True))
                print(
                    f"{rate:.0f} a second: late by {told['late_sends_us']['p999'] / 1000:.2f} ms at 99.9%"
                    f"{', refused' if told['refused'] else ''}",
                    flush=True,
                )
                if told["refused"]:
                    break
                rate, kept = rate * step, rate
        finally:
            sink.kill()
    print(f"ceiling: {kept:.0f} a second on one core" if kept else f"ceiling: under {least:.0f} a second")


@app.command()
def record(
    source: Annotated[Path, typer.Argument(help="A run's ledger, or a sidecar's log.")],
    out: Annotated[Path, typer.Argument(help="The trace, JSON lines.")],
    size: Annotated[int, typer.Option(help="Bytes, where the source does not tell.")] = 0,
) -> None:
    """Write a trace from a run's ledger or a sidecar's log."""
    try:
        with open(out, "wb") as file:
            n = write(file, recorded(source, size))
    except (BadRow, OSError) as fault:
        fail(str(fault))
    print(f"{out}: {n} transactions", file=sys.stderr)


def _profile(text: str, size: int, limit_ms: float) -> ProfileMix:
    name, _, rest = text.partition(":")
    kind, _, part = rest.partition(":")
    return ProfileMix.model_validate(
        {"name": name, "repeat": kind or "safe", "part": float(part or 1), "size": size, "limit_ms": limit_ms}
    )


def _member(text: str) -> MemberMix:
    name, _, part = text.partition(":")
    return MemberMix(name=name, part=float(part or 1))
