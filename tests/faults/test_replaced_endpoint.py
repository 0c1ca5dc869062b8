"""A new process at the address of one that has gone is not taken for the old one."""

from __future__ import annotations

import json
import time
from typing import Any

from tests.faults.conftest import StartEndpoint, StartSidecar
from tests.faults.support import EndpointPeer, answer_all, read_answer
from tests.support.configuration import endpoint_entry
from tests.support.http_messages import (
    CHUNKED_HEADER,
    OK_STATUS_LINE,
    chunk_bytes,
    request_bytes,
    response_bytes,
)

REQUESTS = 120
PAUSE_S = 0.005
MAX_SHARE = 0.4  # of a new process beside one that is warm: it begins with a fifth of the load


class Discovery:
    """The script of a discovery service; `members` is the whole list, which is told again when it changes."""

    def __init__(self, *members: dict[str, Any]) -> None:
        self.members = list(members)
        self.revision = 5

    def change(self, *members: dict[str, Any]) -> None:
        """Sets the list."""
        self.members = list(members)
        self.revision += 1

    def __call__(self, peer: EndpointPeer) -> None:
        while head := peer.read_head():
            if b"watch" not in head:
                peer.sock.sendall(response_bytes(self._list()))
                continue
            peer.sock.sendall(OK_STATUS_LINE + CHUNKED_HEADER)
            told = self.revision
            while True:
                if told != self.revision:
                    told = self.revision
                    peer.sock.sendall(chunk_bytes(self._list() + b"\n"))
                time.sleep(0.02)

    def _list(self) -> bytes:
        return json.dumps({"revision": self.revision, "complete": True, "members": self.members}).encode()


def test_new_process_at_the_address_of_a_listed_one_gets_its_own_share_alone(
    start_endpoint: StartEndpoint, start_sidecar: StartSidecar
) -> None:
    """Guards against sending what is meant for a process that has gone to a new one, which is cold."""
    shared, other = start_endpoint("shared", answer_all), start_endpoint("other", answer_all)
    old, warm = endpoint_entry("s-old", shared.port), endpoint_entry("s-warm", other.port)
    script = Discovery(old, warm)
    discovery = start_endpoint("discovery", script)
    sidecar = start_sidecar(shared, other, discovery=f"127.0.0.1:{discovery.port}")
    new = endpoint_entry("s-new", shared.port, up_since_ms=int(time.time() * 1000))
    script.change(old, warm, new)
    time.sleep(0.3)
    shared.arrivals.clear()
    with sidecar.connect() as sock:
        for _ in range(REQUESTS):
            sock.sendall(request_bytes())
            assert read_answer(sock, time.monotonic()).status == 200
            time.sleep(PAUSE_S)
    assert len(shared.arrivals) < MAX_SHARE * REQUESTS, len(shared.arrivals)
    script.change(warm, new)  # the old one is listed no more; the new one stays
    time.sleep(0.3)
    other.close()
    with sidecar.connect() as sock:
        for _ in range(5):
            sock.sendall(request_bytes())
            assert read_answer(sock, time.monotonic()).status == 200
