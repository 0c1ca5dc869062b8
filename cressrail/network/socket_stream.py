"""A non-blocking TCP socket that one task owns, with a buffer for received bytes."""

from __future__ import annotations

import errno
import os
import select
import socket
from collections.abc import Callable
from enum import Enum

from cressrail.buffers.pool import BufferPool, BufferPoolExhaustedError, ReceiveBuffer
from cressrail.event_loop.scheduler import (
    MESSAGE,
    NEVER,
    PEER_CLOSED,
    READABLE,
    TIMED_OUT,
    WRITABLE,
    Scheduler,
)
from cressrail.network.tcp_information import (
    KERNEL_TICK_US,
    may_hide_close,
    time_since_last_input_us,
    undelivered_bytes,
)

MAX_BUFFERS_PER_WRITE = 64
HIDDEN_CLOSE_US = 100_000  # how long after its close work may still begin for a peer
# Errors that report exhausted resources of this process or system; they are not caused by the peer.
DESCRIPTORS_EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class IdleState(Enum):
    """The state of an idle connection, on which no input is expected."""

    USABLE = "usable"  # open, with nothing to read
    RESET = "reset"  # for example because the peer process has died
    ENDED = "ended"  # closed by the peer, or carrying unsolicited bytes


class PeerPresence(Enum):
    """What is known of a peer before something is done for it."""

    THERE = "there"
    CLOSED = "closed"  # it has closed or reset the connection, even if input is still unread
    UNKNOWN = "unknown"  # so much input is unread that its close may wait behind it


class StreamTimeoutError(Exception):
    """An operation did not complete before its time limit."""


class StreamInterruptedError(Exception):
    """A message was posted to the task before the operation completed."""


