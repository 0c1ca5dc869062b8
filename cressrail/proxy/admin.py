"""The operators' calls: which there are, and what is answered to them."""

from __future__ import annotations

from typing import NamedTuple

from cressrail.policy.load_balancer import LoadBalancer
from cressrail.proxy import events
from cressrail.proxy.clients import Clients
from cressrail.proxy.commands import Command, LogEvent
from cressrail.proxy.endpoint_list import EndpointListWatch
from cressrail.proxy.endpoint_registry import EndpointRegistry
from cressrail.proxy.lifecycle import Lifecycle
from cressrail.proxy.request_counters import RequestCounters
from cressrail.proxy.requests import PendingRequests

READY, COUNTERS = b"/control/ready", b"/control/counters"
OUT, IN = b"/control/out-of-service", b"/control/in-service"
METHODS = {READY: b"GET", COUNTERS: b"GET", OUT: b"POST", IN: b"POST"}
TEXT = b"text/plain; version=0.0.4; charset=utf-8"


class AdminResponse(NamedTuple):
    """The answer to an operator's call.

    Attributes:
        status: HTTP status.
        body: Text, or the JSON of another part of the program.
        kind: Content type of the body.
        allow: The method that the path takes, where it was called by another one.
    """

    status: int
    body: bytes = b""
    kind: bytes = TEXT
    allow: bytes = b""


IS_READY = AdminResponse(200, b"ready\n")
IS_NOT_READY = AdminResponse(503, b"not ready\n")
IS_OUT_OF_SERVICE = AdminResponse(200, b"out of service\n")
IS_IN_SERVICE = AdminResponse(200, b"in service\n")
HAS_HANDED_OVER = AdminResponse(503, b"another process has taken over\n")


def refused(method: bytes, path: bytes) -> AdminResponse | None:
    """Returns the answer to a call that there is none of; None for one that there is."""
    allowed = METHODS.get(path)
    if allowed is None:
        return AdminResponse(404, b"no such call\n")
    return None if method == allowed else AdminResponse(405, b"not by this method\n", allow=allowed)


class AdminCalls:
    """Answers operators' calls."""

    def __init__(
        self,
        load_balancer: LoadBalancer,
        registry: EndpointRegistry,
        endpoint_watch: EndpointListWatch,
        lifecycle: Lifecycle,
        clients: Clients,
        requests: PendingRequests,
        counters: RequestCounters,
    ) -> None:
        self.load_balancer = load_balancer
        self.registry = registry
        self.endpoint_watch = endpoint_watch
        self.lifecycle = lifecycle
        self.clients = clients
        self.requests = requests
        self.counters = counters

    def answer(self, now_us: int, method: bytes, path: bytes) -> tuple[AdminResponse, list[Command]]:
        """Returns the answer to a call, and the commands; there are some only if it has changed something."""
        refusal = refused(method, path)
        if refusal is not None:
            return refusal, []
        if path == COUNTERS:
            return AdminResponse(200, self.counters_text(now_us)), []
        if path == READY:
            is_ready = self.lifecycle.rules.is_ready and self.endpoint_watch.can_serve(now_us)
            return IS_READY if is_ready else IS_NOT_READY, []
        if self.lifecycle.has_handed_over:  # a change would end with this process
            return HAS_HANDED_OVER, []
        if path == OUT:
            return IS_OUT_OF_SERVICE, self._leave_service(now_us)
        return IS_IN_SERVICE, self._return_to_service()

    def counters_text(self, now_us: int) -> bytes:
        """Returns the counters in the form in which operators read them."""
        unavailable = self.load_balancer.unavailable_endpoints(now_us)
        unavailable_count = sum(self.registry.is_listed(endpoint) for endpoint in unavailable)
        return self.counters.text(
            len(self.requests.open_ids), self.registry.listed_count(), unavailable_count
        )

    def _leave_service(self, now_us: int) -> list[Command]:
        if not self.lifecycle.leave_service(now_us):
            return []
        counts = {"clients": len(self.clients.open), "requests": len(self.requests.pending)}
        return [LogEvent(events.OUT_OF_SERVICE, counts)]

    def _return_to_service(self) -> list[Command]:
        if not self.lifecycle.return_to_service():
            return []
        return [LogEvent(events.IN_SERVICE, {"clients": len(self.clients.open)})]
