"""One arm, once: the fleet as a process, load on its doors, and both ledgers judged."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson
import tomlkit

from cressrail.http_testing.client import now_us
from cressrail.load.plan import MemberMix, Plan, ProfileMix
from cressrail.load.run import Job, play
from cressrail.testbed.event_record import read_events
from cressrail.testbed.membership_evidence import MembershipEvidence, collect_membership_evidence
from cressrail.testbed.rule_checker import Rule, RuleViolation, check_rules
from cressrail.testbed.run_evidence import RunEvidence, collect_evidence
from cressrail.testbed.scenario import FleetScenario

HERE = Path(__file__).resolve().parents[2]
LEAD_US = 400_000  # from the word to begin to the first that can be due
APART = 4  # cores, at the least, before the generator gets one to itself


@dataclass
class Played:
    told: dict[str, Any]  # the load's figures
    seen: RunEvidence
    broken: list[RuleViolation]


def plan_of(world: FleetScenario) -> Plan:
    return Plan.model_validate(
        {
            "rate": world.load.rate,
            "seconds": world.duration_s,
            "seed": world.seed,
            "shape": world.load.shape,
            "with": world.load.shape_parameters,
            "clients": world.load.client_behaviour,
            "connections": world.load.max_connections,
            "profiles": [
                ProfileMix(**p.model_dump(include=set(ProfileMix.model_fields)))
                for p in world.request_classes
            ],
            "members": [MemberMix(name=m.name, part=m.part) for m in world.tenants],
        }
    )


@contextmanager
def fleet(
    world: FleetScenario, folder: Path, *, tree: Path = HERE, policy: str = "own", broken: str = ""
) -> Iterator[tuple[list[tuple[str, int]], int]]:
    """Doors, and the moment of the steady clock at which the faults' time begins. Raises `RuntimeError` if
    the fleet does not come up."""
    folder.mkdir(parents=True, exist_ok=True)
    file = folder / "world.toml"
    file.write_text(tomlkit.dumps(world.model_dump(by_alias=True, exclude_none=True)))
    env = {**os.environ, "PYTHONPATH": str(HERE)}
    command = [
        sys.executable,
        "-m",
        "cressrail",
        "standin",
        "run",
        str(file),
        "--out",
        str(folder),
        "--wait",
        "--tree",
        str(tree),
        "--policy",
        policy,
        "--break",
        broken,
    ]
    with open(folder / "standin.log", "wb") as log:
        process = subprocess.Popen(
            command, cwd=HERE, env=env, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=log
        )
    assert process.stdin is not None and process.stdout is not None
    try:
        with apart(process.pid):
            line = process.stdout.readline()
            if not line:
                raise RuntimeError(
                    f"the fleet did not come up: {(folder / 'standin.log').read_text().strip()}"
                )
            start_us = now_us() + LEAD_US
            process.stdin.write(b"go %d\n" % start_us)
            process.stdin.flush()
            yield (
                [
                    (host, int(port))
                    for host, _, port in (d.rpartition(":") for d in orjson.loads(line)["doors"])
                ],
                start_us,
            )
    finally:
        process.stdin.close()
        try:
            process.wait(10)
        except subprocess.TimeoutExpired:
            process.terminate()
            process.wait()
        process.stdout.close()


@contextmanager
def apart(pid: int) -> Iterator[None]:
    """While in here, this process has a core to itself and the other, with its children to come, has the
    rest. Guards against a generator that is late because the fleet it drives crowds it out."""
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < APART:
        yield
        return
    os.sched_setaffinity(pid, cores[1:])
    os.sched_setaffinity(0, cores[:1])
    try:
        yield
    finally:
        os.sched_setaffinity(0, cores)


def play_world(
    world: FleetScenario,
    folder: Path,
    *,
    tree: Path = HERE,
    policy: str = "own",
    broken: str = "",
    quiet: bool = True,
) -> Played:
    ledger = folder / "load.jsonl"
    with fleet(world, folder, tree=tree, policy=policy, broken=broken) as (doors, start_us):
        told = play(
            Job(plan_of(world), doors, ledger=ledger, spool=folder / "spool", start_us=start_us, quiet=quiet)
        )
    seen = collect_evidence(read_events(ledger), read_events(folder / "fleet.jsonl"))
    found = check_rules(world, seen)
    if world.fleet.membership is not None:
        away = excused(seen, collect_membership_evidence(read_events(folder / "fleet.jsonl")))
        found = [one for one in found if one.rule is not Rule.ONE_ANSWER or one.request_id not in away]
    return Played(told, seen, found)


def excused(seen: RunEvidence, processes: MembershipEvidence) -> set[str]:
    """What was sent to a process that did not run all the time it had: it has nobody to answer it."""
    names = {target: row["sidecar"] for target, row in seen.sidecars.items()}
    return {
        call["id"]
        for call in seen.calls
        if call["target"] in names
        and not processes.processes[names[call["target"]]].has_run_for(
            call["sent_us"] + call["limit_us"], call["limit_us"]
        )
    }
