"""Lists of a thousand endpoints and more, and as many copies: read, kept, changed by half, handed over, and
served with fewer connections than endpoints."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest

from cressrail.buffers.pool import Pool
from cressrail.configuration import policy_factory
from cressrail.configuration.settings_reader import ConfigurationError
from cressrail.configuration.startup import parse_configuration
from cressrail.discovery.endpoint_list import read, read_line
from cressrail.handover import state as estate
from cressrail.handover.frame import Frames, wrap
from cressrail.http1.head import MalformedMessageError
from cressrail.network.discovery_watch import MOST_LINE, LinesSink
from cressrail.policy.outcome import Outcome
from cressrail.proxy import commands as do
from tests.helpers import CONFIG, SECOND, member
from tests.proxy.support import Front
from tests.wirehost.support import BORN, LIST_UPDATE, REQUEST, replies_to

SIZES = (1023, 1024, 1025, 3000)


def listed(first: int, n: int, revision: int = 5, complete: bool = True, **change: Any) -> dict[str, Any]:
    return {
        "revision": revision,
        "complete": complete,
        "members": [
            member(f"s-{k:08x}", 1024 + k % 60_000, locality="ab"[k % 2], cell=k // 4, **change)
            for k in range(first, first + n)
        ],
    }


def at_work(front: Front) -> list[int]:
    return [len(group.endpoints) for group in front.reducer.load_balancer.zone_subsets]


@pytest.mark.parametrize("n", SIZES)
def test_a_long_list_comes_in_pieces_changes_by_half_and_is_handed_over(n: int) -> None:
    text, sink, lines = json.dumps(listed(0, n)).encode() + b"\n", LinesSink(), []
    for at in range(0, len(text), 1000):
        sink.add(memoryview(text[at : at + 1000]))
        lines += sink.lines()
    front = Front(0)
    front.told += front.reducer.on_endpoint_list(0, read_line(lines[0]))
    assert sum(at_work(front)) == n == len(front.reducer.registry.endpoints)
    half = n // 2
    for k, change in enumerate(
        (
            listed(0, half, 6, False, phase="draining"),
            listed(n, half, 7, False),
            listed(0, half, 8, False, phase="removed"),
        )
    ):
        front.told += front.reducer.on_endpoint_list(k, read(change))
        assert sum(at_work(front)) == (n - half, n, n)[k]
    side = front.reducer.load_balancer
    assert len(side.endpoints) == n == len(front.reducer.registry.endpoints)
    assert all(
        sum(e.is_in_subset for e in g.endpoints) == len(g.in_use) == g.target_size for g in side.zone_subsets
    )
    assert f"app_cluster_size {n}\n" in front.reducer.admin_calls.counters_text(SECOND).decode()
    side.endpoints[n].limit = 1.25
    frames, heir = Frames(), Front(0)
    frames.add(wrap("estate", front.reducer.hand_over(SECOND)[0]))
    got = frames.next()
    assert got is not None
    heir.reducer.on_endpoint_list(SECOND, read(front.reducer.endpoint_list()))
    estate.restore(got[1], heir.reducer.load_balancer, heir.reducer.registry.names(), SECOND)
    assert sum(at_work(heir)) == n
    assert [e.limit for e in heir.reducer.load_balancer.endpoints.values()].count(1.25) == 1


@pytest.mark.parametrize("n", SIZES)
def test_news_of_part_of_a_list_leave_what_news_of_it_whole_would(n: int) -> None:
    one, other = Front(0), Front(0)
    one.reducer.on_endpoint_list(0, read(listed(0, n)))
    other.reducer.on_endpoint_list(0, read(listed(0, n)))
    moved = listed(n - 9, 9, 6, False)["members"]
    for k, row in enumerate(moved):
        row.update(locality="ba"[k % 2], size=2.0, phase="up" if k % 3 else "draining")
    one.reducer.on_endpoint_list(1, read({"revision": 6, "complete": False, "members": moved}))
    whole = listed(0, n - 9, 6)
    whole["members"] += moved
    other.reducer.on_endpoint_list(1, read(whole))
    for a, b in zip(
        one.reducer.load_balancer.zone_subsets, other.reducer.load_balancer.zone_subsets, strict=True
    ):
        assert [e.index for e in a.endpoints] == [e.index for e in b.endpoints]
        assert [e.index for e in a.in_use] == [e.index for e in b.in_use]
        assert (a.total_scale, a.scale_in_use, a.sharing_instances, a.limit) == pytest.approx(
            (b.total_scale, b.scale_in_use, b.sharing_instances, b.limit)
        )


@pytest.mark.parametrize("endpoints, links, dearest", [(1024, 84, 60), (3000, 84, 60), (12, 84, 12)])
def test_fewer_connections_than_endpoints_are_not_closed_and_opened_by_turns(
    endpoints: int, links: int, dearest: int
) -> None:
    front = Front(0, clients=40, links=links)
    side = front.reducer.load_balancer
    side.table.max_connections, side.table.instance_count, front.pool = links, 33.0, Pool(10_000)
    front.reducer.on_endpoint_list(0, read(listed(0, endpoints)))
    opened = 0
    for k in range(3000):
        now = SECOND + k * 5000
        front.came(k, now)
        front.ask(k, now=now)
        for carry in front.all(do.SendAttempt):
            opened += carry.is_new_connection
            front.end(carry, Outcome.SUCCEEDED, now + 1000)
        front.told += front.reducer.on_client_closed(now + 2000, k)
    assert not [note for note in front.all(do.LogEvent) if note.event == "connection_limit_reached"]
    assert not front.all(do.CloseEndpointConnection) and opened <= dearest
    assert len(front.reducer.connections.open) <= links


@pytest.mark.parametrize(
    "copies, wrong",
    [
        (1024, ""),
        (4096, ""),
        (0, "n_instances is below 1: 0"),
        (-3, "n_instances is below 1: -3"),
        (1.5, "n_instances is not a whole number: 1.5"),
    ],
)
def test_as_many_copies_as_there_are(copies: float, wrong: str) -> None:
    config = copy.deepcopy(CONFIG)
    config["known"] = listed(0, 1024)
    config["settings"]["n_instances"] = copies
    start = parse_configuration(config, {})
    if wrong:
        with pytest.raises(ConfigurationError, match=wrong):
            policy_factory.build_load_balancer(start.settings, 5, 0, ["a", "b"], [])
        return
    side = policy_factory.build_load_balancer(start.settings, 5, 0, ["a", "b"], [])
    assert side.table.instance_count == copies and len(start.known_endpoints.entries) == 1024


def test_a_line_beyond_the_longest_is_refused_and_a_doubled_id_is_one_endpoint() -> None:
    sink = LinesSink()
    with pytest.raises(MalformedMessageError):
        for _ in range(MOST_LINE // 1000 + 1):
            sink.add(memoryview(b"x" * 1000))
    front = Front(0)
    twice = listed(0, 1024)
    twice["members"] += twice["members"][:9]
    front.reducer.on_endpoint_list(0, read(twice))
    assert sum(at_work(front)) == 1024


def test_the_adapter_takes_such_a_list() -> None:
    rows = "".join(
        f"ITEM failure_domain=a endpoint=10.0.{n // 250}.{n % 250}:80 condition=on\n" for n in range(3000)
    )
    said = replies_to(BORN, f"INVENTORY slot=0 nodes_list=3000\n{rows}{LIST_UPDATE}", REQUEST)
    assert said[0].startswith("ISSUE i=sidecar/0 xid=t1")
