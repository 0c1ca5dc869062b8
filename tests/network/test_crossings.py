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
from tests.helpers import SECOND, Peer, Play, ask, chunk, member, reply

HEAD, CHUNKED = b"HTTP/1.1 200 OK\r\n", b"transfer-encoding: chunked\r\n\r\n"
BIG = bytes(range(256)) * 256


class Seen:
    """An endpoint that answers all it is asked, and keeps what it was asked."""

    def __init__(self, *answers: bytes) -> None:
        self.answers = answers or (reply(b"hello"),)
        self.heads: list[bytes] = []

    def __call__(self, peer: Peer) -> None:
        while head := peer.hear():
            self.heads.append(head)
            peer.say(self.answers[(len(self.heads) - 1) % len(self.answers)])


class Agent:
    """Discovery that tells its list, and what else it is given, each to all who watch."""

    def __init__(self) -> None:
        self.first: dict[str, Any] = {}
        self.rows: list[dict[str, Any]] = []
        self.asks: list[bytes] = []

    def __call__(self, peer: Peer) -> None:
        told = 0
        while head := peer.hear():
            self.asks.append(head.partition(b"\r\n")[0])
            if b"watch" not in head:
                peer.say(reply(json.dumps(self.first).encode()))
                continue
            peer.say(HEAD + CHUNKED + chunk(b"\n"))
            while True:
                if told < len(self.rows):
                    line = {"revision": 5 + told, "complete": False, "members": [self.rows[told]]}
                    peer.say(chunk(json.dumps(line).encode() + b"\n"))
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


def status(peer: Peer) -> bytes:
    head = peer.hear()
    peer.take(int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0] or 0))
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
    play = Play([endpoint], may_cancel=may_cancel)

    def client(peer: Peer) -> None:
        if rests:  # a connection to the endpoint is there, so nothing is waited for
            peer.say(ask())
            assert status(peer) == b"200"
            peer.sleep(20_000)  # and has settled
        leaving = socket.create_connection(play.at)
        leaving.sendall(b"".join(ask() for _ in range(many)))
        leaving.close()
        peer.until(lambda: play.door.accepted_clients == 2 and len(play.net.clients) == 1)
        peer.sleep(20_000)

    play.client(client)
    play.run()
    assert len(endpoint.heads) == rests


