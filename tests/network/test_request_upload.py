"""Tests of requests too large to keep, with peers that disconnect, respond early or are slow."""

from __future__ import annotations

import socket
from contextlib import suppress

import pytest

from cressrail.buffers.pipe import KEPT_BODY_BYTES
from cressrail.network import request_upload, socket_stream
from cressrail.network.socket_stream import SocketStream
from tests.network.support import ConnectGate, RecordingEndpoint
from tests.support.http_messages import DECLINED_HEADER, chunk_bytes, request_bytes, response_bytes
from tests.support.scripted_peer import Script, ScriptedPeer
from tests.support.sidecar_harness import SidecarHarness
from tests.support.streaming import (
    LARGE_BODY,
    ReceivedRequest,
    ReceivedResponse,
    read_response,
    receive_requests,
    send_until_closed,
    send_upload,
    tolerating_disconnect,
)

HELLO = ReceivedResponse(b"200", b"hello")
DOUBLE_KEPT_BODY, TRIPLE_KEPT_BODY = LARGE_BODY[: KEPT_BODY_BYTES * 2], LARGE_BODY[: KEPT_BODY_BYTES * 3]


@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize(
    "size",
    [
        pytest.param(KEPT_BODY_BYTES, id="kept"),
        pytest.param(KEPT_BODY_BYTES + 1, id="one-byte-too-large-to-keep"),
        pytest.param(KEPT_BODY_BYTES * 3, id="triple"),
        pytest.param(len(LARGE_BODY), id="megabyte"),
    ],
)
def test_upload_arrives_complete_and_connection_is_reused(is_chunked: bool, size: int) -> None:
    received: list[ReceivedRequest] = []
    harness = SidecarHarness([receive_requests(received, response_bytes(b"hello"))])
    responses: list[ReceivedResponse] = []

    def client(peer: ScriptedPeer) -> None:
        for _ in range(2):
            send_upload(peer, LARGE_BODY[:size], is_chunked)
            responses.append(read_response(peer))

    harness.add_client(client)
    harness.run()
    assert responses == [HELLO] * 2
    assert [request.body for request in received] == [LARGE_BODY[:size]] * 2


def test_deadline_counts_from_last_byte_of_slow_upload() -> None:
    harness = SidecarHarness([receive_requests([], response_bytes(b"hello"))])
    responses: list[ReceivedResponse] = []

    def client(peer: ScriptedPeer) -> None:
        head = request_bytes(Content_Length=str(len(LARGE_BODY)), Req_Deadline="300m")
        request = head + LARGE_BODY
        for start in range(0, len(request), 200_000):  # takes half a second in total
            peer.send(request[start : start + 200_000])
            peer.sleep(100_000)
        responses.append(read_response(peer))

    harness.add_client(client)
    harness.run()
    assert responses == [HELLO]


@pytest.mark.parametrize(
    ("early_response", "status"),
    [
        pytest.param(response_bytes(status=503, header_lines=DECLINED_HEADER), b"503", id="declined"),
        pytest.param(response_bytes(status=500), b"503", id="error"),
        pytest.param(response_bytes(status=413), b"400", id="client-error"),
    ],
)
def test_early_response_reaches_client_and_rest_of_upload_is_discarded(
    early_response: bytes, status: bytes
) -> None:
    def endpoint(peer: ScriptedPeer) -> None:
        peer.receive_until()
        peer.receive(KEPT_BODY_BYTES + 1000)
        peer.send(early_response)

    harness = SidecarHarness([endpoint])
    statuses: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        body = LARGE_BODY * 40
        send_until_closed(peer, request_bytes(Content_Length=str(len(body))) + body)
        statuses.append(peer.receive_until()[9:12])

    harness.add_client(client)
    harness.run()
    assert statuses == [status]


