"""Peers whose end of a connection follows a script, and scripts that several tests use."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable

from cressrail.event_loop.scheduler import READABLE, WRITABLE, Scheduler
from tests.support.configuration import SECOND

PATIENCE_US = 20 * SECOND  # a test fails if a peer waits longer than this
POLL_US = 1000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of zero: close() sends RST


class ScriptedPeer:
    """One end of a connection, driven by a script that runs as a task of the sidecar's scheduler.

    Attributes:
        scheduler: Scheduler that runs the script.
        sock: Non-blocking socket of the connection.
    """

    def __init__(self, scheduler: Scheduler, sock: socket.socket) -> None:
        self.scheduler = scheduler
        self.sock = sock
        self._received = bytearray()
        sock.setblocking(False)

    def send(self, data: bytes) -> None:
        """Writes all of the data.

        Raises:
            OSError: The connection has ended.
        """
        view = memoryview(data)
        while view:
            try:
                view = view[self.sock.send(view) :]
            except BlockingIOError:
                self._wait(WRITABLE)

    def receive_until(self, terminator: bytes = b"\r\n\r\n") -> bytes:
        """Reads up to and including the terminator, or to the end of the connection if that comes first."""
        while terminator not in self._received and self._receive_more():
            pass
        position = self._received.find(terminator)
        return self._consume(position + len(terminator) if position >= 0 else len(self._received))

    def receive(self, size: int) -> bytes:
        """Reads `size` bytes, or fewer if the connection ends first."""
        while len(self._received) < size and self._receive_more():
            pass
        return self._consume(size)

    def receive_all(self) -> bytes:
        """Reads until the connection ends."""
        while self._receive_more():
            pass
        return self._consume(len(self._received))

    def reset(self) -> None:
        """Closes the connection with RST, as the kernel does when a process is killed."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.sock.close()

    def _consume(self, size: int) -> bytes:
        consumed = bytes(self._received[:size])
        del self._received[:size]
        return consumed

    def _receive_more(self) -> bool:
        while True:
            try:
                received = self.sock.recv(4096)
            except BlockingIOError:
                self._wait(READABLE)
                continue
            except ConnectionResetError:
                received = b""
            self._received += received
            return bool(received)

    def sleep(self, duration_us: int) -> None:
        """Suspends the script for `duration_us` microseconds while other tasks run."""
        self.scheduler.wait(until_us=self.scheduler.now() + duration_us)

    def wait_until(self, condition: Callable[[], object]) -> None:
        """Waits until the condition is true; fails the test if it is not within `PATIENCE_US`."""
        deadline_us = self.scheduler.now() + PATIENCE_US
        while not condition():
            assert self.scheduler.now() < deadline_us, f"the condition was not met within {PATIENCE_US} us"
            self.sleep(POLL_US)

    def _wait(self, mask: int) -> None:
        if self.scheduler.wait(self.sock.fileno(), mask, self.scheduler.now() + PATIENCE_US) == 0:
            raise AssertionError(f"the socket was not ready within {PATIENCE_US} us")


Script = Callable[[ScriptedPeer], None]


def answer_each_with(response: bytes, closes: bool = False, piece_size: int = 0) -> Script:
    """Returns the script of an endpoint that answers every request head with the same bytes.

    Args:
        response: Bytes of the response, complete or truncated.
        closes: Whether the endpoint closes the connection after the response.
        piece_size: Bytes per write; other tasks run after each write. 0: one write for the whole response.
    """

    def script(peer: ScriptedPeer) -> None:
        while peer.receive_until():
            for start in range(0, len(response), piece_size or len(response)):
                peer.send(response[start : start + (piece_size or len(response))])
                if piece_size:
                    peer.sleep(0)
            if closes:
                peer.sock.close()
                return

    return script
