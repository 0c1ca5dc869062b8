"""Frames between the predecessor and the successor process of one sidecar.

A frame is a header (magic, format version, length and CRC-32 of the body; all big-endian) and a body, a JSON
object whose member `kind` says what the frame is.
"""

from __future__ import annotations

import struct
from enum import StrEnum
from typing import Any, NamedTuple
from zlib import crc32

import orjson

MAGIC = b"CrHo"
VERSION = 1  # of the hand-over state's form
MAX_FRAME_BYTES = 8 << 20  # of a body
HEADER = struct.Struct("!4sHII")  # magic, version, body length in bytes, CRC-32 of the body
KIND = "kind"


class FrameKind(StrEnum):
    """Kinds of frames, in the order in which they are exchanged."""

    HELLO = "hello"  # the successor asks, and names its address
    LISTENING = "here"  # the predecessor sends its listening socket and the endpoint list
    TAKE_OVER = "take"  # the successor is ready and asks for the state
    STATE = "estate"  # the predecessor has stopped accepting and sends its state
    EXITED = "bye"  # one side is done


class Frame(NamedTuple):
    """One frame that was read.

    Attributes:
        kind: A `FrameKind`, or the word of a kind that this version does not know.
        fields: The body, `kind` included.
    """

    kind: str
    fields: dict[str, Any]


class HandoverError(Exception):
    """What the other process sent can't be used."""


class MalformedFrameError(HandoverError):
    """A frame that is torn or none."""


class FrameVersionError(HandoverError):
    """A frame of a version with which this one can't exchange state."""


class MalformedStateError(HandoverError):
    """A hand-over state with a missing or impossible value."""


def encode_frame(kind: FrameKind, fields: dict[str, Any]) -> bytes:
    """Returns a whole frame with these members in its body."""
    body = orjson.dumps({KIND: kind, **fields})
    return HEADER.pack(MAGIC, VERSION, len(body), crc32(body)) + body


class FrameReader:
    """Collects received bytes, in pieces of any size, and returns whole frames."""

    def __init__(self) -> None:
        self._received = bytearray()

    def feed(self, data: bytes) -> None:
        """Adds received bytes."""
        self._received += data

    def next_frame(self) -> Frame | None:
        """Takes the next whole frame; None while more bytes are needed.

        Raises:
            HandoverError: What was received is no frame of this version.
        """
        if len(self._received) < HEADER.size:
            return None
        magic, version, size, checksum = HEADER.unpack_from(self._received)
        if magic != MAGIC or size > MAX_FRAME_BYTES:
            raise MalformedFrameError("no frame of a sidecar")
        if version != VERSION:
            raise FrameVersionError(f"version {version}")
        frame_end = HEADER.size + size
        if len(self._received) < frame_end:
            return None
        body = bytes(self._received[HEADER.size : frame_end])
        del self._received[:frame_end]
        if crc32(body) != checksum:
            raise MalformedFrameError("check sum")
        fields = orjson.loads(body)
        if not isinstance(fields, dict) or not isinstance(fields.get(KIND), str):
            raise MalformedFrameError("no kind")
        return Frame(fields[KIND], fields)
