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

from cressrail.event_loop.scheduler import MESSAGE, READABLE, TIMED_OUT, Scheduler
from cressrail.logs.log_writer import MAX_WAITING_LINES, LogWriter
from cressrail.network.endpoint_connection import EndpointConnectionTask
from cressrail.network.socket_stream import SocketStream
from cressrail.proxy import clients
from cressrail.proxy.clients import CLIENT_STALL_US
from cressrail.proxy.commands import SendAttempt
from tests.support.configuration import SIDECAR_CONFIGURATION, endpoint_entry, mesh_configuration
from tests.support.http_messages import (
    CHUNKED_HEADER,
    DECLINED_HEADER,
    OK_STATUS_LINE,
    TRUNCATED_RESPONSE,
    chunk_bytes,
    request_bytes,
    response_bytes,
)
from tests.support.scripted_peer import Script, ScriptedPeer, answer_each_with
from tests.support.sidecar_harness import SidecarHarness, exchange

BIG = bytes(range(256)) * 256


@pytest.mark.parametrize(
    "text, close, step",
    [
        (response_bytes(b"hello"), False, 0),
        (response_bytes(b"hello"), False, 1),
        (response_bytes(b"hello"), True, 0),
        (OK_STATUS_LINE + b"\r\nhello", True, 0),
        (OK_STATUS_LINE + CHUNKED_HEADER + chunk_bytes(b"hello") + chunk_bytes(b""), False, 3),
    ],
)
def test_a_body_goes_through_unchanged_in_any_framing(text: bytes, close: bool, step: int) -> None:
    assert (
        exchange(SidecarHarness([answer_each_with(text, close, step)]), request_bytes(), request_bytes())
        == [b"200 hello"] * 2
    )


def test_bodies_of_64_kib_go_both_ways_past_a_peer_that_stops_reading_for_a_while() -> None:
    seen: list[bytes] = []
    heard: list[bytes] = []

    def endpoint(peer: ScriptedPeer) -> None:
        peer.receive_until()
        peer.sleep(30_000)
        seen.append(peer.receive_until(BIG))
        peer.send(response_bytes(BIG))

    def client(peer: ScriptedPeer) -> None:
        peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        peer.send(request_bytes(body=BIG))
        peer.sleep(50_000)
        peer.receive_until()
        heard.append(peer.receive_until(BIG))

    harness = SidecarHarness([endpoint])
    harness.add_client(client)
    harness.run()
    assert seen == [BIG] and heard == [BIG]


def test_an_answer_may_be_larger_than_a_request() -> None:
    assert exchange(SidecarHarness([answer_each_with(response_bytes(BIG * 5))]), request_bytes()) == [
        b"200 " + BIG * 5
    ]


@pytest.mark.parametrize(
    "kind, text, status",
    [
        ("write", TRUNCATED_RESPONSE, b"502 "),
        ("read", TRUNCATED_RESPONSE, b"503 "),
        ("write", OK_STATUS_LINE + CHUNKED_HEADER + chunk_bytes(b"hello"), b"502 "),
        ("write", OK_STATUS_LINE, b"502 "),
        ("write", b"nonsense\r\n\r\n", b"502 "),
        ("write", OK_STATUS_LINE + b"content-length: 3000000000\r\n\r\na", b"502 "),
        ("write", response_bytes(status=500), b"502 "),
        ("note", response_bytes(status=500), b"503 "),
        ("write", response_bytes(status=503), b"502 "),
        ("write", response_bytes(status=503, header_lines=DECLINED_HEADER), b"503 "),
        ("write", response_bytes(status=504, header_lines=DECLINED_HEADER.title()), b"503 "),
        ("write", response_bytes(status=404), b"400 "),
        ("read", response_bytes(status=429), b"503 "),
    ],
)
def test_a_failed_hop_is_told_apart_by_whether_it_may_have_run(kind: str, text: bytes, status: bytes) -> None:
    assert exchange(SidecarHarness([answer_each_with(text, closes=True)]), request_bytes(kind)) == [status]


def test_an_endpoint_that_refuses_never_ran_and_counts_as_gone() -> None:
    harness = SidecarHarness([answer_each_with(response_bytes())])
    harness.listening_sockets[0].close()
    harness.listening_sockets[0] = socket.socket()  # nobody listens any more
    assert exchange(harness, request_bytes("write")) == [b"503 "]
    assert not harness.state_machine.load_balancer.endpoints[0].is_available(harness.scheduler.now())


