"""`cressrail failover`: simulations of failover between zones, with zone weights set by an elected leader."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from cressrail.cli.command_group import command_group
from cressrail.cli.output import fail, print_figures

app = command_group("Simulations of failover between zones.")


@app.callback()
def _group() -> None:
    """Keeps the name `simulate`: typer drops the name of a single sub-command if there is no callback."""


@app.command()
def simulate(
    scenario: Annotated[Path, typer.Argument(help="Scenario, a TOML file; see example/failover/.")],
    seed: int = 1,
    json: Annotated[Path | None, typer.Option(help="File for the figures, as JSON.")] = None,
) -> None:
    """Simulate a scenario on a virtual clock, with the state machine that sidecars run in production."""
    from cressrail.failover.simulation.scenario import Scenario
    from cressrail.failover.simulation.simulator import simulate as run_simulation
    from cressrail.testbed.scenario_file import ScenarioError, read_scenario

    try:
        figures = run_simulation(read_scenario(scenario, Scenario), seed)
    except ScenarioError as error:
        fail(str(error))
    print_figures(figures, json)
