"""Bodies too large to keep, in both directions, amid peers that break off, reject early, or are slow."""

from __future__ import annotations

import copy
import socket
import struct
from contextlib import suppress
from typing import Any

import pytest

from cressrail.buffers.pipe import KEPT_BODY_BYTES, MAX_PIPE_BUFFERS, Pipe, StreamingBody
from cressrail.buffers.pool import BUFFER_BYTES, BufferPool
from cressrail.network import request_upload as client
from tests.support.http_messages import (
    CHUNKED_HEADER,
    DECLINED_HEADER,
    OK_STATUS_LINE,
    chunk_bytes,
    request_bytes,
    response_bytes,
)
from tests.support.scripted_peer import Script, ScriptedPeer, answer_each_with
from tests.support.sidecar_harness import SidecarHarness

LARGE = bytes(range(251)) * 4000  # about a megabyte


def test_a_pipe_keeps_order_and_gives_every_buffer_back() -> None:
    pool = BufferPool(50)
    pipe, text, got, at = Pipe(pool), LARGE[:100_000], b"", 0
    while len(got) < len(text):
        while pipe.has_room() and at < len(text):
            pipe.append(memoryview(text[at : at + 5000]))
            at += 5000
        assert pool.lent <= MAX_PIPE_BUFFERS + 1
        view = b"".join(bytes(part) for part in pipe.views())
        n = min(len(view), 7001)
        got += view[:n]
        pipe.consume(n)
    assert got == text and pool.lent == 0 and pipe.has_been_consumed


def test_what_nobody_reads_any_more_holds_no_buffer_and_stops_nobody() -> None:
    pool, calls = BufferPool(50), []
    body = StreamingBody(pool)
    body.append(memoryview(b"x" * (KEPT_BODY_BYTES + BUFFER_BYTES * MAX_PIPE_BUFFERS)))
    assert body.size == KEPT_BODY_BYTES and body.pipe is not None and not body.pipe.has_room()
    body.pipe.on_room = lambda: calls.append(1)
    body.release()
    body.pipe.append(memoryview(b"y"))
    assert pool.lent == 0 and calls == [1] and body.pipe.has_room()


def test_a_pool_that_others_have_emptied_halts_a_pipe_without_loss() -> None:
    pool = BufferPool(1)
    pool.borrow()
    pipe = Pipe(pool)
    assert not pipe.has_room() and not pipe.is_full()
    pipe.append(memoryview(b"read already"))
    assert bytes(pipe.views()[0]) == b"read already"


def hung_up_on(script: Script) -> Script:
    """The same, by a peer that may find its connection closed."""

    def run(peer: ScriptedPeer) -> None:
        with suppress(OSError):
            script(peer)

    return run


def sized(body: bytes, more: bytes = b"") -> bytes:
    return OK_STATUS_LINE + more + b"content-length: %d\r\n\r\n" % len(body) + body


def in_chunks(body: bytes, step: int = 30_000, ended: bool = True) -> bytes:
    return (
        OK_STATUS_LINE
        + CHUNKED_HEADER
        + b"".join(
            b"%x;x=y\r\n%b\r\n" % (len(part), part)
            for part in (body[at : at + step] for at in range(0, len(body), step))
        )
        + (b"0\r\nt: u\r\n\r\n" if ended else b"")
    )


def whole(peer: ScriptedPeer) -> tuple[bytes, bytes]:
    """Status, and the body in whatever framing, for as long as it goes on."""
    head = peer.receive_until().lower()
    if b"chunked" not in head:
        size = head.partition(b"content-length: ")[2].partition(b"\r\n")[0]
        return head[9:12], peer.receive(int(size)) if size else peer.receive_until(b"\0never\0")
    body = b""
    while (line := peer.receive_until(b"\r\n")).strip():
        if line == b"0\r\n":
            peer.receive_until(b"\r\n")
            return head[9:12], body
        body += peer.receive(int(line, 16) + 2)[:-2]
    return head[9:12], body + b" cut"


def heard_by_one(harness: SidecarHarness, sent: bytes = b"", times: int = 1) -> list[tuple[bytes, bytes]]:
    heard: list[tuple[bytes, bytes]] = []

    def script(peer: ScriptedPeer) -> None:
        for _ in range(times):
            peer.send(sent or request_bytes())
            heard.append(whole(peer))

    harness.add_client(script)
    harness.run()
    return heard


