"""A server that pauses at predetermined times, as a reference for what a load generator reports."""

from __future__ import annotations

import asyncio
import random
from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass

from cressrail.http_testing.client import now_us
from cressrail.http_testing.server import ReceivedRequest, ServerConnection

BACKLOG = 4096  # limit on connections that wait to be accepted
SECOND_US = 1_000_000
MILLISECOND_US = 1000
FAR_FUTURE_US = 1 << 62


@dataclass(frozen=True)
class PauseSchedule:
    """The times at which a server pauses.

    Attributes:
        spans_us: Start and end of each pause, in microseconds; sorted and without overlaps.
    """

    spans_us: Sequence[tuple[int, int]]

    def completion_us(self, arrived_us: int, work_us: int) -> int:
        """Returns the completion time of a request, whose work progresses only outside the pauses.

        Args:
            arrived_us: When the request arrived.
            work_us: Time that the request takes without pauses.
        """
        progressed_us, remaining_us = arrived_us, work_us
        last = bisect_right(self.spans_us, (arrived_us, FAR_FUTURE_US)) - 1
        if last >= 0 and arrived_us < self.spans_us[last][1]:
            progressed_us = self.spans_us[last][1]
        for start_us, end_us in self.spans_us[last + 1 :]:
            if progressed_us + remaining_us <= start_us:
                break
            remaining_us -= start_us - progressed_us
            progressed_us = end_us
        return progressed_us + remaining_us


def draw_pauses(
    seed: int,
    duration_s: float,
    mean_interval_s: float = 3.0,
    mean_pause_ms: float = 300.0,
    max_pause_ms: float = 2000.0,
) -> PauseSchedule:
    """Returns random pauses from time 0 on, with exponentially distributed lengths and intervals.

    Args:
        seed: Seed of the random values; the same seed gives the same pauses.
        duration_s: Pauses begin at most this many seconds after time 0.
        mean_interval_s: Mean time from the end of a pause to the next pause.
        mean_pause_ms: Mean length of a pause before `max_pause_ms` is applied.
        max_pause_ms: Upper limit on the length of a pause.
    """
    random_generator = random.Random(seed)
    spans_us: list[tuple[int, int]] = []
    start_us = 0.0
    while True:
        start_us += random_generator.expovariate(1 / mean_interval_s) * SECOND_US
        length_us = min(max_pause_ms, random_generator.expovariate(1 / mean_pause_ms)) * MILLISECOND_US
        if start_us > duration_s * SECOND_US:
            return PauseSchedule(spans_us)
        spans_us.append((int(start_us), int(start_us + length_us)))
        start_us += length_us


async def serve_with_pauses(host: str, port: int, pauses: PauseSchedule, work_us: int) -> asyncio.Server:
    """Starts a server whose responses are delayed by the pauses.

    Args:
        host: Host to listen on.
        port: Port to listen on.
        pauses: The pauses, on the monotonic clock.
        work_us: Time that each request takes without pauses.
    """
    loop = asyncio.get_running_loop()

    def answer_later(request: ReceivedRequest) -> None:
        arrived_us = now_us()
        wait_us = pauses.completion_us(arrived_us, work_us) - arrived_us
        request_id = request.headers.get(b"req-id", b"")
        loop.call_later(wait_us / SECOND_US, request.connection.respond, 200, request_id)

    return await loop.create_server(
        lambda: ServerConnection(answer_later, lambda _connection: None), host, port, backlog=BACKLOG
    )
