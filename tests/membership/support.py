"""Support for tests of membership: fleets in virtual time, instances, datagrams, generated values."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Any

from hypothesis import strategies as some

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


def joined_fleet(size: int, seed: int = 1, **more: Any) -> MembershipSimulation:
    """A fleet that has known all its copies for a while."""
    fleet = MembershipSimulation(size, seed, **more)
    fleet.start_all()
    assert fleet.clock.run_until_met(fleet.all_views_agree, 60 * SECOND)
    fleet.clock.run_until(fleet.clock.now_us + 8 * SECOND)
    return fleet


def state_seen_by(fleet: MembershipSimulation, by: int, of: int) -> str:
    found = [
        c
        for c in fleet.names[f"copy{by}"].instance.view(fleet.clock.now_us)["copies"]
        if c["name"] == f"copy{of}"
    ]
    return str(found[0]["state"])


def event_counts(fleet: MembershipSimulation, since_us: int) -> Counter[str]:
    return Counter(logged.event for logged in fleet.log if logged.at_us >= since_us)


def number_of(name: str) -> int:
    return int(name.removeprefix("copy"))


RECORDS = some.builds(
    InstanceRecord,
    some.text(min_size=1, max_size=16),
    some.text(max_size=6),
    some.tuples(some.sampled_from(["127.0.0.1", "10.1.2.3", "fe80::1"]), some.integers(1, 65535)),
    some.integers(0, 1 << 62),
    some.integers(0, (1 << 32) - 1),
    some.integers(0, 3),
)


U64, U32 = some.integers(0, (1 << 64) - 1), some.integers(0, (1 << 32) - 1)


STATUSES = some.builds(InstanceStatus, U64, some.integers(0, 1 << 62), U32, some.integers(0, 3), U64)


REACHABILITY_REPORTS = some.builds(ReachabilityReport, U64, U64, U32, some.booleans())


LOAD_REPORTS = some.builds(
    LoadReport, some.integers(0, 255), U64, some.integers(0, MAX_VALUE), U32, some.integers(0, MAX_AGE_MS)
)


def single_instance(most_bytes: int = 1400) -> MembershipStateMachine:
    return MembershipStateMachine(
        MembershipSettings("one", "a", ("127.0.0.1", 1), (), (KEY,), max_datagram_bytes=most_bytes),
        RandomGenerator(1),
        0,
        1,
        1,
    )


def signed_ping(nth: int, name: str = "two", key: bytes = KEY, **change: Any) -> bytes:
    own = InstanceRecord(name, "b", ("127.0.0.2", 2), 5, 9, ALIVE)._replace(**change)
    return sign_datagram(
        key,
        codec.encode_datagram(
            codec.PING,
            nth,
            codec.encode_record(own)
            + codec.encode_ping_reference(codec.PingReference(nth, 0))
            + codec.encode_padding(64),
        ),
    )


TOLERATED_PAUSE_US = 3 * SECOND


LONG_AFTER_START_US = 100 * SECOND


def observed(
    alive: int, silent: int = 0, near: int = 1, near_silent: int = 0, sure: bool = True
) -> ObservedInstances:
    return ObservedInstances(alive, silent, near, near_silent, sure)


def counting_fleet(size: int, **more: Any) -> MembershipSimulation:
    made = MembershipSimulation(
        size, 3, change=lambda settings: replace(settings, configured_instance_count=size, uses=USES), **more
    )
    made.start_all()
    made.clock.run_until(20 * SECOND)
    return made


def announced_counts(made: MembershipSimulation, of: list[str] | None = None) -> list[float]:
    up = [p for p in made.running_processes() if of is None or p.settings.name in of]
    return [p.instance.instance_count.total for p in up if p.instance.instance_count is not None]


def false_claims(nth: int, names: list[str], key: bytes) -> bytes:
    """A datagram with a valid key that says that all of these are up, at an address where nobody is."""
    own = codec.encode_record(InstanceRecord("liar", "a", ("127.99.0.1", 9), nth + 1, 7, ALIVE))
    lies = b"".join(
        codec.encode_record(InstanceRecord(name, "a", ("127.99.0.2", 9), nth + 1, 8, ALIVE)) for name in names
    )
    return sign_datagram(key, codec.encode_datagram(codec.GOSSIP, nth + 1, own + lies))


PERIOD = SECOND // 2


def registry_of(names: str) -> EndpointRegistry:
    known = EndpointRegistry(["a", "b"])
    known.apply(
        EndpointListUpdate(
            1, True, [EndpointEntry(name, "127.0.0.1", 1, "a", 0, 1.0, True, False, 0) for name in names]
        )
    )
    return known
