"""Two events that cross, each order forced: the real tasks and reducer on loopback, amid peers that hold a
byte or send two things at once. docs/incidents/narrow-moments.md has the table of them."""

from __future__ import annotations

import errno
import json
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import pytest

from cressrail.event_loop.scheduler import MESSAGE, READABLE, Scheduler
from cressrail.network import discovery_watch as watch
from cressrail.network.socket_stream import SocketStream, StreamInterruptedError
from cressrail.proxy import commands as do
from cressrail.proxy import endpoint_connections, forwarding
from cressrail.proxy.state_machine import StateMachine
from tests.support.configuration import SECOND, endpoint_entry
from tests.support.http_messages import (
    CHUNKED_HEADER,
    OK_STATUS_LINE,
    chunk_bytes,
    request_bytes,
    response_bytes,
)
from tests.support.scripted_peer import ScriptedPeer
from tests.support.sidecar_harness import SidecarHarness

BIG = bytes(range(256)) * 256


class Seen:
    """An endpoint that answers all it is asked, and keeps what it was asked."""

    def __init__(self, *answers: bytes) -> None:
        self.answers = answers or (response_bytes(b"hello"),)
        self.heads: list[bytes] = []

    def __call__(self, peer: ScriptedPeer) -> None:
        while head := peer.receive_until():
            self.heads.append(head)
            peer.send(self.answers[(len(self.heads) - 1) % len(self.answers)])


class Agent:
    """Discovery that tells its list, and what else it is given, each to all who watch."""

    def __init__(self) -> None:
        self.first: dict[str, Any] = {}
        self.rows: list[dict[str, Any]] = []
        self.asks: list[bytes] = []

    def __call__(self, peer: ScriptedPeer) -> None:
        told = 0
        while head := peer.receive_until():
            self.asks.append(head.partition(b"\r\n")[0])
            if b"watch" not in head:
                peer.send(response_bytes(json.dumps(self.first).encode()))
                continue
            peer.send(OK_STATUS_LINE + CHUNKED_HEADER + chunk_bytes(b"\n"))
            while True:
                if told < len(self.rows):
                    line = {"revision": 5 + told, "complete": False, "members": [self.rows[told]]}
                    peer.send(chunk_bytes(json.dumps(line).encode() + b"\n"))
                    told += 1
                peer.sleep(1000)


def held_dial(monkeypatch: pytest.MonkeyPatch, port: Callable[[], int], gate: list[int]) -> list[int]:
    """Connections to a port come up only once the gate holds something. Returns where dials are counted."""
    connect, dials = SocketStream.connect.__func__, list[int]()  # type: ignore[attr-defined]

    def late(
        cls: type[SocketStream],
        loop: Scheduler,
        pool: Any,
        host: str,
        to: int,
        until_us: int,
        wakes_on_message: bool,
    ) -> SocketStream:
        if to == port():
            dials.append(to)
            while not gate:
                if loop.wait(until_us=loop.now() + 1000, wakes_on_message=wakes_on_message) == MESSAGE:
                    raise StreamInterruptedError
        return connect(cls, loop, pool, host, to, loop.now() + SECOND, wakes_on_message)  # type: ignore[no-any-return]

    monkeypatch.setattr(SocketStream, "connect", classmethod(late))
    return dials


def status(peer: ScriptedPeer) -> bytes:
    head = peer.receive_until()
    peer.receive(int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0] or 0))
    return head[9:12]


# A hop against the client that leaves


