"""Control of the listener: decides when it accepts clients and when it pauses."""

from __future__ import annotations

from cressrail.proxy.clients import Clients
from cressrail.proxy.commands import AcceptClients
from cressrail.proxy.endpoint_list import EndpointListWatch
from cressrail.proxy.lifecycle import Lifecycle


class ListenerControl:
    """Lets the listener accept clients while the life cycle allows it and there is room for another one.

    There is also room if an open client may be closed. After a start, the listener stays paused until the
    first endpoint list has arrived, for a while: meanwhile clients wait in the kernel's accept queue. Those
    that are accepted later, still without a list, are told to come back, so that no request goes to an
    endpoint that began to drain or was replaced after the list was configured.
    """

    def __init__(self, lifecycle: Lifecycle, endpoint_watch: EndpointListWatch, clients: Clients) -> None:
        self.lifecycle = lifecycle
        self.endpoint_watch = endpoint_watch
        self.clients = clients

    def update(self, now_us: int) -> AcceptClients | None:
        """Returns the command to accept clients or to pause; None if nothing changes."""
        lifecycle = self.lifecycle
        if not lifecycle.has_open_listener:
            return None
        accepts = (
            lifecycle.rules.accepts_clients
            and (self.endpoint_watch.has_list or self.endpoint_watch.may_accept_clients(now_us))
            and self.clients.may_accept(now_us)
        )
        if accepts is lifecycle.is_accepting:
            return None
        lifecycle.set_accepting(accepts)
        return AcceptClients(accepts)
