"""Messages of HTTP/1.1: of any framing, split anywhere, and what is none."""

from __future__ import annotations

import pytest

from cressrail.buffers.pool import (
    BUFFER_BYTES,
    BufferChain,
    BufferPool,
    BufferPoolExhaustedError,
    ReceiveBuffer,
)
from cressrail.http1.duration import parse_duration_us
from cressrail.http1.headers import Headers, MalformedMessageError
from cressrail.http1.request import Request, RequestReader
from cressrail.http1.response import Response, ResponseReader

GET = b"GET /api?a=1 HTTP/1.1\r\nHost: app.svc\r\nReq-Id: r1\r\n\r\n"
BIG = bytes(range(256)) * 256
POSTS = [
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
ANSWERS = [
    (b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello", b"hello", True),
    (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello", b"hello", True),
    (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", b"hello", True),
    (b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 5\r\n\r\nhello", b"hello", False),
    (b"HTTP/1.0 200 OK\r\ncontent-length: 5\r\n\r\nhello", b"hello", False),
    (b"HTTP/1.1 200 OK\r\n\r\nhello", b"hello", False),
    (b"HTTP/1.1 204 No Content\r\n\r\n", b"", True),
    (b"HTTP/1.1 200 OK\r\ncontent-length: 65536\r\n\r\n" + BIG, BIG, True),
]


def fed(reader: RequestReader | ResponseReader, pool: BufferPool, text: bytes, step: int) -> int:
    """Feeds it through an inlet, so many bytes at a time; what is left over."""
    inlet = ReceiveBuffer(pool)
    done = False
    for at in range(0, len(text), step):
        for part in (
            text[at : at + step][k : k + BUFFER_BYTES // 2] for k in range(0, step, BUFFER_BYTES // 2)
        ):
            if not part:
                continue
            inlet.free_space()[: len(part)] = part
            inlet.add_received(len(part))
            while inlet.unread() and not done and (used := reader.feed(inlet.unread())):
                inlet.consume(used)
                done = reader.request is not None if isinstance(reader, RequestReader) else reader.is_complete
    left = len(inlet.unread())
    inlet.release()
    return left


def text_of(chain: BufferChain) -> bytes:
    return b"".join(chain.views())


@pytest.mark.parametrize("step", [1, 2, 7, 4096, 1 << 20])
@pytest.mark.parametrize("text, body", POSTS)
def test_requests_split_anywhere(text: bytes, body: bytes, step: int) -> None:
    pool = BufferPool(100)
    chain = BufferChain(pool)
    reader = RequestReader(chain)
    assert fed(reader, pool, text + b"rest", step) <= 4
    assert reader.request is not None and reader.request.keep_alive and text_of(chain) == body
    chain.release()
    assert pool.lent == 0


@pytest.mark.parametrize("step", [1, 3, 4096, 1 << 20])
@pytest.mark.parametrize("text, body, keep", ANSWERS)
def test_answers_of_any_framing(text: bytes, body: bytes, keep: bool, step: int) -> None:
    pool = BufferPool(100)
    chain = BufferChain(pool)
    reader = ResponseReader(chain, 65536)
    fed(reader, pool, text, step)
    if not reader.is_complete:
        reader.on_connection_closed()
    assert reader.is_complete and reader.keep_alive is keep and text_of(chain) == body
    chain.release()
    assert pool.lent == 0


@pytest.mark.parametrize("text, body, keep", [a for a in ANSWERS if a[2] and len(a[0]) < 200])
def test_an_answer_cut_at_any_byte_looks_cut(text: bytes, body: bytes, keep: bool) -> None:
    for cut in range(len(text)):
        pool = BufferPool(10)
        reader = ResponseReader(BufferChain(pool), 65536)
        fed(reader, pool, text[:cut], 5)
        with pytest.raises(MalformedMessageError):
            assert not reader.is_complete
            reader.on_connection_closed()


@pytest.mark.parametrize(
    "text, status",
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
def test_what_is_no_request(text: bytes, status: int) -> None:
    pool = BufferPool(100)
    with pytest.raises(MalformedMessageError) as fault:
        fed(RequestReader(BufferChain(pool)), pool, text, 1 << 20)
    assert fault.value.status == status


@pytest.mark.parametrize(
    "text",
    [
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 abc OK\r\n\r\n",
        b"HTTP/1.1 2000 OK\r\n\r\n",
        b"ICY 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 70000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n" + b"a" * 70000,
        b"\x16\x03\x01" * 4000,
    ],
)
def test_what_is_no_answer(text: bytes) -> None:
    pool = BufferPool(100)
    with pytest.raises(MalformedMessageError):
        fed(ResponseReader(BufferChain(pool), 65536), pool, text, 1 << 20)


def test_what_goes_on_to_an_endpoint() -> None:
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


@pytest.mark.parametrize(
    "answer, keep, head",
    [
        (
            Response(200, content_type=b"text/plain"),
            True,
            b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\ncontent-type: text/plain\r\n\r\n",
        ),
        (
            Response(503, retry_after_us=250_000),
            False,
            b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n"
            b"retry-after: 0.250\r\nconnection: close\r\n\r\n",
        ),
    ],
)
def test_what_goes_out_to_a_client(answer: Response, keep: bool, head: bytes) -> None:
    assert answer.encode_head(keep) == head


@pytest.mark.parametrize(
    "text, us",
    [
        ("480m", 480_000),
        ("480u", 480),
        ("0m", 0),
        (" 5m ", 5000),
        ("480", None),
        ("-1m", None),
        ("1.5m", None),
        ("m", None),
        ("9" * 13 + "m", None),
        ("5s", None),
    ],
)
def test_spans(text: str, us: int | None) -> None:
    assert parse_duration_us(text) == us


def test_a_pool_lends_no_more_than_it_may_and_uses_buffers_again() -> None:
    pool = BufferPool(2)
    chain = BufferChain(pool)
    chain.append(memoryview(b"a" * (BUFFER_BYTES + 1)))
    with pytest.raises(BufferPoolExhaustedError):
        pool.borrow()
    kept = chain.buffers[0]
    chain.release()
    chain.release()
    assert pool.lent == 0 and any(buffer is kept for buffer in (pool.borrow(), pool.borrow()))
