"""Capture of this process's state for its successor, and restore of the state of its predecessor."""

from __future__ import annotations

from typing import Any

from cressrail.discovery.endpoint_list import encode_endpoint_list
from cressrail.handover import state as handover_state
from cressrail.handover.frame import HandoverError
from cressrail.logs import events
from cressrail.policy.load_balancer import LoadBalancer
from cressrail.proxy.commands import Command, LogEvent
from cressrail.proxy.endpoint_registry import EndpointRegistry
from cressrail.proxy.lifecycle import Lifecycle
from cressrail.proxy.requests import KEPT_ID_DEADLINES, PendingRequests

# Member names in the hand-over frames.
OPEN_REQUEST_IDS = "open"
IS_OUT_OF_SERVICE = "drained"


class ProcessHandover:
    """Captures the state for a successor process, and restores the state of a predecessor."""

    def __init__(
        self,
        load_balancer: LoadBalancer,
        registry: EndpointRegistry,
        requests: PendingRequests,
        lifecycle: Lifecycle,
    ) -> None:
        self.load_balancer = load_balancer
        self.registry = registry
        self.requests = requests
        self.lifecycle = lifecycle

    def endpoint_list(self, revision: int) -> dict[str, Any]:
        """Returns the endpoint list in the format that discovery sends."""
        entries = (registered.entry for registered in self.registry.endpoints.values())
        return encode_endpoint_list(entries, revision)

    def capture(self) -> dict[str, Any]:
        """Returns the state that the successor starts from."""
        return {
            **handover_state.capture(self.load_balancer, self.registry.names()),
            OPEN_REQUEST_IDS: self.requests.taken_ids(),
            IS_OUT_OF_SERVICE: self.lifecycle.is_out_of_service,
        }

    def restore(self, now_us: int, state: dict[str, Any], clients_held: int) -> Command:
        """Restores the predecessor's state unless it is malformed.

        Args:
            now_us: The current time.
            state: The body of the predecessor's state frame.
            clients_held: Number of client descriptors that the predecessor keeps, for the log.

        Returns:
            The command to log the result.
        """
        request_ids = state.get(OPEN_REQUEST_IDS, [])
        if not isinstance(request_ids, list):
            return LogEvent(events.TOOK_OVER, {"state_rejected": f"{OPEN_REQUEST_IDS} is not a list"})
        try:
            handover_state.restore(state, self.load_balancer, self.registry.names(), now_us)
        except HandoverError as fault:
            return LogEvent(events.TOOK_OVER, {"state_rejected": str(fault)})
        for request_id in request_ids:
            self.reserve_id(now_us, str(request_id))
        if state.get(IS_OUT_OF_SERVICE) is True:
            self.lifecycle.inherit_out_of_service(now_us)
        counts = {"open": len(self.requests.other_ids), "clients": clients_held}
        return LogEvent(events.TOOK_OVER, counts)

    def reserve_id(self, now_us: int, request_id: str) -> None:
        """Reserves the id of a request that the other process has taken."""
        until_us = now_us + KEPT_ID_DEADLINES * self.lifecycle.max_deadline_us
        self.requests.reserve_other_id(now_us, request_id, until_us)
