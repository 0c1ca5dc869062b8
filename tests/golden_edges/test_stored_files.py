"""Golden tests of files that an earlier version wrote or read: they must be read with the same values.

The files are the event records of a run, the log of a sidecar, traces, scenarios and configurations.
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
from cressrail.testbed.scenario_file import read_scenario
from tests.golden_edges.stored import DATA, assert_matches_stored, json_text
from tests.support.configuration import SIDECAR_CONFIGURATION

ROOT = Path(__file__).resolve().parents[2]
SCENARIO_MODELS: dict[str, type[BaseModel]] = {
    "example/failover": Scenario,
    "example/fleets": FleetScenario,
    "example/experiments": Experiment,
}


def digest(value: Any) -> str:
    """Returns the SHA-256 digest of values as JSON, in hex digits."""
    return hashlib.sha256(json.dumps(value, sort_keys=True).encode()).hexdigest()


def run_command(*words: str) -> subprocess.CompletedProcess[str]:
    env = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
    return subprocess.run(
        [sys.executable, "-m", "cressrail", *words],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        env=env,
        cwd=ROOT,
    )


def summarize_events(path: Path) -> dict[str, Any]:
    """Returns the number of rows for each set of keys, and a digest of all rows."""
    events = list(read_events(path))
    return {"rows": dict(Counter(" ".join(row) for row in events)), "digest": digest(events)}


def test_event_records_are_read(tmp_path: Path) -> None:
    found: dict[str, Any] = {
        name: summarize_events(DATA / name) for name in ("fleet.jsonl", "load.jsonl", "sidecar.log")
    }
    evidence = collect_membership_evidence(read_events(DATA / "fleet.jsonl"))
    found["views"] = {
        "lives": {
            name: [process.tier, len(process.changes)] for name, process in sorted(evidence.processes.items())
        },
        "rows": len(evidence.views),
        "said": [logged.event for logged in evidence.logged_events],
        "deaths": len(evidence.kills),
        "void": evidence.invalid_reason,
    }
    again = EventRecord(tmp_path / "again")
    for row in read_events(DATA / "load.jsonl"):
        again.append(**row)
    again.close()
    assert (tmp_path / "again").read_bytes() == (DATA / "load.jsonl").read_bytes()
    assert_matches_stored(found, "ledgers.json")


@pytest.mark.parametrize("broken", [False, True])
def test_recorded_run_is_judged(tmp_path: Path, broken: bool) -> None:
    """Rule 2 is broken by an event record in which a request that must not be retried ran twice."""
    fleet = list(read_events(DATA / "fleet.jsonl"))
    if broken:
        attempt = next(row for row in fleet if row.get("profile") == "pay" and row["ran"])
        fleet.append({**attempt, "came_us": attempt["came_us"] + 1000})
    (tmp_path / "fleet.jsonl").write_text("".join(json.dumps(row) + "\n" for row in fleet))
    judged = run_command(
        "standin", "judge", str(DATA / "fleet.toml"), str(tmp_path / "fleet.jsonl"), str(DATA / "load.jsonl")
    )
    rules = re.findall(r"^rule (\d+): ([^:]+):", judged.stdout, re.MULTILINE)
    name = "judged_broken.json" if broken else "judged.json"
    assert_matches_stored({"status": judged.returncode, "rules": [list(rule) for rule in rules]}, name)


@pytest.mark.parametrize(
    ("source", "trace"), [("load.jsonl", "trace.jsonl"), ("sidecar.log", "log_trace.jsonl")]
)
def test_recorded_traces_have_stored_bytes(tmp_path: Path, source: str, trace: str) -> None:
    out = tmp_path / "t.jsonl"
    assert run_command("load", "record", str(DATA / source), str(out), "--size", "9").returncode == 0
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
    assert_matches_stored(found, "traces.json")


def test_scenarios_are_read() -> None:
    found: dict[str, Any] = {}
    for folder, model in SCENARIO_MODELS.items():
        for path in sorted((ROOT / folder).glob("*.toml")):
            values = read_scenario(path, model).model_dump(mode="json", by_alias=True)
            found[f"{folder}/{path.name}"] = digest(values)
    found["fleet.toml"] = digest(
        read_scenario(DATA / "fleet.toml", FleetScenario).model_dump(mode="json", by_alias=True)
    )
    assert_matches_stored(found, "scenarios.json")


def test_site_files_are_unchanged() -> None:
    found = {}
    for path in sorted((ROOT / "deploy" / "sites").rglob("*")):
        if path.suffix == ".toml":
            found[f"{path.parent.name}/{path.name}"] = digest(tomllib.loads(path.read_text()))
        elif path.suffix == ".json":
            found[f"{path.parent.name}/{path.name}"] = digest(json.loads(path.read_text()))
    assert_matches_stored(found, "sites.json")


def test_sections_in_deploy_are_accepted(tmp_path: Path) -> None:
    """The sections name zones and a key file, which an operator provides beside them."""
    config = json.loads(json.dumps(SIDECAR_CONFIGURATION)) | {
        "membership": "membership.toml",
        "failover": "failover.toml",
    }
    config["settings"].update(dcs=["hall-a", "hall-b", "hall-c"], zone="hall-a")
    for name in ("membership.toml", "failover.toml"):
        (tmp_path / name).write_bytes((ROOT / "deploy" / name).read_bytes())
    (tmp_path / "membership.keys").write_text("5a" * 32 + "\n")
    (tmp_path / "config.json").write_text(json_text(config))
    checked = run_command("check", str(tmp_path / "config.json"))
    assert checked.returncode == 0, checked.stderr
