"""`cressrail zones`: what the sidecars of a tier have decided on zones, and operators' wishes."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Annotated, Any

import typer

from cressrail.cli.admin_client import asked, door, show

if TYPE_CHECKING:
    from rich.table import Table  # loaded where a table is shown only: `serve` passes by here

app = typer.Typer(
    help="Which part of each zone's traffic goes where.",
    no_args_is_help=True,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)
Of = Annotated[
    str, typer.Argument(help="CONFIG of a sidecar with a door for operators, or that door's HOST:PORT.")
]
Where = Annotated[str, typer.Argument(help="A zone, or a region: all its zones.")]


@app.command()
def watch(
    of: Of,
    once: Annotated[bool, typer.Option(help="Print one table and end.")] = False,
    every_s: float = 1.0,
) -> None:
    """Show what is decided, live."""
    show(of, "/zones", "failover", _table, once, every_s)


@app.command()
def drain(of: Of, where: Where, for_s: Annotated[int, typer.Option(min=1, max=43_200)]) -> None:
    """Have a zone or region emptied, as far as others bear it, for so long at the most."""
    at = door(of)
    for zone in _zones(at, where):
        print(f"{zone}: drained for {_told(at, '/zones/drain', zone=zone, for_s=for_s)['for_s']} s")


@app.command()
def undrain(of: Of, where: Where) -> None:
    """End that before its time."""
    at = door(of)
    for zone in _zones(at, where):
        _told(at, "/zones/undrain", zone=zone)
        print(f"{zone}: comes back")


@app.command()
def explain(of: Of, zone: str) -> None:
    """Show the evidence on a zone by sidecar: of all at whoever decides, the own elsewhere."""
    from rich.console import Console
    from rich.table import Table

    rows = _told(door(of), "/zones/explain", method="GET", zone=zone)
    table = Table(*(rows[0] if rows else ("sidecar",)), title=f"evidence on {zone}, of the last moments")
    for row in rows:
        table.add_row(*(f"{v:.1f}" if isinstance(v, float) else str(v) for v in row.values()))
    Console().print(table)


def _told(at: tuple[str, int], path: str, method: str = "", **words: Any) -> Any:
    from urllib.parse import urlencode

    query = f"?{urlencode(words)}" if words else ""
    told = asked(at, path + query, "failover", method or ("POST" if words else "GET"))
    if isinstance(told, str):
        print(f"cressrail: {told}", file=sys.stderr)
        sys.exit(1)
    return told


def _zones(at: tuple[str, int], where: str) -> list[str]:
    rows = _told(at, "/zones")["zones"]
    found = [row["zone"] for row in rows if where in (row["zone"], row["region"])]
    if not found:
        print(f"cressrail: no zone or region is {where[:40]}", file=sys.stderr)
        sys.exit(1)
    return found


def _table(told: dict[str, Any]) -> Table:
    from rich.table import Table

    near = told["near"]
    fresh = "stood by" if told["fresh"] else "not stood by any more"
    served = f"served near: zone {near['zone']:.0%}, region {near['region']:.0%}, beyond {near['beyond']:.0%}"
    table = Table(
        "zone",
        "region",
        "state",
        "why",
        "for s",
        *(f"from {row['zone']}" for row in told["zones"]),
        title=f"epoch {told['epoch']} by {told['decided_by'] or 'nobody'}, {fresh}; {served}",
    )
    for row in told["zones"]:
        shares = [f"{row['shares'].get(other['zone'], 0):.0%}" for other in told["zones"]]
        since = f"{row['since_ms'] / 1000:.0f}"
        table.add_row(row["zone"], row["region"], row["state"], row["why"], since, *shares)
    return table
