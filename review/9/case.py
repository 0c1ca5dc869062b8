"""A sidecar that starts again while discovery is slow sends work to endpoints that have begun to drain."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_ins_2 as s2

ENDPOINTS = 10  # matdata-norr: 9 to 12 endpoints in the first tier
DRAINING = 3
SLOW_S = 1.5  # what each call of discovery waits for its answer
DOWN_S = 2.0  # between the kill and the next start
DRAIN_GRACE_S = 0.5
SLACK_S = 0.05
CLIENTS = 8
PLAY_S = 6.0
HALLS = ("hall-lulea", "hall-umea")


async def answer(endpoint: s2.Endpoint, fields: dict[str, str], _: str) -> tuple[int, bytes]:
    """Serves a request."""
    await asyncio.sleep(0.05)
    return 200, f"{fields['req-id']} by {endpoint.name}".encode()


async def load(address: str, prefix: str, record: s2.Record, until: float) -> None:
    """Lets all clients send requests."""
    clients = [s2.Client(address, record) for _ in range(CLIENTS)]
    await asyncio.gather(*(ask(c, f"{prefix}{n:02x}", record, until) for n, c in enumerate(clients)))


async def ask(client: s2.Client, prefix: str, record: s2.Record, until: float) -> None:
    """Sends one request after another."""
    turn = 0
    while time.monotonic() < until:
        request_id = f"{prefix}{turn:06x}"
        status, body = await client.ask(request_id, "las-serie", 3.0)
        record.write(f"{request_id} answered {status} {body.decode()}")
        turn += 1
        await asyncio.sleep(0.05)
    client.close()


async def play(record: s2.Record) -> int:
    """Plays the case."""
    discovery = s2.Discovery(record)
    await discovery.start()
    endpoints = [s2.Endpoint(f"s-{number:08x}", record, answer) for number in range(ENDPOINTS)]
    for number, endpoint in enumerate(endpoints):
        await endpoint.start()
        entry = endpoint.entry(locality=HALLS[number % 2], flavor="intag-std", cell=number // 4)
        discovery.members[endpoint.name] = entry
    draining = endpoints[:DRAINING]
    # `known` is the list as the sidecar has it before the kill.
    sidecar = s2.Sidecar(s2.small_deployment(discovery, HALLS), record)
    address = sidecar.configuration["listen"]
    try:
        first = sidecar.start()
        await sidecar.wait_ready()
        await load(address, "a", record, time.monotonic() + 1.0)
        first.kill()
        first.wait()
        record.write("sidecar killed")
        await asyncio.sleep(DOWN_S / 2)
        discovery.change([{**discovery.members[e.name], "phase": "draining"} for e in draining])
        record.write(f"{DRAINING} endpoints drain, while the sidecar is down")
        await asyncio.sleep(DOWN_S / 2)
        discovery.slow_s = SLOW_S if s2.has_trouble() else 0.0
        told = time.monotonic()
        sidecar.start()
        await sidecar.wait_ready()
        record.write("sidecar is ready again")
        await load(address, "b", record, time.monotonic() + PLAY_S)
    finally:
        sidecar.stop()
        discovery.stop()
    late = 0
    for endpoint in draining:
        for request_id, arrived, _ in endpoint.arrivals:
            if arrived > told + DRAIN_GRACE_S + SLACK_S:
                late += 1
                after = f"{arrived - told:.3f} s after the start"
                record.write(f"late: {request_id} sent to draining {endpoint.name} {after}")
    record.write(f"{late} requests sent to draining endpoints after the grace")
    return s2.BROKEN if late else s2.HELD


if __name__ == "__main__":
    sys.exit(s2.run_case(Path(__file__).resolve().parent, play))
