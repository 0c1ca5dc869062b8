"""Pins of `python -m cressrail check FILE`: the exit status, and the setting that the message names.

The words around it may improve; the stored file holds only these two.
"""

from __future__ import annotations

import copy
import json
import os
import re
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from tests.golden_edges.stored import DATA
from tests.support.configuration import SIDECAR_CONFIGURATION, mesh_configuration

HERE = Path(__file__).resolve().parents[2]
GONE = object()
TALK = {"listen": "127.0.0.1:7946", "seeds": ["127.0.0.1:7947"], "keys": "keys"}
ZONES = {"regions": {"n": ["a"], "s": ["b"]}, "way_ms": 30}


def put(config: dict[str, Any], at: str, value: Any) -> dict[str, Any]:
    *way, last = at.split(".")
    inner: Any = config
    for name in way:
        inner = inner[int(name)] if isinstance(inner, list) else inner[name]
    if value is GONE:
        del inner[last]
    else:
        inner[last] = value
    return config


def changed(at: str, value: Any, base: dict[str, Any] = SIDECAR_CONFIGURATION) -> dict[str, Any]:
    return put(copy.deepcopy(base), at, value)


def talking(at: str = "", value: Any = None, **parts: Any) -> dict[str, Any]:
    config = copy.deepcopy(SIDECAR_CONFIGURATION) | {"membership": copy.deepcopy(TALK)} | copy.deepcopy(parts)
    return put(config, at, value) if at else config


CASES: dict[str, Any] = {
    "good": SIDECAR_CONFIGURATION,
    "good mesh": mesh_configuration(),
    "good, talks": talking(),
    "good, zones": talking(failover=ZONES),
    "not JSON": "{",
    "no object": "[]",
    "no file": None,
    "no settings": changed("settings", GONE),
    "no name": changed("name", GONE),
    "no listen": changed("listen", GONE),
    "listen": changed("listen", "here"),
    "listen out of range": changed("listen", "127.0.0.1:70000"),
    "no discovery": changed("discovery", GONE),
    "discovery": changed("discovery", "127.0.0.1"),
    "no seed": changed("seed", GONE),
    "seed": changed("seed", "xyz"),
    "ops": changed("ops", "here"),
    "ops is listen": changed("ops", SIDECAR_CONFIGURATION["listen"]),
    "sockets": changed("limits.sockets", "many"),
    "few sockets": changed("limits.sockets", 3),
    "memory": changed("limits.memory_mb", 1),
    "known": changed("known", []),
    "no profiles": changed("settings.profiles", []),
    "profile without name": changed("settings.profiles.0.name", GONE),
    "repeat": changed("settings.profiles.0.repeat", "often"),
    "key scope": changed("settings.profiles.1.key_scope", "town"),
    "no window": changed("settings.profiles.1.window_us", GONE),
    "hard limit": changed("settings.profiles.2.hard_limit_us", 0),
    "goal": changed("settings.profiles.0.service_goal_us", "soon"),
    "overdue": changed("settings.profiles.0.overdue_revenue", 2),
    "basis": changed("settings.revenue_basis", "day"),
    "mode": changed("settings.membership_mode", "none"),
    "stage": changed("settings.stage", 7),
    "zone": changed("settings.zone", "nowhere"),
    "no tiers": changed("settings.tiers", GONE),
    "round": changed("settings.round_us", 0),
    "instances": changed("settings.n_instances", 0),
    "slot": changed("settings.slot_no", -1),
    "surplus": changed("settings.surplus_revenue", 2),
    "allowance": changed("settings.tenants.0.allowance_per_s", -1),
    "cold from": changed("settings.contract.cold_from", 7),
    "warm within": changed("settings.contract.warm_within_us", 0),
    "fall multiple": changed("settings.contract.fall_multiple", 0),
    "fall": changed("settings.contract.fall_us", 0),
    "idle": changed("settings.limits.conn_idle_us", 0),
    "connect": changed("settings.limits.connect_timeout_us", GONE),
    "hops": changed("settings.limits.most_hops", 0),
    "cancel": changed("settings.limits.may_cancel", "perhaps"),
    "probes": changed("settings.limits.probes", 7),
    "type": changed("settings.domain_type", "ring"),
    "chain with multiplex": changed("settings.limits.multiplex", 100),
    "mesh without multiplex": changed("settings.limits.multiplex", GONE, mesh_configuration()),
    "mesh of one stream": changed("settings.limits.multiplex", 1, mesh_configuration()),
    "mesh of two tiers": changed("settings.tiers", ["x", "y"], mesh_configuration()),
    "mesh with a stage": changed("settings.stage", 1, mesh_configuration()),
    "membership": talking(membership=7),
    "membership, no file": talking(membership="none.toml"),
    "membership, listen": talking("membership.listen", "here:1"),
    "membership, no listen": talking("membership.listen", GONE),
    "membership, advertise": talking("membership.advertise", "0.0.0.0:7946"),
    "membership, key unknown": talking("membership.seed", []),
    "membership, seeds": talking("membership.seeds", "127.0.0.1:7947"),
    "membership, a seed": talking("membership.seeds", ["127.0.0.1:7947", "a:b"]),
    "membership, no keys": talking("membership.keys", GONE),
    "membership, keys' file": talking("membership.keys", "none"),
    "membership, bytes": talking("membership.most_bytes", 9000),
    "membership, bytes few": talking("membership.most_bytes", 100),
    "membership, pause": talking("membership.bear_pause_ms", 1),
    "membership, pause long": talking("membership.bear_pause_ms", 700_000),
    "membership, zone": talking("membership.zone", ""),
    "membership, use": talking("membership.use", ["copies", "all"]),
    "failover alone": changed("failover", ZONES),
    "failover": talking(failover=7),
    "failover, no file": talking(failover="none.toml"),
    "failover, key unknown": talking(failover={"ways": 1}),
    "failover, regions": talking(failover={"regions": ["a"]}),
    "failover, zone unknown": talking(failover={"regions": {"n": ["a", "b", "c"]}}),
    "failover, zone twice": talking(failover={"regions": {"n": ["a", "b"], "s": ["a"]}}),
    "failover, zone in none": talking(failover={"regions": {"n": ["a"]}}),
    "failover, way": talking(failover={"way_ms": -1}),
}


