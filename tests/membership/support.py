"""Helpers for membership tests: simulated fleets, single instances, datagrams and hypothesis strategies."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Any

from hypothesis import strategies as st

from cressrail.discovery.endpoint_list import EndpointEntry, EndpointListUpdate
from cressrail.membership import codec
from cressrail.membership.authentication import (
    sign_datagram,
)
from cressrail.membership.live_count import (
    ObservedInstances,
)
from cressrail.membership.load_reports import (
    MAX_AGE_MS,
    MAX_VALUE,
    LoadReport,
)
from cressrail.membership.messages import (
    ALIVE,
    USES,
    InstanceRecord,
    InstanceStatus,
    ReachabilityReport,
)
from cressrail.membership.settings import MembershipSettings
from cressrail.membership.simulation import SECOND, MembershipSimulation
from cressrail.membership.state_machine import MembershipStateMachine
from cressrail.policy.random_generator import RandomGenerator
from cressrail.proxy.endpoint_registry import EndpointRegistry

KEY = b"k" * 32


def joined_fleet(size: int, seed: int = 1, **options: Any) -> MembershipSimulation:
    """Returns a fleet whose instances have all known each other for eight seconds of virtual time."""
    fleet = MembershipSimulation(size, seed, **options)
    fleet.start_all()
    assert fleet.clock.run_until_met(fleet.all_views_agree, 60 * SECOND)
    fleet.clock.run_until(fleet.clock.now_us + 8 * SECOND)
    return fleet


def state_seen_by(fleet: MembershipSimulation, observer: int, observed: int) -> str:
    """Returns the state of an instance in the `/membership` view of another."""
    matches = [
        c
        for c in fleet.names[f"copy{observer}"].instance.view(fleet.clock.now_us)["copies"]
        if c["name"] == f"copy{observed}"
    ]
    return str(matches[0]["state"])


def event_counts(fleet: MembershipSimulation, since_us: int) -> Counter[str]:
    """Counts the log events of a fleet by name."""
    return Counter(logged.event for logged in fleet.log if logged.at_us >= since_us)


def number_of(name: str) -> int:
    """Returns the number in the name of a simulated instance."""
    return int(name.removeprefix("copy"))


RECORDS = st.builds(
    InstanceRecord,
    st.text(min_size=1, max_size=16),
    st.text(max_size=6),
    st.tuples(st.sampled_from(["127.0.0.1", "10.1.2.3", "fe80::1"]), st.integers(1, 65535)),
    st.integers(0, 1 << 62),
    st.integers(0, (1 << 32) - 1),
    st.integers(0, 3),
)


U64, U32 = st.integers(0, (1 << 64) - 1), st.integers(0, (1 << 32) - 1)


STATUSES = st.builds(InstanceStatus, U64, st.integers(0, 1 << 62), U32, st.integers(0, 3), U64)


REACHABILITY_REPORTS = st.builds(ReachabilityReport, U64, U64, U32, st.booleans())


LOAD_REPORTS = st.builds(
    LoadReport, st.integers(0, 255), U64, st.integers(0, MAX_VALUE), U32, st.integers(0, MAX_AGE_MS)
)


def single_instance(max_datagram_bytes: int = 1400) -> MembershipStateMachine:
    """Returns an instance named "one" that is not started."""
    return MembershipStateMachine(
        MembershipSettings("one", "a", ("127.0.0.1", 1), (), (KEY,), max_datagram_bytes=max_datagram_bytes),
        RandomGenerator(1),
        0,
        1,
        1,
    )


def signed_ping(number: int, name: str = "two", key: bytes = KEY, **record_changes: Any) -> bytes:
    """Returns a signed ping from another instance; `number` is its datagram and its sequence number."""
    sender = InstanceRecord(name, "b", ("127.0.0.2", 2), 5, 9, ALIVE)._replace(**record_changes)
    return sign_datagram(
        key,
        codec.encode_datagram(
            codec.PING,
            number,
            codec.encode_record(sender)
            + codec.encode_ping_reference(codec.PingReference(number, 0))
            + codec.encode_padding(64),
        ),
    )


TOLERATED_PAUSE_US = 3 * SECOND


LONG_AFTER_START_US = 100 * SECOND


def observed(
    alive: int, silent: int = 0, zone_alive: int = 1, zone_silent: int = 0, has_quorum_view: bool = True
) -> ObservedInstances:
    """Returns observed instance numbers, by default from a view of the fleet that permits a decrease."""
    return ObservedInstances(alive, silent, zone_alive, zone_silent, has_quorum_view)


def counting_fleet(size: int, **options: Any) -> MembershipSimulation:
    """Returns a fleet that uses the live instance count, after 20 seconds of virtual time."""
    fleet = MembershipSimulation(
        size,
        3,
        change=lambda settings: replace(settings, configured_instance_count=size, uses=USES),
        **options,
    )
    fleet.start_all()
    fleet.clock.run_until(20 * SECOND)
    return fleet


def announced_counts(fleet: MembershipSimulation, names: list[str] | None = None) -> list[float]:
    """Returns the instance counts that the running instances, or those of the given names, announced."""
    running = [p for p in fleet.running_processes() if names is None or p.settings.name in names]
    return [p.instance.instance_count.total for p in running if p.instance.instance_count is not None]


def false_claims(number: int, names: list[str], key: bytes) -> bytes:
    """Returns a correctly signed datagram that falsely claims that the named instances are alive.

    The claimed address belongs to no process.
    """
    sender = codec.encode_record(InstanceRecord("liar", "a", ("127.99.0.1", 9), number + 1, 7, ALIVE))
    claims = b"".join(
        codec.encode_record(InstanceRecord(name, "a", ("127.99.0.2", 9), number + 1, 8, ALIVE))
        for name in names
    )
    return sign_datagram(key, codec.encode_datagram(codec.GOSSIP, number + 1, sender + claims))


PERIOD = SECOND // 2


def registry_of(names: str) -> EndpointRegistry:
    """Returns a registry with one endpoint for each character of `names`, in this order."""
    registry = EndpointRegistry(["a", "b"])
    registry.apply(
        EndpointListUpdate(
            1, True, [EndpointEntry(name, "127.0.0.1", 1, "a", 0, 1.0, True, False, 0) for name in names]
        )
    )
    return registry
