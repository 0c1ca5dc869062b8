"""Tests of parsing requests of any framing, split at any byte, and of encoding them for an endpoint."""

from __future__ import annotations

import pytest

from cressrail.buffers.pool import BufferChain, BufferPool
from cressrail.http1.errors import MalformedMessageError
from cressrail.http1.headers import Headers
from cressrail.http1.request import Request, RequestReader
from tests.http1.support import BIG, feed_in_steps, text_of

GET = b"GET /api?a=1 HTTP/1.1\r\nHost: app.svc\r\nReq-Id: r1\r\n\r\n"
REQUESTS = [
    (GET, b""),
    (b"\r\n" + GET, b""),
    (b"POST /api HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello", b"hello"),
    (
        b"POST /api HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n"
        b"3;x=y\r\nhel\r\n2\r\nlo\r\n0\r\nA: b\r\n\r\n",
        b"hello",
    ),
    (b"POST /api HTTP/1.1\r\nContent-Length: 65536\r\n\r\n" + BIG, BIG),
]


@pytest.mark.parametrize("step", [1, 2, 7, 4096, 1 << 20])
@pytest.mark.parametrize(("text", "body"), REQUESTS)
def test_request_reader_parses_requests_split_at_any_byte(text: bytes, body: bytes, step: int) -> None:
    pool = BufferPool(100)
    chain = BufferChain(pool)
    reader = RequestReader(chain)
    assert feed_in_steps(reader, pool, text + b"rest", step) <= 4
    assert reader.request is not None
    assert reader.request.keep_alive
    assert text_of(chain) == body
    chain.release()
    assert pool.lent == 0


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (b"GET /api\r\n\r\n", 400),
        (b"GET /api HTTP/2.0\r\n\r\n", 400),
        (b"G ET /api HTTP/1.1\r\n\r\n", 400),
        (b"GET /a\x01 HTTP/1.1\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nno colon\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\n folded: x\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nname : x\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\na: b\x00c\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\na: b\nc: d\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\ncontent-length: x\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nreq-id: 1\r\nReq-Id: 2\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nreq-id: 1\r\nconnection: keep-alive, Req-Id\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\ncontent-length: -1\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\ntransfer-encoding: gzip, chunked\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nxyz\r\n", 400),
        (b"POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1\r\nab\r\n", 400),
        (b"POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n" + b"1" * 2000, 400),
        (b"POST /a HTTP/1.1\r\ncontent-length: 1073741825\r\n\r\n", 413),
        (b"POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n123456789\r\n", 400),
        (b"GET /a HTTP/1.1\r\na: " + b"b" * 9000 + b"\r\n\r\n", 431),
        (b"x" * 9000, 431),
    ],
)
def test_request_reader_refuses_malformed_requests_with_a_status(text: bytes, status: int) -> None:
    pool = BufferPool(100)
    with pytest.raises(MalformedMessageError) as error:
        feed_in_steps(RequestReader(BufferChain(pool)), pool, text, 1 << 20)
    assert error.value.status == status


def test_encode_head_forwards_only_end_to_end_fields() -> None:
    chain = BufferChain(BufferPool(4))
    request = Request(
        b"POST",
        b"/api?x=1",
        Headers(
            [
                (b"host", b"app.svc"),
                (b"req-id", b"r1"),
                (b"idempotency-key", b"k"),
                (b"req-deadline", b"480m"),
                (b"connection", b"close, x-mine"),
                (b"x-mine", b"1"),
                (b"content-length", b"9"),
                (b"x-else", b"2"),
            ]
        ),
        chain,
        True,
    )
    assert request.encode_head("10.0.0.1:80", 1500) == (
        b"POST /api?x=1 HTTP/1.1\r\nhost: 10.0.0.1:80\r\nreq-deadline: 1500u\r\nreq-id: r1\r\n"
        b"idempotency-key: k\r\nx-else: 2\r\ncontent-length: 0\r\n\r\n"
    )
