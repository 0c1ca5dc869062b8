"""What the state machine asks for. Reading and writing are among it; nothing here does any."""

from __future__ import annotations

from typing import Any, NamedTuple

from cressrail.buffers.pool import Chain
from cressrail.http1.answer import Response
from cressrail.http1.request import Request


class AcceptClients(NamedTuple):
    """Accept clients, or pause.

    Attributes:
        on: Whether clients are accepted from now on.
        closed: Whether the listening socket is closed, so that no client is accepted any more.
    """

    on: bool
    closed: bool = False


class ReadRequest(NamedTuple):
    """Read the next request of a client."""

    client: int


class SendResponse(NamedTuple):
    """Send an answer to a client.

    Attributes:
        client: The client's number.
        response: The answer.
        closes_connection: Whether the connection is closed after it.
        is_http11: Whether the client reads HTTP/1.1.
    """

    client: int
    response: Response
    closes_connection: bool
    is_http11: bool = True


class CloseClient(NamedTuple):
    """Close a client's connection.

    Attributes:
        client: The client's number.
        only_if_idle: Only if no request has begun meanwhile, or its rest does not come.
    """

    client: int
    only_if_idle: bool


class SendAttempt(NamedTuple):
    """Send a request over a connection to an endpoint, which is there already or is to be made.

    Attributes:
        connection: The connection's number.
        is_new_connection: Whether it is to be made.
        attempt: The attempt's id.
        host: Where the connection leads.
        port: Where the connection leads.
        request: What is sent.
        until_us: When the attempt times out.
        not_before_us: When it may be sent at the earliest.
    """

    connection: int
    is_new_connection: bool
    attempt: int
    host: str
    port: int
    request: Request
    until_us: int
    not_before_us: int = 0


class CancelAttempt(NamedTuple):
    """End an attempt without waiting for its answer; its connection is closed."""

    connection: int
    attempt: int


class CloseEndpointConnection(NamedTuple):
    """Close a connection to an endpoint on which no attempt is in flight."""

    connection: int


class ReleaseBody(NamedTuple):
    """Give the buffers of a body back."""

    body: Chain


class WatchEndpoints(NamedTuple):
    """Open the watch on discovery's endpoint list.

    Attributes:
        after_revision: Changes after this one are sent; the complete list first if it is -1.
        at_us: When the watch is to be opened.
        source: Host and port of discovery.
        consecutive_failures: Watches in a row that ended without an update.
    """

    after_revision: int
    at_us: int
    source: tuple[str, int]
    consecutive_failures: int = 0


class SetTimer(NamedTuple):
    """Call `StateMachine.on_timer` at this time, and not at one set before."""

    at_us: int


class BeginTakeover(NamedTuple):
    """Ask the predecessor process, which serves so far, to hand over."""


class LogEvent(NamedTuple):
    """Write a line to the log. Names of events are in `events`."""

    event: str
    fields: dict[str, Any]


class Exit(NamedTuple):
    """End the process: all is done."""


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
