"""The commands that the state machine returns for the `network` package to execute."""

from __future__ import annotations

from typing import Any, NamedTuple

from cressrail.buffers.pool import BufferChain
from cressrail.http1.request import Request
from cressrail.http1.response import Response


class AcceptClients(NamedTuple):
    """Start or pause accepting clients.

    Attributes:
        is_accepting: Whether clients are accepted from now on.
        is_final: Whether to close the listening socket, so that no client can be accepted any more.
    """

    is_accepting: bool
    is_final: bool = False


class ReadRequest(NamedTuple):
    """Read the next request of a client."""

    client: int


class SendResponse(NamedTuple):
    """Send a response to a client.

    Attributes:
        client: The client's id.
        response: The response.
        closes_connection: Whether to announce that the connection closes after the response.
        is_http11: Whether the client's request was HTTP/1.1.
    """

    client: int
    response: Response
    closes_connection: bool
    is_http11: bool = True


class CloseClient(NamedTuple):
    """Close a client's connection.

    Attributes:
        client: The client's id.
        only_if_idle: Whether to close it only if the client has not begun to send a request in the meantime,
            or has stopped sending one.
    """

    client: int
    only_if_idle: bool


class SendAttempt(NamedTuple):
    """Send a request over a connection to an endpoint.

    Attributes:
        connection: The connection's id.
        is_new_connection: Whether the connection must be established first.
        attempt: The attempt's id.
        host: Host that the connection leads to.
        port: Port that the connection leads to.
        request: The request to send.
        timeout_at_us: When the attempt times out.
        not_before_us: Earliest time at which the attempt may be sent.
    """

    connection: int
    is_new_connection: bool
    attempt: int
    host: str
    port: int
    request: Request
    timeout_at_us: int
    not_before_us: int = 0


class CancelAttempt(NamedTuple):
    """Cancel an attempt without waiting for its response, and close its connection."""

    connection: int
    attempt: int


class CloseEndpointConnection(NamedTuple):
    """Close a connection to an endpoint on which no attempt is in flight."""

    connection: int


class ReleaseBody(NamedTuple):
    """Return the buffers of a body to the pool."""

    body: BufferChain


class WatchEndpoints(NamedTuple):
    """Call discovery for the watch on its endpoint list.

    Attributes:
        after_revision: Revision after which discovery sends changes; -1 to receive the complete list first.
        at_us: Time at which to begin the call.
        source: Host and port of discovery.
        replaces_calls: Whether calls that are open are ended first.
    """

    after_revision: int
    at_us: int
    source: tuple[str, int]
    replaces_calls: bool = False


class SetTimer(NamedTuple):
    """Call `StateMachine.on_timer` at this time; replaces any earlier timer."""

    at_us: int


class BeginTakeover(NamedTuple):
    """Ask the predecessor process to hand over."""


class LogEvent(NamedTuple):
    """Write a line to the log; `cressrail.logs.events` defines the event names."""

    event: str
    fields: dict[str, Any]


class Exit(NamedTuple):
    """Exit the process: no work remains, or its time is up."""


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
