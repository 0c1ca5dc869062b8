"""Failover at a running sidecar: feeds the state machine from membership and from the load balancer."""

from __future__ import annotations

from cressrail.failover.commands import Command
from cressrail.failover.evidence_collector import EvidenceCollector
from cressrail.failover.local_view import Fleet
from cressrail.failover.settings import FailoverSettings
from cressrail.failover.state_machine import FailoverStateMachine
from cressrail.membership.state_machine import MembershipStateMachine
from cressrail.policy.load_balancer import LoadBalancer
from cressrail.policy.random_generator import RandomGenerator
from cressrail.proxy.zone_statistics import ZoneStatistics


class FailoverHost:
    """Owns the state machine of one sidecar. No input or output."""

    def __init__(self, settings: FailoverSettings, own_id: int, rng: RandomGenerator, now_us: int) -> None:
        self.settings = settings
        self.state_machine = FailoverStateMachine(settings, own_id, rng, now_us)
        self._collector = EvidenceCollector(settings)
        self._has_started = False

    @property
    def next_timer_us(self) -> int:
        """When `on_timer` is due."""
        return self.state_machine.next_timer_us

    def on_timer(
        self,
        now_us: int,
        membership: MembershipStateMachine,
        load_balancer: LoadBalancer,
        statistics: ZoneStatistics,
    ) -> list[Command]:
        """Brings fleet and evidence up to date; starts the state machine, or wakes it."""
        self._update_fleet(membership)
        evidence = self._collector.collect(now_us, load_balancer, statistics)
        self.state_machine.update_evidence(evidence)
        if not self._has_started:
            self._has_started = True
            return self.state_machine.start(now_us)
        return self.state_machine.on_timer(now_us)

    def _update_fleet(self, membership: MembershipStateMachine) -> None:
        indices = {name: index for index, name in enumerate(self.settings.topology.zones)}
        observed = membership.observed_instances()
        live_instances = {
            instance: indices[zone]
            for instance, zone in membership.instance_zones().items()
            if zone in indices
        }
        self.state_machine.update_fleet(
            Fleet(live_instances, observed.alive + observed.silent, observed.has_quorum_view)
        )
