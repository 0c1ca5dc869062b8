"""Endpoint lists and instance counts of a thousand and more, also with low connection limits."""

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
from cressrail.proxy import commands
from tests.proxy.support import ProxyDriver
from tests.support.configuration import SECOND, SIDECAR_CONFIGURATION, endpoint_entry
from tests.wirehost.support import BORN, LIST_UPDATE, REQUEST, replies_to

SIZES = (1023, 1024, 1025, 3000)


def endpoint_list(
    first: int, count: int, revision: int = 5, is_complete: bool = True, **changes: Any
) -> dict[str, Any]:
    return {
        "revision": revision,
        "complete": is_complete,
        "members": [
            endpoint_entry(
                f"s-{number:08x}",
                1024 + number % 60_000,
                locality="ab"[number % 2],
                cell=number // 4,
                **changes,
            )
            for number in range(first, first + count)
        ],
    }


def endpoints_by_zone(driver: ProxyDriver) -> list[int]:
    return [len(subset.endpoints) for subset in driver.state_machine.load_balancer.zone_subsets]


@pytest.mark.parametrize("size", SIZES)
def test_long_list_is_parsed_from_pieces_updated_and_handed_over(size: int) -> None:
    text, sink, lines = json.dumps(endpoint_list(0, size)).encode() + b"\n", WatchLines(), []
    for start in range(0, len(text), 1000):
        sink.append(memoryview(text[start : start + 1000]))
        lines += sink.take_documents()
    driver = ProxyDriver(0)
    driver.commands += driver.state_machine.on_endpoint_list(0, parse_update_line(lines[0]))
    assert sum(endpoints_by_zone(driver)) == size == len(driver.state_machine.registry.endpoints)
    half = size // 2
    for now, change in enumerate(
        (
            endpoint_list(0, half, 6, False, phase="draining"),
            endpoint_list(size, half, 7, False),
            endpoint_list(0, half, 8, False, phase="removed"),
        )
    ):
        driver.commands += driver.state_machine.on_endpoint_list(now, parse_update(change))
        assert sum(endpoints_by_zone(driver)) == (size - half, size, size)[now]
    load_balancer = driver.state_machine.load_balancer
    assert len(load_balancer.endpoints) == size == len(driver.state_machine.registry.endpoints)
    assert all(
        sum(endpoint.is_in_subset for endpoint in subset.endpoints)
        == len(subset.in_use)
        == subset.target_size
        for subset in load_balancer.zone_subsets
    )
    assert f"app_cluster_size {size}\n" in driver.state_machine.admin_calls.counters_text(SECOND).decode()
    load_balancer.endpoints[size].limit = 1.25
    frames, successor = FrameReader(), ProxyDriver(0)
    frames.feed(encode_frame(FrameKind.STATE, driver.state_machine.hand_over(SECOND)[0]))
    frame = frames.next_frame()
    assert frame is not None
    successor.state_machine.on_endpoint_list(SECOND, parse_update(driver.state_machine.endpoint_list()))
    handover_state.restore(
        frame[1], successor.state_machine.load_balancer, successor.state_machine.registry.names(), SECOND
    )
    assert sum(endpoints_by_zone(successor)) == size
    assert [endpoint.limit for endpoint in successor.state_machine.load_balancer.endpoints.values()].count(
        1.25
    ) == 1


@pytest.mark.parametrize("size", SIZES)
def test_partial_update_equals_complete_update(size: int) -> None:
    partly_updated, wholly_updated = ProxyDriver(0), ProxyDriver(0)
    partly_updated.state_machine.on_endpoint_list(0, parse_update(endpoint_list(0, size)))
    wholly_updated.state_machine.on_endpoint_list(0, parse_update(endpoint_list(0, size)))
    moved = endpoint_list(size - 9, 9, 6, False)["members"]
    for number, entry in enumerate(moved):
        entry.update(locality="ba"[number % 2], size=2.0, phase="up" if number % 3 else "draining")
    partly_updated.state_machine.on_endpoint_list(
        1, parse_update({"revision": 6, "complete": False, "members": moved})
    )
    whole = endpoint_list(0, size - 9, 6)
    whole["members"] += moved
    wholly_updated.state_machine.on_endpoint_list(1, parse_update(whole))
    for partly, wholly in zip(
        partly_updated.state_machine.load_balancer.zone_subsets,
        wholly_updated.state_machine.load_balancer.zone_subsets,
        strict=True,
    ):
        assert [endpoint.index for endpoint in partly.endpoints] == [
            endpoint.index for endpoint in wholly.endpoints
        ]
        assert [endpoint.index for endpoint in partly.in_use] == [
            endpoint.index for endpoint in wholly.in_use
        ]
        assert (
            partly.total_scale,
            partly.scale_in_use,
            partly.sharing_instances,
            partly.limit,
        ) == pytest.approx((wholly.total_scale, wholly.scale_in_use, wholly.sharing_instances, wholly.limit))


