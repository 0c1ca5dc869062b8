"""Tests of the discovery watch against a scripted discovery service."""

from __future__ import annotations

import json
from typing import Any

import pytest

from cressrail.network import discovery_call, discovery_watch
from cressrail.proxy import endpoint_list
from tests.network.support import RecordingEndpoint, ScriptedDiscovery, read_status
from tests.support.configuration import SECOND
from tests.support.http_messages import (
    CHUNKED_HEADER,
    OK_STATUS_LINE,
    chunk_bytes,
    request_bytes,
    response_bytes,
)
from tests.support.scripted_peer import ScriptedPeer, answer_each_with
from tests.support.sidecar_harness import SidecarHarness

WATCH_HEAD = OK_STATUS_LINE + CHUNKED_HEADER


def test_watch_applies_updates_and_keeps_the_list_after_malformed_and_truncated_lines() -> None:
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
        entry = harness.endpoint_entry(0, **changes)
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


def test_watch_is_reopened_after_buffer_pool_was_exhausted() -> None:
    harness = SidecarHarness([answer_each_with(response_bytes())])
    pool = harness.dispatcher.pool
    max_lent, pool.max_lent = pool.max_lent, 0

    def client(peer: ScriptedPeer) -> None:
        peer.wait_until(lambda: harness.state_machine.endpoint_watch.consecutive_failures)
        pool.max_lent = max_lent
        peer.wait_until(lambda: len(harness.open_sockets) == 3)  # of this client and two watches

    harness.add_client(client)
    harness.run()


def test_watch_silence_budget_covers_all_stages() -> None:
    """An update must arrive within 6 s after a watch falls silent and 4 s after discovery's address changes.

    In both cases two more connections to discovery may be silent before the one that succeeds: no call waits
    for the end of another.
    """
    margin_us = 500_000
    missed_us, beside_us = discovery_watch.MISSED_HEARTBEAT_US, discovery_watch.CALL_BESIDE_US
    assert discovery_watch.MAX_OPEN_CALLS == 3
    assert missed_us + beside_us + margin_us <= 6 * SECOND
    assert beside_us + 2 * beside_us + margin_us <= 4 * SECOND
    assert 6 * SECOND - 2 * margin_us >= discovery_call.SILENCE_TIMEOUT_US  # a call to replace the silent one


@pytest.mark.parametrize(
    "answer",
    [
        pytest.param(b"", id="nothing"),
        pytest.param(WATCH_HEAD, id="head-only"),
        pytest.param(WATCH_HEAD + chunk_bytes(b'{"revis'), id="partial-line"),
        pytest.param(WATCH_HEAD + chunk_bytes(b'{\n  "revision": 5,\n\n'), id="partial-indented-object"),
    ],
)
def test_watch_without_complete_line_is_reopened(answer: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_call, "FIRST_BYTE_TIMEOUT_US", 30_000)
    monkeypatch.setattr(discovery_call, "SILENCE_TIMEOUT_US", 60_000)
    polls: list[bytes] = []
    harness = SidecarHarness([RecordingEndpoint()], lambda peer: discovery(peer))

    def discovery(peer: ScriptedPeer) -> None:
        while head := peer.receive_until():
            polls.append(head.partition(b" HTTP")[0])
            peer.send(answer if b"watch" in head else response_bytes(harness.endpoint_list_json))

    def client(peer: ScriptedPeer) -> None:
        peer.wait_until(lambda: sum(b"watch" in poll for poll in polls) >= 3)

    harness.add_client(client)
    harness.run()
    assert polls[:4] == [b"GET /catalog/members", *[b"GET /catalog/members?watch=1&after=4"] * 3]


def test_truncated_object_does_not_swallow_next_one() -> None:
    polls: list[bytes] = []
    harness = SidecarHarness([RecordingEndpoint()], lambda peer: discovery(peer))

    def discovery(peer: ScriptedPeer) -> None:
        while head := peer.receive_until():
            polls.append(head.partition(b" HTTP")[0])
            if b"watch" not in head:
                peer.send(response_bytes(harness.endpoint_list_json))
                continue
            peer.send(OK_STATUS_LINE + CHUNKED_HEADER + chunk_bytes(b'{"revision": 5,\n\n'))
            while len(polls) < 3:  # sends empty lines, so that the watch does not time out
                try:
                    peer.send(chunk_bytes(b"\n"))
                except OSError:
                    return
                peer.sleep(5_000)

    def client(peer: ScriptedPeer) -> None:
        peer.wait_until(lambda: len(polls) > 2)

    harness.add_client(client)
    harness.run()
    assert polls[1:3] == [b"GET /catalog/members?watch=1&after=4"] * 2


def test_slowly_sent_line_counts_as_silence_and_long_list_does_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery_call, "SILENCE_TIMEOUT_US", 100_000)
    monkeypatch.setattr(discovery_call, "LINE_TIMEOUT_US", 100_000)
    monkeypatch.setattr(discovery_call, "MIN_LINE_BYTES_PER_S", 100_000)
    pieces_by_watch: list[int] = []
    harness = SidecarHarness([RecordingEndpoint()], lambda peer: discovery(peer))
    long_list = response_bytes(harness.endpoint_list_json.replace(b'"members"', b" " * 30_000 + b'"members"'))

    def discovery(peer: ScriptedPeer) -> None:
        if b"watch" not in peer.receive_until():
            for start in range(0, len(long_list), 3_000):  # takes longer in total than the silence time-out
                peer.send(long_list[start : start + 3_000])
                peer.sleep(15_000)
            peer.receive_until()
        peer.send(OK_STATUS_LINE + CHUNKED_HEADER)
        pieces_by_watch.append(0)
        while peer.sock.fileno() >= 0:
            try:
                peer.send(chunk_bytes(b" "))
            except OSError:
                return
            pieces_by_watch[-1] += 1
            peer.sleep(10_000)

    def client(peer: ScriptedPeer) -> None:
        peer.wait_until(lambda: len(pieces_by_watch) > 1)

    harness.add_client(client)
    harness.run()
    assert harness.state_machine.endpoint_watch.has_list
    assert pieces_by_watch[0] >= 1