def test_a_request_is_written_once_and_not_to_a_connection_that_the_endpoint_has_closed() -> None:
    seen: list[int] = []

    def endpoint(peer: ScriptedPeer) -> None:
        seen.append(0)
        for _ in range(2):
            if peer.receive_until():
                seen[-1] += 1
                peer.send(response_bytes(b"hello"))
        peer.sock.close()

    harness = SidecarHarness([endpoint])
    heard: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        for _ in range(5):
            peer.send(request_bytes())
            heard.append(peer.receive_until(b"hello"))

    harness.add_client(client)
    harness.run()
    assert len(heard) == 5 and all(heard) and seen == [2, 2, 1]


@pytest.mark.parametrize("abrupt", [True, False])
def test_only_a_reset_at_rest_says_that_the_process_has_died(abrupt: bool) -> None:
    def endpoint(peer: ScriptedPeer) -> None:
        peer.receive_until()
        peer.send(response_bytes(b"hello"))
        peer.sleep(10_000)
        if abrupt:
            peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.sock.close()

    harness = SidecarHarness([endpoint])

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        peer.receive_until(b"hello")
        peer.wait_until(lambda: not harness.dispatcher.connections)

    harness.add_client(client)
    harness.run()
    assert (
        harness.state_machine.load_balancer.endpoints[0].is_available(harness.scheduler.now()) is not abrupt
    )


def test_an_endpoint_is_not_blamed_for_a_hop_whose_time_was_over(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = SidecarHarness([answer_each_with(response_bytes())])

    prepare = EndpointConnectionTask._open

    def late(task: EndpointConnectionTask, job: SendAttempt) -> None:
        prepare(task, job)
        monkeypatch.setattr(harness.dispatcher, "now", lambda: harness.scheduler.now() + 10 * CLIENT_STALL_US)

    monkeypatch.setattr(EndpointConnectionTask, "_open", late)
    assert exchange(harness, request_bytes("write")) == [b"503 "]
    assert harness.state_machine.load_balancer.endpoints[0].success_rate == 1.0


def test_a_client_that_leaves_closes_its_hops_connection() -> None:
    ends: list[bytes] = []
    harness = SidecarHarness(
        [lambda peer: ends.append(peer.receive_until() and peer.receive_until(b"never"))]
    )

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        peer.sleep(30_000)

    harness.add_client(client)
    harness.run()
    assert ends == [b""]


@pytest.mark.parametrize(
    "request_text, heard",
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\n\r\n", b"404"),
        (request_bytes("unknown"), b"400"),
        (request_bytes(path="/" + "a" * 9000), b"431"),
        (request_bytes(Content_Length="9000000000"), b"413"),
    ],
)
def test_malformed_oversized_and_unknown_requests(request_text: bytes, heard: bytes) -> None:
    assert exchange(SidecarHarness([answer_each_with(response_bytes())]), request_text)[0][:3] == heard


def test_two_requests_written_at_once_are_answered_in_turn() -> None:
    harness = SidecarHarness([answer_each_with(response_bytes(b"hello"))])
    heard: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        peer.send(request_bytes() + request_bytes())
        heard.extend([peer.receive_until(b"hello"), peer.receive_until(b"hello")])

    harness.add_client(client)
    harness.run()
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
    harness = SidecarHarness([answer_each_with(response_bytes())], connect_timeout_us=50_000)
    harness.state_machine.registry.endpoints[0].port = port
    harness.endpoint_list_json = harness.endpoint_list_json.replace(b":%d" % harness.ports[0], b":%d" % port)
    heard = exchange(harness, request_bytes("write", Req_Deadline="2000m"))
    assert heard == [b"503 "]
    for sock in [full, *fill]:
        sock.close()


def test_news_of_the_watch_counts_and_what_is_torn_or_junk_leaves_the_list() -> None:
    asks: list[bytes] = []
    go: list[bool] = []

    def watch(peer: ScriptedPeer) -> None:
        asks.append(peer.receive_until().partition(b"\r\n")[0])
        if b"watch" not in asks[-1]:
            peer.send(response_bytes(line(4, full=True)))
            asks[-1] = peer.receive_until().partition(b"\r\n")[0]
        peer.send(OK_STATUS_LINE + b"transfer-encoding: chunked\r\n\r\n")
        if len(asks) == 1:
            peer.send(chunk_bytes(line(5)) + chunk_bytes(b"\n") + chunk_bytes(b"{nonsense\n"))
        elif len(asks) == 2:
            peer.send(chunk_bytes(line(6)[:40]))
            peer.sock.close()
        else:
            peer.wait_until(lambda: go)
            peer.send(chunk_bytes(line(7, phase="draining")))

    harness = SidecarHarness([answer_each_with(response_bytes())], watch)

    def line(revision: int, full: bool = False, **change: Any) -> bytes:
        entry = endpoint_entry("s0", harness.ports[0], **change)
        return json.dumps({"revision": revision, "complete": full, "members": [entry]}).encode() + b"\n"

    def client(peer: ScriptedPeer) -> None:
        def serves_meanwhile() -> bool:
            peer.send(request_bytes())
            assert peer.receive_until().startswith(b"HTTP/1.1 200")
            return len(asks) == 3

        peer.wait_until(serves_meanwhile)
        go.append(True)
        peer.wait_until(lambda: harness.state_machine.endpoint_watch.revision == 7)
        peer.send(request_bytes(Req_Deadline="10m"))
        assert peer.receive_until().startswith(b"HTTP/1.1 503")

    harness.add_client(client)
    harness.run()
    assert asks == [b"GET /catalog/members?watch=1&after=%d HTTP/1.1" % after for after in (4, 5, 5)]


