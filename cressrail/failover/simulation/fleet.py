"""The simulated instances, their timers, the network between them and their view of membership."""

from __future__ import annotations

from typing import NamedTuple

from cressrail.failover.commands import Broadcast, Command, DecisionAdopted, LogEvent, SendToInstance
from cressrail.failover.local_view import Fleet
from cressrail.failover.settings import FailoverSettings
from cressrail.failover.simulation.decisions import DecisionRecord
from cressrail.failover.simulation.instance import SimulatedInstance
from cressrail.failover.simulation.scenario import Scenario
from cressrail.failover.simulation.trace import Trace
from cressrail.failover.state_machine import RELAYED, FailoverStateMachine
from cressrail.failover.topology import ZoneTopology
from cressrail.policy.random_generator import RandomGenerator
from cressrail.simulation.lossy_network import random_delay_us
from cressrail.simulation.virtual_clock import SECOND_US, VirtualClock

TICK_US = 100_000
MEMBERSHIP_DELAY_US = 5 * SECOND_US  # delay until live instances learn of a death or a partition


class DelayRange(NamedTuple):
    """Minimum and maximum delay of a message, in microseconds."""

    minimum_us: int
    maximum_us: int


DATAGRAM_DELAY = DelayRange(200, 3000)
GOSSIP_DELAY = DelayRange(100_000, 800_000)