class SocketStream:
    """Owns a socket and its input buffer; `close` releases both.

    Attributes:
        descriptor: The file descriptor of the socket.
        input_buffer: Received bytes that have not been consumed yet.
        arrived_us: The earliest time at which the most recently received bytes may have arrived, as far as
            the event loop can tell, in microseconds. `input_arrived_us` asks the kernel too.
        created_us: The time at which this object was created, in microseconds.
        present_us: The latest time at which the peer of an upload was surely there, as far as it was looked
            at, in microseconds.
        needs_open_peer: Whether input is worthless once the peer has closed. It then ends where others have
            had their turn, so that no work is done for a peer that has sent much and left.
    """

    def __init__(self, scheduler: Scheduler, pool: BufferPool, sock: socket.socket) -> None:
        self.scheduler = scheduler
        self.sock = sock
        self.descriptor = sock.fileno()
        self.input_buffer = ReceiveBuffer(pool)
        self.arrived_us = scheduler.earliest_arrival_us
        self.created_us = self.present_us = scheduler.now()
        self.needs_open_peer = False
        # Whether the next received bytes may have arrived before this object was created.
        self._may_precede_stream = True
        self._poll: select.poll | None = None
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
        """Connects to an address and returns the established connection.

        Raises:
            StreamTimeoutError: The connection was not established before `until_us`.
            StreamInterruptedError: A message was posted first and `wakes_on_message` is true.
            OSError: The connection failed, or the descriptors are exhausted.
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
        """Blocks the task until the socket is ready; returns the mask that poll reported.

        The arguments have the same meaning as in `Scheduler.wait`.

        Raises:
            StreamTimeoutError: `until_us` was reached first.
            StreamInterruptedError: A message was posted first and `wakes_on_message` is true.
        """
        result = self.scheduler.wait(self.descriptor, mask, until_us, wakes_on_message, is_idle)
        if result == TIMED_OUT:
            raise StreamTimeoutError
        if result == MESSAGE:
            raise StreamInterruptedError
        return result

    def send(self, parts: list[memoryview], until_us: int = NEVER, wakes_on_message: bool = False) -> None:
        """Sends all parts; blocks while the socket's send buffer is full.

        Raises:
            StreamTimeoutError: The parts were not sent before `until_us`.
            StreamInterruptedError: A message was posted first and `wakes_on_message` is true.
            OSError: The connection was closed or reset.
        """
        unsent = [part for part in parts if part]
        while unsent:
            if not self.send_some(unsent):
                self.wait(WRITABLE, until_us, wakes_on_message)

    def send_while_taken(self, parts: list[memoryview], stall_us: int) -> None:
        """Sends all parts, however long it takes, unless the peer takes nothing for `stall_us`.

        Whether the socket is writable does not show that: it becomes so only when a third of its buffer, of
        maybe megabytes, is free again.

        Raises:
            StreamTimeoutError: The peer took nothing for `stall_us`.
            OSError: The connection was closed or reset.
        """
        unsent = [part for part in parts if part]
        while unsent:
            if not self.send_some(unsent):
                self.wait_until_taken(WRITABLE, stall_us)

    def wait_until_taken(self, mask: int, stall_us: int, wakes_on_message: bool = False) -> int:
        """Waits as `wait` does, unless the peer takes nothing for `stall_us`.

        Raises:
            StreamTimeoutError: The peer took nothing for `stall_us`.
            StreamInterruptedError: A message was posted first and `wakes_on_message` is true.
        """
        undelivered = undelivered_bytes(self.sock)
        while True:
            try:
                return self.wait(mask, self.scheduler.now() + stall_us, wakes_on_message)
            except StreamTimeoutError:
                before, undelivered = undelivered, undelivered_bytes(self.sock)
                if undelivered >= before:
                    raise

    def send_some(self, unsent: list[memoryview]) -> bool:
        """Sends without blocking and removes the sent bytes from the list; False if none were sent."""
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
        """Receives into `input_buffer` without waiting for data; the task's turn may end first.

        Returns:
            The number of bytes received: 0 at the end of the stream, -1 if no bytes are available yet.

        Raises:
            BufferPoolExhaustedError: There is no buffer to receive into.
            OSError: The connection was reset.
        """
        if self.scheduler.begin_read() and self.needs_open_peer and self.has_peer_closed():
            return 0
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

    def input_arrived_us(self) -> int:
        """Returns when the most recently received bytes arrived in the kernel, in microseconds.

        The kernel tells, in ticks. The time that `receive` has recorded applies if it is earlier, or if the
        system does not tell.
        """
        waited_us = time_since_last_input_us(self.sock)
        if waited_us is not None:
            self.arrived_us = min(self.arrived_us, self.scheduler.now() - waited_us + KERNEL_TICK_US)
        return self.arrived_us

    def feed_to(
        self, parse: Callable[[memoryview], int], check_limits: Callable[[], None] = lambda: None
    ) -> None:
        """Passes the unconsumed bytes to a parser, which returns how many of them it has consumed.

        It is called again while it consumes some and leaves some; others have their turn in between.

        Args:
            parse: The parser.
            check_limits: Called before it goes on; may raise an exception.

        Raises:
            ConnectionError: The peer has closed meanwhile, so that nobody needs the rest.
        """
        while used := parse(self.input_buffer.unread()):
            self.input_buffer.consume(used)
            if self.input_buffer.buffer is None:  # all are consumed
                return
            has_yielded = self.scheduler.end_turn_if_over()
            if has_yielded and self.needs_open_peer and self.has_peer_closed():
                raise ConnectionError("the peer has closed while its input was parsed")
            check_limits()

    def has_peer_closed(self) -> bool:
        """Returns whether the peer has closed or reset the connection, even if input is still unread."""
        return bool(self.pending_events() & ~READABLE)

    def peer_presence(self) -> PeerPresence:
        """Returns whether the peer is there, has closed, or may have closed unseen behind unread input."""
        events = self.pending_events()
        if not events:
            return PeerPresence.THERE
        if events != READABLE:
            return PeerPresence.CLOSED
        return PeerPresence.UNKNOWN if may_hide_close(self.sock) else PeerPresence.THERE

    def may_have_left_unseen(self, now_us: int) -> bool:
        """Returns whether a peer of `UNKNOWN` presence may have left longer than `HIDDEN_CLOSE_US` ago."""
        return now_us - self.present_us > HIDDEN_CLOSE_US

    def has_delivered_all(self) -> bool:
        """Returns whether the peer has taken all that was written, as far as the kernel can tell.

        A peer that closes without reading it resets the connection.
        """
        is_reset = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return not is_reset and not undelivered_bytes(self.sock)

    def idle_state(self) -> IdleState:
        """Returns the state of an idle connection without consuming any input."""
        if not self.pending_events():
            return IdleState.USABLE
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return IdleState.USABLE
        except ConnectionResetError:
            return IdleState.RESET
        except OSError:
            return IdleState.ENDED
        return IdleState.ENDED

    def pending_events(self) -> int:
        """Returns the mask that poll reports at this moment, without blocking."""
        if self._poll is None:
            self._poll = select.poll()
            self._poll.register(self.descriptor, READABLE | PEER_CLOSED)
        events = self._poll.poll(0)
        return events[0][1] if events else 0

    def linger(self, until_us: int) -> None:
        """Shuts down the sending side and discards input until the peer closes or `until_us` is reached.

        Closing a socket with unread input would reset the connection. The reset could destroy a response that
        is still in transit, and to the client a request that it sent during the close would look as if it
        had been accepted.
        """
        self.input_buffer.release()
        try:
            self.sock.shutdown(socket.SHUT_WR)
            while self.receive() != 0 and self.scheduler.now() < until_us:
                self.input_buffer.release()
                self.wait(READABLE, until_us)
        except (OSError, StreamTimeoutError, BufferPoolExhaustedError):
            return

    def close(self) -> None:
        """Closes the socket and returns the input buffer to the pool."""
        self.input_buffer.release()
        self.sock.close()