@pytest.mark.parametrize("may_cancel", [True, False])
def test_client_close_during_connect_prevents_send(may_cancel: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    endpoint, gate = Seen(), list[int]()
    play = Play([endpoint], may_cancel=may_cancel)
    dials = held_dial(monkeypatch, lambda: play.ports[0], gate)

    def client(peer: Peer) -> None:
        leaving = socket.create_connection(play.at)
        leaving.sendall(ask())
        peer.until(lambda: dials)
        leaving.close()
        peer.until(lambda: len(play.net.clients) == 1)
        gate.append(1)
        peer.until(lambda: not play.reducer.attempts.in_flight)
        peer.sleep(20_000)
        if not may_cancel:  # the connection was not wasted
            peer.say(ask())
            assert status(peer) == b"200" and len(dials) == 1

    play.client(client)
    play.run()
    assert len(endpoint.heads) == (not may_cancel)


def test_attempt_cancelled_before_its_task_runs_is_not_sent() -> None:
    endpoint = Seen()
    play = Play([endpoint])

    def client(peer: Peer) -> None:
        peer.say(ask())
        assert status(peer) == b"200"
        request_came, before = play.reducer.on_request, play.reducer.ids.last

        def both(now: int, number: int, *told: Any) -> list[do.Command]:
            carried = request_came(now, number, *told)
            return [
                *carried,
                *play.reducer.on_client_disconnected(now, number),
            ]  # to carry and to call off, at once

        play.reducer.on_request = both  # type: ignore[method-assign, assignment]
        peer.say(ask())
        peer.until(lambda: play.reducer.ids.last > before and not play.reducer.attempts.in_flight)
        peer.sleep(20_000)

    play.client(client)
    play.run()
    assert len(endpoint.heads) == 1


# A hop against news, and against its window


@pytest.mark.parametrize(
    "change", [{"phase": "draining"}, {"phase": "removed"}, {"host_port": "127.0.0.1:9"}, {"up_since_ms": 77}]
)
def test_list_update_during_connect_applies_to_attempt(
    change: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    endpoint, agent, gate = Seen(), Agent(), list[int]()
    play = Play([endpoint], agent)
    agent.first = json.loads(play.list)
    dials = held_dial(monkeypatch, lambda: play.ports[0], gate)
    heard: list[bytes] = []

    def client(peer: Peer) -> None:
        peer.say(ask("write"))
        peer.until(lambda: dials)
        agent.rows.append({**member("s0", play.ports[0]), **change})
        peer.until(lambda: play.reducer.endpoint_watch.revision == 5)
        gate.append(1)
        heard.append(status(peer))

    play.client(client)
    play.run()
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
    def drops(peer: Peer) -> None:
        peer.hear()
        peer.until(
            lambda: play.reducer.endpoint_watch.revision == 5
        )  # so that the second hop has somewhere to go
        peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.sock.close()

    endpoint, agent, gate = Seen(), Agent(), list[int]()
    play = Play([drops, endpoint], agent)
    agent.first = json.loads(play.list)
    agent.first["members"][1]["phase"] = "draining"  # so the first hop goes to the one that drops it
    dials = held_dial(monkeypatch, lambda: play.ports[1], gate)
    heard: list[bytes] = []

    def client(peer: Peer) -> None:
        side = play.reducer.load_balancer
        for _ in range(20):
            side.budget.count_request(play.loop.now())
        peer.say(ask(kind))
        peer.until(lambda: play.reducer.attempts.in_flight)
        agent.rows.append(member("s1", play.ports[1]))
        peer.until(lambda: dials)
        [tx] = play.reducer.requests.pending
        assert tx.fixed_endpoint is not None
        if late == "window over":
            tx.fixed_us -= 2 * SECOND
        elif late == "another group":
            side.endpoints[1].cell = 7
        gate.append(1)
        heard.append(status(peer))

    play.client(client)
    play.run()
    assert heard == [answer] and len(endpoint.heads) == sent


@pytest.mark.parametrize("phase, sent", [("draining", 0), ("up", 1)])
def test_configured_list_is_not_used_while_discovery_may_answer(phase: str, sent: int) -> None:
    endpoint, other, agent = Seen(), Seen(), Agent()

    def slowly(peer: Peer) -> None:
        peer.sleep(60_000)
        agent(peer)

    play = Play([endpoint, other], slowly, known=1)
    agent.first = json.loads(play.list)
    agent.first["members"][0]["phase"] = phase
    agent.first["members"].append(member("s1", play.ports[1], phase="draining" if sent else "up"))
    heard: list[bytes] = []

    def client(peer: Peer) -> None:
        peer.say(ask())  # at once
        heard.append(status(peer))

    play.client(client)
    play.run()
    assert heard == [b"200"] and (len(endpoint.heads), len(other.heads)) == (sent, 1 - sent)


def test_configured_list_is_used_if_discovery_is_silent() -> None:
    endpoint = Seen()
    play = Play([endpoint], lambda peer: peer.sleep(5 * SECOND))
    heard: list[bytes] = []

    def client(peer: Peer) -> None:
        peer.say(ask(Req_Deadline="1000m"))
        heard.append(status(peer))

    play.client(client)
    play.run()
    assert heard == [b"200"] and not play.reducer.endpoint_watch.has_list


def test_removed_endpoint_is_kept_while_upload_to_it_continues() -> None:
    agent, heard = Agent(), list[bytes]()

    def whole(peer: Peer) -> None:
        peer.hear()
        peer.take(len(BIG) * 3)
        peer.say(reply(b"hello"))

    play = Play([whole], agent)
    agent.first = json.loads(play.list)

    def client(peer: Peer) -> None:
        text = ask("write", body=BIG * 3)
        peer.say(text[: -len(BIG)])
        peer.until(lambda: play.reducer.attempts.in_flight)
        peer.sleep(20_000)
        agent.rows.append(member("s0", play.ports[0], phase="removed"))
        peer.until(lambda: play.reducer.endpoint_watch.revision == 5)
        peer.say(text[-len(BIG) :])
        heard.append(status(peer))

    play.client(client)
    play.run()
    assert heard == [b"200"] and not play.reducer.registry.endpoints  # and the record goes with the hop


# Answers


def test_late_second_answer_is_not_given_to_next_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        endpoint_connections, "CONNECTION_SETTLE_US", SECOND
    )  # in place of some milliseconds: a machine may be slow

    def twice(peer: Peer) -> None:
        n = 0
        while peer.hear():
            peer.say(reply(b"answer %d" % n))
            if not n:
                peer.until(
                    lambda: len(heard) == 1 and play.reducer.attempts.in_flight
                )  # the next one is on its way
            peer.say(reply(b"answer %d" % n))
            n += 1

    play = Play([twice])
    heard: list[bytes] = []

    def client(peer: Peer) -> None:
        for _ in range(2):
            peer.say(ask())
            head = peer.hear()
            assert head[9:12] == b"200"
            heard.append(peer.take(8))

    play.client(client)
    play.run()
    assert heard == [b"answer 0", b"answer 0"] and len(play.open) > 3  # each over a connection of its own


@pytest.mark.parametrize(
    "text, reset, kind, answer",
    [
        (HEAD + b"\r\nhello", True, "write", b"502"),
        (HEAD + b"\r\nhello", False, "write", b"200"),
        (HEAD + b"\r\nhello", True, "read", b"503"),
        (HEAD + CHUNKED + chunk(b"hello")[:-3], True, "write", b"502"),
        (HEAD + CHUNKED + chunk(b"hello")[:-3], False, "write", b"502"),
        (HEAD + HEAD + b"content-length: 0\r\n\r\n", False, "write", b"502"),
        (HEAD + b"x: " + b"a" * 20_000, False, "write", b"502"),
        (b"HTTP/1.1 102 X\r\n\r\n" * 3 + reply(b"hello"), False, "write", b"200"),
        (b"HTTP/1.1 102 X\r\n\r\n", True, "write", b"502"),
    ],
)
def test_answer_counts_if_complete_by_its_own_framing(
    text: bytes, reset: bool, kind: str, answer: bytes
) -> None:
    def ends(peer: Peer) -> None:
        peer.hear()
        peer.say(text)
        peer.sleep(10_000)
        if reset:
            peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.sock.close()

    play = Play([ends])
    heard: list[bytes] = []

    def client(peer: Peer) -> None:
        peer.say(ask(kind))
        heard.append(status(peer))

    play.client(client)
    play.run()
    assert heard == [answer]


def test_answer_with_simultaneous_client_close_releases_buffers() -> None:
    leaving: list[socket.socket] = []

    def endpoint(peer: Peer) -> None:
        peer.hear()
        leaving[0].close()
        peer.say(reply(BIG))
        while peer.hear():
            peer.say(reply(b"hello"))

    play = Play([endpoint])

    def client(peer: Peer) -> None:
        leaving.append(socket.create_connection(play.at))
        leaving[0].sendall(ask())
        peer.until(lambda: play.net.connections and len(play.net.clients) == 1)
        peer.say(ask())
        assert status(peer) == b"200"

    play.client(client)
    play.run()  # which looks whether buffers and records are back


def test_wakeup_crossing_upload_end_is_not_a_cancellation() -> None:
    goes: list[Peer] = []

    def endpoint(peer: Peer) -> None:
        peer.hear()
        goes.append(peer)
        peer.hear(b"the end")
        peer.say(reply(b"hello"))

    play = Play([endpoint])
    heard: list[bytes] = []

    def client(peer: Peer) -> None:
        text = ask("write", body=BIG * 2 + b"the end")
        peer.say(text[:-7])
        peer.until(lambda: goes)
        peer.sleep(20_000)
        # Both in one look at the sockets: one task is woken by its endpoint and stirred by the other task.
        goes[0].sock.send(b"HTTP/1.1 102 X\r\n\r\n")
        peer.say(text[-7:])
        heard.append(status(peer))

    play.client(client)
    play.run()
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
    play = Play([endpoint])
    heard: list[bytes] = []

    def client(peer: Peer) -> None:
        peer.say(ask())
        assert status(peer) == b"200"
        peer.until(lambda: play.reducer.clients.idle)
        crossing(peer.sock, ask(), monkeypatch)
        play.net.dispatch([play.reducer.clients.close_if_idle(1)])
        heard.append(peer.sock.recv(100) if peer.loop.wait(peer.sock.fileno(), READABLE) else b"?")
        assert 1 in play.net.clients  # it is told the end at once, and then listened to for a while
        peer.sock.close()
        peer.until(lambda: not play.net.clients)

    play.client(client)
    play.run()
    assert heard == [b""] and len(endpoint.heads) == 1  # read after the end, so not sent on


def test_idle_client_that_stays_is_closed_in_bounded_time() -> None:
    play = Play([Seen()])

    def client(peer: Peer) -> None:
        peer.say(ask())
        assert status(peer) == b"200"
        peer.until(lambda: play.reducer.clients.idle)
        play.net.dispatch([play.reducer.clients.close_if_idle(1)])
        peer.until(lambda: not play.net.clients)

    play.client(client)
    play.run()


@pytest.mark.parametrize("full", [True, False])
def test_last_answer_arrives_complete_despite_further_bytes(
    full: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The answer waits in the system's buffers for a client that reads late, and a reset would drop it."""
    play = Play([Seen(reply(BIG * 8))])
    heard: list[bytes] = []
    if full:
        play.reducer.limits.clients = 2
    written = StateMachine.on_response_written

    def then(reducer: StateMachine, now: int, client: int) -> list[do.Command]:
        sock.send(b"GET /more HTTP/1.1\r\n")  # lies unread as the answer has been written
        return written(reducer, now, client)

    monkeypatch.setattr(StateMachine, "on_response_written", then)
    sock = socket.socket()

    def client(peer: Peer) -> None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(play.at)
        reader = Peer(play.loop, sock)
        reader.say(ask(Connection="close"))
        peer.until(lambda: play.reducer.counters.final["read"]["answered"])
        reader.hear()
        peer.sleep(20_000)
        heard.append(reader.take(len(BIG) * 8))
        sock.close()

    play.client(client)
    play.run()
    assert heard == [BIG * 8]


def test_close_command_overtaken_by_request_does_not_spin() -> None:
    goes: list[Peer] = []

    def endpoint(peer: Peer) -> None:
        peer.hear()
        peer.say(HEAD + b"content-length: 600000\r\n\r\n" + BIG * 2)
        goes.append(peer)
        peer.until(lambda: waits)
        peer.say(bytes(600_000 - len(BIG) * 2))

    play = Play([endpoint])
    waits: list[int] = []
    wait = play.loop.wait

    def client(peer: Peer) -> None:
        peer.say(ask())
        peer.until(lambda: goes)
        peer.hear()
        peer.take(len(BIG) * 2)
        peer.sleep(20_000)

        def counted(*told: Any, **more: Any) -> int:
            if play.loop.current is play.net.clients.get(1):
                waits.append(1)
                assert len(waits) < 1000, "spins"
            return wait(*told, **more)

        play.loop.wait = counted  # type: ignore[method-assign]
        play.loop.post(play.net.clients[1], do.CloseClient(1, True))
        assert len(peer.take(600_000 - len(BIG) * 2)) == 600_000 - len(BIG) * 2

    play.client(client)
    play.run()


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
    play = Play([Seen()])
    heard: list[bytes] = []

    def client(peer: Peer) -> None:
        peer.say(ask())
        assert status(peer) == b"200"
        play.door.sock = Flawed(play.door.sock, fault)  # type: ignore[assignment]
        waiting = [socket.create_connection(play.at) for _ in range(2)]
        for sock in waiting:
            sock.sendall(ask())
        play.loop.post(play.net.command_tasks[do.AcceptClients], do.AcceptClients(False, is_final=True))
        heard.extend(status(Peer(play.loop, sock)) for sock in waiting)
        for sock in waiting:
            sock.close()

    play.client(client)
    play.run()
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
        "head alone": HEAD + CHUNKED,
        "half a line": HEAD + CHUNKED + chunk(b'{"revis'),
        "an indented half": HEAD + CHUNKED + chunk(b'{\n  "revision": 5,\n\n'),
    }
    asks: list[bytes] = []
    play = Play([Seen()], lambda peer: agent(peer))
    first = reply(play.list)

    def agent(peer: Peer) -> None:
        while head := peer.hear():
            asks.append(head.partition(b" HTTP")[0])
            peer.say(words[what] if b"watch" in head else first)

    def client(peer: Peer) -> None:
        peer.until(lambda: sum(b"watch" in ask for ask in asks) == 3)

    play.client(client)
    play.run()
    assert asks[:4] == [b"GET /catalog/members", *[b"GET /catalog/members?watch=1&after=4"] * 3]


def test_truncated_object_does_not_swallow_next_one() -> None:
    asks: list[bytes] = []
    play = Play([Seen()], lambda peer: agent(peer))

    def agent(peer: Peer) -> None:
        while head := peer.hear():
            asks.append(head.partition(b" HTTP")[0])
            if b"watch" not in head:
                peer.say(reply(play.list))
                continue
            peer.say(HEAD + CHUNKED + chunk(b'{"revision": 5,\n\n'))
            while len(asks) < 3:  # never silent
                try:
                    peer.say(chunk(b"\n"))
                except OSError:
                    return
                peer.sleep(5_000)

    def client(peer: Peer) -> None:
        peer.until(lambda: len(asks) > 2)

    play.client(client)
    play.run()
    assert asks[1:3] == [b"GET /catalog/members?watch=1&after=4"] * 2


def test_dribbled_line_counts_as_silence_and_long_list_does_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watch, "SILENCE_TIMEOUT_US", 100_000)
    monkeypatch.setattr(watch, "MIN_LINE_BYTES_PER_S", 100_000)
    dribbled: list[int] = []
    play = Play([Seen()], lambda peer: agent(peer))
    text = reply(play.list.replace(b'"members"', b" " * 30_000 + b'"members"'))

    def agent(peer: Peer) -> None:
        if b"watch" not in peer.hear():
            for at in range(0, len(text), 3_000):  # a tenth of a second long in all, and more
                peer.say(text[at : at + 3_000])
                peer.sleep(15_000)
            peer.hear()
        peer.say(HEAD + CHUNKED)
        dribbled.append(0)
        while peer.sock.fileno() >= 0:
            try:
                peer.say(chunk(b" "))
            except OSError:
                return
            dribbled[-1] += 1
            peer.sleep(10_000)

    def client(peer: Peer) -> None:
        peer.until(lambda: len(dribbled) > 1)

    play.client(client)
    play.run()
    assert play.reducer.endpoint_watch.has_list and dribbled[0] >= 1


