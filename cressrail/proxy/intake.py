"""Intake of requests from clients: each is either answered at once or forwarded."""

from __future__ import annotations

from cressrail.http1.duration import parse_duration_us
from cressrail.http1.request import Request
from cressrail.logs import events
from cressrail.policy.load_balancer import LoadBalancer
from cressrail.policy.request_class import Idempotency, RequestClass
from cressrail.proxy.clients import Clients
from cressrail.proxy.commands import Command, LogEvent
from cressrail.proxy.endpoint_list import EndpointListWatch
from cressrail.proxy.forwarding import RequestForwarder
from cressrail.proxy.lifecycle import Lifecycle
from cressrail.proxy.requests import (
    DEADLINE_FIELD,
    IDEMPOTENCY_KEY_FIELD,
    MAX_REQUEST_ID_LENGTH,
    REQUEST_CLASS_FIELD,
    REQUEST_ID_FIELD,
    TENANT_FIELD,
    PendingRequest,
    PendingRequests,
)
from cressrail.proxy.settings import ProxySettings

HEALTH_PATH = b"/_health"
REQUEST_PATH = b"/api"
HEALTHY_STATUS, UNHEALTHY_STATUS = 200, 503
INVALID_REQUEST_STATUS = 400
UNKNOWN_PATH_STATUS = 404
OVER_LIMIT_STATUS = 503
NO_LIST_STATUS = 503  # the first endpoint list is still waited for
NO_TENANT = -1
# Remaining time of a request that its client is still sending, so that its time limit is not running yet.
CLOCK_NOT_STARTED = -1


class RequestIntake:
    """Answers health checks and invalid requests, and forwards all others."""

    def __init__(
        self,
        settings: ProxySettings,
        load_balancer: LoadBalancer,
        lifecycle: Lifecycle,
        endpoint_watch: EndpointListWatch,
        clients: Clients,
        requests: PendingRequests,
        forwarder: RequestForwarder,
    ) -> None:
        self.settings = settings
        self.load_balancer = load_balancer
        self.lifecycle = lifecycle
        self.endpoint_watch = endpoint_watch
        self.clients = clients
        self.requests = requests
        self.forwarder = forwarder

    def is_healthy(self, now_us: int) -> bool:
        """Returns whether the health check succeeds, so that the ingress tier sends clients here."""
        return self.lifecycle.rules.is_healthy and self.endpoint_watch.can_serve(now_us)

    def handle(self, now_us: int, client: int, request: Request, arrived_us: int) -> list[Command]:
        """Handles a request that was complete at `arrived_us`, or one that is forwarded while it arrives."""
        # A request that is answered before all of it has arrived is the last on its connection, since the
        # rest of it may never arrive.
        self.clients.set_keep_alive(client, request.keep_alive and not request.is_streaming)
        self.clients.finish_receiving(client)  # has no effect if a close was just requested
        if request.path == HEALTH_PATH:
            status = HEALTHY_STATUS if self.is_healthy(now_us) else UNHEALTHY_STATUS
            return self.forwarder.reply(client, status, request.body)
        class_name = request.header_text(REQUEST_CLASS_FIELD)
        if class_name is None and request.path != REQUEST_PATH:
            return self.forwarder.reply(client, UNKNOWN_PATH_STATUS, request.body)
        request_class = self.settings.request_classes.get(class_name or "")
        request_id = request.header_text(REQUEST_ID_FIELD)
        limit_us = None
        if request_class is not None and request_id:
            limit_us = self._time_limit_us(now_us, request, request_id, request_class)
        if class_name is None or request_class is None or not request_id or limit_us is None:
            counted = class_name if request_class is not None else None
            return self.forwarder.reply(client, INVALID_REQUEST_STATUS, request.body, counted)
        if not (self.endpoint_watch.has_list or self.endpoint_watch.is_list_wait_over(now_us)):
            return self.forwarder.reply(client, NO_LIST_STATUS, request.body, class_name)
        if self.clients.open[client].is_over_limit:
            counts = {"side": "clients", "open": len(self.clients.open)}
            reply = self.forwarder.reply(client, OVER_LIMIT_STATUS, request.body, class_name)
            return [LogEvent(events.CONNECTION_LIMIT_REACHED, counts), *reply]
        remaining_us = CLOCK_NOT_STARTED if request.is_streaming else max(0, limit_us - (now_us - arrived_us))
        pending = PendingRequest(client, request, request_id, class_name, limit_us)
        return self._forward(now_us, request_class, remaining_us, pending)

    def _time_limit_us(
        self, now_us: int, request: Request, request_id: str, request_class: RequestClass
    ) -> int | None:
        """Returns a request's time limit in us; None if its deadline or id is invalid or the id is in use."""
        deadline = request.header_text(DEADLINE_FIELD)
        limit_us = parse_duration_us(deadline) if deadline is not None else request_class.deadline_us
        if len(request_id) > MAX_REQUEST_ID_LENGTH or self.requests.is_id_in_use(now_us, request_id):
            return None
        if limit_us is None:
            return None
        return min(limit_us, request_class.deadline_us, self.lifecycle.answer_deadline_us - now_us)

    def _forward(
        self, now_us: int, request_class: RequestClass, remaining_us: int, pending: PendingRequest
    ) -> list[Command]:
        request = pending.request
        has_key = bool(request.header_text(IDEMPOTENCY_KEY_FIELD))
        if request_class.idempotency is Idempotency.WITH_KEY and not has_key:
            # Without a key the endpoint could not tell a retry from another request.
            request_class = request_class._replace(idempotency=Idempotency.NON_IDEMPOTENT)
        tenant = self.settings.tenants.get(request.header_text(TENANT_FIELD) or "", NO_TENANT)
        routed_request = self.load_balancer.start_request(now_us, request_class, tenant, remaining_us)
        return self.forwarder.start(now_us, routed_request, pending)
