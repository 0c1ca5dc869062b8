"""The latencies that a closed-loop load generator would have reported for the same requests.

A closed loop sends a request only after the previous response, so during a server stall it takes fewer
samples instead of recording high latencies: coordinated omission (Tene, 'How NOT to Measure Latency').
"""

from __future__ import annotations

from heapq import heappop, heappush

import numpy as np

from cressrail.load.latency_histogram import Microseconds


def closed_loop_latencies(
    due_us: Microseconds, sent_us: Microseconds, ended_us: Microseconds, workers: int
) -> Microseconds:
    """Returns the latencies, measured from the send, that a closed loop with `workers` workers would record.

    A free worker takes the next due request. Requests that are due while all workers wait for responses are
    never sent, so they add no latency to the result.
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
    """Returns the typical number of requests in flight (Little's law, with the median latency)."""
    span_us = max(1, int(due_us.max() - due_us.min()))
    return max(1, round(len(due_us) / span_us * float(np.median(latency_us))))
