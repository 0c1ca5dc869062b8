"""Queries a running sidecar at its admin address, for all sub-commands that do so.

Libraries are imported where they are used, as `serve` loads this module too.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from contextlib import closing, suppress
from typing import TYPE_CHECKING, Annotated, Any, NamedTuple

import orjson
import typer

from cressrail.cli.output import STATUS_FAILED, fail, parse_address
from cressrail.configuration.settings_reader import ConfigurationError
from cressrail.configuration.startup import read_startup_configuration

if TYPE_CHECKING:
    from rich.table import Table

TIMEOUT_S = 2.0
MAX_REASON_CHARACTERS = 200  # shown of an answer that is no success
HTTP_OK = 200

SidecarArgument = Annotated[
    str, typer.Argument(help="CONFIG of a sidecar with an admin address, or that HOST:PORT.")
]
OnceOption = Annotated[bool, typer.Option(help="Print one table and end.")]


class AdminQueryError(Exception):
    """A sidecar did not answer, or refused; the message says where and why."""


class AdminResource(NamedTuple):
    """Something that a sidecar answers at its admin address.

    Attributes:
        path: Its path.
        section: The part of the configuration without which it is missing.
        method: The HTTP method to ask for it with.
    """

    path: str
    section: str
    method: str = "GET"


QueryParameters = Mapping[str, str | int]


def admin_address(sidecar: str) -> tuple[str, int]:
    """Returns the admin address of a sidecar; ends the process with 2 where it has none.

    Args:
        sidecar: HOST:PORT, or the path of the sidecar's configuration.
    """
    with suppress(ValueError):
        return parse_address(sidecar)
    try:
        start = read_startup_configuration(sidecar)
    except ConfigurationError as error:
        fail(str(error))
    if start.admin is None:
        fail(f"{sidecar}: ops is missing: the sidecar has no admin address")
    return start.admin


def query(at: tuple[str, int], resource: AdminResource, parameters: QueryParameters | None = None) -> Any:
    """Returns the JSON value that a sidecar answers.

    Args:
        at: Host and port of the admin address.
        resource: What to ask for.
        parameters: Of the query string.

    Raises:
        AdminQueryError: There is no answer, or it is no success or no JSON.
    """
    import http.client
    from urllib.parse import urlencode

    target = f"{resource.path}?{urlencode(parameters)}" if parameters else resource.path
    host, port = at
    try:
        with closing(http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)) as connection:
            connection.request(resource.method, target)
            answer = connection.getresponse()
            body = answer.read()
        if answer.status == HTTP_OK:
            return orjson.loads(body)
    except (OSError, http.client.HTTPException, orjson.JSONDecodeError) as error:
        raise AdminQueryError(f"{host}:{port}: {error}") from None
    reason = body.decode(errors="replace").strip()[:MAX_REASON_CHARACTERS]
    raise AdminQueryError(f"{host}:{port} answers {answer.status}: no {resource.section} there ({reason})")


def query_or_exit(
    at: tuple[str, int], resource: AdminResource, parameters: QueryParameters | None = None
) -> Any:
    """Returns what `query` returns; ends the process with 1 and one line where it fails."""
    try:
        return query(at, resource, parameters)
    except AdminQueryError as error:
        fail(str(error), STATUS_FAILED)


def add_watch_command(
    group: typer.Typer, resource: AdminResource, summary: str, to_table: Callable[[Any], Table]
) -> None:
    """Adds `watch`, which shows a resource as a table.

    Args:
        group: The group of sub-commands to add it to.
        resource: What to show.
        summary: Help text.
        to_table: Makes a table of the sidecar's answer.
    """

    @group.command("watch", help=summary)
    def watch(sidecar: SidecarArgument, once: OnceOption = False, every_s: float = 1.0) -> None:
        show_table(sidecar, resource, to_table, once, every_s)


def show_table(
    sidecar: str,
    resource: AdminResource,
    to_table: Callable[[Any], Table],
    once: bool,
    every_s: float,
) -> None:
    """Shows a resource as a table.

    Args:
        sidecar: HOST:PORT, or the path of the sidecar's configuration.
        resource: What to show.
        to_table: Makes a table of the sidecar's answer.
        once: Whether to print one table and end, with 1 where there is no answer; otherwise it is shown live.
        every_s: Seconds between two queries.
    """
    from rich.console import Console
    from rich.live import Live

    at = admin_address(sidecar)
    if once:
        Console().print(to_table(query_or_exit(at, resource)))
        return
    with Live(auto_refresh=False) as live:
        while True:
            try:
                live.update(to_table(query(at, resource)), refresh=True)
            except AdminQueryError as error:
                live.update(str(error), refresh=True)
            time.sleep(every_s)
