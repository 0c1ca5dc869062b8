"""Tests of parsing responses of any framing, split or cut at any byte, and of encoding them for a client."""

from __future__ import annotations

import pytest

from cressrail.buffers.pool import BufferChain, BufferPool
from cressrail.http1.errors import MalformedMessageError
from cressrail.http1.response import Response, ResponseReader
from tests.http1.support import BIG, feed_in_steps, text_of

RESPONSES = [
    (b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello", b"hello", True),
    (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello", b"hello", True),
    (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", b"hello", True),
    (b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 5\r\n\r\nhello", b"hello", False),
    (b"HTTP/1.0 200 OK\r\ncontent-length: 5\r\n\r\nhello", b"hello", False),
    (b"HTTP/1.1 200 OK\r\n\r\nhello", b"hello", False),
    (b"HTTP/1.1 204 No Content\r\n\r\n", b"", True),
    (b"HTTP/1.1 200 OK\r\ncontent-length: 65536\r\n\r\n" + BIG, BIG, True),
]


@pytest.mark.parametrize("step", [1, 3, 4096, 1 << 20])
@pytest.mark.parametrize(("text", "body", "keep_alive"), RESPONSES)
def test_response_reader_parses_any_framing_split_at_any_byte(
    text: bytes, body: bytes, keep_alive: bool, step: int
) -> None:
    pool = BufferPool(100)
    chain = BufferChain(pool)
    reader = ResponseReader(chain, 65536)
    feed_in_steps(reader, pool, text, step)
    if not reader.is_complete:
        reader.on_connection_closed()
    assert reader.is_complete
    assert reader.keep_alive is keep_alive
    assert text_of(chain) == body
    chain.release()
    assert pool.lent == 0


@pytest.mark.parametrize(
    "text", [text for text, _body, keep_alive in RESPONSES if keep_alive and len(text) < 200]
)
def test_response_cut_at_any_byte_is_incomplete(text: bytes) -> None:
    for cut in range(len(text)):
        pool = BufferPool(10)
        reader = ResponseReader(BufferChain(pool), 65536)
        feed_in_steps(reader, pool, text[:cut], 5)
        assert not reader.is_complete
        with pytest.raises(MalformedMessageError):
            reader.on_connection_closed()


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
def test_response_reader_refuses_malformed_responses(text: bytes) -> None:
    pool = BufferPool(100)
    with pytest.raises(MalformedMessageError):
        feed_in_steps(ResponseReader(BufferChain(pool), 65536), pool, text, 1 << 20)


@pytest.mark.parametrize(
    ("response", "keep_alive", "head"),
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
def test_encode_head_returns_the_head_for_the_client(
    response: Response, keep_alive: bool, head: bytes
) -> None:
    assert response.encode_head(keep_alive) == head
