"""Asks a running sidecar at its operators' door."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import orjson

from cressrail.cli.output import address, fail
from cressrail.configuration.settings_reader import ConfigurationError
from cressrail.configuration.startup import read_startup_configuration

if TYPE_CHECKING:
    from rich.table import (
        Table,  # libraries of this file are loaded where they are used: `serve` passes by here
    )

SPAN_S = 2.0


def door(of: str) -> tuple[str, int]:
    """HOST:PORT, or the configuration of a sidecar that has such a door."""
    try:
        return address(of)
    except ValueError:
        pass
    try:
        start = read_startup_configuration(of)
    except ConfigurationError as fault:
        fail(str(fault))
    if start.admin is None:
        fail(f"{of}: ops is missing: a door for operators is where this is asked")
    return start.admin


def asked(at: tuple[str, int], target: str, what: str, method: str = "GET") -> Any | str:
    """What is told, or why nothing is."""
    import http.client

    connection = http.client.HTTPConnection(*at, timeout=SPAN_S)
    try:
        connection.request(method, target)
        answer = connection.getresponse()
        text = answer.read()
        if answer.status != 200:
            why = text.decode(errors="replace").strip()[:200]
            return f"{at[0]}:{at[1]} answers {answer.status}: no {what} there ({why})"
        return orjson.loads(text)
    except (OSError, http.client.HTTPException, orjson.JSONDecodeError) as fault:
        return f"{at[0]}:{at[1]}: {fault}"
    finally:
        connection.close()


def show(of: str, target: str, what: str, table: Callable[[Any], Table], once: bool, every_s: float) -> None:
    """As a table, live; or `once`, and ended with 1 where nothing is told."""
    from rich.console import Console
    from rich.live import Live

    at = door(of)
    if once:
        told = asked(at, target, what)
        if isinstance(told, str):
            print(f"cressrail: {told}", file=sys.stderr)
            sys.exit(1)
        Console().print(table(told))
        return
    with Live(auto_refresh=False) as live:
        while True:
            told = asked(at, target, what)
            live.update(told if isinstance(told, str) else table(told), refresh=True)
            time.sleep(every_s)