@pytest.mark.parametrize(
    ("endpoints", "connections", "max_opened"), [(1024, 84, 60), (3000, 84, 60), (12, 84, 12)]
)
def test_connection_limit_below_endpoint_count_causes_no_churn(
    endpoints: int, connections: int, max_opened: int
) -> None:
    driver = ProxyDriver(0, max_clients=40, max_endpoint_connections=connections)
    load_balancer = driver.state_machine.load_balancer
    load_balancer.table.max_connections, load_balancer.table.instance_count = connections, 33.0
    driver.pool = BufferPool(10_000)
    driver.state_machine.on_endpoint_list(0, parse_update(endpoint_list(0, endpoints)))
    opened = 0
    for client in range(3000):
        now = SECOND + client * 5000
        driver.connect_client(client, now)
        driver.send_request(client, now=now)
        for command in driver.take_commands(commands.SendAttempt):
            opened += command.is_new_connection
            driver.finish_attempt(command, Outcome.SUCCEEDED, now + 1000)
        driver.commands += driver.state_machine.on_client_closed(now + 2000, client)
    assert not [
        log_event
        for log_event in driver.take_commands(commands.LogEvent)
        if log_event.event == "connection_limit_reached"
    ]
    assert not driver.take_commands(commands.CloseEndpointConnection)
    assert opened <= max_opened
    assert len(driver.state_machine.connections.open) <= connections


@pytest.mark.parametrize(
    ("instances", "message"),
    [
        (1024, ""),
        (4096, ""),
        (0, "n_instances is below 1: 0"),
        (-3, "n_instances is below 1: -3"),
        (1.5, "n_instances is not a whole number: 1.5"),
    ],
)
def test_instance_count_is_validated(instances: float, message: str) -> None:
    config = copy.deepcopy(SIDECAR_CONFIGURATION)
    config["known"] = endpoint_list(0, 1024)
    config["settings"]["n_instances"] = instances
    start = parse_configuration(config, {})
    if message:
        with pytest.raises(ConfigurationError, match=message):
            policy_factory.build_load_balancer(start.settings, 5, 0, ["a", "b"], [])
        return
    load_balancer = policy_factory.build_load_balancer(start.settings, 5, 0, ["a", "b"], [])
    assert load_balancer.table.instance_count == instances
    assert len(start.known_endpoints.entries) == 1024


def test_overlong_line_is_rejected_and_duplicate_name_counts_as_one_endpoint() -> None:
    lines = WatchLines()
    for _ in range(MAX_DOCUMENT_BYTES // 1000):
        lines.append(memoryview(b"x" * 1000))
    with pytest.raises(MalformedMessageError):
        lines.append(memoryview(b"x" * 1000))
    driver = ProxyDriver(0)
    twice = endpoint_list(0, 1024)
    twice["members"] += twice["members"][:9]
    driver.state_machine.on_endpoint_list(0, parse_update(twice))
    assert sum(endpoints_by_zone(driver)) == 1024


def test_adapter_accepts_long_list() -> None:
    items = "".join(
        f"ITEM failure_domain=a endpoint=10.0.{n // 250}.{n % 250}:80 condition=on\n" for n in range(3000)
    )
    replies = replies_to(BORN, f"INVENTORY slot=0 nodes_list=3000\n{items}{LIST_UPDATE}", REQUEST)
    assert replies[0].startswith("ISSUE i=sidecar/0 xid=t1")
