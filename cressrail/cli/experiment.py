"""`cressrail experiment`: comparison of variants with a report, and the cost of a request."""

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
    help="Experiments with real sidecars and simulated services.",
    no_args_is_help=True,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)


@app.command()
def run(
    file: Annotated[Path, typer.Argument(help="Description of the experiment, a TOML file.")],
    out: Annotated[Path, typer.Option(help="Folder for result.json and report.html.")] = Path(
        "experiment-out"
    ),
    keep: Annotated[bool, typer.Option(help="Keep the records and logs of each run.")] = False,
) -> None:
    """Run the variants alternately, compare them pairwise and write a report."""
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
    # Imported here because the plotting library is slow to load.
    from cressrail.experiment.html_report import build_figures_table

    _print_table(build_figures_table(result))
    print(f"report: {out / REPORT_FILE}")


@app.command()
def cost(
    against: Annotated[str, typer.Option(help="Revision to compare with; empty for none.")] = "HEAD",
    rounds: int = 3,
    quick: Annotated[bool, typer.Option(help="Measure only the first rows, in one round.")] = False,
    json: Annotated[Path | None, typer.Option(help="File for the figures, as JSON.")] = None,
) -> None:
    """Compare CPU time and memory of a sidecar with those of a plain relay and of an earlier revision."""
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
