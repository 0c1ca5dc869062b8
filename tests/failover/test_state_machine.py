"""Elections, decisions and drain requests between state machines."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cressrail.failover.admin_view import zones_view
from cressrail.failover.commands import Broadcast, Command
from cressrail.failover.local_view import Fleet
from cressrail.failover.messages import Epoch
from cressrail.failover.settings import FailoverSettings
from cressrail.failover.state_machine import FailoverStateMachine
from cressrail.policy.random_generator import RandomGenerator
from cressrail.proxy.zone_statistics import ZoneStatistics
from tests.failover.support import SECOND, TOPOLOGY, UNREACHABLE, InstanceNetwork, healthy


@pytest.mark.parametrize("seed", range(12))
def test_each_term_has_one_leader_and_epochs_never_decrease(seed: int) -> None:
    network = InstanceNetwork(5, seed)
    for turn in range(3000):
        network.step(0.15)
        if network.rng.below(60) == 0:
            stalled = 1 + network.rng.below(5)
            network.stalled_until_us[stalled] = network.now + network.rng.below(8 * SECOND)
        if turn % 500 == 499:
            network.partition = {instance: network.rng.below(2) for instance in network.instances}
            for instance in network.instances:
                network.update_fleet(instance)
    network.partition, network.stalled_until_us = {}, {}
    for instance in network.instances:
        network.update_fleet(instance)
    for _ in range(1000):
        network.step(0.0)
    assert len({machine.held_epoch for machine in network.instances.values()}) == 1
    assert all(machine.freshness(network.now) == 1 for machine in network.instances.values())


def test_without_a_majority_no_decision_is_taken_and_the_last_one_fades() -> None:
    network = InstanceNetwork(5, 3)
    for _ in range(600):
        network.step(0.0)
    last = network.instances[1].held_epoch
    assert last > Epoch(0, 0)
    network.partition = {instance: instance for instance in network.instances}  # every instance is isolated
    for instance, machine in network.instances.items():
        network.update_fleet(instance)
        machine.update_evidence(healthy(instance % 3, 1, a=UNREACHABLE)[0])
    freshness = []
    for _ in range(1800):
        network.step(0.0)
        freshness.append(network.instances[1].freshness(network.now))
    assert {machine.held_epoch for machine in network.instances.values()} == {last}
    assert freshness[100] == 1
    assert freshness == sorted(freshness, reverse=True)
    assert freshness[-1] == 0
    assert 0 < freshness[len(freshness) // 2] < 1


class LateGossipNetwork(InstanceNetwork):
    """A network in which what is not urgent does not travel: no other datagrams carry it."""

    def carry_out(self, instance: int, commands: list[Command]) -> None:
        """Sends all but the broadcasts that are not urgent."""
        sent = [command for command in commands if not isinstance(command, Broadcast) or command.is_urgent]
        super().carry_out(instance, sent)


def test_elected_leader_keeps_its_term_while_its_heartbeats_are_late() -> None:
    """Guards against votes that expire before the voters know who has won."""
    network = LateGossipNetwork(5, 3)
    for _ in range(600):
        network.step(0.0)
    assert {machine.held_epoch.term for machine in network.instances.values()} == {1}
    assert sum(machine.is_leader for machine in network.instances.values()) == 1


def test_drain_request_reaches_all_instances_takes_effect_and_expires() -> None:
    network = InstanceNetwork(3, 5)
    for _ in range(500):
        network.step(0.0)
    commands = network.instances[2].request_drain(network.now, 1, network.now + 20 * SECOND)
    network.carry_out(2, commands)
    for _ in range(300):
        network.step(0.1)

    def drained() -> set[tuple[str, ...]]:
        views = [
            zones_view(machine, ZoneStatistics(), {}, network.now)["zones"]
            for machine in network.instances.values()
        ]
        return {tuple(zone["zone"] for zone in view if zone["state"] == "drained") for view in views}

    assert drained() == {("b",)}
    for _ in range(900):
        network.step(0.1)
    assert drained() == {()}


@settings(max_examples=500)
@given(st.binary(max_size=120), st.integers(0, 9), st.integers(0, 3))
def test_malformed_messages_elect_no_leader_and_set_no_decision_for_other_zones(
    data: bytes, kind: int, sender: int
) -> None:
    machine = FailoverStateMachine(FailoverSettings(TOPOLOGY, 0), 1, RandomGenerator(1), 0)
    machine.update_fleet(Fleet({2: 1, 3: 2}, 3, True))
    machine.on_message(SECOND, sender, bytes([kind]) + data)
    assert machine.decision is None or len(machine.decision.zones) == 3
    assert not machine.is_leader
    assert machine.zone_weights(SECOND)[1] in (0.0, 1.0)