def test_indented_update_may_take_longer_in_all_than_one_line(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a time limit for lines that counts an indented update as one of them."""
    monkeypatch.setattr(discovery_call, "LINE_TIMEOUT_US", 100_000)
    monkeypatch.setattr(discovery_call, "MIN_LINE_BYTES_PER_S", SECOND)
    watches: list[bytes] = []
    harness = SidecarHarness([RecordingEndpoint()], lambda peer: discovery(peer))

    def discovery(peer: ScriptedPeer) -> None:
        peer.receive_until()
        peer.send(response_bytes(harness.endpoint_list_json))
        watches.append(peer.receive_until())
        update = {"revision": 5, "complete": False, "members": [harness.endpoint_entry(0, phase="draining")]}
        peer.send(WATCH_HEAD)
        for line in json.dumps(update, indent=1).encode().splitlines():
            peer.send(chunk_bytes(line + b"\n"))
            peer.sleep(30_000)

    def client(peer: ScriptedPeer) -> None:
        peer.wait_until(lambda: harness.state_machine.endpoint_watch.revision == 5)

    harness.add_client(client)
    harness.run()
    assert len(watches) == 1


@pytest.mark.parametrize("indent", [None, 1, 4])
def test_updates_may_be_indented_and_share_a_read(indent: int | None) -> None:
    harness = SidecarHarness([RecordingEndpoint()], lambda peer: discovery(peer))
    updates = [
        {
            "revision": revision,
            "complete": False,
            "members": [harness.endpoint_entry(0, phase=phase)],
        }
        for revision, phase in ((5, "draining"), (6, "up"), (7, "draining"))
    ]

    def discovery(peer: ScriptedPeer) -> None:
        peer.receive_until()
        peer.send(response_bytes(json.dumps(json.loads(harness.endpoint_list_json), indent=indent).encode()))
        peer.receive_until()
        peer.send(
            OK_STATUS_LINE
            + CHUNKED_HEADER
            + chunk_bytes(
                b"\n"
                + b"\n".join(json.dumps(update, indent=indent).encode() for update in updates)
                + b'\n\n{"revision": 8, "comp'
            )
        )

    def client(peer: ScriptedPeer) -> None:
        peer.wait_until(lambda: harness.state_machine.endpoint_watch.revision == 7)
        peer.sleep(20_000)
        assert not harness.state_machine.load_balancer.endpoints[0].accepts_requests
        assert not harness.state_machine.endpoint_watch.consecutive_failures

    harness.add_client(client)
    harness.run()


@pytest.mark.parametrize(
    ("phase", "sent"), [pytest.param("draining", 0, id="draining"), pytest.param("up", 1, id="still-up")]
)
def test_configured_list_is_not_used_while_discovery_may_answer(phase: str, sent: int) -> None:
    listed, other, discovery = RecordingEndpoint(), RecordingEndpoint(), ScriptedDiscovery()

    def slow_discovery(peer: ScriptedPeer) -> None:
        peer.sleep(60_000)
        discovery(peer)

    harness = SidecarHarness([listed, other], slow_discovery, known_endpoints=1)
    discovery.endpoint_list = json.loads(harness.endpoint_list_json)
    discovery.endpoint_list["members"][0]["phase"] = phase
    discovery.endpoint_list["members"].append(harness.endpoint_entry(1, phase="draining" if sent else "up"))
    statuses: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())  # sent before discovery answers
        statuses.append(read_status(peer))

    harness.add_client(client)
    harness.run()
    assert statuses == [b"200"]
    assert (len(listed.heads), len(other.heads)) == (sent, 1 - sent)


def test_configured_list_is_used_if_discovery_is_silent(monkeypatch: pytest.MonkeyPatch) -> None:
    """Until the wait for the list is over, requests are rejected early, and none reaches an endpoint."""
    list_wait_us, accept_wait_us = SECOND, 200_000
    monkeypatch.setattr(endpoint_list, "LIST_WAIT_US", list_wait_us)
    monkeypatch.setattr(endpoint_list, "ACCEPT_WAIT_US", accept_wait_us)
    endpoint = RecordingEndpoint()
    harness = SidecarHarness([endpoint], lambda peer: peer.sleep(20 * SECOND))
    started_us = harness.state_machine.endpoint_watch.started_us
    statuses: list[bytes] = []
    answered_us: list[int] = []

    def client(peer: ScriptedPeer) -> None:
        while b"200" not in statuses:
            peer.send(request_bytes(Req_Deadline="1000m"))
            statuses.append(read_status(peer))
            answered_us.append(harness.scheduler.now() - started_us)
            assert answered_us[-1] < list_wait_us + SECOND // 2
            peer.sleep(10_000)

    harness.add_client(client)
    harness.run()
    assert set(statuses[:-1]) == {b"503"}
    assert accept_wait_us <= answered_us[0] < list_wait_us // 2
    assert answered_us[-1] >= list_wait_us
    assert len(endpoint.heads) == 1
    assert not harness.state_machine.endpoint_watch.has_list
