"""A non-blocking stream socket of one task: the one owner of its descriptor and of what was read too far."""

from __future__ import annotations

import errno
import os
import socket
from enum import Enum

from cressrail.buffers.pool import BufferPoolExhaustedError, Inlet, Pool
from cressrail.event_loop.scheduler import MAIL, NEVER, READ, TIMED_OUT, WRITE, Scheduler

MAX_BUFFERS_PER_WRITE = 64  # of a write
DESCRIPTORS_EXHAUSTED = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
)  # own lack, nobody else's fault


class IdleState(Enum):
    QUIET = "quiet"  # open, with nothing to read: fit to carry another request
    RESET = "reset"  # by a process that died
    OVER = "over"  # ended, or with bytes that nobody asked for


class StreamTimeoutError(Exception):
    """The time for it is over."""


class StreamInterruptedError(Exception):
    """A message came first."""


class SocketStream:
    def __init__(self, scheduler: Scheduler, pool: Pool, sock: socket.socket) -> None:
        self.scheduler = scheduler
        self.sock = sock
        self.fd = sock.fileno()
        self.input_buffer = Inlet(pool)
        self.arrived_us = scheduler.arrived_us  # of what was read last
        self._accepted_with = True  # its first bytes may have come with the connection
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @classmethod
    def connect(
        cls, scheduler: Scheduler, pool: Pool, host: str, port: int, until_us: int, mail: bool
    ) -> SocketStream:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        try:
            stream = cls(scheduler, pool, sock)
            code = sock.connect_ex((host, port))
            if code == errno.EINPROGRESS:
                stream.wait(WRITE, until_us, mail)
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise OSError(code, os.strerror(code))
            return stream
        except BaseException:
            sock.close()
            raise

    def wait(self, mask: int, until_us: int = NEVER, mail: bool = False, rest: bool = False) -> int:
        why = self.scheduler.wait(self.fd, mask, until_us, mail, rest)
        if why == TIMED_OUT:
            raise StreamTimeoutError
        if why == MAIL:
            raise StreamInterruptedError
        return why

    def send(self, parts: list[memoryview], until_us: int = NEVER, mail: bool = False) -> None:
        parts = [part for part in parts if part]
        while parts:
            if not self.send_some(parts):
                self.wait(WRITE, until_us, mail)

    def send_some(self, parts: list[memoryview]) -> bool:
        """Writes what goes without waiting, and takes it out; false if nothing did."""
        try:
            n = self.sock.sendmsg(parts[:MAX_BUFFERS_PER_WRITE])
        except BlockingIOError:
            return False
        while parts and n >= len(parts[0]):
            n -= len(parts.pop(0))
        if n:
            parts[0] = parts[0][n:]
        return True

    def read(self) -> int:
        """How many bytes more there are to use: 0 at the end, -1 if none have come yet."""
        try:
            n = self.sock.recv_into(self.input_buffer.room())
        except BlockingIOError:
            self._accepted_with = False
            if not self.input_buffer.unread():
                self.input_buffer.give_back()
            return -1
        if not self._accepted_with:
            self.arrived_us = self.scheduler.arrived_us
        self._accepted_with = False  # guards against later requests timed from the connection's start
        self.input_buffer.came(n)
        return n

    def idle_state(self) -> IdleState:
        """How a connection fares on which nothing is out."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return IdleState.QUIET
        except ConnectionResetError:
            return IdleState.RESET
        except OSError:
            return IdleState.OVER
        return IdleState.OVER

    def linger(self, until_us: int) -> None:
        """Until the other side has seen the end and closed as well, for so long at most; what it still sends
        is dropped. Guards against a close with bytes unread, which would reset the answer that is on its
        way, and against a request that crosses the close being taken for one that is answered."""
        self.input_buffer.give_back()
        try:
            self.sock.shutdown(socket.SHUT_WR)
            while self.read() != 0:
                self.input_buffer.give_back()
                self.wait(READ, until_us)
        except (OSError, StreamTimeoutError, BufferPoolExhaustedError):
            return

    def close(self) -> None:
        self.input_buffer.give_back()
        self.sock.close()
