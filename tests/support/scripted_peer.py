"""One end of a connection that follows a script, and scripts that several tests use."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable

from cressrail.event_loop.scheduler import READABLE, WRITABLE, Scheduler
from tests.support.configuration import SECOND

PATIENCE_US = 20 * SECOND  # what takes longer fails the test
POLL_US = 1000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a time of zero


class ScriptedPeer:
    """One end of a connection; its script is a task of the sidecar's own scheduler.

    Attributes:
        scheduler: Runs the script.
        sock: The connection, without blocking.
    """

    def __init__(self, scheduler: Scheduler, sock: socket.socket) -> None:
        self.scheduler = scheduler
        self.sock = sock
        self._received = bytearray()
        sock.setblocking(False)

    def send(self, data: bytes) -> None:
        """Returns once all is written; raises `OSError` where the connection has ended."""
        view = memoryview(data)
        while view:
            try:
                view = view[self.sock.send(view) :]
            except BlockingIOError:
                self._wait(WRITABLE)

    def receive_until(self, terminator: bytes = b"\r\n\r\n") -> bytes:
        """Returns what comes up to and with the terminator, or all there is if the connection ends first."""
        while terminator not in self._received and self._receive_more():
            pass
        position = self._received.find(terminator)
        return self._consume(position + len(terminator) if position >= 0 else len(self._received))

    def receive(self, size: int) -> bytes:
        """Returns that many bytes, or all there are if the connection ends first."""
        while len(self._received) < size and self._receive_more():
            pass
        return self._consume(size)

    def receive_all(self) -> bytes:
        """Returns all that comes until the connection ends."""
        while self._receive_more():
            pass
        return self._consume(len(self._received))

    def reset(self) -> None:
        """Closes the connection with RST, as that of a process that dies."""
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
        """Lets other tasks run meanwhile."""
        self.scheduler.wait(until_us=self.scheduler.now() + duration_us)

    def wait_until(self, condition: Callable[[], object]) -> None:
        """Returns once the condition is true; fails the test where it never is."""
        deadline_us = self.scheduler.now() + PATIENCE_US
        while not condition():
            assert self.scheduler.now() < deadline_us, "condition was never met"
            self.sleep(POLL_US)

    def _wait(self, mask: int) -> None:
        if self.scheduler.wait(self.sock.fileno(), mask, self.scheduler.now() + PATIENCE_US) == 0:
            raise AssertionError("nothing came")


Script = Callable[[ScriptedPeer], None]


def answer_each_with(response: bytes, closes: bool = False, piece_size: int = 0) -> Script:
    """Returns the script of an endpoint that answers every request head with the same bytes.

    Args:
        response: Whole or not.
        closes: The connection is closed after it.
        piece_size: Bytes in one write, with a round of the scheduler after each; zero: all at once.
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
