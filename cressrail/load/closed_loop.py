"""What a closed-loop generator would have reported of the same requests.

A closed loop sends its next request when it has the last answer, so a stall of the server costs it samples
instead of showing in them: coordinated omission (Tene, 'How NOT to Measure Latency').
"""

from __future__ import annotations

from heapq import heappop, heappush

import numpy as np

from cressrail.load.latency_histogram import Microseconds


def closed_loop_latencies(
    due_us: Microseconds, sent_us: Microseconds, ended_us: Microseconds, workers: int
) -> Microseconds:
    """Returns the latencies, from the send, that `workers` in a closed loop would have seen.

    A worker takes the next request that is due while it is free; what is due while all of them wait is never
    sent, and so never seen.
    """
    free_at_us = [0] * workers
    latencies_us = []
    for index in np.argsort(due_us, kind="stable"):
        if free_at_us[0] <= due_us[index]:
            heappop(free_at_us)
            heappush(free_at_us, int(ended_us[index]))
            latencies_us.append(int(ended_us[index] - max(due_us[index], sent_us[index])))
    return np.array(latencies_us, np.int64)


def typical_worker_count(due_us: Microseconds, latency_us: Microseconds) -> int:
    """Returns how many requests are usually in flight (Little's law, with the median latency)."""
    span_us = max(1, int(due_us.max() - due_us.min()))
    return max(1, round(len(due_us) / span_us * float(np.median(latency_us))))
