"""One instance on the wire: maps request ids to handles, and decisions to lines."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple

from cressrail.configuration import policy_factory, setting_names
from cressrail.configuration.settings_reader import SettingsReader
from cressrail.policy.decision import CancelAttempt, Decision, StartAttempt
from cressrail.policy.endpoint import EndpointUpdate
from cressrail.policy.routed_request import RoutedRequest
from cressrail.wirehost import codec
from cressrail.wirehost.codec import MalformedLineError, Message

NO_TENANT = -1


class ListEntry(NamedTuple):
    """One entry of an endpoint list, with names where `EndpointUpdate` has indices.

    Attributes:
        is_gone: Whether the endpoint has left; an entry for an unknown endpoint that is gone is ignored.
    """

    address: str
    zone: str
    cell: int
    scale: float
    accepts_requests: bool
    is_gone: bool
    started_us: int
    ring_position: int


EndpointLists = Mapping[int, list[ListEntry]]  # by the list number to which list updates refer

# Forms of a list update. "F" is the complete list in answer to a poll.
LIST_FAILED = "X"  # the poll failed
LIST_CHANGES = "D"  # only the entries that have changed
LIST_UNSOLICITED = "C"  # the complete list, sent without a poll
LIST_FORMS = (LIST_CHANGES, "F", LIST_UNSOLICITED)


class Instance:
    """One load balancer with its wire ids; shares no state with other instances."""

    def __init__(self, name: str, seed: int, now_us: int, settings: SettingsReader) -> None:
        """Builds the load balancer from the settings.

        Args:
            name: Name of the instance on the wire.
            seed: Seed of all random choices.
            now_us: Current time in microseconds.
            settings: Settings of the deployment.

        Raises:
            ConfigurationError: No load balancer can be built from the settings.
        """
        self.name = name
        self.request_classes = policy_factory.read_request_classes(settings)
        quotas = policy_factory.read_tenant_quotas(settings)
        self.tenants = {tenant: index for index, tenant in enumerate(quotas)}
        self.zones = {zone: index for index, zone in enumerate(settings.names(setting_names.ZONES))}
        self.load_balancer = policy_factory.build_load_balancer(
            settings, seed, now_us, list(self.zones), list(quotas.values())
        )
        self.addresses: list[str] = []  # by endpoint index
        self.endpoint_indices: dict[str, int] = {}  # by address
        self.requests: dict[str, RoutedRequest] = {}
        self.request_ids: dict[RoutedRequest, str] = {}
        # time of the pending timer, which is also its cookie; None: no timer is pending
        self.timer_us: int | None = None

    def on_request(self, message: Message, now_us: int) -> list[Decision]:
        """Handles an incoming request."""
        request_id, class_name = message.text("xid"), message.text("type")
        if class_name not in self.request_classes:
            quoted = class_name[: codec.MAX_QUOTED]
            raise MalformedLineError(
                message.line, f"type is not the name of a configured profile: '{quoted}'"
            )
        tenant = self.tenants.get(message.fields.get("team", ""), NO_TENANT)
        remaining_us = message.number("remaining_us")
        request = self.load_balancer.start_request(
            now_us, self.request_classes[class_name], tenant, remaining_us
        )
        self.requests[request_id] = request
        self.request_ids[request] = request_id
        return request.route(now_us)

    def on_response_started(self, message: Message, _now_us: int) -> list[Decision]:
        """Handles a response that has started to stream to the client."""
        request = self.requests.get(message.text("xid"))
        return request.on_response_started(message.number("n")) if request else []

    def on_attempt_finished(self, message: Message, now_us: int) -> list[Decision]:
        """Handles the end of an attempt."""
        request_id, attempt_number = message.text("xid"), message.number("n")
        outcome, latency_us = message.outcome(), message.number("cost_time_us")
        is_complete = message.flag("complete")
        message.check_load_report()
        request = self.requests.get(request_id)
        if request is None:
            return []
        return request.on_attempt_finished(attempt_number, now_us, outcome, latency_us, is_complete)

    def on_client_disconnected(self, message: Message, _now_us: int) -> list[Decision]:
        """Handles the disconnection of a client."""
        request = self.requests.get(message.text("xid"))
        return request.on_client_disconnected() if request else []

    def on_timer(self, message: Message, now_us: int) -> list[Decision]:
        """Handles the expiry of a timer; only the latest requested one takes effect."""
        cookie = message.text("cookie")
        if self.timer_us is None or cookie != str(self.timer_us):
            return []
        self.timer_us = None
        return self.load_balancer.on_timer(now_us)

    def on_probe_result(self, message: Message, _now_us: int) -> list[Decision]:
        """Checks the format of a probe result; the adapter requests no probes."""
        message.text("endpoint")
        message.outcome()
        message.check_load_report()
        return []

    def on_peer_message(self, message: Message, _now_us: int) -> list[Decision]:
        """Checks the format of a message from another instance; the adapter sends none."""
        message.number("from")
        message.text("msg")
        return []

    def on_list(self, message: Message, now_us: int, lists: EndpointLists) -> list[Decision]:
        """Handles a received endpoint list, changes to it, or a failed poll."""
        form = message.text("form")
        message.number("epoch", default=0)
        if form == LIST_FAILED:
            self.load_balancer.on_list_failed(now_us)
            return []
        if form not in LIST_FORMS:
            quoted = form[: codec.MAX_QUOTED]
            raise MalformedLineError(message.line, f"form is not one of D, F, C, X: '{quoted}'")
        number = message.number("slot")
        if number not in lists:
            raise MalformedLineError(message.line, f"slot {number} holds no endpoint list")
        updates = [update for entry in lists[number] if (update := self._update(entry)) is not None]
        self.load_balancer.update_endpoints(
            now_us, updates, is_complete=form != LIST_CHANGES, is_poll_answer=form != LIST_UNSOLICITED
        )
        return []

    def _update(self, entry: ListEntry) -> EndpointUpdate | None:
        """Returns an entry with indices in place of names.

        Returns None for an endpoint that is gone and was never listed before.
        """
        index = self.endpoint_indices.get(entry.address)
        if index is None:
            if entry.is_gone:
                return None
            index = self.endpoint_indices[entry.address] = len(self.addresses)
            self.addresses.append(entry.address)
        return EndpointUpdate(
            index,
            self.zones.setdefault(entry.zone, len(self.zones)),
            entry.cell,
            entry.scale,
            entry.accepts_requests,
            entry.started_us,
            entry.ring_position,
        )

    def encode(self, decisions: list[Decision]) -> list[str]:
        """Encodes decisions as lines, and removes the requests that are finished."""
        lines = []
        for decision in decisions:
            address = ""
            if isinstance(decision, StartAttempt):
                address = self.addresses[decision.endpoint_index]
            request_id = self.request_ids[decision.request]
            lines.append(codec.encode_decision(decision, self.name, request_id, address))
        for decision in decisions:
            if not isinstance(decision, StartAttempt | CancelAttempt):
                self.release(self.request_ids.get(decision.request))
        return lines

    def encode_polls_and_timers(self, now_us: int) -> list[str]:
        """Encodes the requests for a poll and a timer after a batch.

        A timer is requested only if it expires earlier than the pending one.
        """
        lines = []
        if self.load_balancer.list_poller.take_due_poll(now_us):
            lines.append(codec.encode_poll(self.name))
        wake_us = max(now_us + 1, self.load_balancer.wake_us)
        if self.timer_us is None or wake_us < self.timer_us:
            self.timer_us = wake_us
            lines.append(codec.encode_timer(self.name, wake_us))
        return lines

    def release(self, request_id: str | None) -> None:
        """Removes a request that has been answered and has no attempt in flight."""
        request = self.requests.get(request_id) if request_id else None
        if request_id and request and request.is_finished and not request.in_flight:
            del self.requests[request_id], self.request_ids[request]


EventHandler = Callable[[Instance, Message, int], list[Decision]]

EVENT_HANDLERS: dict[str, EventHandler] = {
    "DEMAND": Instance.on_request,
    "VERDICT": Instance.on_attempt_finished,
    "ALARM": Instance.on_timer,
    "UNDER_WAY": Instance.on_response_started,
    "VANISHED": Instance.on_client_disconnected,
    "HEALTH_RESULT": Instance.on_probe_result,
    "PEER": Instance.on_peer_message,
}
"""Handler of each event of the wire, by message name."""
