"""Lists of a thousand endpoints and more, and as many instances, some with few connections."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest

from cressrail.buffers.pool import BufferPool
from cressrail.configuration import policy_factory
from cressrail.configuration.settings_reader import ConfigurationError
from cressrail.configuration.startup import parse_configuration
from cressrail.discovery.endpoint_list import parse_update, parse_update_line
from cressrail.discovery.watch_lines import MAX_DOCUMENT_BYTES, WatchLines
from cressrail.handover import state as handover_state
from cressrail.handover.frame import FrameKind, FrameReader, encode_frame
from cressrail.http1.errors import MalformedMessageError
from cressrail.policy.outcome import Outcome
from cressrail.proxy import commands as do
from tests.proxy.support import ProxyDriver
from tests.support.configuration import SECOND, SIDECAR_CONFIGURATION, endpoint_entry
from tests.wirehost.support import BORN, LIST_UPDATE, REQUEST, replies_to

SIZES = (1023, 1024, 1025, 3000)


def listed(first: int, n: int, revision: int = 5, complete: bool = True, **change: Any) -> dict[str, Any]:
    return {
        "revision": revision,
        "complete": complete,
        "members": [
            endpoint_entry(f"s-{k:08x}", 1024 + k % 60_000, locality="ab"[k % 2], cell=k // 4, **change)
            for k in range(first, first + n)
        ],
    }


def at_work(driver: ProxyDriver) -> list[int]:
    return [len(group.endpoints) for group in driver.state_machine.load_balancer.zone_subsets]


@pytest.mark.parametrize("n", SIZES)
def test_long_list_arrives_in_pieces_changes_and_is_handed_over(n: int) -> None:
    text, sink, lines = json.dumps(listed(0, n)).encode() + b"\n", WatchLines(), []
    for at in range(0, len(text), 1000):
        sink.append(memoryview(text[at : at + 1000]))
        lines += sink.take_documents()
    driver = ProxyDriver(0)
    driver.commands += driver.state_machine.on_endpoint_list(0, parse_update_line(lines[0]))
    assert sum(at_work(driver)) == n == len(driver.state_machine.registry.endpoints)
    half = n // 2
    for k, change in enumerate(
        (
            listed(0, half, 6, False, phase="draining"),
            listed(n, half, 7, False),
            listed(0, half, 8, False, phase="removed"),
        )
    ):
        driver.commands += driver.state_machine.on_endpoint_list(k, parse_update(change))
        assert sum(at_work(driver)) == (n - half, n, n)[k]
    load_balancer = driver.state_machine.load_balancer
    assert len(load_balancer.endpoints) == n == len(driver.state_machine.registry.endpoints)
    assert all(
        sum(e.is_in_subset for e in g.endpoints) == len(g.in_use) == g.target_size
        for g in load_balancer.zone_subsets
    )
    assert f"app_cluster_size {n}\n" in driver.state_machine.admin_calls.counters_text(SECOND).decode()
    load_balancer.endpoints[n].limit = 1.25
    frames, successor = FrameReader(), ProxyDriver(0)
    frames.feed(encode_frame(FrameKind.STATE, driver.state_machine.hand_over(SECOND)[0]))
    got = frames.next_frame()
    assert got is not None
    successor.state_machine.on_endpoint_list(SECOND, parse_update(driver.state_machine.endpoint_list()))
    handover_state.restore(
        got[1], successor.state_machine.load_balancer, successor.state_machine.registry.names(), SECOND
    )
    assert sum(at_work(successor)) == n
    assert [e.limit for e in successor.state_machine.load_balancer.endpoints.values()].count(1.25) == 1


@pytest.mark.parametrize("n", SIZES)
def test_partial_update_equals_complete_update(n: int) -> None:
    one, other = ProxyDriver(0), ProxyDriver(0)
    one.state_machine.on_endpoint_list(0, parse_update(listed(0, n)))
    other.state_machine.on_endpoint_list(0, parse_update(listed(0, n)))
    moved = listed(n - 9, 9, 6, False)["members"]
    for k, row in enumerate(moved):
        row.update(locality="ba"[k % 2], size=2.0, phase="up" if k % 3 else "draining")
    one.state_machine.on_endpoint_list(1, parse_update({"revision": 6, "complete": False, "members": moved}))
    whole = listed(0, n - 9, 6)
    whole["members"] += moved
    other.state_machine.on_endpoint_list(1, parse_update(whole))
    for a, b in zip(
        one.state_machine.load_balancer.zone_subsets,
        other.state_machine.load_balancer.zone_subsets,
        strict=True,
    ):
        assert [e.index for e in a.endpoints] == [e.index for e in b.endpoints]
        assert [e.index for e in a.in_use] == [e.index for e in b.in_use]
        assert (a.total_scale, a.scale_in_use, a.sharing_instances, a.limit) == pytest.approx(
            (b.total_scale, b.scale_in_use, b.sharing_instances, b.limit)
        )


@pytest.mark.parametrize(
    ("endpoints", "connections", "dearest"), [(1024, 84, 60), (3000, 84, 60), (12, 84, 12)]
)
def test_connection_limit_below_endpoint_count_causes_no_churn(
    endpoints: int, connections: int, dearest: int
) -> None:
    driver = ProxyDriver(0, max_clients=40, max_endpoint_connections=connections)
    load_balancer = driver.state_machine.load_balancer
    load_balancer.table.max_connections, load_balancer.table.instance_count = connections, 33.0
    driver.pool = BufferPool(10_000)
    driver.state_machine.on_endpoint_list(0, parse_update(listed(0, endpoints)))
    opened = 0
    for k in range(3000):
        now = SECOND + k * 5000
        driver.connect_client(k, now)
        driver.send_request(k, now=now)
        for command in driver.take_commands(do.SendAttempt):
            opened += command.is_new_connection
            driver.finish_attempt(command, Outcome.SUCCEEDED, now + 1000)
        driver.commands += driver.state_machine.on_client_closed(now + 2000, k)
    assert not [
        note for note in driver.take_commands(do.LogEvent) if note.event == "connection_limit_reached"
    ]
    assert not driver.take_commands(do.CloseEndpointConnection)
    assert opened <= dearest
    assert len(driver.state_machine.connections.open) <= connections


@pytest.mark.parametrize(
    ("instances", "wrong"),
    [
        (1024, ""),
        (4096, ""),
        (0, "n_instances is below 1: 0"),
        (-3, "n_instances is below 1: -3"),
        (1.5, "n_instances is not a whole number: 1.5"),
    ],
)
def test_instance_count_is_validated(instances: float, wrong: str) -> None:
    config = copy.deepcopy(SIDECAR_CONFIGURATION)
    config["known"] = listed(0, 1024)
    config["settings"]["n_instances"] = instances
    start = parse_configuration(config, {})
    if wrong:
        with pytest.raises(ConfigurationError, match=wrong):
            policy_factory.build_load_balancer(start.settings, 5, 0, ["a", "b"], [])
        return
    load_balancer = policy_factory.build_load_balancer(start.settings, 5, 0, ["a", "b"], [])
    assert load_balancer.table.instance_count == instances
    assert len(start.known_endpoints.entries) == 1024


def test_overlong_line_is_refused_and_duplicate_id_is_one_endpoint() -> None:
    lines = WatchLines()
    for _ in range(MAX_DOCUMENT_BYTES // 1000):
        lines.append(memoryview(b"x" * 1000))
    with pytest.raises(MalformedMessageError):
        lines.append(memoryview(b"x" * 1000))
    driver = ProxyDriver(0)
    twice = listed(0, 1024)
    twice["members"] += twice["members"][:9]
    driver.state_machine.on_endpoint_list(0, parse_update(twice))
    assert sum(at_work(driver)) == 1024


def test_adapter_takes_long_list() -> None:
    rows = "".join(
        f"ITEM failure_domain=a endpoint=10.0.{n // 250}.{n % 250}:80 condition=on\n" for n in range(3000)
    )
    said = replies_to(BORN, f"INVENTORY slot=0 nodes_list=3000\n{rows}{LIST_UPDATE}", REQUEST)
    assert said[0].startswith("ISSUE i=sidecar/0 xid=t1")
