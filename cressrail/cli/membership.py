"""`cressrail membership`: what a running sidecar knows of the others, and plays in virtual time."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from cressrail.cli.admin_client import AdminResource, OnceOption, SidecarArgument, show_table
from cressrail.cli.command_group import command_group
from cressrail.cli.output import fail, tell

if TYPE_CHECKING:
    from rich.table import Table  # loaded where a table is shown only: `serve` passes by here

MEMBERSHIP = AdminResource("/membership", "membership")

app = command_group("Who of the sidecars is alive.")


@app.command()
def watch(
    sidecar: SidecarArgument,
    once: OnceOption = False,
    every_s: float = 1.0,
) -> None:
    """Show a sidecar's view of the others, live."""
    show_table(sidecar, MEMBERSHIP, _table, once, every_s)


@app.command()
def simulate(
    size: Annotated[int, typer.Option(min=2, max=2000)] = 50,
    seed: int = 1,
    loss: Annotated[float, typer.Option(min=0.0, max=0.9, help="Share of datagrams, each way.")] = 0.0,
    bear_pause_ms: Annotated[int, typer.Option(min=300)] = 3000,
    most_bytes: Annotated[int, typer.Option(min=256, max=1400)] = 1400,
    without: Annotated[list[str] | None, typer.Option(help="Take out aware, indirect or shrinks.")] = None,
    json: Annotated[Path | None, typer.Option(help="Where the figures go.")] = None,
) -> None:
    """Play a fleet's start, calm, one death and seven deaths in ten, in virtual time."""
    from cressrail.membership.scenarios import ABLATIONS
    from cressrail.membership.scenarios import simulate as play

    for word in without or []:
        if word not in ABLATIONS:
            fail(f"membership simulate: --without is none of {', '.join(ABLATIONS)}: {word[:40]}")
    told = play(size, seed, loss, bear_pause_ms, most_bytes, tuple(without or ()))
    tell(told, json)


def _table(told: dict[str, Any]) -> Table:
    from rich.table import Table

    settled = "settled" if told["settled"] else "not settled"
    table = Table(
        "copy",
        "zone",
        "state",
        "for s",
        "heard s ago",
        "can't be reached by",
        title=f"{told['self']}: {told['alive']} alive, {settled}, incarnation {told['incarnation']}",
    )
    for copy in told["copies"]:
        heard = "-" if copy["heard_ms"] < 0 else f"{copy['heard_ms'] / 1000:.1f}"
        table.add_row(
            copy["name"],
            copy["zone"],
            copy["state"],
            f"{copy['since_ms'] / 1000:.0f}",
            heard,
            ", ".join(copy["cannot_reach"]),
        )
    return table
