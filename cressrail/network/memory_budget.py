"""How much of the memory limit the buffers may take, beside the process itself and its connections.

The fields of the requests that are kept count as buffers.
"""

from __future__ import annotations

import resource

MAX_BUFFERS_SHARE = 0.5  # of the memory limit
MIN_BUFFERS_SHARE = 1 / 16  # below this, no limit is kept: the process itself is too large for it
CONNECTION_BYTES = 12 << 10  # the task of a connection and its records
SPARE_BYTES = 3 << 20  # log lines that wait, endpoint lists that arrive, fragmentation
DEFAULT_RESIDENT_BYTES = 36 << 20  # of a process that has just started, if the system does not tell
MEMORY_FILE = "/proc/self/statm"  # proc(5): sizes in pages, the resident size second


def resident_bytes() -> int:
    """Returns how much memory the process holds."""
    try:
        with open(MEMORY_FILE) as file:
            return int(file.read().split()[1]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return DEFAULT_RESIDENT_BYTES


def buffer_bytes(limit_bytes: int, process_bytes: int, clients: int, endpoint_connections: int) -> int:
    """Returns how many bytes of buffers may be lent, so that the process stays within its memory limit.

    Args:
        limit_bytes: The memory limit of the process.
        process_bytes: What the process holds before it has connections.
        clients: Maximum number of clients.
        endpoint_connections: Maximum number of connections to endpoints.
    """
    connections_bytes = (clients + endpoint_connections) * CONNECTION_BYTES
    rest = limit_bytes - process_bytes - connections_bytes - SPARE_BYTES
    return max(int(limit_bytes * MIN_BUFFERS_SHARE), min(int(limit_bytes * MAX_BUFFERS_SHARE), rest))
