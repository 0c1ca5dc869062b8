"""Header fields as text."""

from __future__ import annotations

import pytest

from cressrail.buffers.pool import BufferChain, BufferPool
from cressrail.http1.headers import Headers
from cressrail.http1.request import Request


@pytest.mark.parametrize(
    ("value", "text"),
    [
        ("histórico".encode(), "histórico"),
        (b"a-b", "a-b"),
        (b"hist\xf3rico", "histórico"),
        (b"\xff\xfe", "ÿþ"),
    ],
)
def test_header_text_is_utf_8_and_latin_1_where_it_is_no_utf_8(value: bytes, text: str) -> None:
    request = Request(b"GET", b"/api", Headers([(b"req-kind", value)]), BufferChain(BufferPool(1)), True)
    assert request.header_text(b"req-kind") == text
