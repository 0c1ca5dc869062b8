"""What is decided on zones in common, carried by the talk between copies. It decides nothing."""

from __future__ import annotations

import os
from typing import Any
from urllib.parse import parse_qs

from cressrail.failover.host import Host
from cressrail.failover.messages import Adopted, Command, LogEvent, Post, Settings, Spread
from cressrail.membership import messages as membership
from cressrail.membership.state_machine import MembershipStateMachine
from cressrail.network.dispatcher import CommandDispatcher
from cressrail.policy.random_generator import RandomGenerator
from cressrail.proxy.zone_statistics import ZoneStatistics

SECOND = 1_000_000
LONGEST_S = 43_200  # of a drain; what is told of one holds no more than 65,535


class FailoverDriver:
    def __init__(self, net: CommandDispatcher, settings: Settings, copy: MembershipStateMachine) -> None:
        self.net, self.settings = net, settings
        self.towards = ZoneStatistics()
        net.dispatch(net.state_machine.set_zone_statistics(net.now(), self.towards))
        self.host = Host(settings, copy.id, RandomGenerator(int.from_bytes(os.urandom(8), "big")), net.now())

    @property
    def wake_us(self) -> int:
        return self.host.wake_us

    def close(self) -> None:
        """The talk ends, or another process goes on with it."""
        self.net.dispatch(self.net.state_machine.set_zone_statistics(self.net.now(), None))

    def woke(self, copy: MembershipStateMachine) -> list[membership.Command]:
        reducer, now = self.net.state_machine, self.net.now()
        out = self._out(copy, self.host.woke(now, copy, reducer.load_balancer, self.towards))
        # At each look, as an old decision counts less and less.
        self.net.dispatch(reducer.on_zone_weights(now, *self.host.reducer.shares(now)))
        return out

    def heard(self, copy: MembershipStateMachine, told: membership.Word) -> list[membership.Command]:
        return self._out(copy, self.host.heard(self.net.now(), told.by, told.text))

    def _out(self, copy: MembershipStateMachine, effects: list[Command]) -> list[membership.Command]:
        now, out = self.net.now(), []
        for effect in effects:
            if isinstance(effect, Post):
                out += copy.post(now, effect.to, effect.text)
            elif isinstance(effect, Spread):
                out += copy.spread(now, effect.about, effect.text, effect.urgent)
            elif isinstance(effect, Adopted):
                self.net.dispatch(self.net.state_machine.on_zone_weights(now, *self.host.reducer.shares(now)))
            elif isinstance(effect, LogEvent):
                self.net.log.write_event(effect.event, dict(effect.fields))
        return out

    # The operators' door

    def asked(
        self, copy: MembershipStateMachine, method: bytes, target: bytes
    ) -> tuple[int, Any, list[membership.Command]]:
        """Status, what is told, and what is to be sent for it."""
        path, _, query = target.partition(b"?")
        words = {name: of[0] for name, of in parse_qs(query.decode("ascii", "replace")).items()}
        now, names = self.net.now(), self.settings.map.zones
        if path == b"/zones":
            if method != b"GET":
                return 405, "GET", []
            return 200, self._view(now, copy), []
        if words.get("zone") not in names:
            return 404, f"no zone is {words.get('zone', '')[:40]}; there are {', '.join(names)}", []
        zone = names.index(words["zone"])
        if path == b"/zones/explain":
            if method != b"GET":
                return 405, "GET", []
            return 200, self.host.explain(zone, {copy.id: copy.name, **copy.names()}), []
        if path not in (b"/zones/drain", b"/zones/undrain"):
            return 404, "there are /zones, /zones/explain, /zones/drain, /zones/undrain", []
        if method != b"POST":
            return 405, "POST", []
        for_s = words.get("for_s", "")
        until_us = 0
        if path == b"/zones/drain":
            if not (for_s.isascii() and for_s.isdigit() and 0 < int(for_s) <= LONGEST_S):
                return 400, f"for_s is no whole number within 1 and {LONGEST_S}: {for_s[:40]}", []
            until_us = now + int(for_s) * SECOND
        effects = self._out(copy, self.host.reducer.wish(now, zone, until_us))
        return 200, {"zone": words["zone"], "for_s": int(for_s) if until_us else 0}, effects

    def _view(self, now: int, copy: MembershipStateMachine) -> dict[str, Any]:
        view = self.host.view(now, self.towards)
        names = {f"{ident:016x}": name for ident, name in {copy.id: copy.name, **copy.names()}.items()}
        return {**view, "decided_by": names.get(view["decided_by"], view["decided_by"])}
