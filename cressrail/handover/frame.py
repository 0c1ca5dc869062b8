"""Frames between two processes of one sidecar: versioned and checked, fed with what comes in any pieces."""

from __future__ import annotations

import struct
from typing import Any
from zlib import crc32

import orjson

MAGIC = b"CrHo"
VERSION = 1  # of the estate's words; another version's is not read
MAX_FRAME_BYTES = 8 << 20  # bytes of a frame
HEADER = struct.Struct("!4sHII")  # mark, version, length, check sum
HELLO, HERE, TAKE, ESTATE, BYE = "hello", "here", "take", "estate", "bye"


class HandoverError(Exception):
    """What came is torn, of another version, or none of ours."""


def encode_frame(kind: str, told: dict[str, Any]) -> bytes:
    body = orjson.dumps({"kind": kind, **told})
    return HEADER.pack(MAGIC, VERSION, len(body), crc32(body)) + body


class FrameReader:
    """Collects what comes and gives whole frames."""

    def __init__(self) -> None:
        self.text = bytearray()

    def feed(self, data: bytes) -> None:
        self.text += data

    def next_frame(self) -> tuple[str, dict[str, Any]] | None:
        """The next frame's kind and what it tells; nothing while none is whole. Raises `Foreign`."""
        if len(self.text) < HEADER.size:
            return None
        mark, version, size, check = HEADER.unpack_from(self.text)
        if mark != MAGIC or size > MAX_FRAME_BYTES:
            raise HandoverError("no frame of a sidecar")
        if version != VERSION:
            raise HandoverError(f"version {version}")
        if len(self.text) < HEADER.size + size:
            return None
        body = bytes(self.text[HEADER.size : HEADER.size + size])
        del self.text[: HEADER.size + size]
        if crc32(body) != check:
            raise HandoverError("check sum")
        told = orjson.loads(body)
        if not isinstance(told, dict) or not isinstance(told.get("kind"), str):
            raise HandoverError("no kind")
        return told["kind"], told
