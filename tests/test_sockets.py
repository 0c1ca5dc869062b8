"""The sidecar on loopback, amid endpoints, clients and discovery that follow scripts."""

from __future__ import annotations

import copy
import errno
import json
import os
import select
import signal
import socket
import struct
import subprocess
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from cressrail.event_loop.scheduler import MAIL, READ, TIMED_OUT, Scheduler
from cressrail.logs.log_writer import MOST_WAITING, LogWriter
from cressrail.network.endpoint_connection import EndpointConnectionTask
from cressrail.network.socket_stream import SocketStream
from cressrail.proxy import clients
from cressrail.proxy.clients import CLIENT_STALL_US
from cressrail.proxy.commands import SendAttempt
from tests.helpers import CONFIG, Peer, Play, Script, ask, chunk, member, mesh, reply

BIG = bytes(range(256)) * 256
HEAD, CHUNKED = b"HTTP/1.1 200 OK\r\n", b"transfer-encoding: chunked\r\n\r\n"
CUT = HEAD + b"content-length: 9\r\n\r\nhello"
AWAY = b"srv-declined: 1\r\n"


def serving(text: bytes, close: bool = False, step: int = 0) -> Script:
    """An endpoint that answers all requests with this."""

    def script(peer: Peer) -> None:
        while peer.hear():
            for at in range(0, len(text), step or len(text)):
                peer.say(text[at : at + (step or len(text))])
                if step:
                    peer.sleep(0)
            if close:
                peer.sock.close()
                return

    return script


def asked(play: Play, request: bytes, then: bytes | None = None) -> list[bytes]:
    """What one client hears for it, and for another on the same connection."""
    heard: list[bytes] = []

    def script(peer: Peer) -> None:
        for text in [request, then] if then else [request]:
            peer.say(text)
            head = peer.hear()
            size = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0] or 0)
            heard.append(head[9:12] + b" " + peer.take(size))

    play.client(script)
    play.run()
    return heard


@pytest.mark.parametrize(
    "text, close, step",
    [
        (reply(b"hello"), False, 0),
        (reply(b"hello"), False, 1),
        (reply(b"hello"), True, 0),
        (HEAD + b"\r\nhello", True, 0),
        (HEAD + CHUNKED + chunk(b"hello") + chunk(b""), False, 3),
    ],
)
def test_a_body_goes_through_unchanged_in_any_framing(text: bytes, close: bool, step: int) -> None:
    assert asked(Play([serving(text, close, step)]), ask(), ask()) == [b"200 hello"] * 2


def test_bodies_of_64_kib_go_both_ways_past_a_peer_that_stops_reading_for_a_while() -> None:
    seen: list[bytes] = []
    heard: list[bytes] = []

    def endpoint(peer: Peer) -> None:
        peer.hear()
        peer.sleep(30_000)
        seen.append(peer.hear(BIG))
        peer.say(reply(BIG))

    def client(peer: Peer) -> None:
        peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        peer.say(ask(body=BIG))
        peer.sleep(50_000)
        peer.hear()
        heard.append(peer.hear(BIG))

    play = Play([endpoint])
    play.client(client)
    play.run()
    assert seen == [BIG] and heard == [BIG]


def test_an_answer_may_be_larger_than_a_request() -> None:
    assert asked(Play([serving(reply(BIG * 5))]), ask()) == [b"200 " + BIG * 5]


@pytest.mark.parametrize(
    "kind, text, status",
    [
        ("write", CUT, b"502 "),
        ("read", CUT, b"503 "),
        ("write", HEAD + CHUNKED + chunk(b"hello"), b"502 "),
        ("write", HEAD, b"502 "),
        ("write", b"nonsense\r\n\r\n", b"502 "),
        ("write", HEAD + b"content-length: 3000000000\r\n\r\na", b"502 "),
        ("write", reply(status=500), b"502 "),
        ("note", reply(status=500), b"503 "),
        ("write", reply(status=503), b"502 "),
        ("write", reply(status=503, more=AWAY), b"503 "),
        ("write", reply(status=504, more=AWAY.title()), b"503 "),
        ("write", reply(status=404), b"400 "),
        ("read", reply(status=429), b"503 "),
    ],
)
def test_a_failed_hop_is_told_apart_by_whether_it_may_have_run(kind: str, text: bytes, status: bytes) -> None:
    assert asked(Play([serving(text, close=True)]), ask(kind)) == [status]


