"""What is decided on zones in common, carried by the talk between copies. It decides nothing."""

from __future__ import annotations

import os
from typing import Any
from urllib.parse import parse_qs

from cressrail.failover.host import Host
from cressrail.failover.messages import Adopted, Effect, Note, Post, Settings, Spread
from cressrail.membership import messages as membership
from cressrail.membership.state_machine import Membership
from cressrail.network.dispatcher import Net
from cressrail.policy.load_balancer import RandomGenerator
from cressrail.proxy.zone_statistics import Towards

SECOND = 1_000_000
LONGEST_S = 43_200  # of a drain; what is told of one holds no more than 65,535


class Zones:
    def __init__(self, net: Net, settings: Settings, copy: Membership) -> None:
        self.net, self.settings = net, settings
        self.towards = Towards()
        net.tell(net.reducer.count_zones(net.now(), self.towards))
        self.host = Host(settings, copy.id, RandomGenerator(int.from_bytes(os.urandom(8), "big")), net.now())

    @property
    def wake_us(self) -> int:
        return self.host.wake_us

    def close(self) -> None:
        """The talk ends, or another process goes on with it."""
        self.net.tell(self.net.reducer.count_zones(self.net.now(), None))

    def woke(self, copy: Membership) -> list[membership.Effect]:
        reducer, now = self.net.reducer, self.net.now()
        out = self._out(copy, self.host.woke(now, copy, reducer.sidecar, self.towards))
        # At each look, as an old decision counts less and less.
        self.net.tell(reducer.shares(now, *self.host.reducer.shares(now)))
        return out

    def heard(self, copy: Membership, told: membership.Word) -> list[membership.Effect]:
        return self._out(copy, self.host.heard(self.net.now(), told.by, told.text))

    def _out(self, copy: Membership, effects: list[Effect]) -> list[membership.Effect]:
        now, out = self.net.now(), []
        for effect in effects:
            if isinstance(effect, Post):
                out += copy.post(now, effect.to, effect.text)
            elif isinstance(effect, Spread):
                out += copy.spread(now, effect.about, effect.text, effect.urgent)
            elif isinstance(effect, Adopted):
                self.net.tell(self.net.reducer.shares(now, *self.host.reducer.shares(now)))
            elif isinstance(effect, Note):
                self.net.log.note(effect.event, dict(effect.what))
        return out

    # The operators' door

    def asked(
        self, copy: Membership, method: bytes, target: bytes
    ) -> tuple[int, Any, list[membership.Effect]]:
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

    def _view(self, now: int, copy: Membership) -> dict[str, Any]:
        view = self.host.view(now, self.towards)
        names = {f"{ident:016x}": name for ident, name in {copy.id: copy.name, **copy.names()}.items()}
        return {**view, "decided_by": names.get(view["decided_by"], view["decided_by"])}