class SimulatedFleet:
    """All simulated instances and the network between them.

    Attributes:
        instances: Instances by id; a restarted instance replaces its predecessor.
        partitions: Sets of zones that are cut off from all other zones.
        one_way_losses: Pairs of a sender's zone and a recipient's zone between which all datagrams are lost.
        partition_changed_us: Time at which a partition last started or ended, in microseconds.
        decisions: Record of all decisions.
    """

    def __init__(
        self,
        scenario: Scenario,
        topology: ZoneTopology,
        clock: VirtualClock,
        rng: RandomGenerator,
        trace: Trace,
    ) -> None:
        self._scenario = scenario
        self._topology = topology
        self._clock = clock
        self._rng = rng
        self._trace = trace
        self.instances: dict[int, SimulatedInstance] = {}
        self.partitions: list[frozenset[int]] = []
        self.one_way_losses: set[tuple[int, int]] = set()
        self.partition_changed_us = 0
        self.decisions = DecisionRecord(len(topology.zones))
        self._known_fleets: dict[int, tuple[int, Fleet]] = {}
        for zone, zone_scenario in enumerate(scenario.zones):
            for _ in range(zone_scenario.instances):
                self.start(len(self.instances) + 1, zone)

    def running(self) -> list[SimulatedInstance]:
        """Returns the instances that are up and not stalled."""
        return [
            instance for instance in self.instances.values() if instance.is_up and not instance.is_stalled
        ]

    def start(self, number: int, zone: int) -> None:
        """Starts or restarts an instance."""
        scenario, now_us = self._scenario, self._clock.now_us
        settings = FailoverSettings(
            self._topology,
            zone,
            scenario.slow_start_fraction,
            int(scenario.warm_up_s * SECOND_US),
            scenario.tolerated_pause_ms * 1000,
        )
        rng = RandomGenerator(self._rng.below(1 << 32))
        state_machine = FailoverStateMachine(settings, number, rng, now_us)
        instance = SimulatedInstance(number, zone, state_machine, now_us)
        self.instances[number] = instance
        self.carry_out(instance, state_machine.start(now_us))
        self._schedule_timer(instance)

    def resume(self, instance: SimulatedInstance) -> None:
        """Resumes a stalled instance, which first processes the messages that arrived in the meantime."""
        instance.is_stalled = False
        instance.running_since_us = self._clock.now_us
        messages, instance.stalled_messages = instance.stalled_messages, []
        for sender, payload in messages:
            self._receive(instance, sender, payload)

    def carry_out(self, instance: SimulatedInstance, commands: list[Command]) -> None:
        """Executes the commands of an instance."""
        for command in commands:
            if isinstance(command, SendToInstance):
                delay_us = random_delay_us(self._rng, *DATAGRAM_DELAY)
                self._send(instance, command, delay_us)
            elif isinstance(command, Broadcast):
                self._broadcast(instance, command)
            elif isinstance(command, DecisionAdopted):
                self._trace.add_adoption(self._clock.now_us, instance.number, command.decision)
                self.decisions.add(self._clock.now_us, instance, command.decision)
            elif isinstance(command, LogEvent):
                self._trace.add_event(self._clock.now_us, instance.number, command)

    def set_partition(self, zones: frozenset[int], is_on: bool) -> None:
        """Cuts a set of zones off from all other zones, or reconnects it."""
        if is_on:
            self.partitions.append(zones)
        else:
            self.partitions.remove(zones)
        self.partition_changed_us = self._clock.now_us

    def are_connected(self, zone: int, other: int) -> bool:
        """Returns whether gossip travels between two zones, which only a partition prevents."""
        return all((zone in part) == (other in part) for part in self.partitions)

    def update_membership(self, instance: SimulatedInstance) -> None:
        """Updates an instance's view of the fleet: joins immediately, deaths and partitions after a delay."""
        others = [other for other in self.instances.values() if other is not instance]
        live_instances = {other.number: other.zone for other in others if self._is_visible(instance, other)}
        silent = sum(1 for other in others if other.is_up and other.number not in live_instances)
        fleet = Fleet(live_instances, 1 + len(live_instances) + silent, bool(live_instances))
        now_us = self._clock.now_us
        known_us, known = self._known_fleets.get(instance.number, (0, fleet))
        if known.live_instances.keys() - live_instances.keys() and now_us - known_us < MEMBERSHIP_DELAY_US:
            known_size = max(known.known_size, fleet.known_size)
            fleet = Fleet({**known.live_instances, **live_instances}, known_size, known.has_quorum_view)
        else:
            self._known_fleets[instance.number] = (now_us, fleet)
        instance.state_machine.update_fleet(fleet)

    def disagreement_us(self) -> int:
        """Returns the longest time for which an instance has lacked a decision of a leader connected to it.

        Instances that started or resumed within `MEMBERSHIP_DELAY_US` are not considered.
        """
        longest_us = 0
        for instance in self.running():
            if self._clock.now_us - instance.running_since_us < MEMBERSHIP_DELAY_US:
                continue
            held = instance.state_machine.held_epoch
            for epoch, taken in self.decisions.taken.items():
                leader = taken.leader
                if epoch > held and self._is_visible(instance, leader):
                    since_us = max(taken.at_us, instance.running_since_us, self.partition_changed_us)
                    longest_us = max(longest_us, self._clock.now_us - since_us)
        return longest_us

    def _is_visible(self, instance: SimulatedInstance, other: SimulatedInstance) -> bool:
        return other.is_up and self.are_connected(instance.zone, other.zone)

    def _schedule_timer(self, instance: SimulatedInstance) -> None:
        def on_timer() -> None:
            if not self._is_current(instance):
                return
            if instance.is_stalled:
                self._clock.schedule(self._clock.now_us + TICK_US, on_timer)
                return
            self.carry_out(instance, instance.state_machine.on_timer(self._clock.now_us))
            self._schedule_timer(instance)

        self._clock.schedule(max(self._clock.now_us, instance.state_machine.next_timer_us), on_timer)

    def _is_current(self, instance: SimulatedInstance) -> bool:
        """Returns whether an instance is up and has not been replaced by a restart."""
        return instance.is_up and self.instances.get(instance.number) is instance

    def _send(self, sender: SimulatedInstance, command: SendToInstance, delay_us: int) -> None:
        recipient = self.instances.get(command.recipient)
        if recipient is None or not self._hears(recipient, sender):
            return
        if self._rng.fraction() < self._scenario.loss:
            return
        self._deliver(recipient, sender.number, command.payload, delay_us)

    def _hears(self, recipient: SimulatedInstance, sender: SimulatedInstance) -> bool:
        """Returns whether datagrams from the sender reach the recipient."""
        if not sender.is_up or not recipient.is_up:
            return False
        is_lost = (sender.zone, recipient.zone) in self.one_way_losses
        return not is_lost and self.are_connected(sender.zone, recipient.zone)

    def _broadcast(self, sender: SimulatedInstance, command: Broadcast) -> None:
        for recipient in self.instances.values():
            if recipient is not sender and self._is_visible(sender, recipient):
                delay_us = random_delay_us(self._rng, *GOSSIP_DELAY)
                self._deliver(recipient, RELAYED, command.payload, delay_us)

    def _deliver(self, recipient: SimulatedInstance, sender: int, payload: bytes, delay_us: int) -> None:
        def arrive() -> None:
            if not self._is_current(recipient):
                return
            if recipient.is_stalled:
                recipient.stalled_messages.append((sender, payload))
            else:
                self._receive(recipient, sender, payload)

        self._clock.schedule(self._clock.now_us + delay_us, arrive)

    def _receive(self, recipient: SimulatedInstance, sender: int, payload: bytes) -> None:
        commands = recipient.state_machine.on_message(self._clock.now_us, sender, payload)
        self.carry_out(recipient, commands)