@pytest.mark.parametrize("indent", [None, 1, 4])
def test_updates_may_be_indented_and_share_a_read(indent: int | None) -> None:
    play = Play([Seen()], lambda peer: agent(peer))
    told = [
        {"revision": n, "complete": False, "members": [member("s0", play.ports[0], phase=phase)]}
        for n, phase in ((5, "draining"), (6, "up"), (7, "draining"))
    ]

    def agent(peer: Peer) -> None:
        peer.hear()
        peer.say(reply(json.dumps(json.loads(play.list), indent=indent).encode()))
        peer.hear()
        peer.say(
            HEAD
            + CHUNKED
            + chunk(
                b"\n"
                + b"\n".join(json.dumps(news, indent=indent).encode() for news in told)
                + b'\n\n{"revision": 8, "comp'
            )
        )

    def client(peer: Peer) -> None:
        peer.until(lambda: play.reducer.endpoint_watch.revision == 7)
        peer.sleep(20_000)
        assert (
            not play.reducer.load_balancer.endpoints[0].accepts_requests
            and not play.reducer.endpoint_watch.consecutive_failures
        )

    play.client(client)
    play.run()


# What the process can't do without


@pytest.mark.parametrize("of", ["on_timer", "on_endpoint_list", "on_client_connected", "on_watch_ended"])
def test_fault_in_vital_task_restarts_it(of: str, monkeypatch: pytest.MonkeyPatch) -> None:
    endpoint = Seen()
    play = Play([endpoint], lambda peer: agent(peer))
    right, faults, rounds = getattr(StateMachine, of), [1], list[int]()

    def agent(peer: Peer) -> None:
        peer.hear()
        peer.say(reply(play.list))
        peer.hear()
        peer.say(HEAD + CHUNKED + chunk(b"\n"))
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

    def client(peer: Peer) -> None:
        peer.until(lambda: len(rounds) > 1)  # the watch is opened again
        later = socket.create_connection(play.at)
        later.sendall(ask())
        heard.append(status(Peer(play.loop, later)))
        later.close()
        peer.until(lambda: play.reducer.timer_us > play.loop.now())  # and the reducer is woken

    monkeypatch.setattr(StateMachine, of, wrong)
    play.client(client)
    if of == "on_client_connected":
        socket.create_connection(play.at).close()
    told: list[str] = []
    play.loop.on_fault = told.append
    play.run()
    assert heard == [b"200"] and len(told) == 1 and "as asked" in told[0] and not play.loop.has_failed


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

    def slow(peer: Peer) -> None:
        while head := peer.hear():
            name = head.partition(b"req-id: ")[2].partition(b"\r")[0]
            if name in left:
                late.append(peer.loop.now() - left[name])
            peer.sleep(15_000)
            with suppress(OSError):  # called off, as its client has left
                peer.say(reply(b"hello"))

    play = Play([slow], connect_timeout_us=500_000)
    play.reducer.load_balancer.endpoints[0].limit = 2.0  # so that most wait in the line
    stood: list[int] = [0]  # the longest that the machine has let this process stand, which is not its fault

    def tick() -> None:
        while True:
            due_us = play.loop.now() + 1000
            play.loop.wait(until_us=due_us)
            stood.append(play.loop.now() - due_us)

    play.loop.spawn(tick)

    def client(peer: Peer) -> None:
        for n in range(120):
            sock = socket.create_connection(play.at)
            name = b"leaves%d" % n
            text = ask("read", Req_Id=name.decode(), Req_Deadline="900m")
            sock.sendall(text[:-3] if n % 5 == 0 else text)
            peer.sleep((0, 500, 2_000, 9_000)[n % 4])
            left[name] = play.loop.now()
            if n % 3 == 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
        peer.until(lambda: len(play.net.clients) == 1 and not play.reducer.attempts.in_flight)

    play.client(client)
    play.run()
    with capsys.disabled():
        print(f"sent on after its client left: {len(late)} of 120, {max(late, default=0)} us later at most")
    assert not [us for us in late if us > 300_000 + 2 * max(stood)] and len(late) <= 30


