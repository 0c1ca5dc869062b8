"""Golden tests of the bytes sent to clients and endpoints, by the encoders and by a sidecar on loopback."""

from __future__ import annotations

import re
import socket
from typing import Any

from cressrail.buffers.pipe import KEPT_BODY_BYTES, StreamingBody
from cressrail.buffers.pool import BufferChain, BufferPool
from cressrail.http1.body import encode_chunk as encoded_chunk
from cressrail.http1.request import RequestReader
from cressrail.http1.response import REASON_PHRASES, Response
from tests.golden_edges.stored import assert_matches_stored
from tests.support.http_messages import (
    DECLINED_HEADER,
    TRUNCATED_RESPONSE,
    chunk_bytes,
    request_bytes,
    response_bytes,
)
from tests.support.scripted_peer import Script, ScriptedPeer, answer_each_with
from tests.support.sidecar_harness import SidecarHarness

LARGE_BODY = bytes(range(251)) * 400
FIELDS = (
    b"Host: app.svc\r\nReq-Id: r1\r\nReq-Kind: write\r\nReq-Owner: acme\r\nIdempotency-Key: k 1\r\n"
    b"Req-Deadline: 900000u\r\nReq-Retry: 2\r\nX-Own: a\r\nX-Own: b\r\nAccept:  */* \r\nX-Empty:\r\n"
    b"X-Hop: gone\r\nTE: trailers\r\nKeep-Alive: 5\r\nUpgrade: h2c\r\nProxy-Connection: x\r\n"
)


def test_heads_of_responses() -> None:
    pool, found = BufferPool(100), {}
    small, kept, open_ = BufferChain(pool), StreamingBody(pool), StreamingBody(pool)
    small.append(memoryview(b"hello"))
    kept.append(memoryview(b"hello, kept"))
    open_.start_streaming()
    bodies: dict[str, tuple[Any, int | None]] = {
        "no body": (None, None),
        "body": (small, None),
        "kept body": (kept, None),
        "streamed": (open_, None),
        "streamed, length stated": (open_, 123456),
    }
    for status in sorted({*REASON_PHRASES, 204, 418, 500, 504}):
        for name, (body, length) in bodies.items():
            whole = status in (200, 503)
            for kind in (b"", b"text/x; a=b") if whole else (b"",):
                for back_us in (0, 400, 1_500_000) if whole else (0,):
                    for keep in (True, False):
                        for modern in (True, False):
                            made = Response(status, body, kind, back_us, length)
                            key = f"{status}, {name}, kind {kind.decode()!r}, back {back_us}, "
                            key += f"{'stays' if keep else 'last'}, 1.{int(modern)}"
                            head = made.encode_head(keep, modern).decode("latin-1")
                            found[key] = [made.is_chunked(modern), head]
    assert_matches_stored(found, "answer_heads.json")


def test_chunks() -> None:
    found = {
        str(size): b"".join(encoded_chunk([memoryview(b"x" * size)], size)).decode() if size else ""
        for size in (0, 1, 9, 10, 15, 16, 255, 256, 4096)
    }
    assert encoded_chunk([], 0) == []
    assert_matches_stored(found, "chunks.json")


def test_heads_of_forwarded_requests() -> None:
    header_endings: dict[str, bytes] = {
        "no body": b"\r\n",
        "body": b"Content-Length: 5\r\n\r\nhello",
        "body of none": b"Content-Length: 0\r\n\r\n",
        "chunked": b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nt: u\r\n\r\n",
        "expects": b"Expect: 100-continue\r\nContent-Length: 5\r\n\r\nhello",
        "named by connection": b"Connection: X-Hop, close\r\n\r\n",
    }
    found = {}
    for method in ("GET", "HEAD", "DELETE", "OPTIONS", "POST", "PUT", "PATCH", "X-OWN"):
        for version in ("1.0", "1.1"):
            for name, rest in header_endings.items():
                for left_us in (1, 2_999_999):
                    reader = RequestReader(BufferChain(BufferPool(10)))
                    first = f"{method} /api/a%20b?x=1&y HTTP/{version}\r\n".encode()
                    reader.feed(memoryview(first + FIELDS + rest))
                    assert reader.request is not None
                    head = reader.request.encode_head("10.0.0.7:9100", left_us).decode("latin-1")
                    found[f"{method}, {version}, {name}, {left_us}"] = [reader.request.keep_alive, head]
    assert_matches_stored(found, "request_heads.json")