def test_upload_is_retried_only_if_complete_and_certainly_not_run() -> None:
    received: list[ReceivedRequest] = []

    def declining(peer: ScriptedPeer) -> None:
        if head := peer.receive_until():
            peer.receive(1000)
            received.append(ReceivedRequest(head, b""))
            peer.send(response_bytes(status=503, header_lines=DECLINED_HEADER))
            peer.sock.close()

    harness = SidecarHarness([declining, receive_requests(received, response_bytes(b"hello"))])
    for _ in range(40):  # fills the retry budget
        harness.state_machine.load_balancer.budget.count_request(harness.scheduler.now())
    responses: list[ReceivedResponse] = []

    def client(peer: ScriptedPeer) -> None:
        request = request_bytes("write", Content_Length=str(len(DOUBLE_KEPT_BODY))) + DOUBLE_KEPT_BODY
        for _ in range(4):
            sender = ScriptedPeer(peer.scheduler, socket.create_connection(harness.address))
            with sender.sock:
                sender.send(request[: KEPT_BODY_BYTES + 3000])
                sender.sleep(20_000)
                sender.send(request[KEPT_BODY_BYTES + 3000 :])
                responses.append(read_response(sender))

    harness.add_client(client)
    harness.run()
    assert {response.status for response in responses} <= {b"200", b"503"}
    assert {request.body for request in received} <= {b"", DOUBLE_KEPT_BODY}  # complete, or not at all


def test_upload_ends_attempt_when_client_disconnects() -> None:
    started: list[bytes] = []
    ends: list[bytes] = []

    def endpoint(peer: ScriptedPeer) -> None:
        started.append(peer.receive_until())
        peer.receive(len(LARGE_BODY))
        ends.append(peer.receive_all())

    def client(peer: ScriptedPeer) -> None:
        request = request_bytes(Content_Length=str(len(LARGE_BODY))) + LARGE_BODY
        peer.send(request[: KEPT_BODY_BYTES + 50_000])
        peer.wait_until(lambda: started)
        peer.sock.close()
        peer.wait_until(lambda: ends)  # before the harness closes the endpoint's connection itself

    harness = SidecarHarness([endpoint])
    harness.add_client(client)
    harness.run()
    assert ends == [b""]
    assert not harness.state_machine.counters.sends


