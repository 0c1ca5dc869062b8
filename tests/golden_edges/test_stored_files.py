"""Pins of files of an earlier version: what reads them goes on to read the same values.

They are a run's ledgers, a sidecar's log and a trace, and scenarios that people wrote.
"""

from __future__ import annotations

import hashlib
import json
import os
import re
import subprocess
import sys
import tomllib
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from pydantic import BaseModel

from cressrail.experiment.plan import Experiment
from cressrail.failover.simulation.scenario import Scenario
from cressrail.load.trace import TraceScale, read_trace
from cressrail.testbed.event_record import EventRecord, read_events
from cressrail.testbed.membership_evidence import collect_membership_evidence
from cressrail.testbed.scenario import FleetScenario
from cressrail.testbed.scenario_file import read_scenario as read_words
from tests.golden_edges.stored import DATA, hold, text_of
from tests.support.configuration import SIDECAR_CONFIGURATION

HERE = Path(__file__).resolve().parents[2]
WORDS: dict[str, type[BaseModel]] = {
    "example/failover": Scenario,
    "example/fleets": FleetScenario,
    "example/experiments": Experiment,
}


def digest(value: Any) -> str:
    """Of values and the words of a file, however its reader names them inside."""
    return hashlib.sha256(json.dumps(value, sort_keys=True).encode()).hexdigest()


def ran(*words: str) -> subprocess.CompletedProcess[str]:
    env = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
    return subprocess.run(
        [sys.executable, "-m", "cressrail", *words],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        env=env,
        cwd=HERE,
    )


def kinds(path: Path) -> dict[str, Any]:
    """How many rows there are with the same keys, and a digest of all values."""
    events = list(read_events(path))
    return {"rows": dict(Counter(" ".join(row) for row in events)), "digest": digest(events)}


def test_ledgers_are_read(tmp_path: Path) -> None:
    found: dict[str, Any] = {
        name: kinds(DATA / name) for name in ("fleet.jsonl", "load.jsonl", "sidecar.log")
    }
    seen = collect_membership_evidence(read_events(DATA / "fleet.jsonl"))
    found["views"] = {
        "lives": {
            name: [process.tier, len(process.changes)] for name, process in sorted(seen.processes.items())
        },
        "rows": len(seen.views),
        "said": [logged.event for logged in seen.logged_events],
        "deaths": len(seen.kills),
        "void": seen.invalid_reason,
    }
    again = EventRecord(tmp_path / "again")
    for row in read_events(DATA / "load.jsonl"):
        again.append(**row)
    again.close()
    assert (tmp_path / "again").read_bytes() == (DATA / "load.jsonl").read_bytes()
    hold(found, "ledgers.json")


@pytest.mark.parametrize("broken", [False, True])
def test_a_run_is_judged(tmp_path: Path, broken: bool) -> None:
    """A ledger in which one request that is not to be retried ran a second time breaks rule 2."""
    fleet = list(read_events(DATA / "fleet.jsonl"))
    if broken:
        attempt = next(row for row in fleet if row.get("profile") == "pay" and row["ran"])
        fleet.append({**attempt, "came_us": attempt["came_us"] + 1000})
    (tmp_path / "fleet.jsonl").write_text("".join(json.dumps(row) + "\n" for row in fleet))
    judged = ran(
        "standin", "judge", str(DATA / "fleet.toml"), str(tmp_path / "fleet.jsonl"), str(DATA / "load.jsonl")
    )
    rules = re.findall(r"^rule (\d+): ([^:]+):", judged.stdout, re.MULTILINE)
    name = "judged_broken.json" if broken else "judged.json"
    hold({"status": judged.returncode, "rules": [list(rule) for rule in rules]}, name)


@pytest.mark.parametrize(
    ("source", "trace"), [("load.jsonl", "trace.jsonl"), ("sidecar.log", "log_trace.jsonl")]
)
def test_traces_are_recorded_to_the_byte(tmp_path: Path, source: str, trace: str) -> None:
    out = tmp_path / "t.jsonl"
    assert ran("load", "record", str(DATA / source), str(out), "--size", "9").returncode == 0
    assert out.read_bytes() == (DATA / trace).read_bytes()


def test_traces_are_read() -> None:
    found: dict[str, Any] = {}
    for name in ("trace.jsonl", "log_trace.jsonl", "trace.csv"):
        for scale in (1.0, 0.5):
            profiles: dict[str, int] = {}
            members: dict[str, int] = {}
            read = [list(due) for due in read_trace(DATA / name, profiles, members, TraceScale(2.0, scale))]
            found[f"{name}, {scale}"] = {
                "profiles": profiles,
                "members": members,
                "count": len(read),
                "first": read[:2],
                "digest": digest(read),
            }
    hold(found, "traces.json")


def test_scenarios_are_read() -> None:
    found: dict[str, Any] = {}
    for folder, model in WORDS.items():
        for path in sorted((HERE / folder).glob("*.toml")):
            values = read_words(path, model).model_dump(mode="json", by_alias=True)
            found[f"{folder}/{path.name}"] = digest(values)
    found["fleet.toml"] = digest(
        read_words(DATA / "fleet.toml", FleetScenario).model_dump(mode="json", by_alias=True)
    )
    hold(found, "scenarios.json")


def test_sites_stay_as_they_are() -> None:
    found = {}
    for path in sorted((HERE / "deploy" / "sites").rglob("*")):
        if path.suffix == ".toml":
            found[f"{path.parent.name}/{path.name}"] = digest(tomllib.loads(path.read_text()))
        elif path.suffix == ".json":
            found[f"{path.parent.name}/{path.name}"] = digest(json.loads(path.read_text()))
    hold(found, "sites.json")


def test_the_parts_in_deploy_are_taken(tmp_path: Path) -> None:
    """They name zones and a file of keys that stand beside them in service."""
    config = json.loads(json.dumps(SIDECAR_CONFIGURATION)) | {
        "membership": "membership.toml",
        "failover": "failover.toml",
    }
    config["settings"].update(dcs=["hall-a", "hall-b", "hall-c"], zone="hall-a")
    for name in ("membership.toml", "failover.toml"):
        (tmp_path / name).write_bytes((HERE / "deploy" / name).read_bytes())
    (tmp_path / "membership.keys").write_text("5a" * 32 + "\n")
    (tmp_path / "config.json").write_text(text_of(config))
    checked = ran("check", str(tmp_path / "config.json"))
    assert checked.returncode == 0, checked.stderr