@pytest.mark.parametrize("rests", [True, False])
@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("many", [1, 10])
def test_request_received_with_client_close_is_not_sent(
    rests: bool, may_cancel: bool, many: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """As where it lay unread for long: one that came just now may go, and its client is not looked at."""
    monkeypatch.setattr(forwarding, "CLIENT_CHECK_AGE_US", 0)
    endpoint = Seen()
    harness = SidecarHarness([endpoint], may_cancel=may_cancel)

    def client(peer: ScriptedPeer) -> None:
        if rests:  # a connection to the endpoint is there, so nothing is waited for
            peer.send(request_bytes())
            assert status(peer) == b"200"
            peer.sleep(20_000)  # and has settled
        leaving = socket.create_connection(harness.address)
        leaving.sendall(b"".join(request_bytes() for _ in range(many)))
        leaving.close()
        peer.wait_until(
            lambda: harness.listener.accepted_clients == 2 and len(harness.dispatcher.clients) == 1
        )
        peer.sleep(20_000)

    harness.add_client(client)
    harness.run()
    assert len(endpoint.heads) == rests


@pytest.mark.parametrize("may_cancel", [True, False])
def test_client_close_during_connect_prevents_send(may_cancel: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    endpoint, gate = Seen(), list[int]()
    harness = SidecarHarness([endpoint], may_cancel=may_cancel)
    dials = held_dial(monkeypatch, lambda: harness.ports[0], gate)

    def client(peer: ScriptedPeer) -> None:
        leaving = socket.create_connection(harness.address)
        leaving.sendall(request_bytes())
        peer.wait_until(lambda: dials)
        leaving.close()
        peer.wait_until(lambda: len(harness.dispatcher.clients) == 1)
        gate.append(1)
        peer.wait_until(lambda: not harness.state_machine.attempts.in_flight)
        peer.sleep(20_000)
        if not may_cancel:  # the connection was not wasted
            peer.send(request_bytes())
            assert status(peer) == b"200" and len(dials) == 1

    harness.add_client(client)
    harness.run()
    assert len(endpoint.heads) == (not may_cancel)


def test_attempt_cancelled_before_its_task_runs_is_not_sent() -> None:
    endpoint = Seen()
    harness = SidecarHarness([endpoint])

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        assert status(peer) == b"200"
        machine = harness.state_machine
        request_came, before = machine.on_request, machine.ids.last

        def both(now: int, number: int, *told: Any) -> list[do.Command]:
            carried = request_came(now, number, *told)
            return [
                *carried,
                *machine.on_client_disconnected(now, number),
            ]  # to carry and to call off, at once

        machine.on_request = both  # type: ignore[method-assign, assignment]
        peer.send(request_bytes())
        peer.wait_until(
            lambda: harness.state_machine.ids.last > before and not harness.state_machine.attempts.in_flight
        )
        peer.sleep(20_000)

    harness.add_client(client)
    harness.run()
    assert len(endpoint.heads) == 1


# A hop against news, and against its window


@pytest.mark.parametrize(
    "change", [{"phase": "draining"}, {"phase": "removed"}, {"host_port": "127.0.0.1:9"}, {"up_since_ms": 77}]
)
def test_list_update_during_connect_applies_to_attempt(
    change: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    endpoint, agent, gate = Seen(), Agent(), list[int]()
    harness = SidecarHarness([endpoint], agent)
    agent.first = json.loads(harness.endpoint_list_json)
    dials = held_dial(monkeypatch, lambda: harness.ports[0], gate)
    heard: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes("write"))
        peer.wait_until(lambda: dials)
        agent.rows.append({**endpoint_entry("s0", harness.ports[0]), **change})
        peer.wait_until(lambda: harness.state_machine.endpoint_watch.revision == 5)
        gate.append(1)
        heard.append(status(peer))

    harness.add_client(client)
    harness.run()
    assert not endpoint.heads and heard == [b"503"]  # it never ran, so it may be rolled back


@pytest.mark.parametrize(
    "kind, late, answer, sent",
    [
        ("write", "in time", b"200", 1),
        ("write", "window over", b"502", 0),
        ("write", "another group", b"502", 0),
        ("read", "window over", b"200", 1),
    ],
)
def test_retry_is_checked_again_once_connected(
    kind: str, late: str, answer: bytes, sent: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    def drops(peer: ScriptedPeer) -> None:
        peer.receive_until()
        peer.wait_until(
            lambda: harness.state_machine.endpoint_watch.revision == 5
        )  # so that the second hop has somewhere to go
        peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.sock.close()

    endpoint, agent, gate = Seen(), Agent(), list[int]()
    harness = SidecarHarness([drops, endpoint], agent)
    agent.first = json.loads(harness.endpoint_list_json)
    agent.first["members"][1]["phase"] = "draining"  # so the first hop goes to the one that drops it
    dials = held_dial(monkeypatch, lambda: harness.ports[1], gate)
    heard: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        side = harness.state_machine.load_balancer
        for _ in range(20):
            side.budget.count_request(harness.scheduler.now())
        peer.send(request_bytes(kind))
        peer.wait_until(lambda: harness.state_machine.attempts.in_flight)
        agent.rows.append(endpoint_entry("s1", harness.ports[1]))
        peer.wait_until(lambda: dials)
        [tx] = harness.state_machine.requests.pending
        assert tx.fixed_endpoint is not None
        if late == "window over":
            tx.fixed_us -= 2 * SECOND
        elif late == "another group":
            side.endpoints[1].cell = 7
        gate.append(1)
        heard.append(status(peer))

    harness.add_client(client)
    harness.run()
    assert heard == [answer] and len(endpoint.heads) == sent


@pytest.mark.parametrize("phase, sent", [("draining", 0), ("up", 1)])
def test_configured_list_is_not_used_while_discovery_may_answer(phase: str, sent: int) -> None:
    endpoint, other, agent = Seen(), Seen(), Agent()

    def slowly(peer: ScriptedPeer) -> None:
        peer.sleep(60_000)
        agent(peer)

    harness = SidecarHarness([endpoint, other], slowly, known_endpoints=1)
    agent.first = json.loads(harness.endpoint_list_json)
    agent.first["members"][0]["phase"] = phase
    agent.first["members"].append(endpoint_entry("s1", harness.ports[1], phase="draining" if sent else "up"))
    heard: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())  # at once
        heard.append(status(peer))

    harness.add_client(client)
    harness.run()
    assert heard == [b"200"] and (len(endpoint.heads), len(other.heads)) == (sent, 1 - sent)


def test_configured_list_is_used_if_discovery_is_silent() -> None:
    endpoint = Seen()
    harness = SidecarHarness([endpoint], lambda peer: peer.sleep(5 * SECOND))
    heard: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes(Req_Deadline="1000m"))
        heard.append(status(peer))

    harness.add_client(client)
    harness.run()
    assert heard == [b"200"] and not harness.state_machine.endpoint_watch.has_list


def test_removed_endpoint_is_kept_while_upload_to_it_continues() -> None:
    agent, heard = Agent(), list[bytes]()

    def whole(peer: ScriptedPeer) -> None:
        peer.receive_until()
        peer.receive(len(BIG) * 3)
        peer.send(response_bytes(b"hello"))

    harness = SidecarHarness([whole], agent)
    agent.first = json.loads(harness.endpoint_list_json)

    def client(peer: ScriptedPeer) -> None:
        text = request_bytes("write", body=BIG * 3)
        peer.send(text[: -len(BIG)])
        peer.wait_until(lambda: harness.state_machine.attempts.in_flight)
        peer.sleep(20_000)
        agent.rows.append(endpoint_entry("s0", harness.ports[0], phase="removed"))
        peer.wait_until(lambda: harness.state_machine.endpoint_watch.revision == 5)
        peer.send(text[-len(BIG) :])
        heard.append(status(peer))

    harness.add_client(client)
    harness.run()
    assert (
        heard == [b"200"] and not harness.state_machine.registry.endpoints
    )  # and the record goes with the hop


# Answers


def test_late_second_answer_is_not_given_to_next_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        endpoint_connections, "CONNECTION_SETTLE_US", SECOND
    )  # in place of some milliseconds: a machine may be slow

    def twice(peer: ScriptedPeer) -> None:
        n = 0
        while peer.receive_until():
            peer.send(response_bytes(b"answer %d" % n))
            if not n:
                peer.wait_until(
                    lambda: len(heard) == 1 and harness.state_machine.attempts.in_flight
                )  # the next one is on its way
            peer.send(response_bytes(b"answer %d" % n))
            n += 1

    harness = SidecarHarness([twice])
    heard: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        for _ in range(2):
            peer.send(request_bytes())
            head = peer.receive_until()
            assert head[9:12] == b"200"
            heard.append(peer.receive(8))

    harness.add_client(client)
    harness.run()
    assert (
        heard == [b"answer 0", b"answer 0"] and len(harness.open_sockets) > 3
    )  # each over a connection of its own


