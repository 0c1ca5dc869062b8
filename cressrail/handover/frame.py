"""The frames that the predecessor and the successor process of a sidecar exchange.

A frame consists of a header (magic, format version, length and CRC-32 of the body, all big-endian) and a
body, which is a JSON object with the kind of the frame in its member `kind`.
"""

from __future__ import annotations

import struct
from enum import StrEnum
from typing import Any, NamedTuple
from zlib import crc32

import orjson

MAGIC = b"CrHo"
VERSION = 1  # format version of the hand-over state
MAX_FRAME_BYTES = 8 << 20  # maximum length of a body
HEADER = struct.Struct("!4sHII")  # magic, version, body length in bytes, CRC-32 of the body
KIND = "kind"


class FrameKind(StrEnum):
    """Kinds of frames, in the order in which they are exchanged."""

    HELLO = "hello"  # the successor requests a hand-over and sends its listen address
    LISTENING = "here"  # the predecessor sends its listening socket and the endpoint list
    TAKE_OVER = "take"  # the successor is ready and requests the state
    STATE = "estate"  # the predecessor has stopped accepting clients and sends its state
    ID_TAKEN = "id"  # either process has forwarded a request with this id since the hand-over
    EXITED = "bye"  # the successor exits after its own hand-over: the predecessor must not serve again


class Frame(NamedTuple):
    """A decoded frame.

    Attributes:
        kind: A value of `FrameKind`, or another string for a kind that this version does not know.
        fields: The members of the body, including `kind`.
    """

    kind: str
    fields: dict[str, Any]


class HandoverError(Exception):
    """The other process sent data that can't be used."""


class MalformedFrameError(HandoverError):
    """The received data is not a frame, or the frame is damaged."""


class FrameVersionError(HandoverError):
    """The frame has a format version that this process does not support."""


class MalformedStateError(HandoverError):
    """The hand-over state has a missing or invalid value."""


def encode_frame(kind: FrameKind, fields: dict[str, Any]) -> bytes:
    """Encodes a frame of this kind with the given members in its body."""
    body = orjson.dumps({KIND: kind, **fields})
    return HEADER.pack(MAGIC, VERSION, len(body), crc32(body)) + body


class FrameReader:
    """Assembles frames from received bytes, which may arrive in pieces of any size."""

    def __init__(self) -> None:
        self._received = bytearray()

    def feed(self, data: bytes) -> None:
        """Appends received bytes."""
        self._received += data

    def next_frame(self) -> Frame | None:
        """Removes and returns the next complete frame; None if more bytes are needed.

        Raises:
            HandoverError: The received bytes are not a valid frame of this version.
        """
        if len(self._received) < HEADER.size:
            return None
        magic, version, size, checksum = HEADER.unpack_from(self._received)
        if magic != MAGIC or size > MAX_FRAME_BYTES:
            raise MalformedFrameError(
                f"not a hand-over frame: magic {magic!r}, expected {MAGIC!r};"
                f" body of {size} bytes, at most {MAX_FRAME_BYTES} allowed"
            )
        if version != VERSION:
            raise FrameVersionError(f"hand-over frame has version {version}, expected {VERSION}")
        frame_end = HEADER.size + size
        if len(self._received) < frame_end:
            return None
        body = bytes(self._received[HEADER.size : frame_end])
        del self._received[:frame_end]
        if crc32(body) != checksum:
            raise MalformedFrameError(
                f"CRC-32 of the hand-over frame's {size}-byte body does not match its header"
            )
        try:
            fields = orjson.loads(body)
        except orjson.JSONDecodeError as error:
            raise MalformedFrameError(f"hand-over frame's body is not JSON: {error}") from None
        if not isinstance(fields, dict) or not isinstance(fields.get(KIND), str):
            raise MalformedFrameError(
                f"hand-over frame's body is not a JSON object with a string member {KIND!r}"
            )
        return Frame(fields[KIND], fields)
