"""Runs a fleet as a process of its own: reports that it is ready, and begins the faults when told to."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from pathlib import Path

import orjson
import uvloop

from cressrail.http_testing.client import now_us
from cressrail.testbed.fault_timeline import run_faults
from cressrail.testbed.fleet import Fleet
from cressrail.testbed.scenario import FleetScenario

START_COMMAND = "go"
# Collections hold the relay up: rare ones of what the run itself allocates.
GC_THRESHOLDS = (50_000, 20, 1000)


def run_fleet(
    scenario: FleetScenario, folder: Path, checkout: Path, policy: str, defect: str, starts_at_once: bool
) -> int:
    """Runs the fleet of a scenario until SIGINT or SIGTERM.

    Writes one line of JSON to standard output once it is ready, with the addresses of the ingress sidecars
    under `doors`. Where the faults do not start at once, a line `go MICROSECONDS` on standard input starts
    them at that time of the monotonic clock, and the end of the input ends the fleet, too.

    Args:
        scenario: What runs.
        folder: For configurations, logs and the record of events.
        checkout: Of the repository whose sidecars run.
        policy: Name of the policy.
        defect: Name of a deliberate defect of the sidecars, empty for none.
        starts_at_once: Whether the faults start without the line.

    Returns:
        Exit status: 0, or 1 if the fleet can't be started.
    """
    return uvloop.run(_run(Fleet(scenario, folder, checkout, policy, defect), starts_at_once))


async def _run(fleet: Fleet, starts_at_once: bool) -> int:
    loop = asyncio.get_running_loop()
    is_over = asyncio.Event()
    for stop_signal in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(stop_signal, is_over.set)
    try:
        await fleet.start()
        print(
            orjson.dumps({"doors": [sidecar.target for sidecar in fleet.ingress_sidecars]}).decode(),
            flush=True,
        )
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        if starts_at_once:
            fleet.spawn(run_faults(fleet, now_us()))
        else:
            loop.add_reader(sys.stdin.fileno(), _read_command, fleet, is_over)
        await is_over.wait()
    except (RuntimeError, OSError) as error:
        print(f"cressrail: {error}", file=sys.stderr)
        return 1
    finally:
        await fleet.close()
    return 0


def _read_command(fleet: Fleet, is_over: asyncio.Event) -> None:
    match sys.stdin.readline().split():
        case [command, start_us] if command == START_COMMAND and start_us.isdigit():
            fleet.spawn(run_faults(fleet, int(start_us)))
        case _:  # the end of the input, or nothing that can be read
            asyncio.get_running_loop().remove_reader(sys.stdin.fileno())
            is_over.set()
