"""One arm, once: the fleet as a process, load on its doors, and both ledgers judged."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import orjson
import tomlkit

from cressrail.http_testing.client import now_us
from cressrail.load.plan import LoadPlan, RequestClassLoad, TenantLoad
from cressrail.load.report import LoadReport
from cressrail.load.run import LoadJob, run_load
from cressrail.testbed.event_record import rows
from cressrail.testbed.membership_verdicts import Views, views
from cressrail.testbed.rule_checker import Break, Evidence, evidence, judge
from cressrail.testbed.scenario import World

HERE = Path(__file__).resolve().parents[2]
LEAD_US = 400_000  # from the word to begin to the first that can be due
APART = 4  # cores, at the least, before the generator gets one to itself


@dataclass
class Played:
    told: LoadReport
    seen: Evidence
    broken: list[Break]


def plan_of(world: World) -> LoadPlan:
    return LoadPlan.model_validate(
        {
            "rate": world.load.rate,
            "seconds": world.seconds,
            "seed": world.seed,
            "shape": world.load.shape,
            "with": world.load.with_,
            "clients": world.load.clients,
            "connections": world.load.connections,
            "profiles": [
                RequestClassLoad.model_validate(
                    p.model_dump(include=set(RequestClassLoad.model_fields), by_alias=True)
                )
                for p in world.profiles
            ],
            "members": [
                TenantLoad.model_validate(m.model_dump(include=set(TenantLoad.model_fields), by_alias=True))
                for m in world.members
            ],
        }
    )


@contextmanager
def fleet(
    world: World, folder: Path, *, tree: Path = HERE, policy: str = "own", broken: str = ""
) -> Iterator[tuple[list[tuple[str, int]], int]]:
    """Doors, and the moment of the steady clock at which the faults' time begins. Raises `RuntimeError` if
    the fleet does not come up."""
    folder.mkdir(parents=True, exist_ok=True)
    file = folder / "world.toml"
    file.write_text(tomlkit.dumps(world.model_dump(mode="json", by_alias=True, exclude_none=True)))
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
    world: World,
    folder: Path,
    *,
    tree: Path = HERE,
    policy: str = "own",
    broken: str = "",
    quiet: bool = True,
) -> Played:
    ledger = folder / "load.jsonl"
    with fleet(world, folder, tree=tree, policy=policy, broken=broken) as (doors, start_us):
        told = run_load(
            LoadJob(
                plan_of(world),
                doors,
                attempt_log=ledger,
                records=folder / "spool",
                start_us=start_us,
                is_quiet=quiet,
            )
        )
    seen = evidence(rows(ledger), rows(folder / "fleet.jsonl"))
    found = judge(world, seen)
    if world.fleet.membership is not None:
        away = excused(seen, views(rows(folder / "fleet.jsonl")))
        found = [one for one in found if one.rule != 1 or one.tx not in away]
    return Played(told, seen, found)


def excused(seen: Evidence, processes: Views) -> set[str]:
    """What was sent to a process that did not run all the time it had: it has nobody to answer it."""
    names = {target: row["sidecar"] for target, row in seen.sidecars.items()}
    return {
        call["id"]
        for call in seen.calls
        if call["target"] in names
        and not processes.lives[names[call["target"]]].ran_since(
            call["sent_us"] + call["limit_us"], call["limit_us"]
        )
    }
