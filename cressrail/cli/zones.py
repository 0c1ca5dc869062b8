"""`cressrail zones`: shows the zone weights that a tier's leader has decided on, and drains zones."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Any

import typer

from cressrail.cli.admin_client import (
    AdminResource,
    SidecarArgument,
    add_watch_command,
    admin_address,
    query_or_exit,
)
from cressrail.cli.command_group import command_group
from cressrail.cli.output import STATUS_FAILED, fail

if TYPE_CHECKING:
    from rich.table import Table  # at run time imported only to show a table, as `serve` loads this module

SECTION = "failover"
ZONES = AdminResource("/zones", SECTION)
DRAIN = AdminResource("/zones/drain", SECTION, "POST")
UNDRAIN = AdminResource("/zones/undrain", SECTION, "POST")
EXPLAIN = AdminResource("/zones/explain", SECTION)
MAX_DRAIN_S = 43_200
MAX_SHOWN_CHARACTERS = 40  # part of an invalid argument that is quoted in a message

app = command_group("Distribution of each zone's traffic over the zones.")
ZoneOrRegion = Annotated[str, typer.Argument(help="A zone, or a region for all of its zones.")]


def _decision_table(view: dict[str, Any]) -> Table:
    from rich.table import Table

    near = view["near"]
    # "Stood by" means that a leader has recently confirmed the decision.
    freshness = "stood by" if view["fresh"] else "not stood by any more"
    served = f"served near: zone {near['zone']:.0%}, region {near['region']:.0%}, beyond {near['beyond']:.0%}"
    names = [row["zone"] for row in view["zones"]]
    table = Table(
        "zone",
        "region",
        "state",
        "reason",
        "for s",
        *(f"from {name}" for name in names),
        title=f"epoch {view['epoch']} by {view['decided_by'] or 'nobody'}, {freshness}; {served}",
    )
    for row in view["zones"]:
        weights = [f"{row['shares'].get(name, 0):.0%}" for name in names]
        duration_s = f"{row['since_ms'] / 1000:.0f}"
        table.add_row(row["zone"], row["region"], row["state"], row["why"], duration_s, *weights)
    return table


add_watch_command(app, ZONES, "Show the current zone weights, updated continuously.", _decision_table)


@app.command()
def drain(
    sidecar: SidecarArgument,
    where: ZoneOrRegion,
    for_s: Annotated[int, typer.Option(min=1, max=MAX_DRAIN_S)],
) -> None:
    """Drain a zone or region for at most FOR_S seconds, as far as the other zones have capacity."""
    at = admin_address(sidecar)
    for zone in _matching_zones(at, where):
        answer = query_or_exit(at, DRAIN, {"zone": zone, "for_s": for_s})
        print(f"{zone}: drained for {answer['for_s']} s")


@app.command()
def undrain(sidecar: SidecarArgument, where: ZoneOrRegion) -> None:
    """End the drain of a zone or region early."""
    at = admin_address(sidecar)
    for zone in _matching_zones(at, where):
        query_or_exit(at, UNDRAIN, {"zone": zone})
        print(f"{zone}: drain ended")


@app.command()
def explain(sidecar: SidecarArgument, zone: str) -> None:
    """Show the recent evidence on a zone, by sidecar; only the leader has the evidence of all sidecars."""
    from rich.console import Console
    from rich.table import Table

    rows = query_or_exit(admin_address(sidecar), EXPLAIN, {"zone": zone})
    columns = rows[0] if rows else ("sidecar",)
    table = Table(*columns, title=f"recent evidence on {zone}")
    for row in rows:
        table.add_row(*(_format_cell(value) for value in row.values()))
    Console().print(table)


def _format_cell(value: Any) -> str:
    return f"{value:.1f}" if isinstance(value, float) else str(value)


def _matching_zones(at: tuple[str, int], where: str) -> list[str]:
    rows = query_or_exit(at, ZONES)["zones"]
    found = [row["zone"] for row in rows if where in (row["zone"], row["region"])]
    if not found:
        fail(f"there is no zone or region named {where[:MAX_SHOWN_CHARACTERS]}", STATUS_FAILED)
    return found
