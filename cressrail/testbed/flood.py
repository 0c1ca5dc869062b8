"""Floods a sidecar with datagrams that it must reject: forged, truncated, replayed and random ones.

The flood runs in a process of its own, so that it does not delay the test bed's relay, until it is killed:

python -m cressrail.testbed.flood HOST PORT DATAGRAMS_PER_S KEY_FILE
"""

from __future__ import annotations

import os
import random
import socket
import sys
import time
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path

from cressrail.membership import codec
from cressrail.membership.authentication import sign_datagram
from cressrail.membership.messages import ALIVE, InstanceRecord

BURST_INTERVAL_S = 0.002
FORGED_KEY_BYTES = 32
RANDOM_DATAGRAM_SIZES = (1400, 20, 2000)  # bytes: the longest allowed, a short one and one that is too long


def build_datagrams(key: bytes, seed: int = 1) -> list[bytes]:
    """Returns one datagram of each type, of which only the first carries a valid signature.

    Args:
        key: Membership key of the fleet.
        seed: Seed of the random bytes.
    """
    record = codec.encode_record(InstanceRecord("ghost", "a", ("127.99.0.1", 9), 1, 7, ALIVE))
    plain = codec.encode_datagram(codec.GOSSIP, 1, record)
    replayed, forged = sign_datagram(key, plain), sign_datagram(os.urandom(FORGED_KEY_BYTES), plain)
    random_generator = random.Random(seed)
    return [
        replayed,
        forged,
        replayed[: len(replayed) // 2],
        replayed[:-1],
        *(random_generator.randbytes(size) for size in RANDOM_DATAGRAM_SIZES),
    ]


def send_flood(address: tuple[str, int], datagrams_per_s: float, datagrams: Sequence[bytes]) -> None:
    """Sends the datagrams in turn, on average `datagrams_per_s` of them per second; never returns."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    with socket.socket(family, socket.SOCK_DGRAM) as sock:
        started_s, sent_count = time.monotonic(), 0
        while True:
            due_count = int((time.monotonic() - started_s) * datagrams_per_s)
            while sent_count < due_count:
                with suppress(OSError):  # the port is closed, or the send queue is full
                    sock.sendto(datagrams[sent_count % len(datagrams)], address)
                sent_count += 1
            time.sleep(BURST_INTERVAL_S)


def main(arguments: Sequence[str]) -> None:
    """Parses the command line and sends datagrams until the process is killed."""
    host, port, datagrams_per_s, key_file = arguments
    key = bytes.fromhex(Path(key_file).read_text().split()[0])
    send_flood((host, int(port)), float(datagrams_per_s), build_datagrams(key))


if __name__ == "__main__":
    main(sys.argv[1:])
