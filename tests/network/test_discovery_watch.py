"""The watch of the endpoint list, against a scripted discovery service."""

from __future__ import annotations

import json
from typing import Any

from tests.support.configuration import endpoint_entry
from tests.support.http_messages import (
    CHUNKED_HEADER,
    OK_STATUS_LINE,
    chunk_bytes,
    request_bytes,
    response_bytes,
)
from tests.support.scripted_peer import ScriptedPeer, answer_each_with
from tests.support.sidecar_harness import SidecarHarness


def test_watch_applies_updates_and_keeps_the_list_through_malformed_and_truncated_lines() -> None:
    polls: list[bytes] = []
    may_drain: list[bool] = []

    def discovery(peer: ScriptedPeer) -> None:
        polls.append(peer.receive_until().partition(b"\r\n")[0])
        if b"watch" not in polls[-1]:
            peer.send(response_bytes(update_line(4, is_complete=True)))
            polls[-1] = peer.receive_until().partition(b"\r\n")[0]
        peer.send(OK_STATUS_LINE + CHUNKED_HEADER)
        if len(polls) == 1:
            peer.send(chunk_bytes(update_line(5)) + chunk_bytes(b"\n") + chunk_bytes(b"{nonsense\n"))
        elif len(polls) == 2:
            peer.send(chunk_bytes(update_line(6)[:40]))
            peer.sock.close()
        else:
            peer.wait_until(lambda: may_drain)
            peer.send(chunk_bytes(update_line(7, phase="draining")))

    harness = SidecarHarness([answer_each_with(response_bytes())], discovery)

    def update_line(revision: int, is_complete: bool = False, **changes: Any) -> bytes:
        entry = endpoint_entry("s0", harness.ports[0], **changes)
        update = {"revision": revision, "complete": is_complete, "members": [entry]}
        return json.dumps(update).encode() + b"\n"

    statuses: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        def is_served_until_third_poll() -> bool:
            peer.send(request_bytes())
            statuses.append(peer.receive_until()[9:12])
            return len(polls) == 3

        peer.wait_until(is_served_until_third_poll)
        may_drain.append(True)
        peer.wait_until(lambda: harness.state_machine.endpoint_watch.revision == 7)
        peer.send(request_bytes(Req_Deadline="10m"))
        statuses.append(peer.receive_until()[9:12])

    harness.add_client(client)
    harness.run()
    assert set(statuses[:-1]) == {b"200"}
    assert statuses[-1] == b"503"
    assert polls == [b"GET /catalog/members?watch=1&after=%d HTTP/1.1" % revision for revision in (4, 5, 5)]


def test_watch_is_opened_again_after_it_found_no_buffer() -> None:
    harness = SidecarHarness([answer_each_with(response_bytes())])
    pool = harness.dispatcher.pool
    max_lent, pool.max_lent = pool.max_lent, 0

    def client(peer: ScriptedPeer) -> None:
        peer.wait_until(lambda: harness.state_machine.endpoint_watch.consecutive_failures)
        pool.max_lent = max_lent
        peer.wait_until(lambda: len(harness.open_sockets) == 3)  # this client, the first watch and another

    harness.add_client(client)
    harness.run()
