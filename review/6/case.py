"""A watch falls silent amid a long line, and keyed requests run in two cells."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import replaced_endpoints_2 as r2
import stand_ins_2 as s2

ENDPOINTS = 60  # matdata-norr-later: 48 to 70 endpoints in the first tier
CUT_SHARE = 0.9  # of the line, written before the connection falls silent
TOLD_S = 6.0  # after the watch fell silent, at the latest
BEFORE_S, AFTER_S = 1.5, 13.0
CLIENTS = 32


async def play(record: s2.Record) -> int:
    """Plays the case."""
    discovery = s2.Discovery(record)
    await discovery.start()
    fleet = r2.Fleet(ENDPOINTS, discovery, record)
    await fleet.start()
    sidecar = s2.Sidecar(s2.small_deployment(discovery, r2.HALLS, profiles=r2.CLASSES), record)
    fell_silent: list[float] = []

    def cut(line: bytes) -> int | None:
        if fell_silent or b"removed" not in line:
            return None
        fell_silent.append(time.monotonic())
        return int(len(line) * CUT_SHARE) if s2.has_trouble() else None

    discovery.on_line = cut
    try:
        sidecar.start()
        await sidecar.wait_ready()
        until = time.monotonic() + BEFORE_S + AFTER_S
        address = sidecar.configuration["listen"]
        running = asyncio.ensure_future(r2.load(address, CLIENTS, "k", record, until))
        await asyncio.sleep(BEFORE_S)
        beat = discovery.heartbeat_at
        while discovery.heartbeat_at == beat:  # the change comes just after an empty line
            await asyncio.sleep(0.01)
        await fleet.replace(discovery)
        await running
    finally:
        sidecar.stop()
        discovery.stop()
    if not fell_silent:
        raise s2.NotRunError("no watch was open when the change came")
    told = fell_silent[0] + (TOLD_S if s2.has_trouble() else 0.0)
    return s2.BROKEN if fleet.runs_in_two_cells(told) else s2.HELD


if __name__ == "__main__":
    sys.exit(s2.run_case(Path(__file__).resolve().parent, play))
