"""Golden tests of `python -m cressrail check FILE`: its exit status and the setting that its message names.

The stored file holds only these two, so that the wording of the messages may change.
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

ROOT = Path(__file__).resolve().parents[2]
REMOVED = object()  # as a value: the setting is removed
MEMBERSHIP = {"listen": "127.0.0.1:7946", "seeds": ["127.0.0.1:7947"], "keys": "keys"}
FAILOVER = {"regions": {"n": ["a"], "s": ["b"]}, "way_ms": 30}


def set_in_place(config: dict[str, Any], path: str, value: Any) -> dict[str, Any]:
    *parents, last = path.split(".")
    section: Any = config
    for name in parents:
        section = section[int(name)] if isinstance(section, list) else section[name]
    if value is REMOVED:
        del section[last]
    else:
        section[last] = value
    return config


def changed(path: str, value: Any, base: dict[str, Any] = SIDECAR_CONFIGURATION) -> dict[str, Any]:
    return set_in_place(copy.deepcopy(base), path, value)


def with_membership(path: str = "", value: Any = None, **sections: Any) -> dict[str, Any]:
    config = copy.deepcopy(SIDECAR_CONFIGURATION) | {"membership": copy.deepcopy(MEMBERSHIP)}
    config |= copy.deepcopy(sections)
    return set_in_place(config, path, value) if path else config


CASES: dict[str, Any] = {
    "good": SIDECAR_CONFIGURATION,
    "good mesh": mesh_configuration(),
    "good, talks": with_membership(),
    "good, zones": with_membership(failover=FAILOVER),
    "not JSON": "{",
    "no object": "[]",
    "no file": None,
    "no settings": changed("settings", REMOVED),
    "no name": changed("name", REMOVED),
    "no listen": changed("listen", REMOVED),
    "listen": changed("listen", "here"),
    "listen out of range": changed("listen", "127.0.0.1:70000"),
    "no discovery": changed("discovery", REMOVED),
    "discovery": changed("discovery", "127.0.0.1"),
    "no seed": changed("seed", REMOVED),
    "seed": changed("seed", "xyz"),
    "ops": changed("ops", "here"),
    "ops is listen": changed("ops", SIDECAR_CONFIGURATION["listen"]),
    "sockets": changed("limits.sockets", "many"),
    "few sockets": changed("limits.sockets", 3),
    "memory": changed("limits.memory_mb", 1),
    "known": changed("known", []),
    "no profiles": changed("settings.profiles", []),
    "profile without name": changed("settings.profiles.0.name", REMOVED),
    "repeat": changed("settings.profiles.0.repeat", "often"),
    "key scope": changed("settings.profiles.1.key_scope", "town"),
    "no window": changed("settings.profiles.1.window_us", REMOVED),
    "hard limit": changed("settings.profiles.2.hard_limit_us", 0),
    "goal": changed("settings.profiles.0.service_goal_us", "soon"),
    "overdue": changed("settings.profiles.0.overdue_revenue", 2),
    "basis": changed("settings.revenue_basis", "day"),
    "mode": changed("settings.membership_mode", "none"),
    "stage": changed("settings.stage", 7),
    "zone": changed("settings.zone", "nowhere"),
    "no tiers": changed("settings.tiers", REMOVED),
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
    "connect": changed("settings.limits.connect_timeout_us", REMOVED),
    "hops": changed("settings.limits.most_hops", 0),
    "cancel": changed("settings.limits.may_cancel", "perhaps"),
    "probes": changed("settings.limits.probes", 7),
    "type": changed("settings.domain_type", "ring"),
    "chain with multiplex": changed("settings.limits.multiplex", 100),
    "mesh without multiplex": changed("settings.limits.multiplex", REMOVED, mesh_configuration()),
    "mesh of one stream": changed("settings.limits.multiplex", 1, mesh_configuration()),
    "mesh of two tiers": changed("settings.tiers", ["x", "y"], mesh_configuration()),
    "mesh with a stage": changed("settings.stage", 1, mesh_configuration()),
    "membership": with_membership(membership=7),
    "membership, no file": with_membership(membership="none.toml"),
    "membership, listen": with_membership("membership.listen", "here:1"),
    "membership, no listen": with_membership("membership.listen", REMOVED),
    "membership, advertise": with_membership("membership.advertise", "0.0.0.0:7946"),
    "membership, key unknown": with_membership("membership.seed", []),
    "membership, seeds": with_membership("membership.seeds", "127.0.0.1:7947"),
    "membership, a seed": with_membership("membership.seeds", ["127.0.0.1:7947", "a:b"]),
    "membership, no keys": with_membership("membership.keys", REMOVED),
    "membership, keys' file": with_membership("membership.keys", "none"),
    "membership, bytes": with_membership("membership.most_bytes", 9000),
    "membership, bytes few": with_membership("membership.most_bytes", 100),
    "membership, pause": with_membership("membership.bear_pause_ms", 1),
    "membership, pause long": with_membership("membership.bear_pause_ms", 700_000),
    "membership, zone": with_membership("membership.zone", ""),
    "membership, use": with_membership("membership.use", ["copies", "all"]),
    "failover alone": changed("failover", FAILOVER),
    "failover": with_membership(failover=7),
    "failover, no file": with_membership(failover="none.toml"),
    "failover, key unknown": with_membership(failover={"ways": 1}),
    "failover, regions": with_membership(failover={"regions": ["a"]}),
    "failover, zone unknown": with_membership(failover={"regions": {"n": ["a", "b", "c"]}}),
    "failover, zone twice": with_membership(failover={"regions": {"n": ["a", "b"], "s": ["a"]}}),
    "failover, zone in none": with_membership(failover={"regions": {"n": ["a"]}}),
    "failover, way": with_membership(failover={"way_ms": -1}),
}


def run_check(file: Path) -> tuple[int, str, str]:
    env = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
    completed = subprocess.run(
        [sys.executable, "-m", "cressrail", "check", str(file)],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        env=env,
        cwd=ROOT,
    )
    return completed.returncode, completed.stdout, completed.stderr


STORED: dict[str, Any] = json.loads((DATA / "check.json").read_text())


def names_setting(line: str, path: str) -> bool:
    return re.search(rf"(?<![\w.]){re.escape(path)}(?![\w]|\.\w)", line) is not None


def test_all_stored_cases_are_run() -> None:
    assert list(STORED["faulty"]) == list(CASES)
    assert list(STORED["examples"]) == ["config", "mesh"]


@pytest.mark.parametrize("name", CASES)
def test_status_and_named_setting_of_configurations(tmp_path: Path, name: str) -> None:
    status, path = STORED["faulty"][name]
    file, configuration = tmp_path / "config.json", CASES[name]
    (tmp_path / "keys").write_text("5a" * 32 + "\n")
    if configuration is not None:
        file.write_text(configuration if isinstance(configuration, str) else json.dumps(configuration))
    code, out, err = run_check(file)
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
    assert names_setting(message, path), message


@pytest.mark.parametrize("name", ["config", "mesh"])
def test_status_and_output_of_example_configurations(name: str) -> None:
    status, words = STORED["examples"][name]
    code, out, err = run_check(ROOT / "example" / f"{name}.json")
    assert code == status
    assert not err
    for word in words:
        assert names_setting(out, word), word
