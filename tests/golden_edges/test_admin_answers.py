"""Pins of what is answered at the operators' address, and to /_health, by whole processes."""

from __future__ import annotations

import json
import re
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.golden_edges.processes import Process, configured, free_port
from tests.golden_edges.stored import hold

KEY = "5a" * 32


@pytest.fixture
def alone(tmp_path: Path) -> Iterator[Process]:
    process = Process(tmp_path, configured())
    yield process
    process.end()


@pytest.fixture
def pair(tmp_path: Path) -> Iterator[list[Process]]:
    """Two that talk and decide on zones in common, one in each zone."""
    (tmp_path / "keys").write_text(KEY + "\n")
    ports = [free_port(socket.SOCK_DGRAM) for _ in range(2)]
    made = []
    for n, zone in enumerate("ab"):
        config = configured(name=f"n{n}", failover={"regions": {"r": ["a"], "s": ["b"]}, "way_ms": 30})
        config["membership"] = {
            "listen": f"127.0.0.1:{ports[n]}",
            "seeds": [f"127.0.0.1:{ports[1 - n]}"],
            "keys": "keys",
            "bear_pause_ms": 1500,
            "use": ["copies", "cold", "failing"],
        }
        config["settings"]["zone"] = zone
        made.append(Process(tmp_path, config))
    yield made
    for process in made:
        process.end()


def decided(process: Process) -> bool:
    """Whether both zones serve by a decision of one that has a name."""
    zones = process.get_json("/zones")
    states = [zone["state"] for zone in zones["zones"]]
    return zones["decided_by"] in ("n0", "n1") and states == ["serving", "serving"]


def outline(value: Any) -> Any:
    """Keys at each level in their order, and kinds of values; words stand as they are, but for ids."""
    if isinstance(value, dict):
        return {key: outline(inner) for key, inner in value.items()}
    if isinstance(value, list):
        return [outline(inner) for inner in value]
    if isinstance(value, str):
        return "ID" if re.fullmatch("[0-9a-f]{16}", value) else value
    return type(value).__name__


def outlined(response: bytes) -> dict[str, Any]:
    """An answer with a body of JSON; the length of the body goes by its figures."""
    head, _, body = response.partition(b"\r\n\r\n")
    assert b"content-length: %d\r\n" % len(body) in head + b"\r\n"
    assert body.endswith(b"\n")
    assert body.count(b"\n") == 1
    assert b'": ' not in body
    assert b', "' not in body
    assert b", {" not in body
    return {
        "head": re.sub(r"(content-length: )\d+", r"\1N", head.decode()),
        "body": outline(json.loads(body)),
    }


def test_the_four_calls_and_the_rest(alone: Process) -> None:
    alone.until(alone.ready)
    found: dict[str, Any] = {}

    def note(name: str, response: bytes) -> None:
        found[f"{len(found)} {name}"] = response.decode("latin-1")

    calls = ("ready", "counters", "out-of-service", "in-service")
    note("health", alone.call("GET", "/_health", "listen"))
    for call, method in zip(calls, ("GET", "GET", "POST", "POST"), strict=True):
        note(f"{method} {call}", alone.call(method, f"/control/{call}"))
        note("then ready", alone.call("GET", "/control/ready"))
        note("then health", alone.call("GET", "/_health", "listen"))
    for call in calls:
        for method in ("GET", "POST", "PUT", "HEAD", "DELETE"):
            note(f"{method} {call}", alone.call(method, f"/control/{call}?a=b"))
    for target in ("/", "/control", "/control/", "/control/ready/", "/_health", "/membership", "/zones"):
        note(f"GET {target}", alone.call("GET", target))
    for text in (
        b"nonsense\r\n\r\n",
        b"GET / HTTP/2.0\r\n\r\n",
        b"GET / HTTP/1.1\r\nbad\r\n\r\n",
        b"x" * 9000,
    ):
        note(repr(text[:30]), alone.send(text))
    note("1.0", alone.send(b"GET /control/ready HTTP/1.0\r\n\r\n"))
    hold(found, "admin_answers.json")


def test_figures_of_counters(alone: Process) -> None:
    alone.until(alone.ready)
    body = alone.call("GET", "/control/counters").partition(b"\r\n\r\n")[2].decode()
    hold({"figures": [line.rpartition(" ")[0] for line in body.splitlines()]}, "counters.json")


def test_membership_and_zones(pair: list[Process]) -> None:
    one, other = pair
    for process in pair:
        process.until(process.ready)
    for process in pair:
        process.until(lambda p=process: (p.get_json("/membership") or {}).get("alive") == 2)  # type: ignore[misc]
        process.until(lambda p=process: p.get_json("/membership")["settled"])  # type: ignore[misc]
        process.until(lambda p=process: decided(p))  # type: ignore[misc]
    one.until(lambda: one.get_json("/zones")["decided_by"] == other.get_json("/zones")["decided_by"])
    decides = one.get_json("/zones")["decided_by"]
    by = one if one.config["name"] == decides else other
    found: dict[str, Any] = {"/membership": outlined(one.call("GET", "/membership"))}

    def neutral(answer: dict[str, Any]) -> dict[str, Any]:
        text = json.dumps(answer).replace(f'"{decides}"', '"DECIDES"')
        return dict(json.loads(text))

    found["/zones"] = neutral(outlined(one.call("GET", "/zones")))
    explained = outlined(by.call("GET", "/zones/explain?zone=b"))
    rows = [{**row, "sidecar": "NAME", "zone": "ZONE"} for row in explained["body"]]
    assert rows
    assert all(list(row.items()) == list(rows[0].items()) for row in rows)
    found["/zones/explain"] = {**explained, "body": rows[:1]}
    for zone in ("b", "c", ""):
        for path in ("drain", "undrain", "explain", "other"):
            for method in ("POST", "GET"):
                drains = (path, method, zone) == ("drain", "POST", "b")
                for query in ("", "&for_s=60", "&for_s=0", "&for_s=43201", "&for_s=x") if drains else ("",):
                    target = f"/zones/{path}?zone={zone}{query}"
                    if path != "explain" or method != "GET" or zone != "b":
                        found[f"{method} {target}"] = one.call(method, target).decode()
    for target in ("/membership", "/zones", "/membership/", "/zonesx", "/membership?a=b", "/zones?a=b"):
        for method in ("GET", "POST", "PUT"):
            response = one.call(method, target)
            if not response.startswith(b"HTTP/1.1 200 "):
                found[f"{method} {target}"] = response.decode()
    hold(found, "membership_and_zones.json")
