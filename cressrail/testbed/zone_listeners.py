"""Listeners of an endpoint, one for the clients of each zone, so that zones can be cut off from it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable
from functools import partial

from cressrail.http_testing.server import ReceivedRequest, ServerConnection

BACKLOG = 1024  # connections that wait to be accepted
BACKLOG_FILLERS = 3  # connections that fill the queue of a listener with a backlog of 0


class ZoneListeners:
    """The open listeners and connections of one endpoint.

    Attributes:
        addresses: Host and port by the zone of the clients; port 0 becomes the port of the first listener.
    """

    def __init__(
        self,
        addresses: dict[str, tuple[str, int]],
        on_request: Callable[[ReceivedRequest], None],
        on_closed: Callable[[ServerConnection], None],
    ) -> None:
        self.addresses = addresses
        self._on_request, self._on_closed = on_request, on_closed
        self._servers: dict[str, asyncio.Server] = {}
        self._reservations: dict[str, socket.socket] = {}
        self._client_zones: dict[ServerConnection, str] = {}
        self._cut_zones: set[str] = set()
        self._blockers: list[socket.socket] = []

    async def listen(self) -> None:
        """Listens for clients of each zone that is not cut off, where it does not yet."""
        loop = asyncio.get_running_loop()
        for zone in self.addresses:
            if zone in self._servers or zone in self._cut_zones:
                continue
            host, port = self._reserve(zone)
            self._servers[zone] = await loop.create_server(
                partial(self._make_connection, zone), host, port, backlog=BACKLOG, reuse_address=True
            )

    def _reserve(self, zone: str) -> tuple[str, int]:
        """Returns the address of a zone, which stays bound also while nobody listens at it.

        Connections to a bound socket that does not listen are refused, and no other process is given the port
        until this endpoint listens again.
        """
        if zone not in self._reservations:
            reservation = self._reservations[zone] = socket.socket()
            reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reservation.bind(self.addresses[zone])
            self.addresses[zone] = (self.addresses[zone][0], reservation.getsockname()[1])
        return self.addresses[zone]

    def release(self) -> None:
        """Gives up the addresses; nobody listens at them again."""
        for reservation in self._reservations.values():
            reservation.close()
        self._reservations.clear()

    def close(self) -> None:
        """Closes the listeners, as the end of a process does; the addresses stay reserved."""
        for server in self._servers.values():
            server.close()
        self._servers.clear()

    def reset_connections(self) -> None:
        """Resets all connections."""
        for connection in list(self._client_zones):
            connection.reset()

    def cut_off(self, zones: Iterable[str]) -> None:
        """Cuts off these zones and no others.

        What is open stays open and silent, and nothing new connects. Connections of a zone that is no longer
        cut off are reset; `listen` then listens for it again.
        """
        cut_zones = set(zones)
        for zone in cut_zones - self._cut_zones:
            server = self._servers.pop(zone, None)
            if server is not None:
                server.close()
                self._block(zone)
            for connection, client_zone in self._client_zones.items():
                if client_zone == zone:
                    connection.stop_reading()
        restored = self._cut_zones - cut_zones
        self._cut_zones = cut_zones
        if restored:
            self.unblock()
            for connection, client_zone in list(self._client_zones.items()):
                if client_zone in restored:
                    connection.reset()

    def unblock(self) -> None:
        """Closes the sockets that keep clients of cut zones from connecting."""
        for blocker in self._blockers:
            blocker.close()
        self._blockers.clear()

    def _block(self, zone: str) -> None:
        """Fills the queue of a listener of its own, so that the system drops what would connect."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._blockers.append(listener)
        try:
            listener.bind(self.addresses[zone])
        except OSError:
            return  # connections are refused then, which comes nearest
        listener.listen(0)
        for _ in range(BACKLOG_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.addresses[zone])
            self._blockers.append(filler)

    def _make_connection(self, zone: str) -> ServerConnection:
        return ServerConnection(self._on_request, self._on_disconnected, partial(self._on_connected, zone))

    def _on_connected(self, zone: str, connection: ServerConnection) -> None:
        self._client_zones[connection] = zone
        if zone in self._cut_zones:
            connection.stop_reading()

    def _on_disconnected(self, connection: ServerConnection) -> None:
        self._client_zones.pop(connection, None)
        self._on_closed(connection)
