"""A server with pauses that are known: drawn before it starts and written to a file, so that what a load
generator reports can be held against what is true."""

from __future__ import annotations

import asyncio
import random
from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass

from cressrail.http_testing.client import now_us
from cressrail.http_testing.server import ReceivedRequest, ServerConnection

BACKLOG = 4096


@dataclass(frozen=True)
class Pauses:
    """`spans`: (from, to) in microseconds, apart and in order."""

    spans: Sequence[tuple[int, int]]

    def end_of(self, came_us: int, work_us: int) -> int:
        """When a request that came then is answered: its work goes on only outside the pauses."""
        at, left = came_us, work_us
        k = bisect_right(self.spans, (at, 1 << 62)) - 1
        if k >= 0 and at < self.spans[k][1]:
            at = self.spans[k][1]
        for start, end in self.spans[k + 1 :]:
            if at + left <= start:
                break
            left -= start - at
            at = end
        return at + left


def draw(
    seed: int, seconds: float, every_s: float = 3.0, mean_ms: float = 300.0, most_ms: float = 2000.0
) -> Pauses:
    """Gaps and lengths exponential, from 0 on."""
    chance = random.Random(seed)
    spans: list[tuple[int, int]] = []
    at = 0.0
    while True:
        at += chance.expovariate(1 / every_s) * 1e6
        length = min(most_ms, chance.expovariate(1 / mean_ms)) * 1000
        if at > seconds * 1e6:
            return Pauses(spans)
        spans.append((int(at), int(at + length)))
        at += length


async def serve(host: str, port: int, pauses: Pauses, work_us: int) -> asyncio.Server:
    """Answers every request when `pauses`, on the steady clock, let it."""
    loop = asyncio.get_running_loop()

    def asked(asked: ReceivedRequest) -> None:
        now = now_us()
        wait_us = pauses.end_of(now, work_us) - now
        loop.call_later(wait_us / 1e6, asked.connection.respond, 200, asked.headers.get(b"req-id", b""))

    return await loop.create_server(
        lambda: ServerConnection(asked, lambda served: None), host, port, backlog=BACKLOG
    )
