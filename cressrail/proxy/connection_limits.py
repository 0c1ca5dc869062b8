"""How many connections may be open on each side."""

from __future__ import annotations


class ConnectionLimits:
    """Limits by side, so that neither side can use up the descriptors of the other.

    Attributes:
        clients: Clients whose requests are forwarded.
        extra_clients: Clients beyond these that are accepted and answered with 503 at once.
        endpoint_connections: Connections to endpoints.
    """

    def __init__(self, clients: int, extra_clients: int, endpoint_connections: int) -> None:
        self.clients = clients
        self.extra_clients = extra_clients
        self.endpoint_connections = endpoint_connections

    def lend(self, clients: int, endpoint_connections: int) -> None:
        """Takes out what another process still holds. At least one connection stays on each side."""
        self.clients = max(1, self.clients - clients)
        self.endpoint_connections = max(1, self.endpoint_connections - endpoint_connections)

    def keep_part(self, parts: int, open_connections: int) -> None:
        """Keeps one of so many parts of the connections to endpoints, and at least those that are open."""
        self.endpoint_connections = max(open_connections, self.endpoint_connections // parts)

    def regain(self, clients: int, endpoint_connections: int) -> None:
        """Adds what the other process held until it exited."""
        self.clients += clients
        self.endpoint_connections += endpoint_connections