@pytest.mark.parametrize(
    "text, reset, kind, answer",
    [
        (OK_STATUS_LINE + b"\r\nhello", True, "write", b"502"),
        (OK_STATUS_LINE + b"\r\nhello", False, "write", b"200"),
        (OK_STATUS_LINE + b"\r\nhello", True, "read", b"503"),
        (OK_STATUS_LINE + CHUNKED_HEADER + chunk_bytes(b"hello")[:-3], True, "write", b"502"),
        (OK_STATUS_LINE + CHUNKED_HEADER + chunk_bytes(b"hello")[:-3], False, "write", b"502"),
        (OK_STATUS_LINE + OK_STATUS_LINE + b"content-length: 0\r\n\r\n", False, "write", b"502"),
        (OK_STATUS_LINE + b"x: " + b"a" * 20_000, False, "write", b"502"),
        (b"HTTP/1.1 102 X\r\n\r\n" * 3 + response_bytes(b"hello"), False, "write", b"200"),
        (b"HTTP/1.1 102 X\r\n\r\n", True, "write", b"502"),
    ],
)
def test_answer_counts_if_complete_by_its_own_framing(
    text: bytes, reset: bool, kind: str, answer: bytes
) -> None:
    def ends(peer: ScriptedPeer) -> None:
        peer.receive_until()
        peer.send(text)
        peer.sleep(10_000)
        if reset:
            peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.sock.close()

    harness = SidecarHarness([ends])
    heard: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes(kind))
        heard.append(status(peer))

    harness.add_client(client)
    harness.run()
    assert heard == [answer]


