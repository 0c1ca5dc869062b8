"""`cressrail standin`: simulated fleets with faults, the rule checker, and a server with known pauses."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Annotated

import orjson
import typer
import uvloop

from cressrail.cli.command_group import command_group
from cressrail.cli.output import fail
from cressrail.http_testing.client import now_us
from cressrail.testbed.event_record import read_events
from cressrail.testbed.pauses import PauseSchedule, draw_pauses, serve_with_pauses
from cressrail.testbed.rule_checker import check_rules
from cressrail.testbed.run import run_fleet
from cressrail.testbed.run_evidence import collect_evidence
from cressrail.testbed.scenario import FleetScenario
from cressrail.testbed.scenario_file import ScenarioError, errors_in_file, read_scenario
from cressrail.testbed.sidecar_configuration import check_settings

STATUS_RULE_BROKEN = 3
PAUSES_HOST = "127.0.0.1"
MILLISECOND_US = 1000
THIS_CHECKOUT = Path(__file__).resolve().parents[2]

app = command_group("Simulated services with injected faults, and the rule checker.")


@app.command()
def run(
    file: Annotated[Path, typer.Argument(help="Scenario of a fleet, a TOML file.")],
    folder: Annotated[
        Path, typer.Option("--out", help="Folder for configurations, logs and event records.")
    ] = Path("standin-out"),
    checkout: Annotated[
        Path, typer.Option("--tree", help="Checkout of the repository from which the sidecars are run.")
    ] = THIS_CHECKOUT,
    policy: str = "own",
    defect: Annotated[str, typer.Option("--break", help="Deliberate defect of the sidecars.")] = "",
    waits_for_start: Annotated[
        bool,
        typer.Option(
            "--wait/--no-wait", help="Delay the faults until a line `go MICROSECONDS` on standard input."
        ),
    ] = False,
) -> None:
    """Run a fleet with its faults until Ctrl-C or, with --wait, the end of the input; print its addresses."""
    try:
        scenario = read_scenario(file, FleetScenario)
        with errors_in_file(file):
            check_settings(scenario)
    except ScenarioError as error:
        fail(str(error))
    starts_at_once = not waits_for_start
    sys.exit(run_fleet(scenario, folder, checkout.resolve(), policy, defect, starts_at_once))


@app.command()
def judge(
    file: Annotated[Path, typer.Argument(help="Scenario of the fleet, a TOML file.")],
    fleet: Annotated[Path, typer.Argument(help="Event record of the run, fleet.jsonl.")],
    load: Annotated[Path, typer.Argument(help="Attempt log of the load generator.")],
) -> None:
    """Check the records of a run against the four rules; the exit status is 3 if a rule is violated."""
    try:
        scenario = read_scenario(file, FleetScenario)
        violations = check_rules(scenario, collect_evidence(read_events(load), read_events(fleet)))
    except (ScenarioError, OSError, orjson.JSONDecodeError) as error:
        fail(str(error))
    for violation in violations:
        print(f"rule {violation.rule}: {violation.request_id or '-'}: {violation.evidence}")
    print(f"{len(violations)} violations", file=sys.stderr)
    sys.exit(STATUS_RULE_BROKEN if violations else 0)


@app.command()
def pauses(
    out: Annotated[Path, typer.Argument(help="File for the pauses drawn at random, as JSON.")],
    port: int = 9555,
    seconds: float = 20.0,
    seed: int = 1,
    work_ms: float = 250.0,
    every_s: float = 3.0,
    mean_ms: float = 300.0,
    most_ms: float = 2000.0,
) -> None:
    """Serve with known pauses, to check the latencies that a load generator measures."""

    async def serve() -> None:
        started_us = now_us()
        drawn = draw_pauses(seed, seconds, every_s, mean_ms, most_ms)
        spans_us = [(start_us + started_us, end_us + started_us) for start_us, end_us in drawn.spans_us]
        work_us = int(work_ms * MILLISECOND_US)
        out.write_bytes(orjson.dumps({"work_us": work_us, "spans_us": spans_us}))
        await serve_with_pauses(PAUSES_HOST, port, PauseSchedule(spans_us), work_us)
        await asyncio.sleep(seconds)

    uvloop.run(serve())