def test_a_stop_serves_those_who_come_and_ends() -> None:
    harness = SidecarHarness([answer_each_with(response_bytes(b"hello"))])
    harness.stops_after_clients = False
    heard: list[bytes] = []
    served: list[socket.socket] = []

    def late(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        heard.append(peer.receive_until(b"hello")[:12])
        served.append(peer.sock.dup())

    def first(peer: ScriptedPeer) -> None:
        harness.dispatcher.dispatch(harness.state_machine.on_stop_requested(harness.scheduler.now()))
        peer.sleep(100_000)
        harness.add_client(late)
        served.append(peer.sock.dup())
        peer.receive_until()

    harness.add_client(first)
    harness.scheduler.run()
    assert heard == [b"HTTP/1.1 200"]
    for sock in served:
        assert sock.recv(1) == b""  # closed between requests
        sock.close()
    assert harness.listener.sock.fileno() == -1 and not harness.state_machine.clients.open


def test_through_a_stop_whatever_was_taken_is_answered() -> None:
    seen: list[bytes] = []

    def endpoint(peer: ScriptedPeer) -> None:
        while text := peer.receive_until():
            seen.append(text)
            peer.sleep(20_000)
            peer.send(response_bytes(b"hello"))

    harness = SidecarHarness([endpoint])
    harness.stops_after_clients = False
    answered: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        if not harness.state_machine.lifecycle.is_stopping:
            harness.dispatcher.dispatch(harness.state_machine.on_stop_requested(harness.scheduler.now()))
        while True:
            peer.send(request_bytes())
            if not (head := peer.receive_until(b"hello")):
                return  # closed between requests
            answered.append(head)

    for _ in range(4):
        harness.add_client(client)
    harness.scheduler.run()
    rest = 0  # that the scripts had no time to read
    for sock in harness.open_sockets:
        with suppress(OSError):
            rest += sock.recv(1 << 16).count(b"hello")
    assert len(seen) > 4 and len(answered) + rest == len(seen)
    assert not harness.state_machine.requests.pending and not harness.state_machine.clients.open


def limit_connections(
    harness: SidecarHarness, clients: int, extra_clients: int, endpoint_connections: int
) -> None:
    limits = harness.state_machine.limits
    limits.clients, limits.extra_clients = clients, extra_clients
    limits.endpoint_connections = endpoint_connections


def test_more_clients_than_there_is_room_for_are_each_answered() -> None:
    harness = SidecarHarness([answer_each_with(response_bytes())])
    limit_connections(harness, clients=4, extra_clients=2, endpoint_connections=4)
    heard: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        peer.sleep(20_000)  # its request comes well after its connection
        peer.send(request_bytes())
        heard.append(peer.receive_until()[9:12])

    for _ in range(20):
        harness.add_client(client)
    harness.run()
    assert len(heard) == 20 and set(heard) == {b"200", b"503"}


def test_one_that_stalls_amid_its_request_gives_its_place_up() -> None:
    harness = SidecarHarness([answer_each_with(response_bytes())])
    limit_connections(harness, clients=1, extra_clients=1, endpoint_connections=4)
    heard: list[bytes] = []

    def comes(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        heard.append(peer.receive_until()[9:12])

    def stalls(peer: ScriptedPeer) -> None:
        peer.send(request_bytes()[:30])
        peer.sleep(CLIENT_STALL_US + 50_000)
        harness.add_client(comes)
        heard.append(peer.receive_until()[9:12])

    harness.add_client(stalls)
    harness.run()
    assert sorted(heard) == [b"200", b"408"]


@pytest.mark.parametrize("sent", [b"", b"GET /api HT", b"POST /api HTTP/1.1\r\ncontent-length: 9\r\n\r\nabc"])
def test_silent_and_halting_clients_are_told_or_closed(sent: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clients, "CLIENT_SILENCE_LIMIT_US", 20_000)
    monkeypatch.setattr(clients, "CLIENT_STALL_US", 20_000)
    heard: list[bytes] = []

    def halts(peer: ScriptedPeer) -> None:
        peer.send(sent)
        heard.append(peer.receive_until()[9:12])

    harness = SidecarHarness([answer_each_with(response_bytes())])
    harness.add_client(halts)
    harness.run()
    assert heard == [b"408" if sent else b""]


def test_one_that_sends_slowly_but_steadily_is_not_taken_for_one_that_halts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(clients, "CLIENT_SILENCE_LIMIT_US", 100_000)
    monkeypatch.setattr(clients, "CLIENT_STALL_US", 100_000)
    heard: list[bytes] = []

    def slow(peer: ScriptedPeer) -> None:
        text = request_bytes()
        for at in range(0, len(text), 8):
            peer.send(text[at : at + 8])
            peer.sleep(10_000)
        heard.append(peer.receive_until()[9:12])

    harness = SidecarHarness([answer_each_with(response_bytes())])
    harness.add_client(slow)
    harness.run()
    assert heard == [b"200"]


def test_no_descriptor_left_pauses_the_listener_and_no_more() -> None:
    harness = SidecarHarness([answer_each_with(response_bytes())])
    real, fails = harness.listener.sock, [errno.EMFILE, errno.EMFILE]

    class Short:
        fileno, close, getsockname = real.fileno, real.close, real.getsockname

        def accept(self) -> Any:
            if fails:
                raise OSError(fails.pop(), "no descriptor")
            return real.accept()

    harness.listener.sock = Short()  # type: ignore[assignment]
    assert exchange(harness, request_bytes()) == [b"200 "] and not fails


def test_no_buffer_left_is_answered_and_passes() -> None:
    harness = SidecarHarness([answer_each_with(response_bytes())])
    harness.dispatcher.pool.max_lent = 3
    assert exchange(harness, request_bytes(body=BIG[:60_000]))[0] == b"503 "


def test_a_watch_without_a_buffer_is_opened_again() -> None:
    harness = SidecarHarness([answer_each_with(response_bytes())])
    most, harness.dispatcher.pool.max_lent = harness.dispatcher.pool.max_lent, 0

    def client(peer: ScriptedPeer) -> None:
        peer.wait_until(lambda: harness.state_machine.endpoint_watch.consecutive_failures)
        harness.dispatcher.pool.max_lent = most
        peer.wait_until(lambda: len(harness.open_sockets) == 3)  # this client, the first watch and another

    harness.add_client(client)
    harness.run()


def test_the_loop_wakes_for_mail_time_and_sockets_and_times_what_waited() -> None:
    clock = [0]
    loop = Scheduler(lambda: clock[0], lambda text: None)
    near, far = socket.socketpair()
    woken: list[object] = []

    def waits() -> None:
        woken.append(loop.wait(near.fileno(), READABLE, 50))
        woken.append(task.messages.popleft())
        woken.append(loop.wait(until_us=70))
        woken.append(loop.wait(near.fileno(), READABLE) & select.POLLIN)
        woken.append(loop.earliest_arrival_us)
        loop.is_stopped = True

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
    assert woken == [MESSAGE, "a letter", TIMED_OUT, select.POLLIN, 80]
    near.close()
    far.close()


def test_a_task_that_fails_is_reported_and_the_others_go_on() -> None:
    faults: list[str] = []
    loop = Scheduler(lambda: 0, faults.append)

    def fails() -> None:
        raise ValueError("mine")

    loop.spawn(fails)
    loop.spawn(lambda: setattr(loop, "is_stopped", True))
    loop.run()
    assert len(faults) == 1 and "ValueError: mine" in faults[0] and loop.task_count == 0


def test_a_log_that_nobody_reads_blocks_nothing_and_drops_the_newest() -> None:
    reading, writing = os.pipe()
    lines = LogWriter(writing, lambda: 5, "n1")
    for n in range(MAX_WAITING_LINES + 10):
        lines.write_event("x", {"n": n, "pad": "p" * 100})
    lines.flush()
    assert lines.waiting_lines and lines.dropped_lines == 10
    first = os.read(reading, 1 << 16).split(b"\n")[0]
    assert json.loads(first) == {"at_us": 5, "sidecar": "n1", "event": "x", "n": 0, "pad": "p" * 100}
    os.close(reading)
    lines.flush()
    assert not lines.waiting_lines
    os.close(writing)


def test_what_came_before_the_connection_was_taken_in_is_timed_from_there_once() -> None:
    now = [100]
    loop = Scheduler(lambda: now[0], lambda text: None)
    near, far = _tcp_pair()
    stream = SocketStream(loop, SidecarHarness([]).dispatcher.pool, near)
    far.send(b"x")
    select.select([near], [], [])
    loop.earliest_event_us = 900
    stream.receive()
    assert stream.arrived_us == 100
    far.send(b"y")
    select.select([near], [], [])
    stream.receive()
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
    path.write_text(json.dumps({**SIDECAR_CONFIGURATION, "listen": address}))
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
    return response_bytes(json.dumps({"revision": revision, "complete": True, "members": members}).encode())


def test_sighup_reads_the_file_again_and_the_watch_moves_with_nothing_disturbed(tmp_path: Path) -> None:
    """In flight meanwhile: a hop to the endpoint that the new address, which counts anew, no longer lists."""
    names = ("door", "old", "new", "endpoint")
    doors = {name: socket.create_server(("127.0.0.1", 0)) for name in names}
    at = {name: f"127.0.0.1:{sock.getsockname()[1]}" for name, sock in doors.items()}
    doors.pop("door").close()
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**SIDECAR_CONFIGURATION, "listen": at["door"], "discovery": at["old"]}))

    def heard(sock: socket.socket, end: bytes = b"\r\n\r\n") -> bytes:
        text = b""
        while end not in text and (more := sock.recv(4096)):
            text += more
        return text

    def watched(name: str, text: bytes) -> socket.socket:
        sock, _ = doors[name].accept()
        assert b"GET /catalog/members HTTP" in heard(sock)
        sock.sendall(text)
        exchange = heard(sock)
        sock.sendall(OK_STATUS_LINE + b"transfer-encoding: chunked\r\n\r\n" + chunk_bytes(b"\n"))
        assert b"watch=1&after=%d " % json.loads(text.partition(b"\r\n\r\n")[2])["revision"] in exchange
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
        old = watched("old", agent(70, [endpoint_entry("s0", doors["endpoint"].getsockname()[1])]))
        until("endpoint_list_updated")
        with socket.create_connection(("127.0.0.1", int(at["door"].split(":")[1]))) as client:
            client.sendall(request_bytes())
            endpoint, _ = doors["endpoint"].accept()
            heard(endpoint)
            path.write_text("{")
            program.send_signal(signal.SIGHUP)
            assert str(path) in until("configuration_rejected")["reason"]
            later = {**SIDECAR_CONFIGURATION, "name": "n2", "listen": at["door"], "discovery": at["new"]}
            path.write_text(json.dumps(later))
            program.send_signal(signal.SIGHUP)
            assert until("configuration_reloaded")["needs_restart"] == ["name"]
            new = watched("new", agent(3, [endpoint_entry("s1", 9)]))
            assert until("endpoint_list_updated")["revision"] == 3 and old.recv(9) == b""
            endpoint.sendall(response_bytes(b"hello"))
            assert b"200 OK" in heard(client, b"hello")
        program.send_signal(signal.SIGTERM)
        assert program.wait(30) == 0
    for sock in [old, new, endpoint, *doors.values()]:
        sock.close()


