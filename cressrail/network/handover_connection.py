"""The connection between a process and its successor: frames both ways, and where the two meet."""

from __future__ import annotations

import os
import socket
from typing import Any, NamedTuple

from cressrail.event_loop.scheduler import NEVER, READABLE, TIMED_OUT, WRITABLE, Scheduler
from cressrail.handover.frame import Frame, FrameReader, HandoverError

READ_BYTES = 65536
MAX_PATH_BYTES = 100  # of a Unix socket's path: the system takes few more
# Members of frames, beside those of the hand-over state.
LISTEN_ADDRESS, ENDPOINT_LIST, HELD_RESOURCES = "listen", "list", "held"


def rendezvous_path(listen: tuple[str, int], temporary_folder: str | None) -> str | None:
    """Returns where processes that listen on an address meet; None where they cannot."""
    if not temporary_folder:
        return None
    path = os.path.join(temporary_folder, f"cressrail-{listen[0].replace(':', '_')}-{listen[1]}")
    return path if len(os.fsencode(path)) <= MAX_PATH_BYTES else None


class HeldResources(NamedTuple):
    """What stays with a process that has handed over, until it exits.

    Attributes:
        clients: Descriptors of clients, with some for other purposes.
        connections: Connections to endpoints.
        buffers: Of the pool.
    """

    clients: int = 0
    connections: int = 0
    buffers: int = 0

    @classmethod
    def from_frame(cls, value: Any) -> HeldResources:
        """Reads the member of a frame; what is no such member counts as nothing."""
        is_triple = isinstance(value, list) and len(value) == len(cls._fields)
        if is_triple and all(isinstance(count, int) and count >= 0 for count in value):
            return cls(*value)
        return cls()


class HandoverConnection:
    """Owns a non-blocking Unix socket to the other process.

    Attributes:
        sock: The socket.
        frames: What was received and is no whole frame yet.
    """

    def __init__(self, scheduler: Scheduler, sock: socket.socket, frames: FrameReader | None = None) -> None:
        self.scheduler = scheduler
        self.sock = sock
        self.frames = frames or FrameReader()
        sock.setblocking(False)

    def send(self, data: bytes, until_us: int) -> None:
        """Sends all of it.

        Raises:
            HandoverError: The other process does not read.
            OSError: It has gone.
        """
        unsent = memoryview(data)
        while unsent:
            try:
                unsent = unsent[self.sock.send(unsent) :]
            except BlockingIOError:
                event = self.scheduler.wait(self.sock.fileno(), WRITABLE, until_us, wakes_on_message=False)
                if event == TIMED_OUT:
                    raise HandoverError("does not read") from None

    def receive(self, until_us: int = NEVER) -> bytes:
        """Returns received bytes; none at the end of the connection or of the time.

        Raises:
            OSError: The other process has gone.
        """
        while True:
            try:
                return self.sock.recv(READ_BYTES)
            except BlockingIOError:
                event = self.scheduler.wait(self.sock.fileno(), READABLE, until_us, wakes_on_message=False)
                if event == TIMED_OUT:
                    return b""

    def receive_frame(self, until_us: int = NEVER) -> Frame | None:
        """Returns the next frame; None at the end of the connection or of the time.

        Raises:
            HandoverError: What came is no frame.
            ValueError: Its body is not JSON.
            OSError: The other process has gone.
        """
        while (frame := self.frames.next_frame()) is None:
            data = self.receive(until_us)
            if not data:
                return None
            self.frames.feed(data)
        return frame

    def close(self) -> None:
        """Returns the descriptor."""
        self.sock.close()
