"""Helpers that feed bytes to the HTTP/1.1 readers under test."""

from __future__ import annotations

from cressrail.buffers.pool import BUFFER_BYTES, BufferChain, BufferPool, ReceiveBuffer
from cressrail.http1.request import RequestReader
from cressrail.http1.response import ResponseReader

BIG = bytes(range(256)) * 256


def feed_in_steps(reader: RequestReader | ResponseReader, pool: BufferPool, text: bytes, step: int) -> int:
    """Feeds bytes to a reader through a receive buffer, `step` bytes at a time.

    Returns:
        The number of bytes that the reader has not consumed.
    """
    received = ReceiveBuffer(pool)
    done = False
    for at in range(0, len(text), step):
        for part in (
            text[at : at + step][k : k + BUFFER_BYTES // 2] for k in range(0, step, BUFFER_BYTES // 2)
        ):
            if not part:
                continue
            received.free_space()[: len(part)] = part
            received.add_received(len(part))
            while received.unread() and not done and (used := reader.feed(received.unread())):
                received.consume(used)
                done = reader.request is not None if isinstance(reader, RequestReader) else reader.is_complete
    unread = len(received.unread())
    received.release()
    return unread


def text_of(chain: BufferChain) -> bytes:
    return b"".join(chain.views())
