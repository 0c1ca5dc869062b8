"""Queries a running sidecar at its operators' address.

Libraries are loaded where they are used, as `serve` imports this module too.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Annotated, Any, NamedTuple, NoReturn

import orjson
import typer

from cressrail.cli.output import address, fail
from cressrail.configuration.settings_reader import ConfigurationError
from cressrail.configuration.startup import read_startup_configuration

if TYPE_CHECKING:
    from rich.table import Table

TIMEOUT_S = 2.0
MAX_REASON_CHARACTERS = 200  # of an answer that is no success
HTTP_OK = 200

SidecarArgument = Annotated[
    str, typer.Argument(help="CONFIG of a sidecar with an operators' address, or that HOST:PORT.")
]
OnceOption = Annotated[bool, typer.Option(help="Print one table and end.")]


class AdminQueryError(Exception):
    """A sidecar did not answer, or refused; the message says where and why."""


class AdminResource(NamedTuple):
    """Something that a sidecar answers at its operators' address.

    Attributes:
        path: Its path.
        part: The part of the configuration without which it is missing.
    """

    path: str
    part: str


def admin_address(sidecar: str) -> tuple[str, int]:
    """Returns the operators' address of a sidecar; ends the process with 2 where it has none.

    Args:
        sidecar: HOST:PORT, or the path of the sidecar's configuration.
    """
    try:
        return address(sidecar)
    except ValueError:
        pass
    try:
        start = read_startup_configuration(sidecar)
    except ConfigurationError as error:
        fail(str(error))
    if start.admin is None:
        fail(f"{sidecar}: ops is missing: the sidecar has no operators' address")
    return start.admin


def query(
    at: tuple[str, int],
    resource: AdminResource,
    method: str = "GET",
    parameters: Mapping[str, str | int] | None = None,
) -> Any:
    """Returns the JSON value that a sidecar answers.

    Raises:
        AdminQueryError: There is no answer, or it is no success or no JSON.
    """
    import http.client
    from urllib.parse import urlencode

    target = f"{resource.path}?{urlencode(parameters)}" if parameters else resource.path
    host, port = at
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    try:
        connection.request(method, target)
        answer = connection.getresponse()
        body = answer.read()
        if answer.status == HTTP_OK:
            return orjson.loads(body)
    except (OSError, http.client.HTTPException, orjson.JSONDecodeError) as error:
        raise AdminQueryError(f"{host}:{port}: {error}") from None
    finally:
        connection.close()
    reason = body.decode(errors="replace").strip()[:MAX_REASON_CHARACTERS]
    raise AdminQueryError(f"{host}:{port} answers {answer.status}: no {resource.part} there ({reason})")


def query_or_exit(
    at: tuple[str, int],
    resource: AdminResource,
    method: str = "GET",
    parameters: Mapping[str, str | int] | None = None,
) -> Any:
    """Returns what `query` returns; ends the process with 1 and one line where it fails."""
    try:
        return query(at, resource, method, parameters)
    except AdminQueryError as error:
        exit_with(str(error))


def exit_with(reason: str) -> NoReturn:
    """Ends the process with 1: the sidecar's answer was not what was wanted."""
    print(f"cressrail: {reason}", file=sys.stderr)
    sys.exit(1)


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
