"""A watch falls silent in the middle of a long line, and draining endpoints go on getting work."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_ins_2 as s2

ENDPOINTS = 48  # matdata-norr-later: 48 to 70 endpoints in the first tier
REPLACED = 28  # join: six in ten endpoints are replaced within 7 s
CUT_SHARE = 0.9  # of the line, written before the connection falls silent
DRAIN_GRACE_S = 0.5
SLACK_S = 0.05
TOLD_S = 6.0  # after the watch fell silent, at the latest
PLAY_S = 13.0
REQUESTS_PER_S = 40
HALLS = ("hall-lulea", "hall-umea")


async def answer(endpoint: s2.Endpoint, fields: dict[str, str], _: str) -> tuple[int, bytes]:
    """Serves a request."""
    await asyncio.sleep(0.02)
    return 200, f"{fields['req-id']} by {endpoint.name}".encode()


def entry(endpoint: s2.Endpoint, number: int, **changes: Any) -> dict[str, Any]:
    """Returns an entry of the list."""
    return endpoint.entry(locality=HALLS[number % 2], flavor="intag-std", cell=number // 8, **changes)


async def load(address: str, record: s2.Record, until: float) -> None:
    """Sends requests at a steady rate."""
    clients = [s2.Client(address, record) for _ in range(16)]

    async def one(client: s2.Client, first: int) -> None:
        number = first
        while time.monotonic() < until:
            began = time.monotonic()
            status, body = await client.ask(f"r{number:08x}", "las-serie", 3.0)
            record.write(f"r{number:08x} answered {status} {body.decode()}")
            number += len(clients)
            await asyncio.sleep(max(0.0, began + len(clients) / REQUESTS_PER_S - time.monotonic()))
        client.close()

    await asyncio.gather(*(one(client, number) for number, client in enumerate(clients)))


async def play(record: s2.Record) -> int:
    """Plays the case."""
    discovery = s2.Discovery(record)
    await discovery.start()
    endpoints = [s2.Endpoint(f"s-{number:08x}", record, answer) for number in range(ENDPOINTS + REPLACED)]
    for endpoint in endpoints:
        await endpoint.start()
    listed, new = endpoints[:ENDPOINTS], endpoints[ENDPOINTS:]
    discovery.members = {e.name: entry(e, number) for number, e in enumerate(listed)}
    sidecar = s2.Sidecar(s2.small_deployment(discovery, HALLS), record)
    leaving = {e.name for e in listed[:REPLACED]}
    fell_silent: list[float] = []

    def cut(line: bytes) -> int | None:
        if fell_silent or b"draining" not in line:
            return None
        fell_silent.append(time.monotonic())
        return int(len(line) * CUT_SHARE) if s2.has_trouble() else None

    discovery.on_line = cut
    try:
        sidecar.start()
        await sidecar.wait_ready()
        until = time.monotonic() + PLAY_S
        running = asyncio.ensure_future(load(sidecar.configuration["listen"], record, until))
        await asyncio.sleep(1.5)
        beat = discovery.heartbeat_at
        while discovery.heartbeat_at == beat:  # the change comes just after an empty line
            await asyncio.sleep(0.01)
        now_ms = int(time.time() * 1000)
        changed = [entry(e, n, phase="draining") for n, e in enumerate(listed[:REPLACED])]
        changed += [entry(e, n, up_since_ms=now_ms) for n, e in enumerate(new)]
        discovery.change(changed)
        record.write(f"{REPLACED} endpoints drain, as many are new: one line of changes")
        await running
    finally:
        sidecar.stop()
        discovery.stop()
    if not fell_silent:
        raise s2.NotRunError("no watch was open when the change came")
    told = fell_silent[0] + (TOLD_S if s2.has_trouble() else 0.0)
    late_from = told + DRAIN_GRACE_S + SLACK_S
    late = [
        (arrived, name, request_id)
        for name, arrivals in ((e.name, e.arrivals) for e in listed)
        if name in leaving
        for request_id, arrived, _ in arrivals
        if arrived > late_from
    ]
    for arrived, name, request_id in sorted(late):
        record.write(
            f"late: {request_id} sent to draining {name} {arrived - fell_silent[0]:.3f} s after the silence"
        )
    record.write(f"{len(late)} requests sent to draining endpoints after the grace")
    return s2.BROKEN if late else s2.HELD


if __name__ == "__main__":
    sys.exit(s2.run_case(Path(__file__).resolve().parent, play))