def test_an_address_that_is_taken_is_named(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        path = tmp_path / "config.json"
        path.write_text(json.dumps({**SIDECAR_CONFIGURATION, "listen": address}))
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


@pytest.mark.parametrize("shaped, most", [(mesh_configuration, 2), (copy.deepcopy, 6)])
def test_a_sidecar_beside_its_client_keeps_connections_to_few_endpoints(shaped: Any, most: int) -> None:
    met: set[int] = set()

    def endpoint(n: int) -> Script:
        def script(peer: ScriptedPeer) -> None:
            met.add(n)
            answer_each_with(response_bytes(b"hello"))(peer)

        return script

    heard: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        for _ in range(40):
            peer.send(request_bytes())
            heard.append(peer.receive_until()[9:12])
            peer.receive(5)

    harness = SidecarHarness([endpoint(n) for n in range(6)], configure=shaped)
    harness.add_client(client)
    harness.run()
    assert heard == [b"200"] * 40 and len(met) == most


@pytest.mark.parametrize("kind", ["read", "write", "note"])
def test_beside_its_client_what_finds_no_connection_is_rolled_back(kind: str) -> None:
    # As where endpoints' tables are full: a new connection is refused, so the hop surely never ran.
    harness = SidecarHarness([answer_each_with(response_bytes())] * 3, configure=mesh_configuration)
    for sock in harness.listening_sockets[:3]:
        sock.close()
    assert exchange(harness, request_bytes(kind)) == [b"503 "]
