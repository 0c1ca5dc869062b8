"""When the endpoint list comes, with a discovery that falls silent, is slow, or refuses, in real time."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from contextlib import suppress

import pytest

from cressrail.network import listener
from tests.network.support import RecordingEndpoint, read_status
from tests.support.configuration import SECOND
from tests.support.http_messages import (
    CHUNKED_HEADER,
    OK_STATUS_LINE,
    chunk_bytes,
    request_bytes,
    response_bytes,
)
from tests.support.scripted_peer import Script, ScriptedPeer
from tests.support.sidecar_harness import SidecarHarness

WATCH_HEAD = OK_STATUS_LINE + CHUNKED_HEADER
EMPTY_LINE = chunk_bytes(b"\n")
TOLD_AFTER_SILENCE_US = 6 * SECOND  # a change that a silent watch misses counts as told by then
TOLD_AFTER_RELOAD_US = 4 * SECOND  # what discovery has to tell counts as told by then after SIGHUP
READY_US = 6 * SECOND  # a new process is ready by then
HEARTBEAT_US = 2 * SECOND
TRICKLE_US = SECOND // 2
NEWER_REVISION = 5


def watch_line(harness: SidecarHarness, size: int) -> bytes:
    """Returns a chunk with a line of some `size` bytes that tells of a drain."""
    entry = harness.endpoint_entry(0, phase="draining")
    update = json.dumps({"revision": NEWER_REVISION, "complete": False, "members": [entry]}).encode()
    return chunk_bytes(update[:-1] + b" " * max(0, size - len(update)) + b"}\n")


def send_quietly(peer: ScriptedPeer, data: bytes) -> bool:
    """Sends to a peer that may have left; returns whether it was there."""
    with suppress(OSError):
        peer.send(data)
        return True
    return False


class Discovery:
    """A discovery whose list has a newer revision than the configured one, once it is told to.

    Attributes:
        calls: The targets that were asked for.
        connections: The number of connections so far.
        phase: What the complete list says of the endpoint.
    """

    def __init__(self) -> None:
        self.harness: SidecarHarness
        self.calls: list[str] = []
        self.slow_us: Callable[[int], int] = lambda _: 0  # by the number of the connection
        self.connections = 0
        self.phase = "up"

    def whole(self) -> bytes:
        endpoint_list = json.loads(self.harness.endpoint_list_json)
        endpoint_list["revision"] = NEWER_REVISION
        endpoint_list["members"] = [self.harness.endpoint_entry(0, phase=self.phase)]
        return response_bytes(json.dumps(endpoint_list).encode())

    def __call__(self, peer: ScriptedPeer) -> None:
        """Answers each call after `slow_us`, and keeps watches alive."""
        self.connections += 1
        number = self.connections
        while head := peer.receive_until():
            self.calls.append(head.decode().split()[1])
            peer.sleep(self.slow_us(number))
            if b"watch" not in head:
                send_quietly(peer, self.whole())
                continue
            is_there = send_quietly(peer, WATCH_HEAD + watch_line(self.harness, 0))
            while is_there:
                peer.sleep(HEARTBEAT_US)
                is_there = send_quietly(peer, EMPTY_LINE)


def time_until_newer_list(harness: SidecarHarness, begin: Callable[[], None]) -> int:
    """Runs the harness; returns how long after `begin` the newer list was there, in microseconds."""
    took_us: list[int] = []

    def client(peer: ScriptedPeer) -> None:
        watch = harness.state_machine.endpoint_watch
        peer.wait_until(lambda: watch.has_list)
        begin()
        began_us = harness.scheduler.now()
        peer.wait_until(lambda: watch.revision == NEWER_REVISION)
        took_us.append(harness.scheduler.now() - began_us)

    harness.add_client(client)
    harness.run()
    return took_us[0]


@pytest.mark.parametrize("trickle_us", [0, TRICKLE_US], ids=["silent", "byte-each-half-second"])
@pytest.mark.parametrize(
    ("size", "sent"),
    [
        pytest.param(300, 1, id="in-a-chunk-size"),
        pytest.param(300, 150, id="0.3kB-half"),
        pytest.param(11_000, 9_900, id="11kB-nine-tenths"),
        pytest.param(11_000, -3, id="11kB-but-the-line-end"),
        pytest.param(11_000, -1, id="11kB-but-a-byte"),
        pytest.param(100_000, 90_000, id="100kB-nine-tenths"),
        pytest.param(600_000, 540_000, id="600kB-nine-tenths"),
    ],
)
def test_watch_that_falls_silent_amid_a_line_is_not_waited_for(size: int, sent: int, trickle_us: int) -> None:
    """Guards against a silent watch that is kept the longer, the more of a line has come (review/6)."""
    discovery = Discovery()
    silent: list[bool] = []

    def script(peer: ScriptedPeer) -> None:
        if silent:
            discovery(peer)
            return
        peer.receive_until()
        peer.send(response_bytes(discovery.harness.endpoint_list_json))
        peer.receive_until()
        peer.send(WATCH_HEAD + EMPTY_LINE)
        peer.wait_until(lambda: silent)
        line = watch_line(discovery.harness, size)
        is_there = send_quietly(peer, line[:sent])
        while is_there and trickle_us:
            peer.sleep(trickle_us)
            is_there = send_quietly(peer, b" ")

    discovery.harness = harness = SidecarHarness([RecordingEndpoint()], script)
    assert time_until_newer_list(harness, lambda: silent.append(True)) <= TOLD_AFTER_SILENCE_US


@pytest.mark.parametrize(
    "slow_us",
    [
        pytest.param(lambda _: 1_500_000, id="slow-by-1.5s"),
        pytest.param(lambda _: 2_500_000, id="slow-by-2.5s"),
        pytest.param(lambda _: 3_500_000, id="slow-by-3.5s"),
        pytest.param(lambda number: 60 * SECOND if number == 1 else 0, id="first-connection-silent"),
        pytest.param(lambda number: 60 * SECOND if number <= 2 else 0, id="first-two-connections-silent"),
        pytest.param(lambda number: 60 * SECOND if number == 1 else 2_500_000, id="first-silent-then-slow"),
    ],
)
def test_slow_answer_of_a_new_discovery_is_not_given_up(slow_us: Callable[[int], int]) -> None:
    """Guards against calls given up before a slow discovery answers, each begun anew (review/9)."""
    discovery = Discovery()
    discovery.slow_us = slow_us
    discovery.harness = harness = SidecarHarness([RecordingEndpoint()])
    address = add_discovery(harness, discovery)
    assert time_until_newer_list(harness, lambda: reload(harness, address)) <= TOLD_AFTER_RELOAD_US


def add_discovery(harness: SidecarHarness, script: Script) -> tuple[str, int]:
    """Starts another discovery; returns its address."""
    sock = listener.bind(harness.host, 0)
    harness.listening_sockets.append(sock)
    harness.scheduler.spawn(lambda: harness._accept(sock, script))
    return harness.host, int(sock.getsockname()[1])


def reload(harness: SidecarHarness, address: tuple[str, int]) -> None:
    """Reloads a configuration that names this address of discovery."""
    dispatcher = harness.dispatcher
    dispatcher.dispatch(harness.state_machine.on_discovery_address(dispatcher.now(), address))


@pytest.mark.parametrize("slow_us", [0, 2_500_000], ids=["at-once", "slow-by-2.5s"])
@pytest.mark.parametrize("first", ["silent", "refuses", "half-a-line", "same"])
def test_list_is_told_in_time_after_two_reloads(first: str, slow_us: int) -> None:
    """Guards against calls and half-read lines of an earlier address that hold up those to the last one."""
    discovery = Discovery()
    discovery.slow_us = lambda _: slow_us

    def script(peer: ScriptedPeer) -> None:
        while head := peer.receive_until():
            if b"watch" not in head:
                peer.send(response_bytes(discovery.harness.endpoint_list_json))
                continue
            send_quietly(peer, WATCH_HEAD + EMPTY_LINE)
            if first == "half-a-line":
                send_quietly(peer, watch_line(discovery.harness, 11_000)[:9_000])
            peer.sleep(30 * SECOND)

    discovery.harness = harness = SidecarHarness([RecordingEndpoint()], script)
    address = add_discovery(harness, discovery)
    others = {
        "silent": add_discovery(harness, lambda peer: peer.sleep(30 * SECOND)),
        "refuses": (harness.host, unused_port(harness.host)),
        "half-a-line": (harness.host, harness.ports[-1]),
        "same": address,
    }

    def reload_twice() -> None:
        reload(harness, others[first])
        harness.scheduler.wait(until_us=harness.scheduler.now() + SECOND // 2)
        reload(harness, address)

    assert time_until_newer_list(harness, reload_twice) <= TOLD_AFTER_RELOAD_US


def test_list_is_told_in_time_after_a_reload_back_to_the_old_address() -> None:
    """Guards against a return to an address whose calls were ended for another one."""
    discovery = Discovery()
    discovery.harness = harness = SidecarHarness([RecordingEndpoint()], lambda peer: script(peer))
    answers_newer: list[bool] = []

    def script(peer: ScriptedPeer) -> None:
        if answers_newer:
            discovery(peer)
        else:
            peer.receive_until()
            peer.send(response_bytes(harness.endpoint_list_json))
            peer.sleep(30 * SECOND)

    silent = add_discovery(harness, lambda peer: peer.sleep(30 * SECOND))

    def reload_there_and_back() -> None:
        reload(harness, silent)
        harness.scheduler.wait(until_us=harness.scheduler.now() + SECOND // 2)
        answers_newer.append(True)
        reload(harness, (harness.host, harness.ports[-1]))

    assert time_until_newer_list(harness, reload_there_and_back) <= TOLD_AFTER_RELOAD_US


@pytest.mark.parametrize(
    ("slow_us", "refuses"),
    [
        pytest.param(lambda _: 0, False, id="at-once"),
        pytest.param(lambda _: 300_000, False, id="slow-by-0.3s"),
        pytest.param(lambda _: 700_000, False, id="slow-by-0.7s"),
        pytest.param(lambda _: 1_500_000, False, id="slow-by-1.5s"),
        pytest.param(lambda _: 3 * SECOND, False, id="slow-by-3s"),
        pytest.param(lambda _: 4_500_000, False, id="slow-by-4.5s"),
        pytest.param(lambda number: 60 * SECOND if number == 1 else 0, False, id="first-connection-silent"),
        pytest.param(lambda _: 1_500_000, True, id="refuses-then-slow-by-1.5s"),
    ],
)
@pytest.mark.parametrize("known_endpoints", [1, 0], ids=["known", "nothing-known"])
def test_started_sidecar_sends_nothing_by_the_configured_list_while_discovery_may_answer(
    slow_us: Callable[[int], int], refuses: bool, known_endpoints: int
) -> None:
    """Guards against requests sent by a list that may be old, while discovery is about to answer (review/8).

    The endpoint drains in discovery's list; each request is answered early all the same.
    """
    discovery = Discovery()
    discovery.slow_us = slow_us
    discovery.phase = "draining"
    listed = RecordingEndpoint()
    discovery.harness = harness = SidecarHarness([listed], discovery, known_endpoints=known_endpoints)
    if refuses:
        refuse_for(harness, SECOND)
    watch = harness.state_machine.endpoint_watch
    slowest_us: list[int] = [0]

    def client(peer: ScriptedPeer) -> None:
        while not watch.has_list:
            sent_us = harness.scheduler.now()
            peer.send(request_bytes(Req_Deadline="1000m"))
            assert read_status(peer) == b"503"
            slowest_us.append(harness.scheduler.now() - sent_us)
            peer.sleep(20_000)
        assert harness.scheduler.now() - watch.started_us < READY_US

    harness.add_client(client)
    harness.run()
    assert not listed.heads
    assert max(slowest_us) < SECOND


def refuse_for(harness: SidecarHarness, span_us: int) -> None:
    """Has connections to the harness's discovery refused for a while."""
    sock, port = harness.listening_sockets[-1], harness.ports[-1]
    address = harness.host, port
    harness.state_machine.endpoint_watch.discovery = harness.host, unused_port(harness.host)

    def listen_again() -> None:
        harness.scheduler.wait(until_us=harness.scheduler.now() + span_us)
        assert sock.getsockname() == address
        harness.state_machine.endpoint_watch.discovery = address

    harness.scheduler.spawn(listen_again)


def unused_port(host: str) -> int:
    """Returns a port on which nobody listens."""
    with socket.create_server((host, 0)) as server:
        return int(server.getsockname()[1])
