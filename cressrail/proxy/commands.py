"""What the reducer asks for. Reading and writing are among it; nothing here does any."""

from __future__ import annotations

from typing import Any, NamedTuple

from cressrail.buffers.pool import BufferChain
from cressrail.http1.request import Request
from cressrail.http1.response import Response


class AcceptClients(NamedTuple):
    """Take in clients, or no more for now, or (`closed`) no more at all."""

    on: bool
    closed: bool = False


class ReadRequest(NamedTuple):
    """The next request of a client."""

    client: int


class SendResponse(NamedTuple):
    client: int
    response: Response
    closes_connection: bool  # the connection closes after it
    is_http11: bool = True  # the client reads HTTP/1.1


class CloseClient(NamedTuple):
    """A client's connection; where `idle`, only if no request has begun meanwhile, or is long in coming."""

    client: int
    only_if_idle: bool


class SendAttempt(NamedTuple):
    """A hop, over a connection to its endpoint that is there already or is to be made."""

    connection: int
    is_new_connection: bool
    attempt: int
    host: str
    port: int
    request: Request
    until_us: int
    not_before_us: int = 0  # not before


class CancelAttempt(NamedTuple):
    connection: int
    attempt: int


class CloseEndpointConnection(NamedTuple):
    """A connection to an endpoint on which nothing is out."""

    connection: int


class ReleaseBody(NamedTuple):
    body: BufferChain


class WatchEndpoints(NamedTuple):
    """The list at an address of discovery, its changes after a revision; the whole of it first if -1."""

    after_revision: int
    at_us: int
    source: tuple[str, int]
    consecutive_failures: int = 0  # watches in a row that brought nothing


class SetTimer(NamedTuple):
    at_us: int


class BeginTakeover(NamedTuple):
    """From the process that serves so far, which waits to be asked."""


class LogEvent(NamedTuple):
    """A line for the log."""

    event: str
    fields: dict[str, Any]


class Exit(NamedTuple):
    """All is done; the process may end."""


Command = (
    AcceptClients
    | ReadRequest
    | SendResponse
    | CloseClient
    | SendAttempt
    | CancelAttempt
    | CloseEndpointConnection
    | ReleaseBody
    | WatchEndpoints
    | SetTimer
    | BeginTakeover
    | LogEvent
    | Exit
)
