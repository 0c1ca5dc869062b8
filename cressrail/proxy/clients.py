"""Clients' connections: which are open, which are idle, and which may be closed to make room."""

from __future__ import annotations

from cressrail.policy.routed_request import RoutedRequest
from cressrail.proxy.commands import CloseClient
from cressrail.proxy.connection_limits import ConnectionLimits

CLIENT_STALL_US = 1_000_000  # without a byte of its request; from then on a client may be closed for room
CLIENT_SILENCE_LIMIT_US = 2_500_000  # then it is closed also where there is room: services send at once


def silence_limit_us(keeps_idle_clients: bool) -> int:
    """How long a client may send nothing of a request before it is closed."""
    return CLIENT_SILENCE_LIMIT_US if keeps_idle_clients else CLIENT_STALL_US


class Client:
    """A client's connection.

    Attributes:
        keep_alive: Whether the connection may carry a request after the current one.
        is_over_limit: Whether it came beyond the limit: its requests are answered, not forwarded.
        routed_request: The request that it waits for the answer of.
    """

    def __init__(self) -> None:
        self.keep_alive = True
        self.is_over_limit = False
        self.routed_request: RoutedRequest | None = None


class Clients:
    """Owns the clients' connections.

    Attributes:
        open: All connections, by the client's number.
        idle: Clients between two requests, the longest idle first.
        receiving: Clients that are new or in the middle of a request, and since when (in us) no byte of it
            has come. Those that wait longest come first.
    """

    def __init__(self, limits: ConnectionLimits) -> None:
        self.limits = limits
        self.open: dict[int, Client] = {}
        self.idle: dict[int, None] = {}
        self.receiving: dict[int, int] = {}

    def connect(self, now_us: int, client: int) -> CloseClient | None:
        """Adds a new client. Beyond the limit, returns the command to close another one if one may be."""
        connected = self.open[client] = Client()
        closed = None
        if len(self.open) > self.limits.clients:
            spare = self.find_spare(now_us)
            if spare is None:
                connected.is_over_limit = True
            else:
                closed = self.close_if_idle(spare)
        self.receiving[client] = now_us
        return closed

    def start_receiving(self, now_us: int, client: int) -> None:
        """The first byte of a request has come. A first request is due from when its client connected."""
        if client not in self.receiving:
            self.idle.pop(client, None)
            self.receiving[client] = now_us

    def note_progress(self, now_us: int, client: int) -> None:
        """More of a request has come: a slow client is not closed before one that has stopped sending."""
        if self.receiving.pop(client, None) is not None:
            self.receiving[client] = now_us

    def finish_receiving(self, client: int) -> None:
        """No more of a request is awaited, or the client is asked to close."""
        self.receiving.pop(client, None)

    def forget_waiting(self, client: int) -> None:
        """The client counts neither as idle nor as sending a request any more."""
        self.idle.pop(client, None)
        self.receiving.pop(client, None)

    def set_request(self, client: int, routed_request: RoutedRequest) -> None:
        """The client waits for the answer of a request."""
        self.open[client].routed_request = routed_request

    def clear_request(self, client: int) -> RoutedRequest | None:
        """The client waits for no answer any more. Returns the request that it waited for, if any."""
        waiting = self.open[client]
        routed_request, waiting.routed_request = waiting.routed_request, None
        return routed_request

    def set_keep_alive(self, client: int, keep_alive: bool) -> None:
        """Whether the connection may carry a request after the current one."""
        self.open[client].keep_alive = keep_alive

    def rest(self, client: int) -> None:
        """The client has its answer, and may send another request."""
        self.idle[client] = None

    def remove(self, client: int) -> Client:
        """The connection is closed; the one place where it stops counting. Returns what it was."""
        removed = self.open.pop(client)
        self.forget_waiting(client)
        return removed

    def find_spare(self, now_us: int) -> int | None:
        """Returns a client that may be closed to make room: one that is idle or has stopped sending.

        A new client whose first request is on its way is not closed, but a client that vanished amid a
        request does not hold its place either.
        """
        if self.idle:
            return next(iter(self.idle))
        oldest = next(iter(self.receiving), None)
        return oldest if oldest is not None and self.receiving[oldest] + CLIENT_STALL_US <= now_us else None

    def close_if_idle(self, client: int) -> CloseClient:
        """Returns the command to close a client, unless a request of it has begun meanwhile."""
        self.forget_waiting(client)
        return CloseClient(client, only_if_idle=True)

    def close_all_idle(self) -> list[CloseClient]:
        """Returns the commands to close all idle clients."""
        return [self.close_if_idle(client) for client in list(self.idle)]

    def close_silent(self, now_us: int, limit_us: int) -> list[CloseClient]:
        """Returns the commands to close clients that sent nothing of a request for `limit_us`."""
        silent = [client for client, since_us in self.receiving.items() if since_us + limit_us <= now_us]
        return [self.close_if_idle(client) for client in silent]

    def silent_since_us(self) -> int:
        """Since when the client that waits longest, new or in the middle of its request, has sent nothing."""
        return next(iter(self.receiving.values()))

    def is_full(self) -> bool:
        """Whether new clients may have to wait until another one closes."""
        return len(self.open) >= self.limits.clients

    def may_accept(self, now_us: int) -> bool:
        """Whether another client can be accepted: there is room, or one that is open may be closed for it."""
        return (
            len(self.open) < self.limits.clients + self.limits.extra_clients
            or self.find_spare(now_us) is not None
        )
