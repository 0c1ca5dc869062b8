"""Executes failover commands, using membership for messages, and answers admin requests on zones."""

from __future__ import annotations

import os
from typing import Any, NamedTuple
from urllib.parse import parse_qs

from cressrail.failover.admin_view import evidence_view, zones_view
from cressrail.failover.commands import Broadcast, Command, DecisionAdopted, LogEvent, SendToInstance
from cressrail.failover.host import FailoverHost
from cressrail.failover.settings import FailoverSettings
from cressrail.membership import messages as membership_messages
from cressrail.membership.state_machine import MembershipStateMachine
from cressrail.network.dispatcher import CommandDispatcher
from cressrail.policy.random_generator import RandomGenerator
from cressrail.proxy.zone_statistics import ZoneStatistics

SECOND_US = 1_000_000
MAX_DRAIN_S = 43_200  # datagrams encode seconds in 16 bits, so at most 65,535
SHOWN_CHARACTERS = 40  # at most this much of an operator's input is repeated in an answer

ZONES_PATH = b"/zones"
EXPLAIN_PATH = b"/zones/explain"
DRAIN_PATH = b"/zones/drain"
UNDRAIN_PATH = b"/zones/undrain"


class AdminAnswer(NamedTuple):
    """The answer to an admin request on zones.

    Attributes:
        status: The HTTP status.
        body: A JSON value for 200, the allowed method for 405, otherwise an error message.
        commands: Membership commands that result from the request.
    """

    status: int
    body: Any
    commands: list[membership_messages.Command]


class FailoverDriver:
    """Runs failover on one sidecar, using its membership to exchange messages."""

    def __init__(
        self, dispatcher: CommandDispatcher, settings: FailoverSettings, membership: MembershipStateMachine
    ) -> None:
        self.dispatcher = dispatcher
        self.settings = settings
        self.statistics = ZoneStatistics()
        now_us = dispatcher.now()
        dispatcher.dispatch(dispatcher.state_machine.set_zone_statistics(now_us, self.statistics))
        rng = RandomGenerator(int.from_bytes(os.urandom(8), "big"))
        self.host = FailoverHost(settings, membership.id, rng, dispatcher.now())

    @property
    def next_timer_us(self) -> int:
        """The time at which `on_timer` is due, in microseconds of the dispatcher's clock."""
        return self.host.next_timer_us

    def close(self) -> None:
        """Stops counting attempts by zone, because membership ends or continues in another process."""
        proxy = self.dispatcher.state_machine
        self.dispatcher.dispatch(proxy.set_zone_statistics(self.dispatcher.now(), None))

    def on_timer(self, membership: MembershipStateMachine) -> list[membership_messages.Command]:
        """Runs the timer of failover and applies the current zone weights to the load balancer."""
        now_us = self.dispatcher.now()
        load_balancer = self.dispatcher.state_machine.load_balancer
        commands = self.host.on_timer(now_us, membership, load_balancer, self.statistics)
        membership_commands = self._carry_out(membership, commands)
        # Applied on each timer, because the effect of a decision decreases as the decision ages.
        self._apply_zone_weights(now_us)
        return membership_commands

    def on_message(
        self, membership: MembershipStateMachine, message: membership_messages.UserMessage
    ) -> list[membership_messages.Command]:
        """Handles a failover message that membership has received."""
        commands = self.host.state_machine.on_message(self.dispatcher.now(), message.sender, message.payload)
        return self._carry_out(membership, commands)

    def on_admin_request(
        self, membership: MembershipStateMachine, method: bytes, target: bytes
    ) -> AdminAnswer:
        """Answers an admin request whose path starts with `/zones`."""
        path, _, query = target.partition(b"?")
        parameters = {name: values[0] for name, values in parse_qs(query.decode("ascii", "replace")).items()}
        if path == ZONES_PATH:
            return self._answer_zones(membership, method)
        zones = self.settings.topology.zones
        name = parameters.get("zone")
        if name is None or name not in zones:
            shown = (name or "")[:SHOWN_CHARACTERS]
            reason = f"no zone is {shown}; there are {', '.join(zones)}"
            return AdminAnswer(404, reason, [])
        zone = zones.index(name)
        if path == EXPLAIN_PATH:
            return self._answer_explain(membership, method, zone)
        if path not in (DRAIN_PATH, UNDRAIN_PATH):
            return AdminAnswer(404, "there are /zones, /zones/explain, /zones/drain, /zones/undrain", [])
        if method != b"POST":
            return AdminAnswer(405, "POST", [])
        if path == UNDRAIN_PATH:
            return self._answer_drain(membership, zone, 0)
        for_s = parameters.get("for_s", "")
        if not _is_drain_duration(for_s):
            reason = f"for_s is no whole number within 1 and {MAX_DRAIN_S}: {for_s[:SHOWN_CHARACTERS]}"
            return AdminAnswer(400, reason, [])
        return self._answer_drain(membership, zone, int(for_s))

    def _answer_zones(self, membership: MembershipStateMachine, method: bytes) -> AdminAnswer:
        if method != b"GET":
            return AdminAnswer(405, "GET", [])
        now_us = self.dispatcher.now()
        view = zones_view(self.host.state_machine, self.statistics, _instance_names(membership), now_us)
        return AdminAnswer(200, view, [])

    def _answer_explain(self, membership: MembershipStateMachine, method: bytes, zone: int) -> AdminAnswer:
        if method != b"GET":
            return AdminAnswer(405, "GET", [])
        view = evidence_view(self.host.state_machine, zone, _instance_names(membership))
        return AdminAnswer(200, view, [])

    def _answer_drain(self, membership: MembershipStateMachine, zone: int, for_s: int) -> AdminAnswer:
        """Drains a zone for `for_s` seconds; 0 ends its drain."""
        now_us = self.dispatcher.now()
        until_us = now_us + for_s * SECOND_US if for_s else 0
        commands = self.host.state_machine.request_drain(now_us, zone, until_us)
        body = {"zone": self.settings.topology.zones[zone], "for_s": for_s}
        return AdminAnswer(200, body, self._carry_out(membership, commands))

    def _carry_out(
        self, membership: MembershipStateMachine, commands: list[Command]
    ) -> list[membership_messages.Command]:
        now_us = self.dispatcher.now()
        membership_commands: list[membership_messages.Command] = []
        for command in commands:
            if isinstance(command, SendToInstance):
                membership_commands += membership.send_user_message(
                    now_us, command.recipient, command.payload
                )
            elif isinstance(command, Broadcast):
                membership_commands += membership.broadcast_user_message(
                    now_us, command.topic, command.payload, command.is_urgent
                )
            elif isinstance(command, DecisionAdopted):
                self._apply_zone_weights(now_us)
            elif isinstance(command, LogEvent):
                self.dispatcher.log.write_event(command.event, dict(command.fields))
        return membership_commands

    def _apply_zone_weights(self, now_us: int) -> None:
        weights, freshness = self.host.state_machine.zone_weights(now_us)
        proxy = self.dispatcher.state_machine
        self.dispatcher.dispatch(proxy.on_zone_weights(now_us, weights, freshness))


def _instance_names(membership: MembershipStateMachine) -> dict[int, str]:
    return {membership.id: membership.name, **membership.instance_names()}


def _is_drain_duration(text: str) -> bool:
    return text.isascii() and text.isdigit() and 0 < int(text) <= MAX_DRAIN_S