@pytest.mark.parametrize(
    ("tail", "status"),
    [pytest.param(b"", b"408", id="stalled"), pytest.param(b"xyz\r\n", b"400", id="malformed-chunk")],
)
def test_broken_upload_is_answered_and_counted_as_errored(
    tail: bytes, status: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(request_upload, "MAX_UPLOAD_LAG_US", 100_000)
    harness = SidecarHarness([tolerating_disconnect(receive_requests([], response_bytes(b"hello")))])
    statuses: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        head = request_bytes(Content_Length="", Transfer_Encoding="chunked")
        peer.send(head + chunk_bytes(DOUBLE_KEPT_BODY) + tail)
        statuses.append(peer.receive_until()[9:12])

    harness.add_client(client)
    harness.run()
    assert statuses == [status]
    assert not harness.state_machine.counters.sends
    assert harness.state_machine.counters.final["read"]["errored"] == 1


def test_upload_to_endpoint_that_dies_is_rejected_as_not_run() -> None:
    def endpoint(peer: ScriptedPeer) -> None:
        peer.receive_until()
        peer.receive(KEPT_BODY_BYTES + 100_000)
        peer.reset()

    harness = SidecarHarness([endpoint])
    statuses: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        body = LARGE_BODY * 4
        send_until_closed(peer, request_bytes("write", Content_Length=str(len(body))) + body)
        statuses.append(peer.receive_until()[9:12])

    harness.add_client(client)
    harness.run()
    assert statuses == [b"503"]  # not 502, because the last byte of the upload was never sent


def test_upload_may_pause_after_a_faster_part_but_not_be_slow_throughout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(request_upload, "MAX_UPLOAD_LAG_US", 400_000)
    monkeypatch.setattr(request_upload, "MIN_UPLOAD_BYTES_PER_S", 100_000)
    harness = SidecarHarness([tolerating_disconnect(receive_requests([], response_bytes(b"hello")))])
    statuses: dict[str, bytes] = {}

    def sending(name: str, piece_size: int, pause_us: int) -> Script:
        def client(peer: ScriptedPeer) -> None:
            request = request_bytes(Content_Length=str(len(DOUBLE_KEPT_BODY))) + DOUBLE_KEPT_BODY
            first_size = KEPT_BODY_BYTES + 5000
            peer.send(request[:first_size])
            for start in range(first_size, len(request), piece_size):
                peer.sleep(pause_us)
                with suppress(OSError):
                    peer.send(request[start : start + piece_size])
            statuses[name] = peer.receive_until()[9:12]

        return client

    harness.add_client(sending("120 kB/s with long pauses", 30_000, 250_000))
    harness.add_client(sending("40 kB/s with short pauses", 2_000, 50_000))
    harness.run()
    assert statuses == {"120 kB/s with long pauses": b"200", "40 kB/s with short pauses": b"408"}


def test_slow_response_is_not_taken_for_a_slow_upload(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_upload, "MAX_UPLOAD_LAG_US", 50_000)
    responses: list[ReceivedResponse] = []

    def endpoint(peer: ScriptedPeer) -> None:
        peer.receive_until()
        peer.receive(len(TRIPLE_KEPT_BODY))
        peer.sleep(300_000)
        peer.send(response_bytes(b"hello"))

    def client(peer: ScriptedPeer) -> None:
        head = request_bytes("write", Content_Length=str(len(TRIPLE_KEPT_BODY)))
        peer.send(head + TRIPLE_KEPT_BODY)
        responses.append(read_response(peer))

    harness = SidecarHarness([endpoint])
    harness.add_client(client)
    harness.run()
    assert responses == [HELLO]


@pytest.mark.parametrize("has_client_left", [False, True], ids=["client-waits", "client-has-left"])
@pytest.mark.parametrize("may_cancel", [True, False], ids=["may-cancel", "may-not-cancel"])
def test_upload_whose_last_bytes_waited_unread_is_not_sent_late(
    has_client_left: bool, may_cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against uploads that are run for nobody, or late: their end waited behind a full pipe."""
    received: list[ReceivedRequest] = []
    # 64 KiB are kept and as many fill the pipe; the rest fits into the receive buffer of the kernel.
    body = LARGE_BODY[: 2 * KEPT_BODY_BYTES + 20_000]
    endpoint = tolerating_disconnect(receive_requests(received, response_bytes(b"hello")))
    harness = SidecarHarness([endpoint], may_cancel=may_cancel)
    gate = ConnectGate(monkeypatch, lambda: harness.ports[0])
    statuses: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        deadline = "" if has_client_left else "100m"
        peer.send(request_bytes(body=body, Req_Deadline=deadline))
        peer.wait_until(lambda: gate.connects)
        peer.sleep(20_000)  # until the pipe is full
        if has_client_left:
            peer.sock.close()
        peer.sleep(200_000)
        gate.is_open = True
        if not has_client_left:
            statuses.append(read_response(peer).status)
        peer.wait_until(lambda: not harness.state_machine.attempts.in_flight)
        peer.sleep(20_000)

    harness.add_client(client)
    harness.run()
    assert statuses == ([] if has_client_left else [b"503"])
    assert all(len(request.body) < len(body) for request in received)


@pytest.mark.parametrize("may_cancel", [True, False], ids=["may-cancel", "may-not-cancel"])
def test_end_of_upload_received_with_client_close_is_not_sent(may_cancel: bool) -> None:
    """Guards against uploads that are run for nobody: the close was unread behind the last bytes."""
    received: list[ReceivedRequest] = []
    endpoint = tolerating_disconnect(receive_requests(received, response_bytes(b"hello")))
    harness = SidecarHarness([endpoint], may_cancel=may_cancel)

    def client(peer: ScriptedPeer) -> None:
        request = request_bytes(body=DOUBLE_KEPT_BODY)
        peer.send(request[:-10])
        peer.wait_until(lambda: harness.state_machine.attempts.in_flight)
        peer.sleep(50_000)
        peer.send(request[-10:])
        peer.sock.close()
        peer.wait_until(lambda: not harness.state_machine.attempts.in_flight)
        peer.sleep(20_000)

    harness.add_client(client)
    harness.run()
    assert all(len(request.body) < len(DOUBLE_KEPT_BODY) for request in received)


@pytest.mark.parametrize("may_cancel", [True, False], ids=["may-cancel", "may-not-cancel"])
def test_client_close_while_endpoint_reads_slowly_stops_upload(
    may_cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against uploads whose last byte is sent long after the client has left."""
    received: list[ReceivedRequest] = []
    endpoint = tolerating_disconnect(receive_requests(received, response_bytes(b"hello")))
    harness = SidecarHarness([endpoint], may_cancel=may_cancel)
    reads_on: list[bool] = []
    send_some = SocketStream.send_some

    def send_if_read(stream: SocketStream, unsent: list[memoryview]) -> bool:
        """The last part fills the send buffer until the endpoint reads on."""
        is_last_part = sum(map(len, unsent)) < KEPT_BODY_BYTES
        return send_some(stream, unsent) if reads_on or not is_last_part else False

    def client(peer: ScriptedPeer) -> None:
        peer.wait_until(lambda: harness.state_machine.endpoint_watch.has_list)
        monkeypatch.setattr(SocketStream, "send_some", send_if_read)
        peer.send(request_bytes(body=LARGE_BODY[: KEPT_BODY_BYTES + 20_000]))
        peer.wait_until(lambda: harness.state_machine.attempts.in_flight)
        peer.sleep(50_000)
        peer.sock.close()
        peer.wait_until(lambda: not harness.dispatcher.clients)
        reads_on.append(True)
        peer.wait_until(lambda: not harness.state_machine.attempts.in_flight)
        peer.sleep(20_000)

    harness.add_client(client)
    harness.run()
    assert all(len(request.body) < KEPT_BODY_BYTES + 20_000 for request in received)


def send_without_waiting(sock: socket.socket, data: bytes) -> None:
    """Sends as much as the system takes at once."""
    unsent = memoryview(data)
    with suppress(BlockingIOError):
        while unsent:
            unsent = unsent[sock.send(unsent) :]


@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize("has_begun", [False, True], ids=["waits-for-a-connection", "has-begun"])
def test_upload_of_client_that_sent_much_and_left_does_not_run_late(
    is_chunked: bool, has_begun: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a close that waits unseen behind what the client sent after its upload (review/7)."""
    received: list[ReceivedRequest] = []
    endpoint = RecordingEndpoint()
    script = tolerating_disconnect(receive_requests(received, response_bytes(b"hello")))
    harness = SidecarHarness([script if has_begun else endpoint])
    gate = ConnectGate(monkeypatch, lambda: harness.ports[0])
    gate.is_open = has_begun
    body = LARGE_BODY[: KEPT_BODY_BYTES * 7 // 2]
    reads_on: list[bool] = []
    sent_before: set[int] = set()
    send_some = SocketStream.send_some

    def send_if_read(stream: SocketStream, unsent: list[memoryview]) -> bool:
        """The endpoint takes the kept part, and the rest once it reads on."""
        leads_to_endpoint = stream.sock.getpeername()[1] == harness.ports[0]
        if leads_to_endpoint and id(stream) in sent_before and not reads_on:
            return False
        sent_before.add(id(stream))
        return send_some(stream, unsent)

    def client(peer: ScriptedPeer) -> None:
        peer.wait_until(lambda: harness.state_machine.endpoint_watch.has_list)
        monkeypatch.setattr(SocketStream, "send_some", send_if_read)
        if is_chunked:
            head = request_bytes("write", Content_Length="", Transfer_Encoding="chunked")
            upload = head + chunk_bytes(body) + chunk_bytes(b"")
        else:
            upload = request_bytes("write", body)
        send_without_waiting(peer.sock, upload + request_bytes() * 30_000)
        peer.wait_until(lambda: harness.state_machine.attempts.in_flight)
        peer.sleep(20_000)
        peer.sock.close()
        peer.sleep(200_000)
        gate.is_open = True
        reads_on.append(True)
        peer.wait_until(lambda: not harness.state_machine.attempts.in_flight)
        peer.sleep(50_000)

    harness.add_client(client)
    harness.run()
    assert not endpoint.heads
    assert all(len(request.body) < len(body) for request in received)


@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunked"])
def test_upload_of_client_that_stays_is_sent_although_the_process_was_held_up(
    is_chunked: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against uploads rejected because they were read late, with their rest unread."""
    monkeypatch.setattr(socket_stream, "HIDDEN_CLOSE_US", 0)  # whatever was seen of a client is too long ago
    received: list[ReceivedRequest] = []
    harness = SidecarHarness([receive_requests(received, response_bytes(b"hello"))])
    body = LARGE_BODY[: KEPT_BODY_BYTES * 2 + 7]
    responses: list[ReceivedResponse] = []

    def client(peer: ScriptedPeer) -> None:
        send_upload(peer, body, is_chunked)
        responses.append(read_response(peer))

    harness.add_client(client)
    harness.run()
    assert responses == [HELLO]
    assert [request.body for request in received] == [body]