def test_answer_with_simultaneous_client_close_releases_buffers() -> None:
    leaving: list[socket.socket] = []

    def endpoint(peer: ScriptedPeer) -> None:
        peer.receive_until()
        leaving[0].close()
        peer.send(response_bytes(BIG))
        while peer.receive_until():
            peer.send(response_bytes(b"hello"))

    harness = SidecarHarness([endpoint])

    def client(peer: ScriptedPeer) -> None:
        leaving.append(socket.create_connection(harness.address))
        leaving[0].sendall(request_bytes())
        peer.wait_until(lambda: harness.dispatcher.connections and len(harness.dispatcher.clients) == 1)
        peer.send(request_bytes())
        assert status(peer) == b"200"

    harness.add_client(client)
    harness.run()  # which looks whether buffers and records are back


def test_wakeup_crossing_upload_end_is_not_a_cancellation() -> None:
    goes: list[ScriptedPeer] = []

    def endpoint(peer: ScriptedPeer) -> None:
        peer.receive_until()
        goes.append(peer)
        peer.receive_until(b"the end")
        peer.send(response_bytes(b"hello"))

    harness = SidecarHarness([endpoint])
    heard: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        text = request_bytes("write", body=BIG * 2 + b"the end")
        peer.send(text[:-7])
        peer.wait_until(lambda: goes)
        peer.sleep(20_000)
        # Both in one look at the sockets: one task is woken by its endpoint and stirred by the other task.
        goes[0].sock.send(b"HTTP/1.1 102 X\r\n\r\n")
        peer.send(text[-7:])
        heard.append(status(peer))

    harness.add_client(client)
    harness.run()
    assert heard == [b"200"]


# Closes