@pytest.mark.parametrize(
    "text, close",
    [
        (sized(LARGE), False),
        (in_chunks(LARGE), False),
        (OK_STATUS_LINE + b"\r\n" + LARGE, True),
        (in_chunks(LARGE[: KEPT_BODY_BYTES + 1], 1000), False),
        (sized(LARGE[:KEPT_BODY_BYTES]), False),
    ],
)
def test_a_large_answer_goes_through_unchanged_in_any_framing(text: bytes, close: bool) -> None:
    body = (
        LARGE
        if len(text) >= len(LARGE)
        else LARGE[: KEPT_BODY_BYTES + 1]
        if CHUNKED_HEADER in text
        else LARGE[:KEPT_BODY_BYTES]
    )
    harness = SidecarHarness([answer_each_with(text, close)])
    heard = heard_by_one(harness, request_bytes() if close else b"", 1)
    assert heard == [(b"200", body)]
    assert harness.state_machine.counters.final["read"]["answered"] == 1


def test_a_connection_serves_on_after_a_large_answer() -> None:
    def endpoint(peer: ScriptedPeer) -> None:
        while peer.receive_until():
            peer.send(in_chunks(LARGE))

    harness = SidecarHarness([endpoint])
    heard: list[Any] = []

    def script(peer: ScriptedPeer) -> None:
        for _ in range(3):
            peer.send(request_bytes())
            heard.append(whole(peer))

    harness.add_client(script)
    harness.run()
    assert heard == [(b"200", LARGE)] * 3


