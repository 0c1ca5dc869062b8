"""Queries of a running sidecar's admin API, shared by the sub-commands that need them.

Libraries are imported where they are used, because `serve` loads this module too.
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
MAX_REASON_CHARACTERS = 200  # part of an error response's body that is quoted in a message
HTTP_OK = 200

SidecarArgument = Annotated[
    str, typer.Argument(help="Admin address of a sidecar as HOST:PORT, or its configuration file.")
]
OnceOption = Annotated[bool, typer.Option(help="Print the table once and exit.")]


class AdminQueryError(Exception):
    """A sidecar did not answer a query, or answered with an error; the message names the address."""


class AdminResource(NamedTuple):
    """A resource of a sidecar's admin API.

    Attributes:
        path: Path of the resource.
        section: Section of the configuration that enables the resource.
        method: HTTP method of the request.
    """

    path: str
    section: str
    method: str = "GET"


QueryParameters = Mapping[str, str | int]


def admin_address(sidecar: str) -> tuple[str, int]:
    """Returns the admin address of a sidecar; exits with status 2 if the sidecar has none.

    Args:
        sidecar: The admin address as HOST:PORT, or the path of the sidecar's configuration file.
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
    """Requests a resource from a sidecar and returns the decoded JSON response.

    Args:
        at: Host and port of the admin address.
        resource: The resource to request.
        parameters: Parameters of the query string.

    Raises:
        AdminQueryError: There is no response, its status is not 200, or its body is not JSON.
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
    raise AdminQueryError(
        f"{host}:{port} answered {resource.method} {resource.path} with status {answer.status}; "
        f"is {resource.section} configured there? ({reason})"
    )


def query_or_exit(
    at: tuple[str, int], resource: AdminResource, parameters: QueryParameters | None = None
) -> Any:
    """Returns the result of `query`; on failure, prints one line and exits with status 1."""
    try:
        return query(at, resource, parameters)
    except AdminQueryError as error:
        fail(str(error), STATUS_FAILED)


def add_watch_command(
    group: typer.Typer, resource: AdminResource, summary: str, to_table: Callable[[Any], Table]
) -> None:
    """Adds a sub-command `watch` that shows a resource as a table.

    Args:
        group: Group to which the sub-command is added.
        resource: The resource to show.
        summary: Help text of the sub-command.
        to_table: Function that converts the sidecar's response into a table.
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
        sidecar: The admin address as HOST:PORT, or the path of the sidecar's configuration file.
        resource: The resource to show.
        to_table: Function that converts the sidecar's response into a table.
        once: Whether to print the table once and return, exiting with status 1 if the query fails. Otherwise
            the table is updated until the process is interrupted.
        every_s: Interval between two queries in seconds.
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