def test_heads_of_streamed_uploads() -> None:
    found = {}
    for name, rest in (
        ("length", b"Content-Length: 100400\r\n\r\n"),
        ("chunked", b"Transfer-Encoding: chunked\r\n\r\n"),
    ):
        body = StreamingBody(BufferPool(10))
        reader = RequestReader(body)
        reader.feed(memoryview(b"POST /up HTTP/1.1\r\n" + FIELDS + rest))
        body.start_streaming()
        assert reader.incomplete_request is not None
        found[name] = reader.incomplete_request.encode_head("10.0.0.7:9100", 5).decode("latin-1")
    assert_matches_stored(found, "upload_heads.json")


# Exchanges with a sidecar on loopback


def without_varying_parts(received: bytes, harness: SidecarHarness) -> str:
    """Replaces what differs from run to run: ports and remaining times."""
    for port in harness.ports:
        received = received.replace(b"127.0.0.1:%d" % port, b"127.0.0.1:PORT")
    received = re.sub(rb"(req-deadline: )\d+u", rb"\1LEFTu", received)
    return received.decode("latin-1")


def exchange_bytes(endpoint: Script | None, sent: list[bytes], **limits: Any) -> dict[str, str]:
    """Returns all bytes that a client and an endpoint receive, as text.

    After the last response the client closes its sending side and reads until the connection ends.
    """
    at_client, at_endpoint = [], bytearray()

    def recording_endpoint(peer: ScriptedPeer) -> None:
        receive_until = peer.receive_until

        def recording_receive_until(terminator: bytes = b"\r\n\r\n") -> bytes:
            received = receive_until(terminator)
            at_endpoint.extend(received)
            return received

        peer.receive_until = recording_receive_until  # type: ignore[method-assign]
        assert endpoint is not None
        endpoint(peer)

    harness = SidecarHarness([recording_endpoint] if endpoint else [], **limits)

    def script(peer: ScriptedPeer) -> None:
        for text in sent:
            peer.send(text)
            at_client.append(peer.receive_until())
            size = re.search(rb"content-length: (\d+)", at_client[-1])
            at_client.append(peer.receive(int(size[1])) if size else b"")
        peer.sock.shutdown(socket.SHUT_WR)
        at_client.append(peer.receive_until(b"never"))

    harness.add_client(script)
    harness.run()
    return {
        "client": without_varying_parts(b"".join(at_client), harness),
        "endpoint": without_varying_parts(bytes(at_endpoint), harness),
    }


def answer_with(text: bytes) -> Script:
    """Returns the script of an endpoint that answers each request; a body must be empty or "hello"."""

    def script(peer: ScriptedPeer) -> None:
        while head := peer.receive_until():
            size = re.search(rb"content-length: (\d+)", head)
            if size and int(size[1]):
                peer.receive_until(b"hello")
            peer.send(text)

    return script


def request_with(*change: tuple[bytes, bytes], kind: str = "read", body: bytes = b"", **fields: str) -> bytes:
    text = request_bytes(kind, body, **{"Req_Id": "r1", **fields})
    for old, new in change:
        text = text.replace(old, new)
    return text


AS_HTTP_1_0 = (b"HTTP/1.1", b"HTTP/1.0")
HELLO_RESPONSE = response_bytes(b"hello", header_lines=b"content-type: a/b\r\nx-own: c\r\n")


