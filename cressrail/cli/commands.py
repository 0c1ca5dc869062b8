"""The typer application with all sub-commands except those listed in `lab.py`."""

from __future__ import annotations

import sys
from typing import Annotated

import typer

from cressrail import __version__
from cressrail.cli import failover, membership, zones
from cressrail.cli.launch import check_configuration, launch

app = typer.Typer(
    help="A load-balancing sidecar for services that call services.",
    no_args_is_help=True,
    epilog="The load generator and test bed need requirements-lab.txt: load, standin, experiment.",
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)
ConfigurationPath = Annotated[
    str, typer.Argument(envvar="BALANCER_CONFIG", help="Path of the configuration, a JSON file.")
]


app.add_typer(membership.app, name="membership")
app.add_typer(failover.app, name="failover")
app.add_typer(zones.app, name="zones")


@app.command()
def serve(config: ConfigurationPath) -> None:
    """Run one sidecar in the foreground until SIGTERM."""
    sys.exit(launch(config))


@app.command()
def check(config: ConfigurationPath) -> None:
    """Check a configuration; print its summary or first error."""
    sys.exit(check_configuration(config))


@app.command("version")
def show_version() -> None:
    """Print the version."""
    print(f"cressrail {__version__}")
