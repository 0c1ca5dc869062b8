"""python -m cressrail.testbed.flood HOST PORT RATE KEYS: datagrams to one sidecar, so many a second, until it
is ended: forged, cut short, replayed, and noise. A process of its own, so that the relay is not held up."""

from __future__ import annotations

import os
import random
import socket
import sys
import time
from contextlib import suppress
from pathlib import Path

from cressrail.membership import codec
from cressrail.membership.authentication import sign_datagram
from cressrail.membership.messages import ALIVE, InstanceRecord

TURN_S = 0.002  # between two bursts


def pieces(key: bytes, seed: int = 1) -> list[bytes]:
    """One of each kind."""
    own = codec.encode_record(InstanceRecord("ghost", "a", ("127.99.0.1", 9), 1, 7, ALIVE))
    sound = codec.encode_datagram(codec.GOSSIP, 1, own)
    replayed, forged = sign_datagram(key, sound), sign_datagram(os.urandom(32), sound)
    chance = random.Random(seed)
    return [
        replayed,
        forged,
        replayed[: len(replayed) // 2],
        replayed[:-1],
        chance.randbytes(1400),
        chance.randbytes(20),
        chance.randbytes(2000),
    ]


def flood(at: tuple[str, int], rate: float, told: list[bytes]) -> None:
    family = socket.AF_INET6 if ":" in at[0] else socket.AF_INET
    with socket.socket(family, socket.SOCK_DGRAM) as sock:
        began, sent = time.monotonic(), 0
        while True:
            due = int((time.monotonic() - began) * rate)
            while sent < due:
                with suppress(OSError):  # it is down, or its queue is full
                    sock.sendto(told[sent % len(told)], at)
                sent += 1
            time.sleep(TURN_S)


def main(words: list[str]) -> None:
    host, port, rate, keys = words
    key = bytes.fromhex(Path(keys).read_text().split()[0])
    flood((host, int(port)), float(rate), pieces(key))


if __name__ == "__main__":
    main(sys.argv[1:])
