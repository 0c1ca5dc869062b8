"""`cressrail failover`: plays in virtual time of how zones' traffic is decided on in common."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from cressrail.cli.output import fail, tell

app = typer.Typer(
    help="Which part of each zone's traffic goes where.",
    no_args_is_help=True,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)


@app.callback()
def _group() -> None:
    """Keeps `simulate` a command of its own while it is the only one."""


@app.command()
def simulate(
    scenario: Annotated[Path, typer.Argument(help="TOML; examples stand in example/failover/.")],
    seed: int = 1,
    json: Annotated[Path | None, typer.Option(help="Where the figures go.")] = None,
) -> None:
    """Play a scenario in virtual time, by the same reducer as in service."""
    from cressrail.failover.simulation import Scenario
    from cressrail.failover.simulation import simulate as play
    from cressrail.testbed.scenario_file import Unusable, read

    try:
        told = play(read(scenario, Scenario), seed)
    except Unusable as fault:
        fail(str(fault))
    tell(told, json)