def test_an_endpoint_that_refuses_never_ran_and_counts_as_gone() -> None:
    play = Play([serving(reply())])
    play.socks[0].close()
    play.socks[0] = socket.socket()  # nobody listens any more
    assert asked(play, ask("write")) == [b"503 "]
    assert not play.reducer.load_balancer.endpoints[0].is_available(play.loop.now())


def test_a_request_is_written_once_and_not_to_a_connection_that_the_endpoint_has_closed() -> None:
    seen: list[int] = []

    def endpoint(peer: Peer) -> None:
        seen.append(0)
        for _ in range(2):
            if peer.hear():
                seen[-1] += 1
                peer.say(reply(b"hello"))
        peer.sock.close()

    play = Play([endpoint])
    heard: list[bytes] = []

    def client(peer: Peer) -> None:
        for _ in range(5):
            peer.say(ask())
            heard.append(peer.hear(b"hello"))

    play.client(client)
    play.run()
    assert len(heard) == 5 and all(heard) and seen == [2, 2, 1]


@pytest.mark.parametrize("abrupt", [True, False])
def test_only_a_reset_at_rest_says_that_the_process_has_died(abrupt: bool) -> None:
    def endpoint(peer: Peer) -> None:
        peer.hear()
        peer.say(reply(b"hello"))
        peer.sleep(10_000)
        if abrupt:
            peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.sock.close()

    play = Play([endpoint])

    def client(peer: Peer) -> None:
        peer.say(ask())
        peer.hear(b"hello")
        peer.until(lambda: not play.net.connections)

    play.client(client)
    play.run()
    assert play.reducer.load_balancer.endpoints[0].is_available(play.loop.now()) is not abrupt


def test_an_endpoint_is_not_blamed_for_a_hop_whose_time_was_over(monkeypatch: pytest.MonkeyPatch) -> None:
    play = Play([serving(reply())])

    prepare = EndpointConnectionTask._open

    def late(task: EndpointConnectionTask, job: SendAttempt) -> None:
        prepare(task, job)
        monkeypatch.setattr(play.net, "now", lambda: play.loop.now() + 10 * CLIENT_STALL_US)

    monkeypatch.setattr(EndpointConnectionTask, "_open", late)
    assert asked(play, ask("write")) == [b"503 "]
    assert play.reducer.load_balancer.endpoints[0].success_rate == 1.0


def test_a_client_that_leaves_closes_its_hops_connection() -> None:
    ends: list[bytes] = []
    play = Play([lambda peer: ends.append(peer.hear() and peer.hear(b"never"))])

    def client(peer: Peer) -> None:
        peer.say(ask())
        peer.sleep(30_000)

    play.client(client)
    play.run()
    assert ends == [b""]


@pytest.mark.parametrize(
    "request_text, heard",
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\n\r\n", b"404"),
        (ask("unknown"), b"400"),
        (ask(path="/" + "a" * 9000), b"431"),
        (ask(Content_Length="9000000000"), b"413"),
    ],
)
def test_malformed_oversized_and_unknown_requests(request_text: bytes, heard: bytes) -> None:
    assert asked(Play([serving(reply())]), request_text)[0][:3] == heard


def test_two_requests_written_at_once_are_answered_in_turn() -> None:
    play = Play([serving(reply(b"hello"))])
    heard: list[bytes] = []

    def client(peer: Peer) -> None:
        peer.say(ask() + ask())
        heard.extend([peer.hear(b"hello"), peer.hear(b"hello")])

    play.client(client)
    play.run()
    assert all(text.startswith(b"HTTP/1.1 200") for text in heard)


def test_a_silent_connect_does_not_hold_others_up() -> None:
    full = socket.socket()
    full.bind(("127.0.0.1", 0))
    full.listen(0)
    port = full.getsockname()[1]
    fill = [socket.socket() for _ in range(4)]  # its queue is full: nobody answers
    for sock in fill:
        sock.setblocking(False)
        sock.connect_ex(("127.0.0.1", port))
    play = Play([serving(reply())], connect_timeout_us=50_000)
    play.reducer.registry.endpoints[0].port = port
    play.list = play.list.replace(b":%d" % play.ports[0], b":%d" % port)
    heard = asked(play, ask("write", Req_Deadline="2000m"))
    assert heard == [b"503 "]
    for sock in [full, *fill]:
        sock.close()


