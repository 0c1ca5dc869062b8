"""Sub-commands that need the libraries of requirements-lab.txt, which a sidecar never loads."""

from __future__ import annotations

import sys
from importlib import import_module

from cressrail.cli.output import fail

LAB_COMMANDS = ("load", "standin", "experiment")  # also the names of the modules in this package


def run_lab_command() -> None:
    """Runs the sub-command named by the first argument; exits with status 2 if a library is missing."""
    name = sys.argv[1]
    try:
        module = import_module(f"cressrail.cli.{name}")
    except ModuleNotFoundError as error:
        if str(error.name).startswith("cressrail"):
            raise
        fail(f"{name} needs the library {error.name}; run pip install -r requirements-lab.txt")
    module.app(args=sys.argv[2:], prog_name=f"cressrail {name}")