def test_the_first_bytes_go_on_before_the_rest_has_come() -> None:
    got: list[bytes] = []

    def endpoint(peer: ScriptedPeer) -> None:
        peer.receive_until()
        peer.send(sized(LARGE)[:1000])
        peer.wait_until(lambda: got)
        peer.send(sized(LARGE)[1000:])

    def script(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        peer.receive_until()
        got.append(peer.receive(500))
        assert got[0] + peer.receive(len(LARGE) - 500) == LARGE

    harness = SidecarHarness([endpoint])
    harness.add_client(script)
    harness.run()


@pytest.mark.parametrize("text", [sized(LARGE)[:-1], in_chunks(LARGE, ended=False), sized(LARGE)[:90_000]])
def test_a_large_answer_that_breaks_off_ends_short_and_is_errored(text: bytes) -> None:
    seen: list[int] = []

    def endpoint(peer: ScriptedPeer) -> None:
        peer.receive_until()
        seen.append(1)
        peer.send(text)
        peer.sock.close()

    harness = SidecarHarness([endpoint])
    heard: list[tuple[bytes, bytes]] = []
    rest: list[bytes] = []

    def script(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        heard.append(whole(peer))
        rest.append(peer.receive_until(b"\0never\0"))

    harness.add_client(script)
    harness.run()
    [(status, body)] = heard
    assert status == b"200" and body != LARGE and rest == [b""]  # and nothing follows
    assert len(seen) == 1 and harness.state_machine.counters.final["read"] == {
        "answered": 0,
        "deferred": 0,
        "errored": 1,
    }


def test_to_an_old_client_an_answer_without_a_length_that_breaks_off_is_a_reset() -> None:
    harness = SidecarHarness([answer_each_with(in_chunks(LARGE, ended=False), closes=True)])
    ends: list[int] = []

    def script(peer: ScriptedPeer) -> None:
        peer.send(request_bytes().replace(b"HTTP/1.1", b"HTTP/1.0"))
        peer.sleep(200_000)
        while True:
            try:
                if not peer.sock.recv(1 << 20):
                    ends.append(0)
                    return
            except BlockingIOError:
                peer.sleep(1000)
            except ConnectionResetError:
                ends.append(1)
                return

    harness.add_client(script)
    harness.run()
    assert ends == [1]


def test_a_slow_reader_holds_its_own_buffers_and_delays_nobody() -> None:
    harness = SidecarHarness([hung_up_on(answer_each_with(sized(LARGE * 8))) for _ in range(2)])
    lent: list[int] = []
    done: list[bytes] = []

    def slow(peer: ScriptedPeer) -> None:
        peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        peer.send(request_bytes())
        peer.wait_until(lambda: done)
        lent.append(harness.dispatcher.pool.lent)

    def quick(peer: ScriptedPeer) -> None:
        peer.sleep(50_000)
        peer.send(request_bytes())
        status, body = whole(peer)
        assert body == LARGE * 8
        done.append(status)

    harness.add_client(slow)
    harness.add_client(quick)
    harness.run()
    assert done == [b"200"] and lent[0] <= 2 * (MAX_PIPE_BUFFERS + 2)


def uploading(body: bytes, framing: str, step: int = 40_000, pause: int = 0) -> Script:
    def script(peer: ScriptedPeer) -> None:
        if framing == "length":
            text = request_bytes(Content_Length=str(len(body)), body=b"") + body
        else:
            text = (
                request_bytes(Content_Length="", Transfer_Encoding="chunked")
                + b"".join(chunk_bytes(body[at : at + 9000]) for at in range(0, len(body), 9000))
                + chunk_bytes(b"")
            )
        for at in range(0, len(text), step):
            peer.send(text[at : at + step])
            if pause:
                peer.sleep(pause)

    return script


def taking(seen: list[tuple[bytes, bytes]], answer: bytes) -> Script:
    """An endpoint that reads requests of any framing, and answers each."""

    def script(peer: ScriptedPeer) -> None:
        while head := peer.receive_until():
            if b"chunked" in head:
                body = b""
                while size := int(peer.receive_until(b"\r\n") or b"0", 16):
                    body += peer.receive(size + 2)[:-2]
                peer.receive(2)
            else:
                body = peer.receive(int(head.partition(b"content-length: ")[2].partition(b"\r\n")[0]))
            seen.append((head, body))
            peer.send(answer)

    return script


@pytest.mark.parametrize("framing", ["length", "chunked"])
@pytest.mark.parametrize("size", [KEPT_BODY_BYTES, KEPT_BODY_BYTES + 1, KEPT_BODY_BYTES * 3, len(LARGE)])
def test_a_large_request_streams_to_one_hop(framing: str, size: int) -> None:
    seen: list[tuple[bytes, bytes]] = []
    harness = SidecarHarness([taking(seen, response_bytes(b"hello"))])
    heard: list[tuple[bytes, bytes]] = []

    def script(peer: ScriptedPeer) -> None:
        for _ in range(2):  # the connection serves on
            uploading(LARGE[:size], framing)(peer)
            heard.append(whole(peer))

    harness.add_client(script)
    harness.run()
    assert heard == [(b"200", b"hello")] * 2 and [body for _, body in seen] == [LARGE[:size]] * 2


def test_time_runs_from_the_last_byte_of_a_request_that_is_long_in_coming() -> None:
    seen: list[tuple[bytes, bytes]] = []
    harness = SidecarHarness([taking(seen, response_bytes(b"hello"))])
    heard: list[tuple[bytes, bytes]] = []

    def script(peer: ScriptedPeer) -> None:
        text = request_bytes(Content_Length=str(len(LARGE)), Req_Deadline="300m") + LARGE
        for at in range(0, len(text), 200_000):
            peer.send(text[at : at + 200_000])
            peer.sleep(100_000)
        heard.append(whole(peer))

    harness.add_client(script)
    harness.run()
    assert heard == [(b"200", b"hello")]


def pour(peer: ScriptedPeer, text: bytes) -> None:
    """As much as the other side takes before it closes."""
    view = memoryview(text)
    while view:
        try:
            view = view[peer.sock.send(view) :]
        except BlockingIOError:
            peer.sleep(1000)
        except OSError:
            break


@pytest.mark.parametrize(
    "answer, status",
    [
        (response_bytes(status=503, header_lines=DECLINED_HEADER), b"503"),
        (response_bytes(status=500), b"503"),
        (response_bytes(status=413), b"400"),
    ],
)
def test_an_answer_before_the_request_is_whole_is_told_and_the_rest_is_read_off(
    answer: bytes, status: bytes
) -> None:
    def endpoint(peer: ScriptedPeer) -> None:
        peer.receive_until()
        peer.receive(KEPT_BODY_BYTES + 1000)
        peer.send(answer)

    harness = SidecarHarness([endpoint])
    heard: list[bytes] = []

    def script(peer: ScriptedPeer) -> None:
        text = request_bytes(Content_Length=str(len(LARGE) * 40)) + LARGE * 40
        pour(peer, text)
        heard.append(peer.receive_until()[9:12])

    harness.add_client(script)
    harness.run()
    assert heard == [status]


def test_what_is_replayed_is_only_what_can_be_and_surely_never_ran() -> None:
    seen: list[tuple[bytes, bytes]] = []

    def away(peer: ScriptedPeer) -> None:
        while head := peer.receive_until():
            peer.receive(1000)
            seen.append((head, b""))
            peer.send(response_bytes(status=503, header_lines=DECLINED_HEADER))
            peer.sock.close()
            return

    harness = SidecarHarness([away, taking(seen, response_bytes(b"hello"))])
    for _ in range(40):
        harness.state_machine.load_balancer.budget.count_request(
            harness.scheduler.now()
        )  # so that there is one for a retry
    heard: list[tuple[bytes, bytes]] = []

    def script(peer: ScriptedPeer) -> None:
        for _ in range(4):
            other = ScriptedPeer(peer.scheduler, socket.create_connection(harness.address))
            with other.sock:
                text = (
                    request_bytes("write", Content_Length=str(KEPT_BODY_BYTES * 2))
                    + LARGE[: KEPT_BODY_BYTES * 2]
                )
                other.send(text[: KEPT_BODY_BYTES + 3000])
                other.sleep(20_000)
                other.send(text[KEPT_BODY_BYTES + 3000 :])
                heard.append(whole(other))

    harness.add_client(script)
    harness.run()
    assert {status for status, _ in heard} <= {b"200", b"503"}
    assert all(body in (b"", LARGE[: KEPT_BODY_BYTES * 2]) for _, body in seen)  # whole, or not at all


def test_a_client_that_leaves_amid_a_large_request_ends_its_hop() -> None:
    ends: list[bytes] = []

    def endpoint(peer: ScriptedPeer) -> None:
        peer.receive_until()
        ends.append(peer.receive(len(LARGE))[:0] + peer.receive_until(b"\0never\0"))

    def script(peer: ScriptedPeer) -> None:
        peer.send(request_bytes(Content_Length=str(len(LARGE))) + LARGE[: KEPT_BODY_BYTES + 50_000])
        peer.sleep(50_000)
        peer.sock.close()
        peer.wait_until(lambda: ends)  # before the loop is stopped: its task may still have to run

    harness = SidecarHarness([endpoint])
    harness.add_client(script)
    harness.run()
    assert ends == [b""] and not harness.state_machine.counters.sends


@pytest.mark.parametrize("tail, status", [(b"", b"408"), (b"xyz\r\n", b"400")])
def test_a_large_request_that_halts_or_turns_to_junk_is_told(
    tail: bytes, status: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client, "MAX_UPLOAD_LAG_US", 100_000)
    seen: list[tuple[bytes, bytes]] = []
    harness = SidecarHarness([hung_up_on(taking(seen, response_bytes(b"hello")))])
    heard: list[bytes] = []

    def script(peer: ScriptedPeer) -> None:
        peer.send(
            request_bytes(Content_Length="", Transfer_Encoding="chunked")
            + chunk_bytes(LARGE[: KEPT_BODY_BYTES * 2])
            + tail
        )
        heard.append(peer.receive_until()[9:12])

    harness.add_client(script)
    harness.run()
    assert heard == [status] and not harness.state_machine.counters.sends
    assert harness.state_machine.counters.final["read"]["errored"] == 1


def test_an_endpoint_that_dies_amid_a_large_request_is_one_that_never_ran_it() -> None:
    def endpoint(peer: ScriptedPeer) -> None:
        peer.receive_until()
        peer.receive(KEPT_BODY_BYTES + 100_000)
        peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.sock.close()

    harness = SidecarHarness([endpoint])
    heard: list[bytes] = []

    def script(peer: ScriptedPeer) -> None:
        text = request_bytes("write", Content_Length=str(len(LARGE) * 4)) + LARGE * 4
        pour(peer, text)
        heard.append(peer.receive_until()[9:12])

    harness.add_client(script)
    harness.run()
    assert heard == [b"503"]  # not abandoned: its last byte was never written


def test_a_short_pool_slows_streams_and_ends_none() -> None:
    harness = SidecarHarness([answer_each_with(sized(LARGE))])
    harness.dispatcher.pool.max_lent = 12
    done: list[tuple[bytes, bytes]] = []

    def script(peer: ScriptedPeer) -> None:
        peer.send(request_bytes())
        done.append(whole(peer))

    for _ in range(6):
        harness.add_client(copy.copy(script))
    harness.run()
    assert all(body in (LARGE, b"") for _, body in done) and any(body == LARGE for _, body in done)


def test_what_still_comes_or_is_passed_on_takes_no_place_at_an_endpoint() -> None:
    """Slow uploads and readers would fill the limits of endpoints that have nothing to do."""
    from cressrail.policy.outcome import Outcome
    from tests.policy.support import SECOND, make_entry, make_load_balancer, make_request_class, starts_in

    side = make_load_balancer([make_entry(0)])
    tx = side.start_request(0, make_request_class(), -1, -1)
    [start] = starts_in(tx.route(0))
    e = side.endpoints[start.endpoint_index]
    assert start.timeout_us > 1000 * SECOND and (e.in_flight, side.zone_subsets[0].in_flight) == (0, 0)
    tx.start_clock(9 * SECOND, SECOND)
    assert (e.in_flight, side.zone_subsets[0].in_flight) == (1, 1) and tx.deadline_us <= 10 * SECOND
    tx.on_attempt_finished(0, 9 * SECOND + 1000, Outcome.SUCCEEDED, 1000, True)
    assert (e.in_flight, side.zone_subsets[0].in_flight) == (0, 0)
    again = side.start_request(0, make_request_class(), -1, -1)
    again.route(0)
    again.on_attempt_finished(0, 1000, Outcome.CONNECT_FAILED, 1000, False)
    assert (e.in_flight, side.zone_subsets[0].in_flight) == (0, 0)


def test_a_lull_is_made_good_by_a_faster_pace_before_and_a_slow_request_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client, "MAX_UPLOAD_LAG_US", 400_000)
    monkeypatch.setattr(client, "MIN_UPLOAD_BYTES_PER_S", 100_000)
    seen: list[tuple[bytes, bytes]] = []
    harness = SidecarHarness([hung_up_on(taking(seen, response_bytes(b"hello")))])
    heard: dict[int, bytes] = {}

    def sending(step: int, pause_us: int) -> Script:
        def script(peer: ScriptedPeer) -> None:
            text = request_bytes(Content_Length=str(KEPT_BODY_BYTES * 2)) + LARGE[: KEPT_BODY_BYTES * 2]
            peer.send(text[: KEPT_BODY_BYTES + 5000])
            for at in range(KEPT_BODY_BYTES + 5000, len(text), step):
                peer.sleep(pause_us)
                with suppress(OSError):
                    peer.send(text[at : at + step])
            heard[step] = peer.receive_until()[9:12]

        return script

    harness.add_client(sending(30_000, 250_000))  # 120 kB a second, and silent for most of its grace
    harness.add_client(sending(2_000, 50_000))  # never silent for long, and 40 kB a second
    harness.run()
    assert heard == {30_000: b"200", 2_000: b"408"}


def test_an_answer_that_is_long_in_coming_is_no_request_that_is(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client, "MAX_UPLOAD_LAG_US", 50_000)
    heard: list[tuple[bytes, bytes]] = []

    def endpoint(peer: ScriptedPeer) -> None:
        peer.receive_until()
        peer.receive(KEPT_BODY_BYTES * 3)
        peer.sleep(300_000)
        peer.send(response_bytes(b"hello"))

    def script(peer: ScriptedPeer) -> None:
        peer.send(
            request_bytes("write", Content_Length=str(KEPT_BODY_BYTES * 3)) + LARGE[: KEPT_BODY_BYTES * 3]
        )
        heard.append(whole(peer))

    harness = SidecarHarness([endpoint])
    harness.add_client(script)
    harness.run()
    assert heard == [(b"200", b"hello")]
