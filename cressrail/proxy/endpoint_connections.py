"""Connections to endpoints: which are open, and which of them an attempt may go over."""

from __future__ import annotations

from cressrail.proxy.commands import CloseEndpointConnection, Command
from cressrail.proxy.connection_limits import ConnectionLimits
from cressrail.proxy.endpoint_registry import EndpointRegistry, RegisteredEndpoint
from cressrail.proxy.id_sequence import IdSequence

CONNECTION_SETTLE_US = 5_000  # an endpoint may send a second answer some milliseconds after its first


class EndpointConnection:
    """A connection, and the process that it was made to.

    Attributes:
        endpoint: Index of the endpoint.
        host: Where it was made to.
        port: Where it was made to.
        started_us: When the process behind it was started, as listed when the connection was made.
        settled_us: From then on it may carry another attempt.
    """

    def __init__(self, endpoint: int, host: str, port: int, started_us: int) -> None:
        self.endpoint = endpoint
        self.host = host
        self.port = port
        self.started_us = started_us
        self.settled_us = 0

    def leads_to(self, endpoint: RegisteredEndpoint) -> bool:
        """Whether the endpoint is still the process that the connection was made to."""
        return (endpoint.host, endpoint.port, endpoint.entry.started_us) == (
            self.host,
            self.port,
            self.started_us,
        )


class EndpointConnections:
    """Owns the connections to endpoints, and the list of idle ones of each registered endpoint.

    Attributes:
        open: All connections, by their numbers.
        idle: Connections with no attempt in flight, the longest idle first.
    """

    def __init__(self, registry: EndpointRegistry, limits: ConnectionLimits, ids: IdSequence) -> None:
        self.registry = registry
        self.limits = limits
        self.ids = ids
        self.open: dict[int, EndpointConnection] = {}
        self.idle: dict[int, None] = {}

    def acquire(self, now_us: int, endpoint: int, commands: list[Command]) -> tuple[int, bool]:
        """Returns a connection to the endpoint, and whether it is new; (-1, False) at the limit.

        Of idle connections the one that was used last is taken, so that others may end; if possible one that
        has settled. At the limit the connection that is idle longest is closed, by a command that is
        appended.
        """
        registered = self.registry.endpoints[endpoint]
        if registered.idle:
            settled = (idle for idle in reversed(registered.idle) if self.open[idle].settled_us <= now_us)
            connection = next(settled, registered.idle[0])
            self.claim(connection)
            return connection, False
        if len(self.open) >= self.limits.endpoint_connections:
            if not self.idle:
                return -1, False
            commands += self.close_longest_idle()
        connection = self.ids.next_id()
        self.open[connection] = EndpointConnection(
            endpoint, registered.host, registered.port, registered.entry.started_us
        )
        return connection, True

    def release(self, now_us: int, connection: int) -> list[Command]:
        """No attempt is in flight on a connection any more.

        It is closed if its endpoint has left or moved. Else it may be used once it has settled, so that a
        second answer to this attempt is not taken for the answer to the next: answers do not name their
        requests.
        """
        released = self.open[connection]
        released.settled_us = now_us + CONNECTION_SETTLE_US
        registered = self.registry.endpoints[released.endpoint]
        has_moved = (registered.host, registered.port) != (released.host, released.port)
        if registered.entry.is_removed or has_moved:
            return [CloseEndpointConnection(connection)]
        registered.idle.append(connection)
        self.idle[connection] = None
        return []

    def claim(self, connection: int) -> bool:
        """Takes a connection out of the idle ones. Returns whether it was one."""
        if connection not in self.idle:
            return False
        del self.idle[connection]
        self.registry.endpoints[self.open[connection].endpoint].idle.remove(connection)
        return True

    def close_longest_idle(self) -> list[Command]:
        """Returns the command to close the connection that is idle longest, if any is idle."""
        if not self.idle:
            return []
        oldest = next(iter(self.idle))
        self.claim(oldest)
        return [CloseEndpointConnection(oldest)]

    def close_idle(self, connections: list[int]) -> list[Command]:
        """Returns the commands to close those of the connections that are idle."""
        return [CloseEndpointConnection(connection) for connection in connections if self.claim(connection)]

    def remove(self, connection: int) -> None:
        """A connection is closed; the one place where it stops counting."""
        self.claim(connection)
        del self.open[connection]