def test_news_of_the_watch_counts_and_what_is_torn_or_junk_leaves_the_list() -> None:
    asks: list[bytes] = []
    go: list[bool] = []

    def watch(peer: Peer) -> None:
        asks.append(peer.hear().partition(b"\r\n")[0])
        if b"watch" not in asks[-1]:
            peer.say(reply(line(4, full=True)))
            asks[-1] = peer.hear().partition(b"\r\n")[0]
        peer.say(HEAD + b"transfer-encoding: chunked\r\n\r\n")
        if len(asks) == 1:
            peer.say(chunk(line(5)) + chunk(b"\n") + chunk(b"{nonsense\n"))
        elif len(asks) == 2:
            peer.say(chunk(line(6)[:40]))
            peer.sock.close()
        else:
            peer.until(lambda: go)
            peer.say(chunk(line(7, phase="draining")))

    play = Play([serving(reply())], watch)

    def line(revision: int, full: bool = False, **change: Any) -> bytes:
        entry = member("s0", play.ports[0], **change)
        return json.dumps({"revision": revision, "complete": full, "members": [entry]}).encode() + b"\n"

    def client(peer: Peer) -> None:
        def serves_meanwhile() -> bool:
            peer.say(ask())
            assert peer.hear().startswith(b"HTTP/1.1 200")
            return len(asks) == 3

        peer.until(serves_meanwhile)
        go.append(True)
        peer.until(lambda: play.reducer.endpoint_watch.revision == 7)
        peer.say(ask(Req_Deadline="10m"))
        assert peer.hear().startswith(b"HTTP/1.1 503")

    play.client(client)
    play.run()
    assert asks == [b"GET /catalog/members?watch=1&after=%d HTTP/1.1" % after for after in (4, 5, 5)]


def test_a_stop_serves_those_who_come_and_ends() -> None:
    play = Play([serving(reply(b"hello"))])
    play.hang_up = False
    heard: list[bytes] = []
    served: list[socket.socket] = []

    def late(peer: Peer) -> None:
        peer.say(ask())
        heard.append(peer.hear(b"hello")[:12])
        served.append(peer.sock.dup())

    def first(peer: Peer) -> None:
        play.net.dispatch(play.reducer.on_stop_requested(play.loop.now()))
        peer.sleep(100_000)
        play.client(late)
        served.append(peer.sock.dup())
        peer.hear()

    play.client(first)
    play.loop.run()
    assert heard == [b"HTTP/1.1 200"]
    for sock in served:
        assert sock.recv(1) == b""  # closed between requests
        sock.close()
    assert play.door.sock.fileno() == -1 and not play.reducer.clients.open


def test_through_a_stop_whatever_was_taken_is_answered() -> None:
    seen: list[bytes] = []

    def endpoint(peer: Peer) -> None:
        while text := peer.hear():
            seen.append(text)
            peer.sleep(20_000)
            peer.say(reply(b"hello"))

    play = Play([endpoint])
    play.hang_up = False
    answered: list[bytes] = []

    def client(peer: Peer) -> None:
        if not play.reducer.lifecycle.is_stopping:
            play.net.dispatch(play.reducer.on_stop_requested(play.loop.now()))
        while True:
            peer.say(ask())
            if not (head := peer.hear(b"hello")):
                return  # closed between requests
            answered.append(head)

    for _ in range(4):
        play.client(client)
    play.loop.run()
    rest = 0  # that the scripts had no time to read
    for sock in play.open:
        with suppress(OSError):
            rest += sock.recv(1 << 16).count(b"hello")
    assert len(seen) > 4 and len(answered) + rest == len(seen)
    assert not play.reducer.requests.pending and not play.reducer.clients.open


def limit_connections(play: Play, clients: int, extra_clients: int, endpoint_connections: int) -> None:
    limits = play.reducer.limits
    limits.clients, limits.extra_clients = clients, extra_clients
    limits.endpoint_connections = endpoint_connections


