"""`cressrail standin`: stand-in tiers, and a server with known pauses."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Annotated

import orjson
import typer
import uvloop

from cressrail.cli.output import fail
from cressrail.http_testing.client import now_us
from cressrail.testbed.event_record import read_events
from cressrail.testbed.pauses import PauseSchedule, draw_pauses, serve_with_pauses
from cressrail.testbed.rule_checker import evidence, judge
from cressrail.testbed.run import run_fleet
from cressrail.testbed.scenario import FleetScenario
from cressrail.testbed.scenario_file import ScenarioError, errors_in_file, read_scenario
from cressrail.testbed.sidecars import check_settings

app = typer.Typer(
    help="Stand-in tiers with faults, and the rule checker.",
    no_args_is_help=True,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)
HERE = Path(__file__).resolve().parents[2]


@app.command()
def run(
    file: Annotated[Path, typer.Argument(help="A fleet's TOML file.")],
    out: Annotated[Path, typer.Option(help="Where configurations, logs and ledgers go.")] = Path(
        "standin-out"
    ),
    tree: Annotated[Path, typer.Option(help="The tree whose sidecars run.")] = HERE,
    policy: str = "own",
    broken: Annotated[str, typer.Option("--break", help="A sidecar broken on purpose.")] = "",
    wait: Annotated[bool, typer.Option(help="Faults wait for a line `go MICROSECONDS`.")] = False,
) -> None:
    """Start the fleet, print where its doors are, play its faults; until Ctrl-C or the end of the input."""
    try:
        world = read_scenario(file, FleetScenario)
        with errors_in_file(file):
            check_settings(world)
    except ScenarioError as fault:
        fail(str(fault))
    sys.exit(run_fleet(world, out, tree.resolve(), policy, broken, not wait))


@app.command("judge")
def judge_(
    file: Path,
    fleet: Annotated[Path, typer.Argument(help="fleet.jsonl of the run.")],
    load: Annotated[Path, typer.Argument(help="The load's ledger.")],
) -> None:
    """Judge the four rules from a run's ledgers; exit status 3 if one is broken."""
    try:
        world = read_scenario(file, FleetScenario)
        broken = judge(world, evidence(read_events(load), read_events(fleet)))
    except (ScenarioError, OSError, orjson.JSONDecodeError) as fault:
        fail(str(fault))
    for one in broken:
        print(f"rule {one.rule}: {one.tx or '-'}: {one.evidence}")
    print(f"{len(broken)} breaks", file=sys.stderr)
    sys.exit(3 if broken else 0)


@app.command()
def pauses(
    out: Annotated[Path, typer.Argument(help="Where the drawn pauses go, JSON.")],
    port: int = 9555,
    seconds: float = 20.0,
    seed: int = 1,
    work_ms: float = 250.0,
    every_s: float = 3.0,
    mean_ms: float = 300.0,
    most_ms: float = 2000.0,
) -> None:
    """A server with pauses that are known, to hold a load generator's figures against."""

    async def serve() -> None:
        start = now_us()
        drawn = draw_pauses(seed, seconds, every_s, mean_ms, most_ms)
        spans = [(a + start, b + start) for a, b in drawn.spans_us]
        out.write_bytes(orjson.dumps({"work_us": int(work_ms * 1000), "spans_us": spans}))
        await serve_with_pauses("127.0.0.1", port, PauseSchedule(spans), int(work_ms * 1000))
        await asyncio.sleep(seconds)

    uvloop.run(serve())
