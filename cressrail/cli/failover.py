"""`cressrail failover`: simulations of the zone weights that a tier's elected leader hands out."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from cressrail.cli.command_group import command_group
from cressrail.cli.output import fail, print_figures

app = command_group("Which part of each zone's traffic goes where.")


@app.callback()
def _group() -> None:
    """Keeps `simulate` a command of its own while it is the only one."""


@app.command()
def simulate(
    scenario: Annotated[Path, typer.Argument(help="TOML; examples stand in example/failover/.")],
    seed: int = 1,
    json: Annotated[Path | None, typer.Option(help="File for the figures.")] = None,
) -> None:
    """Simulate a scenario on a virtual clock, by the same state machine as in service."""
    from cressrail.failover.simulation.scenario import Scenario
    from cressrail.failover.simulation.simulator import simulate as run_simulation
    from cressrail.testbed.scenario_file import ScenarioError, read_scenario

    try:
        figures = run_simulation(read_scenario(scenario, Scenario), seed)
    except ScenarioError as error:
        fail(str(error))
    print_figures(figures, json)
