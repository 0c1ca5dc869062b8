"""Runs the fleet of a scenario in a process of its own, on other cores than the load generator."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path

import orjson
import tomlkit

from cressrail.experiment.checkouts import REPOSITORY
from cressrail.http_testing.client import now_us
from cressrail.load.sender import Address
from cressrail.testbed.scenario import FleetScenario

START_DELAY_US = 400_000  # between the start command sent to the fleet and the earliest due time
MIN_CORES_TO_SPLIT = 4  # with fewer cores, the load generator shares them with the fleet
EXIT_TIMEOUT_S = 10
SCENARIO_FILE, FLEET_LOG = "world.toml", "standin.log"


@dataclass(frozen=True)
class SidecarVersion:
    """The version of the sidecar that a fleet runs.

    Attributes:
        checkout: The folder with the package.
        policy: The policy of the sidecars: their own or a baseline.
        defect: The deliberate defect of the sidecars, or an empty string.
    """

    checkout: Path = REPOSITORY
    policy: str = "own"
    defect: str = ""


@dataclass(frozen=True)
class RunningFleet:
    """A fleet that is ready for requests.

    Attributes:
        ingress_addresses: The addresses to which clients send requests.
        start_us: The start of the run, from which the times of faults count, on the monotonic clock.
    """

    ingress_addresses: list[Address]
    start_us: int


@contextmanager
def running_fleet(scenario: FleetScenario, folder: Path, version: SidecarVersion) -> Iterator[RunningFleet]:
    """Runs a fleet while the context is open; its files are kept in `folder`.

    Raises:
        RuntimeError: If the fleet does not start.
    """
    folder.mkdir(parents=True, exist_ok=True)
    scenario_file = folder / SCENARIO_FILE
    fields = scenario.model_dump(mode="json", by_alias=True, exclude_none=True)
    scenario_file.write_text(tomlkit.dumps(fields))
    with (folder / FLEET_LOG).open("wb") as log:
        process = subprocess.Popen(
            _fleet_command(scenario_file, folder, version),
            cwd=REPOSITORY,
            env={**os.environ, "PYTHONPATH": str(REPOSITORY)},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=log,
        )
    try:
        with separate_cores(process.pid):
            yield _start_run(process, folder / FLEET_LOG)
    finally:
        _stop(process)


def _fleet_command(scenario_file: Path, folder: Path, version: SidecarVersion) -> list[str]:
    options = {
        "--out": str(folder),
        "--tree": str(version.checkout),
        "--policy": version.policy,
        "--break": version.defect,
    }
    arguments = [argument for option in options.items() for argument in option]
    return [sys.executable, "-m", "cressrail", "standin", "run", str(scenario_file), "--wait", *arguments]


def _start_run(process: subprocess.Popen[bytes], log: Path) -> RunningFleet:
    """Waits until the fleet is ready and sends it the start time."""
    assert process.stdin is not None
    assert process.stdout is not None
    line = process.stdout.readline()
    if not line:
        raise RuntimeError(f"the fleet did not start, its log says: {log.read_text().strip()}")
    start_us = now_us() + START_DELAY_US
    process.stdin.write(b"go %d\n" % start_us)
    process.stdin.flush()
    names = [address.rpartition(":") for address in orjson.loads(line)["doors"]]
    return RunningFleet([(host, int(port)) for host, _, port in names], start_us)


def _stop(process: subprocess.Popen[bytes]) -> None:
    """Stops the fleet by closing its standard input, or by SIGTERM if it does not exit in time."""
    assert process.stdin is not None
    assert process.stdout is not None
    process.stdin.close()
    with suppress(subprocess.TimeoutExpired):
        process.wait(EXIT_TIMEOUT_S)
    if process.returncode is None:
        process.terminate()
        process.wait()
    process.stdout.close()


@contextmanager
def separate_cores(other_pid: int) -> Iterator[None]:
    """Pins this process to one core, and the other process and its children to the remaining cores.

    A load generator that competes with its fleet for cores would send requests late.
    """
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < MIN_CORES_TO_SPLIT:
        yield
        return
    os.sched_setaffinity(other_pid, cores[1:])
    os.sched_setaffinity(0, cores[:1])
    try:
        yield
    finally:
        os.sched_setaffinity(0, cores)