def test_more_clients_than_there_is_room_for_are_each_answered() -> None:
    play = Play([serving(reply())])
    limit_connections(play, clients=4, extra_clients=2, endpoint_connections=4)
    heard: list[bytes] = []

    def client(peer: Peer) -> None:
        peer.sleep(20_000)  # its request comes well after its connection
        peer.say(ask())
        heard.append(peer.hear()[9:12])

    for _ in range(20):
        play.client(client)
    play.run()
    assert len(heard) == 20 and set(heard) == {b"200", b"503"}


def test_one_that_stalls_amid_its_request_gives_its_place_up() -> None:
    play = Play([serving(reply())])
    limit_connections(play, clients=1, extra_clients=1, endpoint_connections=4)
    heard: list[bytes] = []

    def comes(peer: Peer) -> None:
        peer.say(ask())
        heard.append(peer.hear()[9:12])

    def stalls(peer: Peer) -> None:
        peer.say(ask()[:30])
        peer.sleep(CLIENT_STALL_US + 50_000)
        play.client(comes)
        heard.append(peer.hear()[9:12])

    play.client(stalls)
    play.run()
    assert sorted(heard) == [b"200", b"408"]


@pytest.mark.parametrize("sent", [b"", b"GET /api HT", b"POST /api HTTP/1.1\r\ncontent-length: 9\r\n\r\nabc"])
def test_silent_and_halting_clients_are_told_or_closed(sent: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clients, "CLIENT_SILENCE_LIMIT_US", 20_000)
    monkeypatch.setattr(clients, "CLIENT_STALL_US", 20_000)
    heard: list[bytes] = []

    def halts(peer: Peer) -> None:
        peer.say(sent)
        heard.append(peer.hear()[9:12])

    play = Play([serving(reply())])
    play.client(halts)
    play.run()
    assert heard == [b"408" if sent else b""]


def test_one_that_sends_slowly_but_steadily_is_not_taken_for_one_that_halts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(clients, "CLIENT_SILENCE_LIMIT_US", 100_000)
    monkeypatch.setattr(clients, "CLIENT_STALL_US", 100_000)
    heard: list[bytes] = []

    def slow(peer: Peer) -> None:
        text = ask()
        for at in range(0, len(text), 8):
            peer.say(text[at : at + 8])
            peer.sleep(10_000)
        heard.append(peer.hear()[9:12])

    play = Play([serving(reply())])
    play.client(slow)
    play.run()
    assert heard == [b"200"]


def test_no_descriptor_left_pauses_the_listener_and_no_more() -> None:
    play = Play([serving(reply())])
    real, fails = play.door.sock, [errno.EMFILE, errno.EMFILE]

    class Short:
        fileno, close, getsockname = real.fileno, real.close, real.getsockname

        def accept(self) -> Any:
            if fails:
                raise OSError(fails.pop(), "no descriptor")
            return real.accept()

    play.door.sock = Short()  # type: ignore[assignment]
    assert asked(play, ask()) == [b"200 "] and not fails


def test_no_buffer_left_is_answered_and_passes() -> None:
    play = Play([serving(reply())])
    play.net.pool.most = 3
    assert asked(play, ask(body=BIG[:60_000]))[0] == b"503 "


def test_a_watch_without_a_buffer_is_opened_again() -> None:
    play = Play([serving(reply())])
    most, play.net.pool.most = play.net.pool.most, 0

    def client(peer: Peer) -> None:
        peer.until(lambda: play.reducer.endpoint_watch.consecutive_failures)
        play.net.pool.most = most
        peer.until(lambda: len(play.open) == 3)  # this client, the first watch and another

    play.client(client)
    play.run()


def test_the_loop_wakes_for_mail_time_and_sockets_and_times_what_waited() -> None:
    clock = [0]
    loop = Scheduler(lambda: clock[0], lambda text: None)
    near, far = socket.socketpair()
    woken: list[object] = []

    def waits() -> None:
        woken.append(loop.wait(near.fileno(), READ, 50))
        woken.append(task.mail.popleft())
        woken.append(loop.wait(until_us=70))
        woken.append(loop.wait(near.fileno(), READ) & select.POLLIN)
        woken.append(loop.arrived_us)
        loop.stopped = True

    def drives() -> None:
        loop.post(task, "a letter")
        loop.wait(until_us=0)
        clock[0] = 80
        loop.wait(until_us=0)
        far.send(b"x")
        clock[0] = 5000  # busy for so long; what came meanwhile may have come at 80

    task = loop.spawn(waits)
    loop.spawn(drives)
    loop.run()
    assert woken == [MAIL, "a letter", TIMED_OUT, select.POLLIN, 80]
    near.close()
    far.close()


