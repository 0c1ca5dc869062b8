"""A sidecar starts again while discovery is slow, and keyed requests run in two cells."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import replaced_endpoints_2 as r2
import stand_ins_2 as s2

ENDPOINTS = 12  # matdata-norr: 9 to 12 endpoints in the first tier
SLOW_S = 1.5  # what each call of discovery waits for its answer
DOWN_S = 2.0  # between the kill and the next start
CLIENTS = 24
BEFORE_S, AFTER_S = 1.0, 6.0


async def play(record: s2.Record) -> int:
    """Plays the case."""
    discovery = s2.Discovery(record)
    await discovery.start()
    fleet = r2.Fleet(ENDPOINTS, discovery, record)
    await fleet.start()
    # `known` is the list as the sidecar has it before the kill.
    sidecar = s2.Sidecar(s2.small_deployment(discovery, r2.HALLS, profiles=r2.CLASSES), record)
    address = sidecar.configuration["listen"]
    try:
        first = sidecar.start()
        await sidecar.wait_ready()
        await r2.load(address, CLIENTS, "a", record, time.monotonic() + BEFORE_S)
        first.kill()
        first.wait()
        record.write("sidecar killed")
        await asyncio.sleep(DOWN_S / 2)
        await fleet.replace(discovery)
        await asyncio.sleep(DOWN_S / 2)
        discovery.slow_s = SLOW_S if s2.has_trouble() else 0.0
        told = time.monotonic()
        sidecar.start()
        await sidecar.wait_ready()
        record.write(f"sidecar is ready again {time.monotonic() - told:.3f} s after its start")
        await r2.load(address, CLIENTS, "b", record, time.monotonic() + AFTER_S)
    finally:
        sidecar.stop()
        discovery.stop()
    return s2.BROKEN if fleet.runs_in_two_cells(told) else s2.HELD


if __name__ == "__main__":
    sys.exit(s2.run_case(Path(__file__).resolve().parent, play))
