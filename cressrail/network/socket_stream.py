"""A non-blocking stream socket that one task owns, with what was received and not yet consumed."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable
from enum import Enum

from cressrail.buffers.pool import BufferPool, BufferPoolExhaustedError, ReceiveBuffer
from cressrail.event_loop.scheduler import MESSAGE, NEVER, READABLE, TIMED_OUT, WRITABLE, Scheduler

MAX_BUFFERS_PER_WRITE = 64
# Errors that say that this process is short of something; the peer is not to blame.
DESCRIPTORS_EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class IdleState(Enum):
    """How a connection fares on which nothing is expected."""

    USABLE = "usable"  # open, with nothing to read
    RESET = "reset"  # by a process that has died
    ENDED = "ended"  # closed in order, or with bytes that nobody asked for


class StreamTimeoutError(Exception):
    """The time for an operation is over."""


class StreamInterruptedError(Exception):
    """A message for the task came before the operation was complete."""


class SocketStream:
    """Owns the socket; `close` returns descriptor and buffer.

    Attributes:
        descriptor: The socket's file descriptor.
        input_buffer: What was received and not yet consumed.
        arrived_us: The earliest time at which what was received last may have arrived.
    """

    def __init__(self, scheduler: Scheduler, pool: BufferPool, sock: socket.socket) -> None:
        self.scheduler = scheduler
        self.sock = sock
        self.descriptor = sock.fileno()
        self.input_buffer = ReceiveBuffer(pool)
        self.arrived_us = scheduler.earliest_arrival_us
        self._may_precede_stream = True
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @classmethod
    def connect(
        cls,
        scheduler: Scheduler,
        pool: BufferPool,
        host: str,
        port: int,
        until_us: int,
        wakes_on_message: bool,
    ) -> SocketStream:
        """Returns an established connection.

        Raises:
            StreamTimeoutError: It was not established in time.
            StreamInterruptedError: A message came first, if `wakes_on_message`.
            OSError: It was refused, or there is no descriptor.
        """
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        try:
            stream = cls(scheduler, pool, sock)
            stream._establish(host, port, until_us, wakes_on_message)
        except BaseException:
            sock.close()
            raise
        return stream

    def _establish(self, host: str, port: int, until_us: int, wakes_on_message: bool) -> None:
        code = self.sock.connect_ex((host, port))
        if code == errno.EINPROGRESS:
            self.wait(WRITABLE, until_us, wakes_on_message)
            code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))

    def wait(
        self,
        mask: int,
        until_us: int = NEVER,
        wakes_on_message: bool = False,
        is_idle: bool = False,
    ) -> int:
        """Blocks until the socket is ready; returns the poll mask.

        Raises:
            StreamTimeoutError: The time came first.
            StreamInterruptedError: A message came first, if `wakes_on_message`.
        """
        result = self.scheduler.wait(self.descriptor, mask, until_us, wakes_on_message, is_idle)
        if result == TIMED_OUT:
            raise StreamTimeoutError
        if result == MESSAGE:
            raise StreamInterruptedError
        return result

    def send(self, parts: list[memoryview], until_us: int = NEVER, wakes_on_message: bool = False) -> None:
        """Sends all parts; raises as `wait` does, and `OSError`."""
        unsent = [part for part in parts if part]
        while unsent:
            if not self.send_some(unsent):
                self.wait(WRITABLE, until_us, wakes_on_message)

    def send_some(self, unsent: list[memoryview]) -> bool:
        """Sends what goes without blocking and removes it from the list; False if nothing went."""
        try:
            count = self.sock.sendmsg(unsent[:MAX_BUFFERS_PER_WRITE])
        except BlockingIOError:
            return False
        while unsent and count >= len(unsent[0]):
            count -= len(unsent.pop(0))
        if count:
            unsent[0] = unsent[0][count:]
        return True

    def receive(self) -> int:
        """Receives into `input_buffer` without blocking.

        Returns:
            The number of bytes received: 0 at the end of the stream, -1 if none have come yet.

        Raises:
            BufferPoolExhaustedError: There is no buffer to receive into.
            OSError: The connection was reset.
        """
        try:
            count = self.sock.recv_into(self.input_buffer.free_space())
        except BlockingIOError:
            self._may_precede_stream = False
            if not self.input_buffer.unread():
                self.input_buffer.release()
            return -1
        if not self._may_precede_stream:
            self.arrived_us = self.scheduler.earliest_arrival_us
        self._may_precede_stream = False
        self.input_buffer.add_received(count)
        return count

    def feed_to(self, parse: Callable[[memoryview], int]) -> None:
        """Gives the unconsumed bytes to a parser, which returns how many of them it has consumed."""
        self.input_buffer.consume(parse(self.input_buffer.unread()))

    def idle_state(self) -> IdleState:
        """Looks at a connection on which nothing is expected, without consuming anything."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return IdleState.USABLE
        except ConnectionResetError:
            return IdleState.RESET
        except OSError:
            return IdleState.ENDED
        return IdleState.ENDED

    def linger(self, until_us: int) -> None:
        """Shuts the sending side and drops what still comes, until the peer closes or the time is over.

        A close with bytes unread would reset the connection, and with it a response that is on its way; and
        a request that crosses the close would look like one that was accepted.
        """
        self.input_buffer.release()
        try:
            self.sock.shutdown(socket.SHUT_WR)
            while self.receive() != 0:
                self.input_buffer.release()
                self.wait(READABLE, until_us)
        except (OSError, StreamTimeoutError, BufferPoolExhaustedError):
            return

    def close(self) -> None:
        """Returns the descriptor and the buffer."""
        self.input_buffer.release()
        self.sock.close()