def test_a_task_that_fails_is_reported_and_the_others_go_on() -> None:
    faults: list[str] = []
    loop = Scheduler(lambda: 0, faults.append)

    def fails() -> None:
        raise ValueError("mine")

    loop.spawn(fails)
    loop.spawn(lambda: setattr(loop, "stopped", True))
    loop.run()
    assert len(faults) == 1 and "ValueError: mine" in faults[0] and loop.tasks == 0


def test_a_log_that_nobody_reads_blocks_nothing_and_drops_the_newest() -> None:
    reading, writing = os.pipe()
    lines = LogWriter(writing, lambda: 5, "n1")
    for n in range(MOST_WAITING + 10):
        lines.write_event("x", {"n": n, "pad": "p" * 100})
    lines.flush()
    assert lines.waiting and lines.dropped == 10
    first = os.read(reading, 1 << 16).split(b"\n")[0]
    assert json.loads(first) == {"at_us": 5, "sidecar": "n1", "event": "x", "n": 0, "pad": "p" * 100}
    os.close(reading)
    lines.flush()
    assert not lines.waiting
    os.close(writing)


def test_what_came_before_the_connection_was_taken_in_is_timed_from_there_once() -> None:
    now = [100]
    loop = Scheduler(lambda: now[0], lambda text: None)
    near, far = _tcp_pair()
    stream = SocketStream(loop, Play([]).net.pool, near)
    far.send(b"x")
    select.select([near], [], [])
    loop.since_us = 900
    stream.read()
    assert stream.arrived_us == 100
    far.send(b"y")
    select.select([near], [], [])
    stream.read()
    assert stream.arrived_us == 900
    stream.close()
    far.close()


def _tcp_pair() -> tuple[socket.socket, socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as server:
        far = socket.create_connection(server.getsockname())
        return server.accept()[0], far


def test_the_program_starts_answers_stops_and_starts_again_at_once(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**CONFIG, "listen": address}))
    for _ in range(2):
        program = subprocess.Popen(
            [sys.executable, "-m", "cressrail", "serve", str(path)], stdout=subprocess.PIPE
        )
        assert program.stdout is not None
        assert json.loads(program.stdout.readline())["event"] == "start"
        with socket.create_connection(("127.0.0.1", int(address.split(":")[1]))) as sock:
            sock.sendall(b"GET /_health HTTP/1.1\r\n\r\n")
            assert sock.recv(100).startswith(b"HTTP/1.1 503")  # no list, and discovery is not there
            program.send_signal(signal.SIGTERM)
            assert program.wait(30) == 0
        events = [json.loads(line)["event"] for line in program.stdout]
        program.stdout.close()
        assert events[-1] == "end" and "stopping" in events


def agent(revision: int, members: list[dict[str, Any]]) -> bytes:
    return reply(json.dumps({"revision": revision, "complete": True, "members": members}).encode())


