"""A second copy of an answer comes some milliseconds late and is taken for the next answer."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_ins_2 as s2

WAY_S = {
    "hall-lulea": 0.0002,
    "hall-umea": 0.0006,
}  # matdata-norr: same_ms 0.14 to 0.34, cross_ms 0.42 to 0.78
LATE_FROM_S, LATE_TO_S = 0.002, 0.010  # a second answer comes some milliseconds after the first
COPIES_PER_ANSWERS = 20  # one answer of twenty has a second copy
CLIENTS = 16
PLAY_S = 12.0
HALLS = tuple(WAY_S)
ENDPOINTS = 10  # matdata-norr: 9 to 12 endpoints in the first tier


async def answer(endpoint: s2.Endpoint, fields: dict[str, str], _: str) -> tuple[int, bytes]:
    """Serves a request after 60 ms."""
    await asyncio.sleep(0.06)
    return 200, f"{fields['req-id']} by {endpoint.name}".encode()


async def play(record: s2.Record) -> int:
    """Plays the case."""
    discovery = s2.Discovery(record)
    await discovery.start()
    endpoints = []
    chance = random.Random(5)
    copies = [0]

    def repeats_after_s(_: str) -> float | None:
        if chance.random() * COPIES_PER_ANSWERS >= 1 or not s2.has_trouble():
            return None
        copies[0] += 1
        return chance.uniform(LATE_FROM_S, LATE_TO_S)

    for number in range(ENDPOINTS):
        endpoint = s2.Endpoint(f"s-{number:08x}", record, answer)
        hall = HALLS[number % 2]
        endpoint.way_s = WAY_S[hall]
        endpoint.repeats_after_s = repeats_after_s
        await endpoint.start()
        endpoints.append(endpoint)
        entry = endpoint.entry(locality=hall, flavor="intag-std", cell=number // 4)
        discovery.members[endpoint.name] = entry
    sidecar = s2.Sidecar(s2.small_deployment(discovery, HALLS), record)
    foreign: list[str] = []
    statuses: dict[int, int] = {}

    async def one(client: s2.Client, number: int, until: float) -> None:
        turn = 0
        while time.monotonic() < until:
            request_id = f"r{number:02x}{turn:06x}"
            status, body = await client.ask(request_id, "las-serie", 3.0)
            statuses[status] = statuses.get(status, 0) + 1
            record.write(f"{request_id} answered {status} {body.decode()}")
            if status == s2.OK_STATUS and body.split()[0].decode() != request_id:
                foreign.append(f"{request_id} got the answer {body.decode()}")
                record.write(f"FOREIGN: {foreign[-1]}")
            turn += 1
        client.close()

    try:
        sidecar.start()
        await sidecar.wait_ready()
        until = time.monotonic() + PLAY_S
        address = sidecar.configuration["listen"]
        await asyncio.gather(*(one(s2.Client(address, record), n, until) for n in range(CLIENTS)))
    finally:
        sidecar.stop()
        discovery.stop()
    record.write(f"answers by status: {statuses}; {len(foreign)} requests got the answer to another one")
    for endpoint in endpoints:
        record.write(f"{endpoint.name} way {endpoint.way_s} s: {len(endpoint.arrivals)} requests")
    if not statuses.get(s2.OK_STATUS):
        raise s2.NotRunError("no request was served")
    return s2.BROKEN if foreign else s2.HELD


if __name__ == "__main__":
    sys.exit(s2.run_case(Path(__file__).resolve().parent, play))
