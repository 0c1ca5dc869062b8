"""The connections of clients: which are open, which are idle, and which may be closed to make room."""

from __future__ import annotations

from itertools import chain

from cressrail.policy.routed_request import RoutedRequest
from cressrail.proxy.commands import CloseClient
from cressrail.proxy.connection_limits import ConnectionLimits
from cressrail.proxy.lifecycle import NEVER_US

# A client that has sent no byte for this long amid its request may be closed to make room for another one,
# whose request waits in the accept queue meanwhile.
CLIENT_STALL_US = 500_000
REQUEST_SPAN_US = 1_000_000  # the same for one that goes on sending, from its request's first byte
FIRST_BYTE_WAIT_US = 250_000  # the same for a new client that has not begun its request
# After this long it is closed even if there is room: services send their request as soon as they connect.
CLIENT_SILENCE_LIMIT_US = 2_500_000
SHORT_SILENCE_LIMIT_US = 1_000_000  # the same while idle clients may not stay
MAX_CLOSING_CLIENTS = 8  # their descriptors come from those that are spare


def silence_limit_us(keeps_idle_clients: bool) -> int:
    """Returns how long a client that is new, or in the middle of a request, may send no byte, in us.

    It depends on whether idle clients may stay connected.
    """
    return CLIENT_SILENCE_LIMIT_US if keeps_idle_clients else SHORT_SILENCE_LIMIT_US


class Client:
    """A client's connection.

    Attributes:
        keep_alive: Whether the connection may carry a request after the current one.
        is_replaced: Whether another client was accepted in its place. Its connection closes, if a request has
            begun in the meantime after the response.
        is_over_limit: Whether the client connected beyond the connection limit; its requests are answered
            with 503 instead of being forwarded.
        routed_request: The request whose response the client waits for, if any.
        receiving_since_us: Time of the first byte of the request that it is sending.
        answered_id: Id of the last request that was answered here and may have run; empty if there is none.
    """

    def __init__(self) -> None:
        self.keep_alive = True
        self.is_replaced = False
        self.is_over_limit = False
        self.routed_request: RoutedRequest | None = None
        self.receiving_since_us = NEVER_US
        self.answered_id = ""


