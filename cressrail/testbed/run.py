"""The fleet as a process of its own: ready, told when to begin, ended by the end of its input or a signal."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from pathlib import Path

import orjson
import uvloop

from cressrail.http_testing.client import now_us
from cressrail.testbed.fleet import Fleet
from cressrail.testbed.scenario import FleetScenario


def run(world: FleetScenario, folder: Path, tree: Path, policy: str, broken: str, at_once: bool) -> int:
    """Writes one line of JSON once ready, `doors` being what load is sent to. Then a line `go MICROSECONDS`
    on standard input starts the faults at that time of the steady clock; with `at_once` they start without.
    Ends when the input does, or on SIGINT and SIGTERM."""
    return uvloop.run(_run(Fleet(world, folder, tree, policy, broken), at_once))


async def _run(fleet: Fleet, at_once: bool) -> int:
    loop = asyncio.get_running_loop()
    over = asyncio.Event()
    for name in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(name, over.set)
    try:
        await fleet.start()
        print(orjson.dumps({"doors": [s.target for s in fleet.ingress_sidecars]}).decode(), flush=True)
        gc.collect()
        gc.freeze()
        gc.set_threshold(50_000, 20, 1000)
        if at_once:
            fleet.spawn(fleet.run_faults(now_us()))
        else:
            loop.add_reader(sys.stdin.fileno(), _heard, fleet, over)
        await over.wait()
    except (RuntimeError, OSError) as fault:
        print(f"cressrail: {fault}", file=sys.stderr)
        return 1
    finally:
        await fleet.close()
    return 0


def _heard(fleet: Fleet, over: asyncio.Event) -> None:
    words = sys.stdin.readline().split()
    if len(words) == 2 and words[0] == "go" and words[1].isdigit():
        fleet.spawn(fleet.run_faults(int(words[1])))
    else:
        asyncio.get_running_loop().remove_reader(sys.stdin.fileno())
        over.set()
