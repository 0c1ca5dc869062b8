"""`cressrail experiment`: variants side by side, with a report; and what a request costs."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import orjson
import typer
from rich.console import Console
from rich.table import Table

from cressrail.cli.output import STATUS_FAILED, fail
from cressrail.experiment.checkouts import RevisionError
from cressrail.experiment.cost import build_cost_table, compare_costs
from cressrail.experiment.plan import Experiment
from cressrail.experiment.run import REPORT_FILE, run_experiment
from cressrail.testbed.scenario_file import ScenarioError, errors_in_file, read_scenario
from cressrail.testbed.sidecar_configuration import check_settings

app = typer.Typer(
    help="Experiments on real sidecars amid simulated services.",
    no_args_is_help=True,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)


@app.command()
def run(
    file: Annotated[Path, typer.Argument(help="An experiment's TOML file.")],
    out: Annotated[Path, typer.Option(help="Where result.json and report.html go.")] = Path("experiment-out"),
    keep: Annotated[bool, typer.Option(help="Keep records and logs of each run.")] = False,
) -> None:
    """Run the variants in turns, compare them in pairs, write the report."""
    try:
        experiment = read_scenario(file, Experiment)
        with errors_in_file(file):
            for variant in experiment.variants:
                check_settings(experiment.build_scenario(variant, 0))
        result = run_experiment(experiment, out, _print_progress, keeps_runs=keep)
    except (ScenarioError, RevisionError) as error:
        fail(str(error))
    except RuntimeError as error:
        fail(str(error), STATUS_FAILED)
    # Loaded only now: plotting takes its time to load.
    from cressrail.experiment.html_report import build_figures_table

    _print_table(build_figures_table(result))
    print(f"report: {out / REPORT_FILE}")


@app.command()
def cost(
    against: Annotated[str, typer.Option(help="An earlier revision to set beside; none if empty.")] = "HEAD",
    rounds: int = 3,
    quick: Annotated[bool, typer.Option(help="The first rows only, once.")] = False,
    json: Annotated[Path | None, typer.Option(help="Where the figures go.")] = None,
) -> None:
    """CPU and memory of one sidecar, beside a bare relay and an earlier revision."""
    try:
        figures = compare_costs(against, 1 if quick else rounds, _print_progress, is_quick=quick)
    except RevisionError as error:
        fail(str(error))
    if json is not None:
        json.write_bytes(orjson.dumps(figures, option=orjson.OPT_INDENT_2))
    _print_table(build_cost_table(figures))


def _print_progress(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def _print_table(rows: list[list[str]]) -> None:
    header, *lines = rows
    table = Table(*header)
    for line in lines:
        table.add_row(*line)
    Console().print(table)
