"""The calls of the admin API and their responses."""

from __future__ import annotations

from typing import NamedTuple

from cressrail.logs import events
from cressrail.policy.load_balancer import LoadBalancer
from cressrail.proxy.clients import Clients
from cressrail.proxy.commands import Command, LogEvent
from cressrail.proxy.endpoint_list import EndpointListWatch
from cressrail.proxy.endpoint_registry import EndpointRegistry
from cressrail.proxy.lifecycle import Lifecycle
from cressrail.proxy.request_counters import RequestCounters
from cressrail.proxy.requests import PendingRequests

READY_PATH, COUNTERS_PATH = b"/control/ready", b"/control/counters"
OUT_OF_SERVICE_PATH, IN_SERVICE_PATH = b"/control/out-of-service", b"/control/in-service"
METHODS = {READY_PATH: b"GET", COUNTERS_PATH: b"GET", OUT_OF_SERVICE_PATH: b"POST", IN_SERVICE_PATH: b"POST"}
TEXT_CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class AdminResponse(NamedTuple):
    """The response to a call of the admin API.

    Attributes:
        status: HTTP status.
        body: Plain text, or JSON that another component has produced.
        kind: Content type of the body.
        allow: The method that the path supports, for the Allow header of a 405 response; empty otherwise.
    """

    status: int
    body: bytes = b""
    kind: bytes = TEXT_CONTENT_TYPE
    allow: bytes = b""


READY_RESPONSE = AdminResponse(200, b"ready\n")
NOT_READY_RESPONSE = AdminResponse(503, b"not ready\n")
OUT_OF_SERVICE_RESPONSE = AdminResponse(200, b"out of service\n")
IN_SERVICE_RESPONSE = AdminResponse(200, b"in service\n")
HANDED_OVER_RESPONSE = AdminResponse(503, b"another process has taken over\n")


def error_response(method: bytes, path: bytes) -> AdminResponse | None:
    """Returns the error response to an unknown path or a wrong method; None if the call is valid."""
    allowed = METHODS.get(path)
    if allowed is None:
        return AdminResponse(404, b"no such call\n")
    return None if method == allowed else AdminResponse(405, b"not by this method\n", allow=allowed)


class AdminCalls:
    """Handles the calls of the admin API."""

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
        """Returns the response to a call, and commands, which are empty unless the call changed the state."""
        error = error_response(method, path)
        if error is not None:
            return error, []
        if path == COUNTERS_PATH:
            return AdminResponse(200, self.counters_text(now_us)), []
        if path == READY_PATH:
            is_ready = self.lifecycle.rules.is_ready and self.endpoint_watch.can_serve(now_us)
            return READY_RESPONSE if is_ready else NOT_READY_RESPONSE, []
        if self.lifecycle.has_handed_over:  # the change would be lost when this process exits
            return HANDED_OVER_RESPONSE, []
        if path == OUT_OF_SERVICE_PATH:
            return OUT_OF_SERVICE_RESPONSE, self._leave_service(now_us)
        return IN_SERVICE_RESPONSE, self._return_to_service()

    def counters_text(self, now_us: int) -> bytes:
        """Returns the counters and gauges in the text exposition format of Prometheus."""
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
