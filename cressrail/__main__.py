"""Entry point of `python -m cressrail`, the command line."""

from __future__ import annotations

import sys


def main() -> None:
    """Runs a sub-command; `serve` loads no library that only other sub-commands need."""
    from cressrail.cli import lab

    if sys.argv[1:2] and sys.argv[1] in lab.LAB_COMMANDS:
        lab.run_lab_command()
    else:
        from cressrail.cli.commands import app

        app()


if sys.argv[1:] == ["serve"]:
    # Shortcut for the command with which the platform starts a sidecar: it has no arguments to parse, so the
    # time to import typer is saved.
    import os

    from cressrail.cli.launch import launch

    if os.environ.get("BALANCER_CONFIG"):
        sys.exit(launch(os.environ["BALANCER_CONFIG"]))
main()
