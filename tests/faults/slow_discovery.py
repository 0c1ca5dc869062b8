"""A discovery for seeded plays: slow, silent on some connections, with long lines left half sent."""

from __future__ import annotations

import json
import random
import threading
import time
from typing import Any, NamedTuple

from tests.faults.support import EndpointPeer
from tests.support.http_messages import CHUNKED_HEADER, OK_STATUS_LINE, chunk_bytes, response_bytes

HEARTBEAT_S = 2.0
CHANGE_S = 0.7  # between two changes of the list, which name the same endpoints
SILENT_S = 30.0
TRICKLED_BYTES_S = 0.5  # between two bytes of a line that trickles


class Manner(NamedTuple):
    """How discovery behaves in one play.

    Attributes:
        slow_s: How long each answer is waited for.
        silent_share: Share of the connections that are accepted and never answered.
        cut_share: Share of the long lines that are left half sent.
        trickles: Whether single bytes follow such a half.
        line_bytes: Size of the lines that tell of a change.
    """

    slow_s: float
    silent_share: float
    cut_share: float
    trickles: bool
    line_bytes: int


def draw_manner(rng: random.Random) -> Manner:
    """Returns how discovery behaves in a play."""
    return Manner(
        slow_s=rng.choice([0.0, 0.3, 0.7, 1.5, 3.0]),
        silent_share=rng.choice([0.0, 0.0, 0.3]),
        cut_share=rng.choice([0.0, 0.2, 0.5]),
        trickles=rng.random() < 0.5,
        line_bytes=rng.choice([300, 11_000, 100_000, 600_000]),
    )


class SlowDiscovery:
    """The script of each connection; use it as that of a `StandInEndpoint`."""

    def __init__(self, rng: random.Random, entries: list[dict[str, Any]]) -> None:
        self.manner = draw_manner(rng)
        self.entries = entries
        self._random = rng
        self._lock = threading.Lock()
        self._began_s = time.monotonic()

    def __call__(self, peer: EndpointPeer) -> None:
        """Answers calls until the connection ends."""
        if self._happens(self.manner.silent_share):
            time.sleep(SILENT_S)
            return
        while head := peer.read_head():
            time.sleep(self.manner.slow_s)
            if b"watch" in head:
                self._watch(peer)
                return
            peer.sock.sendall(response_bytes(self._document(is_complete=True)))

    def _happens(self, share: float) -> bool:
        with self._lock:
            return self._random.random() < share

    def _revision(self) -> int:
        return 5 + int((time.monotonic() - self._began_s) / CHANGE_S)

    def _document(self, is_complete: bool) -> bytes:
        update = {"revision": self._revision(), "complete": is_complete, "members": self.entries}
        return json.dumps(update).encode()

    def _watch(self, peer: EndpointPeer) -> None:
        peer.sock.sendall(OK_STATUS_LINE + CHUNKED_HEADER)
        told = -1
        heartbeat_s = time.monotonic()
        while True:
            if told != self._revision():
                told = self._revision()
                self._send_line(peer)
            elif time.monotonic() - heartbeat_s >= HEARTBEAT_S:
                heartbeat_s = time.monotonic()
                peer.sock.sendall(chunk_bytes(b"\n"))
            time.sleep(0.02)

    def _send_line(self, peer: EndpointPeer) -> None:
        document = self._document(is_complete=False)
        padding = b" " * max(0, self.manner.line_bytes - len(document))
        line = chunk_bytes(document[:-1] + padding + b"}\n")
        if not self._happens(self.manner.cut_share):
            peer.sock.sendall(line)
            return
        peer.sock.sendall(line[: len(line) // 2])
        until_s = time.monotonic() + SILENT_S
        while time.monotonic() < until_s:
            time.sleep(TRICKLED_BYTES_S)
            if self.manner.trickles:
                peer.sock.sendall(b" ")
