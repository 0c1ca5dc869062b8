"""Runs a fleet as a process of its own: reports when it is ready and starts the faults on command."""

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
# A garbage collection delays the relay, so collections are rare and cover only objects of the run itself.
GC_THRESHOLDS = (50_000, 20, 1000)


def run_fleet(
    scenario: FleetScenario, folder: Path, checkout: Path, policy: str, defect: str, starts_at_once: bool
) -> int:
    """Runs the fleet of a scenario until SIGINT or SIGTERM.

    When the fleet is ready, writes one line of JSON to standard output, with the addresses of the ingress
    sidecars under `doors`. Unless `starts_at_once` is set, a line `go MICROSECONDS` on standard input then
    starts the faults at that time of the monotonic clock, and the end of the input also ends the fleet.

    Args:
        scenario: The scenario to run.
        folder: Folder for configurations, logs and the event record.
        checkout: Checkout of the repository whose sidecars run.
        policy: Name of the policy that the sidecars use.
        defect: Name of a deliberate defect of the sidecars; empty for none.
        starts_at_once: Whether the faults start as soon as the fleet is ready, without a command.

    Returns:
        Exit status: 0, or 1 if the fleet cannot be started.
    """
    return uvloop.run(_run(Fleet(scenario, folder, checkout, policy, defect), starts_at_once))


async def _run(fleet: Fleet, starts_at_once: bool) -> int:
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for stop_signal in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(stop_signal, stop_requested.set)
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
            loop.add_reader(sys.stdin.fileno(), _read_command, fleet, stop_requested)
        await stop_requested.wait()
    except (RuntimeError, OSError) as error:
        print(f"cressrail: {error}", file=sys.stderr)
        return 1
    finally:
        await fleet.close()
    return 0


def _read_command(fleet: Fleet, stop_requested: asyncio.Event) -> None:
    match sys.stdin.readline().split():
        case [command, start_us] if command == START_COMMAND and start_us.isdigit():
            fleet.spawn(run_faults(fleet, int(start_us)))
        case _:  # the end of the input, or an unknown command
            asyncio.get_running_loop().remove_reader(sys.stdin.fileno())
            stop_requested.set()
