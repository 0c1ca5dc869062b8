"""Connects the failover state machine of a running sidecar to membership and to the load balancer."""

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
    """Owns the failover state machine of one sidecar and performs no I/O.

    Attributes:
        settings: Settings of failover at this sidecar.
        state_machine: The failover state machine.
    """

    def __init__(self, settings: FailoverSettings, own_id: int, rng: RandomGenerator, now_us: int) -> None:
        self.settings = settings
        self.state_machine = FailoverStateMachine(settings, own_id, rng, now_us)
        self._collector = EvidenceCollector(settings)
        self._has_started = False

    @property
    def next_timer_us(self) -> int:
        """Time at which `on_timer` is due, in microseconds."""
        return self.state_machine.next_timer_us

    def on_timer(
        self,
        now_us: int,
        membership: MembershipStateMachine,
        load_balancer: LoadBalancer,
        statistics: ZoneStatistics,
    ) -> list[Command]:
        """Updates fleet and evidence; starts the state machine on the first call and runs its timer later."""
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
