"""When the listener accepts clients, and when it pauses."""

from __future__ import annotations

from cressrail.proxy.clients import Clients
from cressrail.proxy.commands import AcceptClients
from cressrail.proxy.endpoint_list import EndpointListWatch
from cressrail.proxy.lifecycle import Lifecycle


class ListenerControl:
    """Accepts clients while the process may, and there is room for one, also by closing another one.

    Not before the list has come, if it comes: clients wait in the system's queue meanwhile, rather than being
    sent to endpoints that have begun to drain since the list was configured.
    """

    def __init__(self, lifecycle: Lifecycle, endpoint_watch: EndpointListWatch, clients: Clients) -> None:
        self.lifecycle = lifecycle
        self.endpoint_watch = endpoint_watch
        self.clients = clients

    def update(self, now_us: int) -> AcceptClients | None:
        """Returns the command to accept clients or to pause, if that changes."""
        lifecycle = self.lifecycle
        if not lifecycle.has_open_listener:
            return None
        accepts = (
            lifecycle.rules.accepts_clients
            and self.endpoint_watch.is_settled(now_us)
            and self.clients.may_accept(now_us)
        )
        if accepts is lifecycle.is_accepting:
            return None
        lifecycle.set_accepting(accepts)
        return AcceptClients(accepts)
