"""A new configuration names a slow discovery, and keyed requests run in two cells."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import replaced_endpoints_2 as r2
import stand_ins_2 as s2

ENDPOINTS = 12  # matdata-norr: 9 to 12 endpoints in the first tier
SLOW_S = 2.5  # what each call of the new discovery waits for its answer
OLD_CLOSES_S = 1.5  # after SIGHUP, the old discovery closes the open connections
TOLD_S = 4.0  # after SIGHUP, what the new discovery has to tell counts as told
CHANGE_S = 0.5  # after SIGHUP, endpoints are replaced
CLIENTS = 24
BEFORE_S, AFTER_S = 1.5, 8.0


async def play(record: s2.Record) -> int:
    """Plays the case."""
    discovery, new = s2.Discovery(record), s2.Discovery(record)
    await discovery.start()
    await new.start()
    fleet = r2.Fleet(ENDPOINTS, discovery, record)
    await fleet.start()
    new.members, new.revision = dict(discovery.members), discovery.revision
    new.slow_s = SLOW_S if s2.has_trouble() else 0.0
    sidecar = s2.Sidecar(s2.small_deployment(discovery, r2.HALLS, profiles=r2.CLASSES), record)
    try:
        process = sidecar.start()
        await sidecar.wait_ready()
        until = time.monotonic() + BEFORE_S + AFTER_S
        running = asyncio.ensure_future(r2.load(sidecar.configuration["listen"], CLIENTS, "k", record, until))
        await asyncio.sleep(BEFORE_S)
        sidecar.configuration["discovery"] = new.address
        sidecar.write_configuration()
        process.send_signal(signal.SIGHUP)
        told = time.monotonic() + TOLD_S
        record.write("SIGHUP: discovery is at another address")
        discovery.stop()
        await asyncio.sleep(CHANGE_S)
        await fleet.replace(new)
        await asyncio.sleep(OLD_CLOSES_S - CHANGE_S)
        discovery.close_all()
        await running
        if process.poll() is not None:
            record.write("the sidecar has ended")
            return s2.BROKEN
    finally:
        sidecar.stop()
        new.stop()
        discovery.stop()
    return s2.BROKEN if fleet.runs_in_two_cells(told) else s2.HELD


if __name__ == "__main__":
    sys.exit(s2.run_case(Path(__file__).resolve().parent, play))
