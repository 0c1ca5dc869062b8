"""python -m cressrail: the command line."""

from __future__ import annotations

import sys


def main() -> None:
    """Runs the sub-command; `serve` loads no library that only others need."""
    from cressrail.cli import lab

    if sys.argv[1:2] and sys.argv[1] in lab.LAB_COMMANDS:
        lab.run_lab_command()
    else:
        from cressrail.cli.commands import app

        app()


if sys.argv[1:] == ["serve"]:
    # As the platform starts it: nothing on the command line to read, so typer's start-up is not waited for.
    import os

    from cressrail.cli.launch import launch

    if os.environ.get("BALANCER_CONFIG"):
        sys.exit(launch(os.environ["BALANCER_CONFIG"]))
main()
