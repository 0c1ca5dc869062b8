"""Prepares the data of a pipe for sending, part by part, with chunked coding if the length is unknown."""

from __future__ import annotations

from cressrail.buffers.pipe import Pipe
from cressrail.http1.body import encode_chunk

LAST_CHUNK = b"0\r\n\r\n"


class PipeSender:
    """Holds the part that is being sent; its bytes stay in the pipe until the whole part is sent.

    Attributes:
        pipe: The source of the data.
        unsent: The remaining buffers of the current part, which `SocketStream.send_some` shortens.
    """

    def __init__(self, pipe: Pipe, is_chunked: bool) -> None:
        self.pipe = pipe
        self.is_chunked = is_chunked
        self.unsent: list[memoryview] = []
        self._part_bytes = 0
        self._is_last_part = False

    def is_finished(self) -> bool:
        """Loads the next part once the current one is sent; returns whether there are no more parts.

        `unsent` stays empty while the pipe has no data. A failure of the pipe also finishes the sender.
        """
        if self.unsent:
            return False
        self.pipe.consume(self._part_bytes)
        self._part_bytes = 0
        if self.pipe.has_failed or self._is_last_part:
            return True
        if parts := self.pipe.views():
            self._part_bytes = sum(map(len, parts))
            self.unsent = encode_chunk(parts, self._part_bytes) if self.is_chunked else parts
        elif self.pipe.is_closed:
            self._is_last_part = True
            self.unsent = [memoryview(LAST_CHUNK)] if self.is_chunked else []
            return not self.unsent
        return False
