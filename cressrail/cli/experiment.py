"""`cressrail experiment`: arms side by side, with a report; and what a transaction costs."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import orjson
import typer
from rich.console import Console
from rich.table import Table

from cressrail.cli.output import fail
from cressrail.experiment.checkouts import NoRevision
from cressrail.experiment.cost import cost, table
from cressrail.experiment.plan import Experiment
from cressrail.experiment.run import run as play
from cressrail.testbed.scenario_file import ScenarioError, errors_in_file, read_scenario
from cressrail.testbed.sidecar_configuration import check_settings

app = typer.Typer(
    help="Experiments on real sidecars amid stand-ins.",
    no_args_is_help=True,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)


@app.command()
def run(
    file: Annotated[Path, typer.Argument(help="An experiment's TOML file.")],
    out: Annotated[Path, typer.Option(help="Where result.json and report.html go.")] = Path("experiment-out"),
    keep: Annotated[bool, typer.Option(help="Keep ledgers and logs of each run.")] = False,
) -> None:
    """Play the arms in turns, compare them in pairs, write the report."""
    try:
        experiment = read_scenario(file, Experiment)
        with errors_in_file(file):
            for arm in experiment.arms:
                check_settings(experiment.world(arm, 0))
        result = play(experiment, out, lambda text: print(text, file=sys.stderr, flush=True), keep)
    except (ScenarioError, NoRevision) as fault:
        fail(str(fault))
    except RuntimeError as fault:
        print(f"cressrail: {fault}", file=sys.stderr)
        sys.exit(1)
    from cressrail.experiment.report import text_table

    show(text_table(result))
    print(f"report: {out / 'report.html'}")


@app.command("cost")
def cost_(
    against: Annotated[str, typer.Option(help="An earlier revision to set beside; none if empty.")] = "HEAD",
    rounds: int = 3,
    quick: Annotated[bool, typer.Option(help="The first rows only, once.")] = False,
    json: Annotated[Path | None, typer.Option(help="Where the figures go.")] = None,
) -> None:
    """CPU and memory of one sidecar, beside a bare relay and an earlier revision."""
    try:
        found = cost(
            against, 1 if quick else rounds, quick, lambda text: print(text, file=sys.stderr, flush=True)
        )
    except NoRevision as fault:
        fail(str(fault))
    if json is not None:
        json.write_bytes(orjson.dumps(found, option=orjson.OPT_INDENT_2))
    show(table(found))


def show(rows: list[list[str]]) -> None:
    head, *rest = rows
    drawn = Table(*head)
    for row in rest:
        drawn.add_row(*row)
    Console().print(drawn)