def checked(file: Path) -> tuple[int, str, str]:
    env = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
    ran = subprocess.run(
        [sys.executable, "-m", "cressrail", "check", str(file)],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        env=env,
        cwd=HERE,
    )
    return ran.returncode, ran.stdout, ran.stderr


STORED: dict[str, Any] = json.loads((DATA / "check.json").read_text())


def names(line: str, path: str) -> bool:
    return re.search(rf"(?<![\w.]){re.escape(path)}(?![\w]|\.\w)", line) is not None


def test_all_stored_cases_are_played() -> None:
    assert list(STORED["faulty"]) == list(CASES)
    assert list(STORED["examples"]) == ["config", "mesh"]


@pytest.mark.parametrize("name", CASES)
def test_configurations(tmp_path: Path, name: str) -> None:
    status, path = STORED["faulty"][name]
    file, given = tmp_path / "config.json", CASES[name]
    (tmp_path / "keys").write_text("5a" * 32 + "\n")
    if given is not None:
        file.write_text(given if isinstance(given, str) else json.dumps(given))
    code, out, err = checked(file)
    assert code == status
    if not status:
        assert not err
        assert str(file) in out
        assert path == ""
        return
    assert not out
    assert err.count("\n") == 1
    assert err.endswith("\n")
    message = err.replace(str(tmp_path), "FOLDER")
    assert names(message, path), message


@pytest.mark.parametrize("name", ["config", "mesh"])
def test_examples(name: str) -> None:
    status, words = STORED["examples"][name]
    code, out, err = checked(HERE / "example" / f"{name}.json")
    assert code == status
    assert not err
    for word in words:
        assert names(out, word), word
