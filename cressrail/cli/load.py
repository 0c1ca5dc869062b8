"""`cressrail load`: sends load, measures the maximum rate of this machine, and records traces."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated, Any

import typer
from pydantic import ValidationError

from cressrail.cli.output import fail, parse_address
from cressrail.load.plan import LoadPlan, RequestClassLoad, TenantLoad, first_validation_error
from cressrail.load.report import summary_text, write_report
from cressrail.load.run import LoadJob, run_load
from cressrail.load.sender import Address
from cressrail.load.shapes import DEFAULT_SURGE_MULTIPLE, RATE_SHAPES
from cressrail.load.trace import MalformedTraceError, TraceScale, write_trace
from cressrail.load.trace_recording import read_recorded_requests
from cressrail.load.units import US_PER_MS

SHAPES_WITH_MULTIPLE = ("surge", "snowmelt", "bursts")

app = typer.Typer(
    help="Open-loop load generator, with traces and reports.",
    no_args_is_help=True,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)


@app.command()
def run(
    target: Annotated[list[str], typer.Option(help="HOST:PORT; several targets are used in rotation.")],
    rate: Annotated[float, typer.Option(help="Requests per second.")] = 100.0,
    seconds: float = 10.0,
    profile: Annotated[
        list[str] | None,
        typer.Option(help="A request class: NAME, NAME:safe|keyed|unsafe or NAME:safe|keyed|unsafe:WEIGHT."),
    ] = None,
    member: Annotated[list[str] | None, typer.Option(help="A tenant: NAME or NAME:WEIGHT.")] = None,
    seed: int = 1,
    shape: Annotated[str, typer.Option(help=f"Shape of the rate: {', '.join(RATE_SHAPES)}.")] = "steady",
    times: Annotated[
        float,
        typer.Option(help="Peak rate of the shapes surge, snowmelt and bursts, as a multiple of --rate."),
    ] = DEFAULT_SURGE_MULTIPLE,
    size: Annotated[int, typer.Option(help="Mean size of a request body in bytes.")] = 0,
    limit_ms: Annotated[float, typer.Option(help="Deadline of a request in milliseconds.")] = 3000.0,
    repeats: Annotated[int, typer.Option(help="Maximum number of retries by a client.")] = 0,
    backoff: Annotated[str, typer.Option(help="Backoff between retries: none, fixed or exp.")] = "exp",
    honour: Annotated[float, typer.Option(help="Fraction of clients that honour Retry-After.")] = 1.0,
    give_up: Annotated[
        float, typer.Option(help="Time-out of an attempt, as a fraction of the deadline.")
    ] = 1.0,
    keep: Annotated[bool, typer.Option(help="Reuse connections.")] = True,
    connections: int = 8000,
    trace: Annotated[Path | None, typer.Option(help="Trace to replay instead of a shape.")] = None,
    time_scale: float = 1.0,
    rate_scale: float = 1.0,
    json: Annotated[Path | None, typer.Option(help="File for the figures, as JSON.")] = None,
    ledger: Annotated[Path | None, typer.Option(help="File with a JSON line for each attempt.")] = None,
    histograms: Annotated[Path | None, typer.Option(help="File for an HdrHistogram log.")] = None,
) -> None:
    """Send load and report the results; latencies are measured from the time at which a request was due."""
    clients = {"give_up": give_up, "repeats": repeats, "backoff": backoff, "honour": honour, "keep": keep}
    settings: dict[str, Any] = {"rate": rate, "seconds": seconds, "seed": seed, "clients": clients}
    settings |= {"shape": shape, "connections": connections}
    if shape in SHAPES_WITH_MULTIPLE and times != DEFAULT_SURGE_MULTIPLE:
        settings["with"] = {"times": times}
    with _errors_as_one_line():
        settings["profiles"] = [_request_class(text, size, limit_ms) for text in profile or ["read"]]
        settings["members"] = [_tenant(text) for text in member or ["acme"]]
        job = LoadJob(
            LoadPlan.model_validate(settings),
            [parse_address(text) for text in target],
            trace=trace,
            trace_scale=TraceScale(time_scale, rate_scale),
            attempt_log=ledger,
            histogram_log=histograms,
        )
        report = run_load(job)
    if json is not None:
        write_report(json, report)
    print(summary_text(report))


@contextmanager
def _errors_as_one_line() -> Iterator[None]:
    """Converts an error in an option or a trace into one line and exits with status 2."""
    try:
        yield
    except ValidationError as error:
        fail(f"load: {first_validation_error(error)}")
    except (MalformedTraceError, OSError, ValueError) as error:
        fail(str(error))


@app.command()
def ceiling(
    least: float = 1000.0, step: Annotated[float, typer.Option(min=1.05)] = 1.5, seconds: float = 3.0
) -> None:
    """Find the maximum rate: raise it, with a server that answers at once, until the generator is late."""
    command = [sys.executable, "-m", "cressrail.experiment.sink", "1", os.devnull]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as server:
        try:
            assert server.stdout is not None
            port = int(server.stdout.readline().split()[0])
            sustained_rate = _find_ceiling(("127.0.0.1", port), least, step, seconds)
        finally:
            server.kill()
    if sustained_rate:
        print(f"ceiling: {sustained_rate:.0f} a second on one core")
    else:
        print(f"ceiling: under {least:.0f} a second")


def _find_ceiling(target: Address, first_rate: float, step: float, duration_s: float) -> float:
    """Returns the highest rate per second at which the generator was not late, or 0 if it always was."""
    rate, sustained_rate = first_rate, 0.0
    while True:
        plan = LoadPlan.model_validate({"rate": rate, "seconds": duration_s})
        report = run_load(LoadJob(plan, [target], is_quiet=True))
        delays_us = report["late_sends_us"]
        assert delays_us is not None
        print(
            f"{rate:.0f} a second: late by {delays_us['p999'] / US_PER_MS:.2f} ms at 99.9%"
            f"{', refused' if report['refused'] else ''}",
            flush=True,
        )
        if report["refused"]:
            return sustained_rate
        rate, sustained_rate = rate * step, rate


@app.command()
def record(
    source: Annotated[Path, typer.Argument(help="Ledger of a load run, or log of a sidecar.")],
    out: Annotated[Path, typer.Argument(help="File for the trace, as JSON lines.")],
    size: Annotated[int, typer.Option(help="Body size in bytes if the source does not state it.")] = 0,
) -> None:
    """Write a trace from the ledger of a load run or the log of a sidecar."""
    try:
        with out.open("wb") as file:
            count = write_trace(file, read_recorded_requests(source, size))
    except (MalformedTraceError, OSError) as error:
        fail(str(error))
    print(f"{out}: {count} requests", file=sys.stderr)


def _request_class(text: str, mean_body_bytes: int, deadline_ms: float) -> RequestClassLoad:
    """Parses NAME:IDEMPOTENCY:WEIGHT, of which the last two parts are optional."""
    name, _, rest = text.partition(":")
    idempotency, _, weight = rest.partition(":")
    return RequestClassLoad.model_validate(
        {
            "name": name,
            "repeat": idempotency or "safe",
            "part": float(weight or 1),
            "size": mean_body_bytes,
            "limit_ms": deadline_ms,
        }
    )


def _tenant(text: str) -> TenantLoad:
    """Parses NAME:WEIGHT, of which the weight is optional."""
    name, _, weight = text.partition(":")
    return TenantLoad.model_validate({"name": name, "part": float(weight or 1)})
