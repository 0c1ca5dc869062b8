"""The connections to endpoints: which are open, and which of them may carry an attempt."""

from __future__ import annotations

from cressrail.proxy.commands import CloseEndpointConnection, Command
from cressrail.proxy.connection_limits import ConnectionLimits
from cressrail.proxy.endpoint_registry import EndpointRegistry, RegisteredEndpoint
from cressrail.proxy.id_sequence import IdSequence
from cressrail.proxy.lifecycle import NEVER_US

# Delay before a connection is reused: an endpoint may send a second response milliseconds after the first.
CONNECTION_SETTLE_US = 5_000


class EndpointConnection:
    """A connection, with the address and start time of the endpoint process that it was opened to.

    Attributes:
        endpoint: Index of the endpoint.
        host: Host that the connection was opened to.
        port: Port that the connection was opened to.
        started_us: Start time of the endpoint's process, as listed when the connection was opened.
        settled_us: Time from which the connection may carry another attempt.
        established_us: Time at which it was established, or a later one; `NEVER_US` until that is known.
    """

    def __init__(self, endpoint: int, host: str, port: int, started_us: int) -> None:
        self.endpoint = endpoint
        self.host = host
        self.port = port
        self.started_us = started_us
        self.settled_us = 0
        self.established_us = NEVER_US

    def leads_to(self, endpoint: RegisteredEndpoint) -> bool:
        """Returns whether the endpoint is still the process that the connection was opened to."""
        return (endpoint.host, endpoint.port, endpoint.entry.started_us) == (
            self.host,
            self.port,
            self.started_us,
        )


class EndpointConnections:
    """Owns the connections to endpoints, and the list of idle connections of each registered endpoint.

    Attributes:
        open: All connections, by id.
        idle: Ids of connections with no attempt in flight, the longest idle first (a dict used as an ordered
            set).
    """

    def __init__(self, registry: EndpointRegistry, limits: ConnectionLimits, ids: IdSequence) -> None:
        self.registry = registry
        self.limits = limits
        self.ids = ids
        self.open: dict[int, EndpointConnection] = {}
        self.idle: dict[int, None] = {}

    def acquire(
        self, now_us: int, endpoint: int, commands: list[Command], established_by_us: int = NEVER_US
    ) -> tuple[int, bool]:
        """Returns a connection to the endpoint, and whether it is new; (-1, False) if none is available.

        The idle connection that was used last is preferred, so that superfluous ones stay idle and can be
        closed; a connection whose settle time has passed is preferred over one that must still wait. At the
        limit, the command to close the connection that has been idle longest is appended to `commands`. Idle
        connections that were established after `established_by_us` are used only if there is no other one.
        """
        registered = self.registry.endpoints[endpoint]
        if registered.idle:
            candidates = registered.idle
            if established_by_us < NEVER_US:
                older = [idle for idle in candidates if self.open[idle].established_us <= established_by_us]
                candidates = older or candidates
            settled = (idle for idle in reversed(candidates) if self.open[idle].settled_us <= now_us)
            connection = next(settled, candidates[0])
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
        """Makes a connection idle after its attempt has ended.

        Returns the command to close the connection if its endpoint was removed, restarted or moved.
        Otherwise the connection may be reused after `CONNECTION_SETTLE_US`, so that a second response to this
        attempt is not mistaken for the response to the next one: responses don't name their requests.
        """
        released = self.open[connection]
        released.settled_us = now_us + CONNECTION_SETTLE_US
        registered = self.registry.endpoints[released.endpoint]
        is_other_process = registered.entry.started_us != released.started_us
        has_moved = registered.port != released.port or registered.host != released.host
        if registered.entry.is_removed or is_other_process or has_moved:
            return [CloseEndpointConnection(connection)]
        registered.idle.append(connection)
        self.idle[connection] = None
        return []

    def claim(self, connection: int) -> bool:
        """Removes a connection from the idle ones. Returns whether it was idle."""
        if connection not in self.idle:
            return False
        del self.idle[connection]
        self.registry.endpoints[self.open[connection].endpoint].idle.remove(connection)
        return True

    def endpoints_connected_since(self, time_us: int) -> set[int]:
        """Returns the indices of the endpoints with an idle connection established by `time_us`."""
        return {self.open[idle].endpoint for idle in self.idle if self.open[idle].established_us <= time_us}

    def close_longest_idle(self) -> list[Command]:
        """Returns the command to close the connection that has been idle longest, if any is idle."""
        if not self.idle:
            return []
        oldest = next(iter(self.idle))
        self.claim(oldest)
        return [CloseEndpointConnection(oldest)]

    def close_idle(self, connections: list[int]) -> list[Command]:
        """Returns the commands to close those of the connections that are idle."""
        return [CloseEndpointConnection(connection) for connection in connections if self.claim(connection)]

    def remove(self, connection: int) -> None:
        """Removes a closed connection. Only here does it stop counting against the limit."""
        self.claim(connection)
        del self.open[connection]
