"""Test evidence for three zones, and a network of instances that reorders, loses and repeats messages."""

from __future__ import annotations

from cressrail.failover.commands import Broadcast, Command, SendToInstance
from cressrail.failover.local_view import Fleet
from cressrail.failover.messages import Evidence, ZoneObservation
from cressrail.failover.settings import FailoverSettings
from cressrail.failover.state_machine import RELAYED, FailoverStateMachine
from cressrail.failover.topology import ZoneTopology
from cressrail.policy.random_generator import RandomGenerator

SECOND = 1_000_000
TOPOLOGY = ZoneTopology(("a", "b", "c"), ("n", "n", "s"))
WINDOW = 3 * SECOND // 2
STEP_US = 20_000


def observation(attempts: int = 30, capacity: float = 25.0, **unsuccessful: int) -> ZoneObservation:
    """Returns the observation of one zone; `unsuccessful` holds the unsuccessful attempts by field name."""
    return ZoneObservation(
        attempts,
        unsuccessful.get("connect_failures", 0),
        unsuccessful.get("failures", 0),
        unsuccessful.get("slow_attempts", 0),
        capacity,
    )


def evidence(*observations: ZoneObservation, zone: int = 0, demand: float = 20.0) -> Evidence:
    """Returns the evidence of one instance."""
    return Evidence(zone, demand, observations)


def healthy(
    zone: int, instances: int = 4, demand: float = 15.0, **changed: ZoneObservation
) -> list[Evidence]:
    """Returns evidence of the instances of one zone whose traffic stays there and succeeds.

    The observations in `changed`, by zone name, replace the healthy ones.
    """
    attempts = [int(demand * WINDOW / SECOND) if other == zone else 0 for other in range(3)]
    row = [
        changed.get(name, observation(attempts[other], 100 / 12)) for other, name in enumerate(TOPOLOGY.zones)
    ]
    return [evidence(*row, zone=zone, demand=demand) for _ in range(instances)]


UNREACHABLE = observation(connect_failures=30)
FAILING = observation(failures=25)


class InstanceNetwork:
    """Instances whose messages may be delayed, reordered, repeated or lost.

    Attributes:
        rng: Random generator of the network.
        now: Current time in microseconds.
        instances: State machines by instance id.
        in_flight: Sender, recipient and payload of each message not yet delivered.
        stalled_until_us: Time in microseconds until which an instance is stalled, by instance id.
        partition: Part of the partitioned network that each instance is in, by instance id.
        leaders: Instance that took the decisions of each term.
        known_size: Size of the last known fleet.
    """

    def __init__(self, size: int, seed: int) -> None:
        self.rng, self.now = RandomGenerator(seed), 0
        self.instances = {
            instance: FailoverStateMachine(
                FailoverSettings(TOPOLOGY, instance % 3, tolerated_pause_us=3 * SECOND),
                instance,
                RandomGenerator(seed * 100 + instance),
                0,
            )
            for instance in range(1, size + 1)
        }
        self.in_flight: list[tuple[int, int, bytes]] = []
        self.stalled_until_us: dict[int, int] = {}
        self.partition: dict[int, int] = {}
        self.leaders: dict[int, int] = {}
        self.known_size = size
        for instance, state_machine in self.instances.items():
            self.update_fleet(instance)
            state_machine.update_evidence(healthy(instance % 3, 1)[0])
            self.carry_out(instance, state_machine.start(0))

    def update_fleet(self, instance: int) -> None:
        """Updates the fleet of an instance; instances that are cut off from it count as silent."""
        live_instances = {
            other: other % 3
            for other in self.instances
            if other != instance and self.are_connected(other, instance)
        }
        self.instances[instance].update_fleet(Fleet(live_instances, self.known_size, bool(live_instances)))

    def carry_out(self, instance: int, commands: list[Command]) -> None:
        """Sends the messages of an instance, and asserts that only one instance takes decisions in a term."""
        decision = self.instances[instance].decision
        if decision is not None and decision.leader == instance:
            term = decision.epoch.term
            assert self.leaders.setdefault(term, instance) == instance, f"two leaders in term {term}"
        for command in commands:
            if isinstance(command, SendToInstance):
                self.in_flight.append((instance, command.recipient, command.payload))
            elif isinstance(command, Broadcast):
                self.in_flight += [
                    (RELAYED, other, command.payload)
                    for other in self.instances
                    if other != instance and self.are_connected(instance, other)
                ]

    def are_connected(self, instance: int, other: int) -> bool:
        """Returns whether two instances are in the same part of the network."""
        return self.partition.get(instance) == self.partition.get(other)

    def step(self, loss: float) -> None:
        """Advances the time by one step, and asserts that the held epoch of no instance decreases."""
        self.now += STEP_US
        held = {instance: machine.held_epoch for instance, machine in self.instances.items()}
        for instance, machine in self.instances.items():
            if self.stalled_until_us.get(instance, 0) <= self.now and machine.next_timer_us <= self.now:
                self.carry_out(instance, machine.on_timer(self.now))
        messages, self.in_flight = self.in_flight, []
        for sender, recipient, payload in messages:
            self.deliver(sender, recipient, payload, loss)
        for instance, machine in self.instances.items():
            assert machine.held_epoch >= held[instance], f"the held epoch of instance {instance} decreased"

    def deliver(self, sender: int, recipient: int, payload: bytes, loss: float) -> None:
        """Delivers, loses, delays or repeats a message."""
        is_cut_off = sender != RELAYED and not self.are_connected(sender, recipient)
        if self.rng.fraction() < loss or is_cut_off:
            return
        if self.stalled_until_us.get(recipient, 0) > self.now or self.rng.fraction() < 0.2:
            self.in_flight.append((sender, recipient, payload))  # delayed
            return
        if self.rng.fraction() < 0.1:
            self.in_flight.append((sender, recipient, payload))  # repeated
        commands = self.instances[recipient].on_message(self.now, sender, payload)
        self.carry_out(recipient, commands)