# What tasks are told


def test_each_task_receives_only_commands_that_it_handles() -> None:
    """What the tasks' handling of their mail rests on: who is told what, by the effect's kind."""
    play = Play([Seen()])
    told: dict[str, set[type]] = {}
    post = play.loop.post
    names = {
        id(play.net.command_tasks[do.WatchEndpoints]): "watch",
        id(play.net.command_tasks[do.AcceptClients]): "listener",
        id(play.net.command_tasks[do.SetTimer]): "waker",
    }

    def posting(task: Any, message: Any) -> None:
        told.setdefault(names.get(id(task), "other"), set()).add(type(message))
        post(task, message)

    play.loop.post = posting  # type: ignore[method-assign]

    def client(peer: Peer) -> None:
        for _ in range(3):
            peer.say(ask())
            assert status(peer) == b"200"
        play.net.dispatch(play.reducer.on_watch_ended(play.loop.now(), "as asked"))
        play.net.dispatch(
            play.reducer.on_discovery_address(play.loop.now(), ("127.0.0.1", play.ports[-1] ^ 1))
        )
        peer.sleep(20_000)

    play.client(client)
    play.run()
    assert told["watch"] == {do.WatchEndpoints} and told["waker"] == {do.SetTimer}
    assert told.get("listener", {do.AcceptClients}) == {do.AcceptClients}