def crossing(sock: socket.socket, late: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    """Bytes of a client come right after a look at its connection that found none."""
    read = SocketStream.receive

    def reads(stream: SocketStream) -> int:
        n = read(stream)
        if n == -1 and armed and stream.sock.getpeername() == sock.getsockname():
            armed.clear()
            sock.send(late)
        return n

    armed = [1]
    monkeypatch.setattr(SocketStream, "receive", reads)


def test_request_crossing_idle_close_meets_close_without_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    endpoint = Seen()
    harness = SidecarHarness([endpoint])
    heard: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        assert status(peer) == b"200"
        peer.wait_until(lambda: harness.state_machine.clients.idle)
        crossing(peer.sock, request_bytes(), monkeypatch)
        harness.dispatcher.dispatch([harness.state_machine.clients.close_if_idle(1)])
        heard.append(peer.sock.recv(100) if peer.scheduler.wait(peer.sock.fileno(), READABLE) else b"?")
        assert 1 in harness.dispatcher.clients  # it is told the end at once, and then listened to for a while
        peer.sock.close()
        peer.wait_until(lambda: not harness.dispatcher.clients)

    harness.add_client(client)
    harness.run()
    assert heard == [b""] and len(endpoint.heads) == 1  # read after the end, so not sent on


def test_idle_client_that_stays_is_closed_in_bounded_time() -> None:
    harness = SidecarHarness([Seen()])

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        assert status(peer) == b"200"
        peer.wait_until(lambda: harness.state_machine.clients.idle)
        harness.dispatcher.dispatch([harness.state_machine.clients.close_if_idle(1)])
        peer.wait_until(lambda: not harness.dispatcher.clients)

    harness.add_client(client)
    harness.run()


@pytest.mark.parametrize("full", [True, False])
def test_last_answer_arrives_complete_despite_further_bytes(
    full: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The answer waits in the system's buffers for a client that reads late, and a reset would drop it."""
    harness = SidecarHarness([Seen(response_bytes(BIG * 8))])
    heard: list[bytes] = []
    if full:
        harness.state_machine.limits.clients = 2
    written = StateMachine.on_response_written

    def then(reducer: StateMachine, now: int, client: int) -> list[do.Command]:
        sock.send(b"GET /more HTTP/1.1\r\n")  # lies unread as the answer has been written
        return written(reducer, now, client)

    monkeypatch.setattr(StateMachine, "on_response_written", then)
    sock = socket.socket()

    def client(peer: ScriptedPeer) -> None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(harness.address)
        reader = ScriptedPeer(harness.scheduler, sock)
        reader.send(request_bytes(Connection="close"))
        peer.wait_until(lambda: harness.state_machine.counters.final["read"]["answered"])
        reader.receive_until()
        peer.sleep(20_000)
        heard.append(reader.receive(len(BIG) * 8))
        sock.close()

    harness.add_client(client)
    harness.run()
    assert heard == [BIG * 8]


def test_close_command_overtaken_by_request_does_not_spin() -> None:
    goes: list[ScriptedPeer] = []

    def endpoint(peer: ScriptedPeer) -> None:
        peer.receive_until()
        peer.send(OK_STATUS_LINE + b"content-length: 600000\r\n\r\n" + BIG * 2)
        goes.append(peer)
        peer.wait_until(lambda: waits)
        peer.send(bytes(600_000 - len(BIG) * 2))

    harness = SidecarHarness([endpoint])
    waits: list[int] = []
    wait = harness.scheduler.wait

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        peer.wait_until(lambda: goes)
        peer.receive_until()
        peer.receive(len(BIG) * 2)
        peer.sleep(20_000)

        def counted(*told: Any, **more: Any) -> int:
            if harness.scheduler.current is harness.dispatcher.clients.get(1):
                waits.append(1)
                assert len(waits) < 1000, "spins"
            return wait(*told, **more)

        harness.scheduler.wait = counted  # type: ignore[method-assign]
        harness.scheduler.post(harness.dispatcher.clients[1], do.CloseClient(1, True))
        assert len(peer.receive(600_000 - len(BIG) * 2)) == 600_000 - len(BIG) * 2

    harness.add_client(client)
    harness.run()


class Flawed:
    """A listening socket on which some of those who wait have been reset already."""

    def __init__(self, sock: socket.socket, *faults: int) -> None:
        self.sock, self.faults = sock, list(faults)

    def accept(self) -> tuple[socket.socket, Any]:
        if self.faults:
            raise OSError(self.faults.pop(0), "as asked")
        return self.sock.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


@pytest.mark.parametrize("fault", [errno.ECONNABORTED, errno.EMFILE, errno.EPROTO])
def test_queued_client_is_answered_as_listener_closes_despite_accept_fault(fault: int) -> None:
    harness = SidecarHarness([Seen()])
    heard: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        assert status(peer) == b"200"
        harness.listener.sock = Flawed(harness.listener.sock, fault)  # type: ignore[assignment]
        waiting = [socket.create_connection(harness.address) for _ in range(2)]
        for sock in waiting:
            sock.sendall(request_bytes())
        harness.scheduler.post(
            harness.dispatcher.command_tasks[do.AcceptClients], do.AcceptClients(False, is_final=True)
        )
        heard.extend(status(ScriptedPeer(harness.scheduler, sock)) for sock in waiting)
        for sock in waiting:
            sock.close()

    harness.add_client(client)
    harness.run()
    assert heard == [b"200"] * 2


# The watch


def test_watch_silence_budget_covers_all_stages() -> None:
    """News counts as told six seconds after a watch fell silent, four after a new address was told. A
    connection that says nothing either may come between."""
    pause_us = 75_000  # the longest first one
    assert watch.SILENCE_TIMEOUT_US + watch.FIRST_ANSWER_TIMEOUT_US + 2 * pause_us <= 6 * SECOND - 500_000
    assert (
        3 * watch.FIRST_ANSWER_TIMEOUT_US + 2 * pause_us <= 4 * SECOND - 500_000
    )  # one silent, and the next one patient


@pytest.mark.parametrize("what", ["nothing", "head alone", "half a line", "an indented half"])
def test_watch_without_complete_line_is_reopened(what: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch, "FIRST_ANSWER_TIMEOUT_US", 30_000)
    monkeypatch.setattr(watch, "SILENCE_TIMEOUT_US", 60_000)
    words = {
        "nothing": b"",
        "head alone": OK_STATUS_LINE + CHUNKED_HEADER,
        "half a line": OK_STATUS_LINE + CHUNKED_HEADER + chunk_bytes(b'{"revis'),
        "an indented half": OK_STATUS_LINE + CHUNKED_HEADER + chunk_bytes(b'{\n  "revision": 5,\n\n'),
    }
    asks: list[bytes] = []
    harness = SidecarHarness([Seen()], lambda peer: agent(peer))
    first = response_bytes(harness.endpoint_list_json)

    def agent(peer: ScriptedPeer) -> None:
        while head := peer.receive_until():
            asks.append(head.partition(b" HTTP")[0])
            peer.send(words[what] if b"watch" in head else first)

    def client(peer: ScriptedPeer) -> None:
        peer.wait_until(lambda: sum(b"watch" in line for line in asks) == 3)

    harness.add_client(client)
    harness.run()
    assert asks[:4] == [b"GET /catalog/members", *[b"GET /catalog/members?watch=1&after=4"] * 3]


def test_truncated_object_does_not_swallow_next_one() -> None:
    asks: list[bytes] = []
    harness = SidecarHarness([Seen()], lambda peer: agent(peer))

    def agent(peer: ScriptedPeer) -> None:
        while head := peer.receive_until():
            asks.append(head.partition(b" HTTP")[0])
            if b"watch" not in head:
                peer.send(response_bytes(harness.endpoint_list_json))
                continue
            peer.send(OK_STATUS_LINE + CHUNKED_HEADER + chunk_bytes(b'{"revision": 5,\n\n'))
            while len(asks) < 3:  # never silent
                try:
                    peer.send(chunk_bytes(b"\n"))
                except OSError:
                    return
                peer.sleep(5_000)

    def client(peer: ScriptedPeer) -> None:
        peer.wait_until(lambda: len(asks) > 2)

    harness.add_client(client)
    harness.run()
    assert asks[1:3] == [b"GET /catalog/members?watch=1&after=4"] * 2


def test_dribbled_line_counts_as_silence_and_long_list_does_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watch, "SILENCE_TIMEOUT_US", 100_000)
    monkeypatch.setattr(watch, "MIN_LINE_BYTES_PER_S", 100_000)
    dribbled: list[int] = []
    harness = SidecarHarness([Seen()], lambda peer: agent(peer))
    text = response_bytes(harness.endpoint_list_json.replace(b'"members"', b" " * 30_000 + b'"members"'))

    def agent(peer: ScriptedPeer) -> None:
        if b"watch" not in peer.receive_until():
            for at in range(0, len(text), 3_000):  # a tenth of a second long in all, and more
                peer.send(text[at : at + 3_000])
                peer.sleep(15_000)
            peer.receive_until()
        peer.send(OK_STATUS_LINE + CHUNKED_HEADER)
        dribbled.append(0)
        while peer.sock.fileno() >= 0:
            try:
                peer.send(chunk_bytes(b" "))
            except OSError:
                return
            dribbled[-1] += 1
            peer.sleep(10_000)

    def client(peer: ScriptedPeer) -> None:
        peer.wait_until(lambda: len(dribbled) > 1)

    harness.add_client(client)
    harness.run()
    assert harness.state_machine.endpoint_watch.has_list and dribbled[0] >= 1


@pytest.mark.parametrize("indent", [None, 1, 4])
def test_updates_may_be_indented_and_share_a_read(indent: int | None) -> None:
    harness = SidecarHarness([Seen()], lambda peer: agent(peer))
    told = [
        {"revision": n, "complete": False, "members": [endpoint_entry("s0", harness.ports[0], phase=phase)]}
        for n, phase in ((5, "draining"), (6, "up"), (7, "draining"))
    ]

    def agent(peer: ScriptedPeer) -> None:
        peer.receive_until()
        peer.send(response_bytes(json.dumps(json.loads(harness.endpoint_list_json), indent=indent).encode()))
        peer.receive_until()
        peer.send(
            OK_STATUS_LINE
            + CHUNKED_HEADER
            + chunk_bytes(
                b"\n"
                + b"\n".join(json.dumps(news, indent=indent).encode() for news in told)
                + b'\n\n{"revision": 8, "comp'
            )
        )

    def client(peer: ScriptedPeer) -> None:
        peer.wait_until(lambda: harness.state_machine.endpoint_watch.revision == 7)
        peer.sleep(20_000)
        assert (
            not harness.state_machine.load_balancer.endpoints[0].accepts_requests
            and not harness.state_machine.endpoint_watch.consecutive_failures
        )

    harness.add_client(client)
    harness.run()


# What the process can't do without


@pytest.mark.parametrize("of", ["on_timer", "on_endpoint_list", "on_client_connected", "on_watch_ended"])
def test_fault_in_vital_task_restarts_it(of: str, monkeypatch: pytest.MonkeyPatch) -> None:
    endpoint = Seen()
    harness = SidecarHarness([endpoint], lambda peer: agent(peer))
    right, faults, rounds = getattr(StateMachine, of), [1], list[int]()

    def agent(peer: ScriptedPeer) -> None:
        peer.receive_until()
        peer.send(response_bytes(harness.endpoint_list_json))
        peer.receive_until()
        peer.send(OK_STATUS_LINE + CHUNKED_HEADER + chunk_bytes(b"\n"))
        rounds.append(1)
        if len(rounds) == 1:
            peer.sleep(50_000)
            peer.sock.close()

    def wrong(reducer: StateMachine, *told: Any) -> Any:
        if faults:
            faults.clear()
            raise KeyError("as asked")
        return right(reducer, *told)

    heard: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        peer.wait_until(lambda: len(rounds) > 1)  # the watch is opened again
        later = socket.create_connection(harness.address)
        later.sendall(request_bytes())
        heard.append(status(ScriptedPeer(harness.scheduler, later)))
        later.close()
        peer.wait_until(
            lambda: harness.state_machine.timer_us > harness.scheduler.now()
        )  # and the timer is set

    monkeypatch.setattr(StateMachine, of, wrong)
    harness.add_client(client)
    if of == "on_client_connected":
        socket.create_connection(harness.address).close()
    told: list[str] = []
    harness.scheduler.on_fault = told.append
    harness.run()
    assert heard == [b"200"] and len(told) == 1 and "as asked" in told[0] and not harness.scheduler.has_failed


def test_repeated_fault_ends_process_with_status() -> None:
    loop = Scheduler(lambda: 5, lambda text: told.append(text))
    told: list[str] = []

    def wrong() -> None:
        raise KeyError("as asked")

    loop.spawn(wrong, is_vital=True)
    loop.run()
    assert loop.has_failed and len(told) == 8


# Clients in a crowd


def test_request_is_not_forwarded_long_after_client_left(capsys: pytest.CaptureFixture[str]) -> None:
    """Clients who leave at every step of their way, in a crowd before one slow endpoint: what is sent on
    after they left, and how much later. The worst case is printed."""
    left: dict[bytes, int] = {}
    late: list[int] = []

    def slow(peer: ScriptedPeer) -> None:
        while head := peer.receive_until():
            name = head.partition(b"req-id: ")[2].partition(b"\r")[0]
            if name in left:
                late.append(peer.scheduler.now() - left[name])
            peer.sleep(15_000)
            with suppress(OSError):  # called off, as its client has left
                peer.send(response_bytes(b"hello"))

    harness = SidecarHarness([slow], connect_timeout_us=500_000)
    harness.state_machine.load_balancer.endpoints[0].limit = 2.0  # so that most wait in the line
    stood: list[int] = [0]  # the longest that the machine has let this process stand, which is not its fault

    def tick() -> None:
        while True:
            due_us = harness.scheduler.now() + 1000
            harness.scheduler.wait(until_us=due_us)
            stood.append(harness.scheduler.now() - due_us)

    harness.scheduler.spawn(tick)

    def client(peer: ScriptedPeer) -> None:
        for n in range(120):
            sock = socket.create_connection(harness.address)
            name = b"leaves%d" % n
            text = request_bytes("read", Req_Id=name.decode(), Req_Deadline="900m")
            sock.sendall(text[:-3] if n % 5 == 0 else text)
            peer.sleep((0, 500, 2_000, 9_000)[n % 4])
            left[name] = harness.scheduler.now()
            if n % 3 == 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
        peer.wait_until(
            lambda: len(harness.dispatcher.clients) == 1 and not harness.state_machine.attempts.in_flight
        )

    harness.add_client(client)
    harness.run()
    with capsys.disabled():
        print(f"sent on after its client left: {len(late)} of 120, {max(late, default=0)} us later at most")
    assert not [us for us in late if us > 300_000 + 2 * max(stood)] and len(late) <= 30


# What tasks are told


def test_each_task_receives_only_commands_that_it_handles() -> None:
    """What the tasks' handling of their mail rests on: who is told what, by the effect's kind."""
    harness = SidecarHarness([Seen()])
    told: dict[str, set[type]] = {}
    post = harness.scheduler.post
    names = {
        id(harness.dispatcher.command_tasks[do.WatchEndpoints]): "watch",
        id(harness.dispatcher.command_tasks[do.AcceptClients]): "listener",
        id(harness.dispatcher.command_tasks[do.SetTimer]): "waker",
    }

    def posting(task: Any, message: Any) -> None:
        told.setdefault(names.get(id(task), "other"), set()).add(type(message))
        post(task, message)

    harness.scheduler.post = posting  # type: ignore[method-assign]

    def client(peer: ScriptedPeer) -> None:
        for _ in range(3):
            peer.send(request_bytes())
            assert status(peer) == b"200"
        harness.dispatcher.dispatch(harness.state_machine.on_watch_ended(harness.scheduler.now(), "as asked"))
        harness.dispatcher.dispatch(
            harness.state_machine.on_discovery_address(
                harness.scheduler.now(), ("127.0.0.1", harness.ports[-1] ^ 1)
            )
        )
        peer.sleep(20_000)

    harness.add_client(client)
    harness.run()
    assert told["watch"] == {do.WatchEndpoints} and told["waker"] == {do.SetTimer}
    assert told.get("listener", {do.AcceptClients}) == {do.AcceptClients}
