"""Tests of decoding header fields as text."""

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
def test_header_text_is_decoded_as_utf_8_or_else_as_latin_1(value: bytes, text: str) -> None:
    request = Request(b"GET", b"/api", Headers([(b"req-kind", value)]), BufferChain(BufferPool(1)), True)
    assert request.header_text(b"req-kind") == text