def test_exchanges() -> None:
    endpoint = answer_with(HELLO_RESPONSE)
    cases: dict[str, tuple[Script | None, list[bytes], dict[str, Any]]] = {
        "200": (endpoint, [request_with(), request_with()], {}),
        "200, body sent": (endpoint, [request_with(body=b"hello")], {}),
        "200, last": (endpoint, [request_with(Connection="close")], {}),
        "200, 1.0": (endpoint, [request_with(AS_HTTP_1_0)], {}),
        "200, 1.0 kept": (endpoint, [request_with(AS_HTTP_1_0, Connection="keep-alive")], {}),
        "200, keyed": (endpoint, [request_with(kind="write", body=b"hello", Idempotency_Key="k 7")], {}),
        "200, endpoint chunks": (
            answer_with(
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                + chunk_bytes(b"hello")
                + chunk_bytes(b"")
            ),
            [request_with()],
            {},
        ),
        "200, upload in chunks": (
            endpoint,
            [
                request_with(Content_Length="", Transfer_Encoding="chunked")
                + chunk_bytes(b"hel")
                + chunk_bytes(b"lo")
                + chunk_bytes(b"")
            ],
            {},
        ),
        "go on": (
            endpoint,
            [request_with((b"\r\n\r\n", b"\r\nExpect: 100-continue\r\n\r\n"), Content_Length="5"), b"hello"],
            {},
        ),
        "health": (endpoint, [b"GET /_health HTTP/1.1\r\n\r\n"], {}),
        "health, 1.0": (endpoint, [b"GET /_health HTTP/1.0\r\n\r\n"], {}),
        "400": (endpoint, [b"nonsense\r\n\r\n"], {}),
        "400, no kind": (endpoint, [request_with(kind="none")], {}),
        "400, deadline": (endpoint, [request_with(Req_Deadline="soon")], {}),
        "400, told by endpoint": (answer_each_with(response_bytes(status=404)), [request_with()], {}),
        "413": (endpoint, [request_with(Content_Length="9999999999")], {}),
        "431": (endpoint, [request_with(X_Long="x" * 9000)], {}),
        "502": (answer_each_with(TRUNCATED_RESPONSE, closes=True), [request_with(kind="write")], {}),
        "503": (
            answer_each_with(response_bytes(status=503, header_lines=DECLINED_HEADER)),
            [request_with()],
            {},
        ),
        "503, come back": (
            answer_each_with(response_bytes(status=503, header_lines=DECLINED_HEADER)),
            [request_with()],
            {"retry_after": True, "max_retry_after_us": 2_000_000},
        ),
    }
    found: dict[str, Any] = {name: exchange_bytes(*case[:2], **case[2]) for name, case in cases.items()}
    assert_matches_stored(found, "exchanges.json")


def test_stalled_request_is_answered_with_408() -> None:
    found = exchange_bytes(answer_with(HELLO_RESPONSE), [request_with(Content_Length="5")])
    assert_matches_stored({"408": found}, "exchange_408.json")


def test_large_response_is_streamed() -> None:
    """Compares head, body and last chunk; the chunk sizes depend on how much data arrives at a time."""
    assert len(LARGE_BODY) > KEPT_BODY_BYTES
    found: dict[str, Any] = {}
    for name, head in (
        ("length", b"content-length: %d\r\n" % len(LARGE_BODY)),
        ("until close", b""),
    ):
        for version in (b"HTTP/1.1", b"HTTP/1.0"):
            got = exchange_bytes(
                answer_each_with(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n" + LARGE_BODY, closes=True),
                [request_with((b"HTTP/1.1", version))],
            )["client"].encode("latin-1")
            top, _, rest = got.partition(b"\r\n\r\n")
            end = b""
            if b"chunked" in top:
                body = b""
                while not rest.startswith(b"0\r\n"):
                    size, _, rest = rest.partition(b"\r\n")
                    n = int(size, 16)
                    assert size == b"%x" % n
                    assert rest[n : n + 2] == b"\r\n"
                    body, rest = body + rest[:n], rest[n + 2 :]
                end, rest = rest, body
            assert rest == LARGE_BODY
            found[f"{name}, {version.decode()}"] = [top.decode(), end.decode()]
    assert_matches_stored(found, "streamed.json")
