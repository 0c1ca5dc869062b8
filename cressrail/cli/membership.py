"""`cressrail membership`: the other sidecars as a running one sees them, and a simulation of a fleet."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from cressrail.cli.admin_client import AdminResource, add_watch_command
from cressrail.cli.command_group import command_group
from cressrail.cli.output import fail, print_figures

if TYPE_CHECKING:
    from rich.table import Table  # at run time imported only to show a table, as `serve` loads this module

MEMBERSHIP = AdminResource("/membership", "membership")

MAX_SHOWN_CHARACTERS = 40  # part of an invalid argument that is quoted in a message

app = command_group("Liveness of the sidecars as seen by one of them.")


def _membership_table(view: dict[str, Any]) -> Table:
    from rich.table import Table

    stability = "stable" if view["settled"] else "not stable"
    table = Table(
        "instance",
        "zone",
        "state",
        "for s",
        "last heard s ago",
        "cannot be reached by",
        title=f"{view['self']}: {view['alive']} alive, {stability}, incarnation {view['incarnation']}",
    )
    for instance in view["copies"]:
        last_heard = "-" if instance["heard_ms"] < 0 else f"{instance['heard_ms'] / 1000:.1f}"
        table.add_row(
            instance["name"],
            instance["zone"],
            instance["state"],
            f"{instance['since_ms'] / 1000:.0f}",
            last_heard,
            ", ".join(instance["cannot_reach"]),
        )
    return table


add_watch_command(
    app,
    MEMBERSHIP,
    "Show the other sidecars as one sidecar sees them, updated continuously.",
    _membership_table,
)


@app.command()
def simulate(
    size: Annotated[int, typer.Option(min=2, max=2000)] = 50,
    seed: int = 1,
    loss: Annotated[
        float, typer.Option(min=0.0, max=0.9, help="Fraction of datagrams lost in each direction.")
    ] = 0.0,
    tolerated_pause_ms: Annotated[int, typer.Option("--bear-pause-ms", min=300)] = 3000,
    max_datagram_bytes: Annotated[int, typer.Option("--most-bytes", min=256, max=1400)] = 1400,
    without: Annotated[
        list[str] | None,
        typer.Option(
            help="Mechanism to disable: aware (local health), indirect (pings) or shrinks (suspicion)."
        ),
    ] = None,
    json: Annotated[Path | None, typer.Option(help="File for the figures, as JSON.")] = None,
) -> None:
    """Simulate a fleet on a virtual clock: start, quiet period, one failure, then failure of 70%."""
    from cressrail.membership.scenarios import ABLATIONS
    from cressrail.membership.scenarios import simulate as run_simulation

    for ablation in without or ():
        if ablation not in ABLATIONS:
            shown = ablation[:MAX_SHOWN_CHARACTERS]
            fail(f"membership simulate: --without is not one of {', '.join(ABLATIONS)}: {shown}")
    figures = run_simulation(size, seed, loss, tolerated_pause_ms, max_datagram_bytes, tuple(without or ()))
    print_figures(figures, json)
