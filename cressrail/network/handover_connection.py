"""The connection between a process and its successor: frames in both directions, and the rendezvous path."""

from __future__ import annotations

import os
import socket
from typing import Any, NamedTuple

from cressrail.event_loop.scheduler import NEVER, READABLE, TIMED_OUT, WRITABLE, Scheduler
from cressrail.handover.frame import Frame, FrameReader, HandoverError

READ_BYTES = 65536
MAX_PATH_BYTES = 100  # for the path of a Unix socket; the system limit is slightly higher
# Frame members in addition to those of the hand-over state.
LISTEN_ADDRESS, ENDPOINT_LIST, HELD_RESOURCES = "listen", "list", "held"
TAKES_IDS = "takes_ids"  # whether the predecessor understands `FrameKind.ID_TAKEN`


def rendezvous_path(listen: tuple[str, int], temporary_folder: str | None) -> str | None:
    """Returns the path of the Unix socket on which a successor finds the process that listens on an address.

    Args:
        listen: The address on which clients are accepted.
        temporary_folder: The folder for the socket; without one there is no hand-over.

    Returns:
        The path; None if there is no folder or the path is longer than `MAX_PATH_BYTES`.
    """
    if not temporary_folder:
        return None
    path = os.path.join(temporary_folder, f"cressrail-{listen[0].replace(':', '_')}-{listen[1]}")
    return path if len(os.fsencode(path)) <= MAX_PATH_BYTES else None


class HeldResources(NamedTuple):
    """The resources that a process keeps after it has handed over, until it exits.

    Attributes:
        clients: Number of descriptors for clients, including a fixed number for other purposes.
        connections: Number of connections to endpoints.
        buffers: Number of buffers of the pool.
    """

    clients: int = 0
    connections: int = 0
    buffers: int = 0

    @classmethod
    def from_frame(cls, value: Any) -> HeldResources:
        """Parses the member of a frame; an invalid value counts as no held resources."""
        is_triple = isinstance(value, list) and len(value) == len(cls._fields)
        if is_triple and all(isinstance(count, int) and count >= 0 for count in value):
            return cls(*value)
        return cls()


class HandoverConnection:
    """Owns a non-blocking Unix socket to the other process.

    Attributes:
        sock: The socket.
        frames: Assembles frames from the received bytes.
    """

    def __init__(self, scheduler: Scheduler, sock: socket.socket, frames: FrameReader | None = None) -> None:
        self.scheduler = scheduler
        self.sock = sock
        self.frames = frames or FrameReader()
        sock.setblocking(False)

    def send(self, data: bytes, until_us: int) -> None:
        """Sends all of `data`.

        Raises:
            HandoverError: The other process did not read the data in time.
            OSError: The other process has closed the connection.
        """
        unsent = memoryview(data)
        while unsent:
            try:
                unsent = unsent[self.sock.send(unsent) :]
            except BlockingIOError:
                event = self.scheduler.wait(self.sock.fileno(), WRITABLE, until_us, wakes_on_message=False)
                if event == TIMED_OUT:
                    raise HandoverError("other process did not read the data before the time limit") from None

    def receive(self, until_us: int = NEVER) -> bytes:
        """Returns received bytes; empty at the end of the connection or after `until_us`.

        Raises:
            OSError: The connection was reset.
        """
        self.scheduler.begin_read()
        while True:
            try:
                return self.sock.recv(READ_BYTES)
            except BlockingIOError:
                event = self.scheduler.wait(self.sock.fileno(), READABLE, until_us, wakes_on_message=False)
                if event == TIMED_OUT:
                    return b""

    def receive_frame(self, until_us: int = NEVER) -> Frame | None:
        """Returns the next frame; None at the end of the connection or after `until_us`.

        Raises:
            HandoverError: The received bytes are not a valid frame.
            ValueError: The body of the frame is not JSON.
            OSError: The connection was reset.
        """
        while (frame := self.frames.next_frame()) is None:
            data = self.receive(until_us)
            if not data:
                return None
            self.frames.feed(data)
        return frame

    def close(self) -> None:
        """Closes the socket."""
        self.sock.close()
