"""Encoding and decoding of the frames that two processes of one sidecar exchange."""

from __future__ import annotations

from zlib import crc32

import pytest

from cressrail.handover.frame import (
    HEADER,
    MAGIC,
    VERSION,
    FrameKind,
    FrameReader,
    HandoverError,
    encode_frame,
)


def test_next_frame_returns_whole_frames_from_pieces_of_any_size() -> None:
    reader = FrameReader()
    data = encode_frame(FrameKind.HELLO, {"n": 1}) + encode_frame(FrameKind.TAKE_OVER, {})
    kinds = []
    for n in range(len(data)):
        reader.feed(data[n : n + 1])
        while (frame := reader.next_frame()) is not None:
            kinds.append(frame.kind)
    assert kinds == ["hello", "take"]


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"GET / HTTP/1.1\r\n\r\n", id="http-request"),
        pytest.param(HEADER.pack(MAGIC, VERSION + 1, 2, 0) + b"{}", id="other-version"),
        pytest.param(HEADER.pack(MAGIC, VERSION, 2, 1) + b"{}", id="wrong-checksum"),
        pytest.param(HEADER.pack(MAGIC, VERSION, 1 << 30, 0), id="body-too-long"),
        pytest.param(HEADER.pack(MAGIC, VERSION, 2, crc32(b"{]")) + b"{]", id="body-not-json"),
        pytest.param(encode_frame(FrameKind.TAKE_OVER, {})[:-2] + b"x}", id="damaged-body"),
    ],
)
def test_next_frame_rejects_invalid_frames_and_other_versions(data: bytes) -> None:
    reader = FrameReader()
    reader.feed(data)
    with pytest.raises(HandoverError):
        reader.next_frame()