class Clients:
    """Owns the connections of clients.

    Attributes:
        open: All connections, by the client's id.
        idle: Ids of clients between two requests, the longest idle first (a dict used as an ordered set).
        unstarted: New clients of which no byte has been read, each with the time in us since which it has
            sent none, in the order in which they connected.
        receiving: Clients in the middle of a request, each with the time in us since which it has sent no
            byte.
    """

    def __init__(self, limits: ConnectionLimits) -> None:
        self.limits = limits
        self.open: dict[int, Client] = {}
        self.idle: dict[int, None] = {}
        self.unstarted: dict[int, int] = {}
        self.receiving: dict[int, int] = {}

    def connect(self, now_us: int, client: int, silent_since_us: int) -> CloseClient | None:
        """Adds a new client. Beyond the limit, returns the command to close another one if possible.

        If no other client may be closed, the new one is marked as over the limit.

        Args:
            now_us: The current time.
            client: The client's id.
            silent_since_us: When the client connected; `now_us` if it has sent something since.
        """
        connected = self.open[client] = Client()
        closed = None
        if len(self.open) > self.limits.clients:
            closable = self.find_closable(now_us)
            if closable is None:
                connected.is_over_limit = True
            else:
                self.open[closable].is_replaced = True
                closed = self.close_if_idle(closable)
        self.unstarted[client] = silent_since_us
        return closed

    def start_receiving(self, now_us: int, client: int, began_us: int) -> None:
        """Records the first byte of a request; a new client's silence counts from when it connected."""
        if client not in self.receiving:
            self.open[client].receiving_since_us = began_us
            self.idle.pop(client, None)
            self.receiving[client] = self.unstarted.pop(client, now_us)

    def record_progress(self, arrived_us: int, client: int) -> None:
        """Records more bytes of a request: slow clients are closed after those that have stopped sending."""
        if client in self.receiving:
            self.receiving[client] = arrived_us

    def finish_receiving(self, client: int) -> None:
        """Stops checking the client for silence: its request is complete, or forwarded while it arrives."""
        self.unstarted.pop(client, None)
        self.receiving.pop(client, None)

    def stop_tracking(self, client: int) -> None:
        """Stops counting the client as idle or as sending a request."""
        self.idle.pop(client, None)
        self.finish_receiving(client)

    def set_request(self, client: int, routed_request: RoutedRequest) -> None:
        """Records the request whose response the client waits for."""
        self.open[client].routed_request = routed_request

    def clear_request(self, client: int) -> RoutedRequest | None:
        """Records that the client waits for no response. Returns the request that it waited for, if any."""
        waiting = self.open[client]
        routed_request, waiting.routed_request = waiting.routed_request, None
        return routed_request

    def set_keep_alive(self, client: int, keep_alive: bool) -> None:
        """Sets whether the connection may carry a request after the current one."""
        self.open[client].keep_alive = keep_alive

    def mark_idle(self, client: int) -> None:
        """Marks the client as idle: it has its response and may send another request."""
        self.idle[client] = None

    def remove(self, client: int) -> Client:
        """Removes a closed connection, and returns it. Only here does it stop counting against the limit."""
        removed = self.open.pop(client)
        self.stop_tracking(client)
        return removed

    def find_closable(self, now_us: int) -> int | None:
        """Returns a client that may be closed to make room: one that is idle, has stopped sending or is slow.

        A new client gets `FIRST_BYTE_WAIT_US` to begin its first request, while a client that vanishes in the
        middle of a request does not keep its place.
        """
        if self.idle:
            return next(iter(self.idle))
        for silent, limit_us in ((self.unstarted, FIRST_BYTE_WAIT_US), (self.receiving, CLIENT_STALL_US)):
            if silent:
                oldest = min(silent, key=silent.__getitem__)
                if silent[oldest] + limit_us <= now_us:
                    return oldest
        began_first = next(iter(self.receiving), None)
        if began_first is not None and self._span_end_us(began_first) <= now_us:
            return began_first
        return None

    def _span_end_us(self, client: int) -> int:
        return self.open[client].receiving_since_us + REQUEST_SPAN_US

    def closable_from_us(self) -> int:
        """Returns when a client that owes a request may be closed to make room; `NEVER_US` if none does."""
        began_first = next(iter(self.receiving), None)
        return min(
            min(self.unstarted.values(), default=NEVER_US) + FIRST_BYTE_WAIT_US,
            min(self.receiving.values(), default=NEVER_US) + CLIENT_STALL_US,
            self._span_end_us(began_first) if began_first is not None else NEVER_US,
        )

    def close_if_idle(self, client: int) -> CloseClient:
        """Returns the command to close a client unless it has begun to send a request in the meantime."""
        self.stop_tracking(client)
        return CloseClient(client, only_if_idle=True)

    def close_all_idle(self) -> list[CloseClient]:
        """Returns the commands to close all idle clients."""
        return [self.close_if_idle(client) for client in list(self.idle)]

    def close_silent(self, now_us: int, limit_us: int) -> list[CloseClient]:
        """Returns the commands to close clients that owe a request and have sent no byte for `limit_us`."""
        owing = chain(self.unstarted.items(), self.receiving.items())
        silent = [client for client, since_us in owing if since_us + limit_us <= now_us]
        return [self.close_if_idle(client) for client in silent]

    def silent_since_us(self) -> int:
        """Returns the time since which the longest silent client that owes a request has sent no byte.

        Returns:
            The time in microseconds; `NEVER_US` if no client owes a request.
        """
        if not (self.unstarted or self.receiving):  # as at most events
            return NEVER_US
        return min(
            min(self.unstarted.values(), default=NEVER_US), min(self.receiving.values(), default=NEVER_US)
        )

    def is_full(self) -> bool:
        """Returns whether new clients may have to wait until another one closes."""
        return len(self.open) >= self.limits.clients

    def may_accept(self, now_us: int) -> bool:
        """Returns whether another client can be accepted: there is room, or one may be closed for it.

        At most `MAX_CLOSING_CLIENTS` are accepted in place of others before those have closed.
        """
        excess = len(self.open) - self.limits.clients - self.limits.extra_clients
        return excess < 0 or (excess < MAX_CLOSING_CLIENTS and self.find_closable(now_us) is not None)
