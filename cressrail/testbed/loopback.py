"""Loopback addresses for listeners whose ports must be known before they start."""

from __future__ import annotations

import os

FIRST_NETWORK = 64  # 127.64.0.0 and up, away from other listeners on loopback
NETWORK_BLOCK = 64  # second octets per block; a run that fills its network continues in the next block
BLOCKS = 3
OCTET_VALUES = 256
HOSTS_IN_NETWORK = 254


def loopback_host(number: int) -> str:
    """Returns a loopback address from the range of this process.

    Concurrent runs have different ranges, unless their process IDs differ by a multiple of 16384. A range has
    762 addresses; numbers that differ by a multiple of that have the same address.
    """
    run = os.getpid() % (NETWORK_BLOCK * OCTET_VALUES)
    block = number // HOSTS_IN_NETWORK % BLOCKS
    second_octet = FIRST_NETWORK + run // OCTET_VALUES + NETWORK_BLOCK * block
    return f"127.{second_octet}.{run % OCTET_VALUES}.{number % HOSTS_IN_NETWORK + 1}"
