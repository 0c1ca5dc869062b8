"""The rigs' commands. They take the libraries of requirements-lab.txt, which no sidecar needs."""

from __future__ import annotations

import sys
from importlib import import_module

RIGS = ("load", "standin", "experiment")


def main() -> None:
    name = sys.argv[1]
    try:
        module = import_module(f"cressrail.cli.{name}")
    except ModuleNotFoundError as fault:
        if str(fault.name).startswith("cressrail"):
            raise
        print(f"cressrail: {name} needs {fault.name}: pip install -r requirements-lab.txt", file=sys.stderr)
        sys.exit(2)
    module.app(args=sys.argv[2:], prog_name=f"cressrail {name}")
