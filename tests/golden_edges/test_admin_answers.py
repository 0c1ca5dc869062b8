"""Golden tests of the responses of the admin address and of /_health, from sidecar processes."""

from __future__ import annotations

import json
import re
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.golden_edges.processes import Process, free_port, make_configuration
from tests.golden_edges.stored import assert_matches_stored

KEY = "5a" * 32


@pytest.fixture
def sidecar(tmp_path: Path) -> Iterator[Process]:
    process = Process(tmp_path, make_configuration())
    yield process
    process.kill()


@pytest.fixture
def pair(tmp_path: Path) -> Iterator[list[Process]]:
    """Two sidecars in different zones, with membership and failover between them."""
    (tmp_path / "keys").write_text(KEY + "\n")
    ports = [free_port(socket.SOCK_DGRAM) for _ in range(2)]
    sidecars = []
    for n, zone in enumerate("ab"):
        config = make_configuration(
            name=f"n{n}", failover={"regions": {"r": ["a"], "s": ["b"]}, "way_ms": 30}
        )
        config["membership"] = {
            "listen": f"127.0.0.1:{ports[n]}",
            "seeds": [f"127.0.0.1:{ports[1 - n]}"],
            "keys": "keys",
            "bear_pause_ms": 1500,
            "use": ["copies", "cold", "failing"],
        }
        config["settings"]["zone"] = zone
        sidecars.append(Process(tmp_path, config))
    yield sidecars
    for process in sidecars:
        process.kill()


def has_decided(process: Process) -> bool:
    """Returns whether one of the two sidecars has decided that both zones are serving."""
    zones = process.get_json("/zones")
    states = [zone["state"] for zone in zones["zones"]]
    return zones["decided_by"] in ("n0", "n1") and states == ["serving", "serving"]


def outline(value: Any) -> Any:
    """Replaces ids by "ID" and values other than strings by their types; keeps keys and their order."""
    if isinstance(value, dict):
        return {key: outline(inner) for key, inner in value.items()}
    if isinstance(value, list):
        return [outline(inner) for inner in value]
    if isinstance(value, str):
        return "ID" if re.fullmatch("[0-9a-f]{16}", value) else value
    return type(value).__name__


def outlined(response: bytes) -> dict[str, Any]:
    """Returns the head and the outline of a JSON response; in the head, "N" replaces the varying length."""
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


def test_control_calls_and_other_targets(sidecar: Process) -> None:
    sidecar.wait_until(sidecar.is_ready)
    found: dict[str, Any] = {}

    def record(name: str, response: bytes) -> None:
        found[f"{len(found)} {name}"] = response.decode("latin-1")

    calls = ("ready", "counters", "out-of-service", "in-service")
    record("health", sidecar.call("GET", "/_health", "listen"))
    for call, method in zip(calls, ("GET", "GET", "POST", "POST"), strict=True):
        record(f"{method} {call}", sidecar.call(method, f"/control/{call}"))
        record("then ready", sidecar.call("GET", "/control/ready"))
        record("then health", sidecar.call("GET", "/_health", "listen"))
    for call in calls:
        for method in ("GET", "POST", "PUT", "HEAD", "DELETE"):
            record(f"{method} {call}", sidecar.call(method, f"/control/{call}?a=b"))
    for target in ("/", "/control", "/control/", "/control/ready/", "/_health", "/membership", "/zones"):
        record(f"GET {target}", sidecar.call("GET", target))
    for data in (
        b"nonsense\r\n\r\n",
        b"GET / HTTP/2.0\r\n\r\n",
        b"GET / HTTP/1.1\r\nbad\r\n\r\n",
        b"x" * 9000,
    ):
        record(repr(data[:30]), sidecar.send(data))
    record("1.0", sidecar.send(b"GET /control/ready HTTP/1.0\r\n\r\n"))
    assert_matches_stored(found, "admin_answers.json")


def test_names_of_counters(sidecar: Process) -> None:
    sidecar.wait_until(sidecar.is_ready)
    body = sidecar.call("GET", "/control/counters").partition(b"\r\n\r\n")[2].decode()
    assert_matches_stored(
        {"figures": [line.rpartition(" ")[0] for line in body.splitlines()]}, "counters.json"
    )


def test_membership_and_zones(pair: list[Process]) -> None:
    first, second = pair
    for process in pair:
        process.wait_until(process.is_ready)
    for process in pair:
        process.wait_until(lambda p=process: (p.get_json("/membership") or {}).get("alive") == 2)  # type: ignore[misc]
        process.wait_until(lambda p=process: p.get_json("/membership")["settled"])  # type: ignore[misc]
        process.wait_until(lambda p=process: has_decided(p))  # type: ignore[misc]
    first.wait_until(
        lambda: first.get_json("/zones")["decided_by"] == second.get_json("/zones")["decided_by"]
    )
    leader_name = first.get_json("/zones")["decided_by"]
    leader = first if first.config["name"] == leader_name else second
    found: dict[str, Any] = {"/membership": outlined(first.call("GET", "/membership"))}

    def without_leader_name(answer: dict[str, Any]) -> dict[str, Any]:
        text = json.dumps(answer).replace(f'"{leader_name}"', '"DECIDES"')
        return dict(json.loads(text))

    found["/zones"] = without_leader_name(outlined(first.call("GET", "/zones")))
    explained = outlined(leader.call("GET", "/zones/explain?zone=b"))
    rows = [{**row, "sidecar": "NAME", "zone": "ZONE"} for row in explained["body"]]
    assert rows
    assert all(list(row.items()) == list(rows[0].items()) for row in rows)
    found["/zones/explain"] = {**explained, "body": rows[:1]}
    for zone in ("b", "c", ""):
        for path in ("drain", "undrain", "explain", "other"):
            for method in ("POST", "GET"):
                is_drain = (path, method, zone) == ("drain", "POST", "b")
                for query in ("", "&for_s=60", "&for_s=0", "&for_s=43201", "&for_s=x") if is_drain else ("",):
                    target = f"/zones/{path}?zone={zone}{query}"
                    if path != "explain" or method != "GET" or zone != "b":
                        found[f"{method} {target}"] = first.call(method, target).decode()
    for target in ("/membership", "/zones", "/membership/", "/zonesx", "/membership?a=b", "/zones?a=b"):
        for method in ("GET", "POST", "PUT"):
            response = first.call(method, target)
            if not response.startswith(b"HTTP/1.1 200 "):
                found[f"{method} {target}"] = response.decode()
    assert_matches_stored(found, "membership_and_zones.json")
