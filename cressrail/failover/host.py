"""Failover as a running sidecar takes part in it: what it saw of zones, as evidence; who is up, from
membership. No input or output."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Any

from cressrail.failover.messages import Command, Evidence, Settings, Toward
from cressrail.failover.state_machine import WINDOW, FailoverStateMachine, Fleet
from cressrail.membership.state_machine import MembershipStateMachine
from cressrail.policy.load_balancer import LoadBalancer
from cressrail.policy.random_generator import RandomGenerator
from cressrail.proxy.zone_statistics import AttemptCounts, ZoneStatistics

SECOND = 1_000_000


class Host:
    def __init__(self, settings: Settings, own: int, chance: RandomGenerator, now: int) -> None:
        self.settings = settings
        self.reducer = FailoverStateMachine(settings, own, chance, now)
        self.seen: deque[tuple[int, dict[int, AttemptCounts]]] = deque(maxlen=WINDOW + 1)
        self.latency_us: dict[int, float] = {}
        self.began = False

    @property
    def wake_us(self) -> int:
        return self.reducer.wake_us

    def woke(
        self, now: int, copy: MembershipStateMachine, sidecar: LoadBalancer, towards: ZoneStatistics
    ) -> list[Command]:
        at = {name: n for n, name in enumerate(self.settings.map.zones)}
        seen = copy.seen(now)
        living = {ident: at[zone] for ident, zone in copy.zones().items() if zone in at}
        self.reducer.members(Fleet(living, seen.alive + seen.silent, seen.sure))
        self.reducer.saw(self.evidence(now, sidecar, towards))
        if not self.began:
            self.began = True
            return self.reducer.start(now)
        return self.reducer.woke(now)

    def heard(self, now: int, by: int, text: bytes) -> list[Command]:
        return self.reducer.heard(now, by, text)

    def evidence(self, now: int, sidecar: LoadBalancer, towards: ZoneStatistics) -> Evidence:
        self.seen.append((now, dict(towards.zones)))
        since_us, before = self.seen[0]
        span_us = max(1, now - since_us)
        taken = sum(1 for at in sidecar.budget.request_times_us if at > since_us)
        told = []
        for zone in range(len(self.settings.map.zones)):
            lately = towards.zones.get(zone, AttemptCounts()).since(before.get(zone, AttemptCounts()))
            if lately.succeeded:
                self.latency_us[zone] = lately.took_us / lately.succeeded
            told.append(
                Toward(
                    lately.attempts,
                    lately.connect_failed,
                    lately.failed,
                    lately.late,
                    self._bears(zone, sidecar),
                )
            )
        return Evidence(self.settings.zone, taken * SECOND / span_us, tuple(told))

    def _bears(self, zone: int, sidecar: LoadBalancer) -> float:
        """Hops a second that the limits of its endpoints let this copy have there, at the latency seen; that
        of the best zone where there is none."""
        if zone >= len(sidecar.zone_subsets) or not self.latency_us:
            return 0.0
        latency = self.latency_us.get(zone) or min(self.latency_us.values())
        return sidecar.zone_subsets[zone].limit * SECOND / max(1.0, latency)

    def view(self, now: int, towards: ZoneStatistics) -> dict[str, Any]:
        return {**self.reducer.view(now), "near": self._near(towards)}

    def _near(self, towards: ZoneStatistics) -> dict[str, float]:
        """Shares of what committed since the start."""
        map_, own = self.settings.map, self.settings.zone
        done = {w: towards.zones.get(w, AttemptCounts()).succeeded for w in range(len(map_.zones))}
        whole = max(1, sum(done.values()))
        parts = [sum(n for w, n in done.items() if map_.near(own, w) == level) / whole for level in range(3)]
        near = (parts[0], parts[0] + parts[1], parts[2])
        return {name: round(part, 4) for name, part in zip(("zone", "region", "beyond"), near, strict=True)}

    def explain(self, zone: int, names: Mapping[int, str]) -> list[dict[str, Any]]:
        """The evidence on one zone that is known here: all copies' at whoever decides, the own elsewhere."""
        told = {by: evidence for by, (evidence, _) in self.reducer.told.items()}
        told[self.reducer.own] = self.reducer.evidence
        return [
            {
                "sidecar": names.get(by, f"{by:016x}"),
                "zone": self.settings.map.zones[evidence.zone],
                **evidence.towards[zone]._asdict(),
            }
            for by, evidence in sorted(told.items())
            if zone < len(evidence.towards)
        ]
