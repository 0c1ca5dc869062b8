"""The listeners of an endpoint: one for the clients of each zone, so that a zone can be cut off from it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable
from functools import partial

from cressrail.http_testing.server import ReceivedRequest, ServerConnection

BACKLOG = 1024  # limit on connections that wait to be accepted
BACKLOG_FILLERS = 3  # number of connections that fill the accept queue of a listener with a backlog of 0


class ZoneListeners:
    """The open listeners and connections of one endpoint.

    Attributes:
        addresses: Host and port by the zone of the clients; a port 0 is replaced by the port that the system
            assigns when the endpoint first listens.
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
        """Opens the missing listeners of all zones that are not cut off."""
        loop = asyncio.get_running_loop()
        for zone in self.addresses:
            if zone in self._servers or zone in self._cut_zones:
                continue
            host, port = self._reserve(zone)
            self._servers[zone] = await loop.create_server(
                partial(self._make_connection, zone), host, port, backlog=BACKLOG, reuse_address=True
            )

    def _reserve(self, zone: str) -> tuple[str, int]:
        """Returns the address for the clients of a zone and keeps it bound, even while no listener is open.

        Connections to a bound socket that does not listen are refused, and the system assigns the port to no
        other process until this endpoint listens again.
        """
        if zone not in self._reservations:
            reservation = self._reservations[zone] = socket.socket()
            reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reservation.bind(self.addresses[zone])
            self.addresses[zone] = (self.addresses[zone][0], reservation.getsockname()[1])
        return self.addresses[zone]

    def release(self) -> None:
        """Releases the reserved addresses; no listener may be opened after this."""
        for reservation in self._reservations.values():
            reservation.close()
        self._reservations.clear()

    def close(self) -> None:
        """Closes the listeners, as when a process ends; the addresses stay reserved."""
        for server in self._servers.values():
            server.close()
        self._servers.clear()

    def reset_connections(self) -> None:
        """Resets all connections."""
        for connection in list(self._client_zones):
            connection.reset()

    def cut_off(self, zones: Iterable[str]) -> None:
        """Cuts off the clients of these zones and reconnects those of all other zones.

        Open connections from a cut zone stay open and silent, and no new ones can be opened. Connections from
        a zone that is no longer cut off are reset; its listener is opened again by `listen`.
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
        """Closes the sockets that prevent clients of cut zones from connecting."""
        for blocker in self._blockers:
            blocker.close()
        self._blockers.clear()

    def _block(self, zone: str) -> None:
        """Opens a listener with a full accept queue, so that the system drops new connections."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._blockers.append(listener)
        try:
            listener.bind(self.addresses[zone])
        except OSError:
            return  # new connections are then refused instead of dropped, the closest alternative
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