def test_sighup_reads_the_file_again_and_the_watch_moves_with_nothing_disturbed(tmp_path: Path) -> None:
    """In flight meanwhile: a hop to the endpoint that the new address, which counts anew, no longer lists."""
    names = ("door", "old", "new", "endpoint")
    doors = {name: socket.create_server(("127.0.0.1", 0)) for name in names}
    at = {name: f"127.0.0.1:{sock.getsockname()[1]}" for name, sock in doors.items()}
    doors.pop("door").close()
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**CONFIG, "listen": at["door"], "discovery": at["old"]}))

    def heard(sock: socket.socket, end: bytes = b"\r\n\r\n") -> bytes:
        text = b""
        while end not in text and (more := sock.recv(4096)):
            text += more
        return text

    def watched(name: str, text: bytes) -> socket.socket:
        sock, _ = doors[name].accept()
        assert b"GET /catalog/members HTTP" in heard(sock)
        sock.sendall(text)
        asked = heard(sock)
        sock.sendall(HEAD + b"transfer-encoding: chunked\r\n\r\n" + chunk(b"\n"))
        assert b"watch=1&after=%d " % json.loads(text.partition(b"\r\n\r\n")[2])["revision"] in asked
        return sock

    env = {**os.environ, "BALANCER_DISCOVERY": at["old"]}  # stands above the file until that changes
    with subprocess.Popen(
        [sys.executable, "-m", "cressrail", "serve", str(path)], env=env, stdout=subprocess.PIPE
    ) as program:
        assert program.stdout is not None
        said = (json.loads(line) for line in program.stdout)

        def until(event: str) -> dict[str, Any]:
            return next(line for line in said if line["event"] == event)

        until("start")
        old = watched("old", agent(70, [member("s0", doors["endpoint"].getsockname()[1])]))
        until("endpoint_list_updated")
        with socket.create_connection(("127.0.0.1", int(at["door"].split(":")[1]))) as client:
            client.sendall(ask())
            endpoint, _ = doors["endpoint"].accept()
            heard(endpoint)
            path.write_text("{")
            program.send_signal(signal.SIGHUP)
            assert str(path) in until("config_kept")["why"]
            later = {**CONFIG, "name": "n2", "listen": at["door"], "discovery": at["new"]}
            path.write_text(json.dumps(later))
            program.send_signal(signal.SIGHUP)
            assert until("config")["needs_restart"] == ["name"]
            new = watched("new", agent(3, [member("s1", 9)]))
            assert until("endpoint_list_updated")["revision"] == 3 and old.recv(9) == b""
            endpoint.sendall(reply(b"hello"))
            assert b"200 OK" in heard(client, b"hello")
        program.send_signal(signal.SIGTERM)
        assert program.wait(30) == 0
    for sock in [old, new, endpoint, *doors.values()]:
        sock.close()


def test_an_address_that_is_taken_is_named(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        path = tmp_path / "config.json"
        path.write_text(json.dumps({**CONFIG, "listen": address}))
        done = subprocess.run(
            [sys.executable, "-m", "cressrail", "serve"],
            capture_output=True,
            text=True,
            env={**os.environ, "BALANCER_CONFIG": str(path)},
        )
    assert done.returncode == 1
    assert done.stderr == f"cressrail: cannot listen on {address}: Address already in use\n"


@pytest.mark.parametrize(
    "words, code, says",
    [
        (["version"], 0, "cressrail 0."),
        (["check", "/nowhere"], 2, "cressrail: /nowhere: No such file"),
        (["serve", "/nowhere"], 2, "cressrail: /nowhere: No such file"),
        (["nonsense"], 2, "No such command"),
    ],
)
def test_the_command_line(words: list[str], code: int, says: str) -> None:
    done = subprocess.run([sys.executable, "-m", "cressrail", *words], capture_output=True, text=True)
    assert done.returncode == code and says in done.stdout + done.stderr


@pytest.mark.parametrize("shaped, most", [(mesh, 2), (copy.deepcopy, 6)])
def test_a_sidecar_beside_its_client_keeps_connections_to_few_endpoints(shaped: Any, most: int) -> None:
    met: set[int] = set()

    def endpoint(n: int) -> Script:
        def script(peer: Peer) -> None:
            met.add(n)
            serving(reply(b"hello"))(peer)

        return script

    heard: list[bytes] = []

    def client(peer: Peer) -> None:
        for _ in range(40):
            peer.say(ask())
            heard.append(peer.hear()[9:12])
            peer.take(5)

    play = Play([endpoint(n) for n in range(6)], shaped=shaped)
    play.client(client)
    play.run()
    assert heard == [b"200"] * 40 and len(met) == most


@pytest.mark.parametrize("kind", ["read", "write", "note"])
def test_beside_its_client_what_finds_no_connection_is_rolled_back(kind: str) -> None:
    # As where endpoints' tables are full: a new connection is refused, so the hop surely never ran.
    play = Play([serving(reply())] * 3, shaped=mesh)
    for sock in play.socks[:3]:
        sock.close()
    assert asked(play, ask(kind)) == [b"503 "]
