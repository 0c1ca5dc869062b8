"""Limits on the number of open connections to clients and to endpoints."""

from __future__ import annotations


class ConnectionLimits:
    """Separate limits for clients and endpoints, so that neither side can exhaust the other's descriptors.

    Attributes:
        clients: Maximum number of clients whose requests are forwarded.
        extra_clients: Number of clients above `clients` that are accepted and answered with 503 at once.
        endpoint_connections: Maximum number of connections to endpoints.
    """

    def __init__(self, clients: int, extra_clients: int, endpoint_connections: int) -> None:
        self.clients = clients
        self.extra_clients = extra_clients
        self.endpoint_connections = endpoint_connections

    def reserve(self, clients: int, endpoint_connections: int) -> None:
        """Subtracts connections that another process still holds, but leaves at least one on each side."""
        self.clients = max(1, self.clients - clients)
        self.endpoint_connections = max(1, self.endpoint_connections - endpoint_connections)

    def keep_fraction(self, parts: int, open_connections: int) -> None:
        """Divides the limit on connections to endpoints by `parts`, but not below the number of open ones."""
        self.endpoint_connections = max(open_connections, self.endpoint_connections // parts)

    def release_reserved(self, clients: int, endpoint_connections: int) -> None:
        """Adds back the connections that the other process held until it exited."""
        self.clients += clients
        self.endpoint_connections += endpoint_connections
