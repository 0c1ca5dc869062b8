"""Accepts client connections on the address that the sidecar listens on."""

from __future__ import annotations

import errno
import socket

from cressrail.event_loop.scheduler import MESSAGE, READABLE
from cressrail.network.client_connection import ClientConnectionTask
from cressrail.network.dispatcher import CommandDispatcher
from cressrail.network.socket_stream import DESCRIPTORS_EXHAUSTED

BACKLOG = 1024
MAX_ACCEPTS_PER_ROUND = 64  # before other tasks get their turn
NO_DESCRIPTORS_PAUSE_US = 20_000
MAX_CLOSE_US = 500_000  # waits for free descriptors while clients are left in the queue at the close
# Errors of a connection that ended while it waited: they say nothing of those behind it.
CONNECTION_ABORTED = (errno.ECONNABORTED, errno.EPROTO, errno.EINTR)


def bind(host: str, port: int, shared: bool = False) -> socket.socket:
    """Returns a listening, non-blocking socket.

    Args:
        host: an IPv4 or IPv6 address.
        port: the port, or 0 for any.
        shared: a later process of the same user may listen on the address too.

    Raises:
        OSError: the address cannot be listened on; the message names it.
    """
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # a restart binds at once
    if shared:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.setblocking(False)
    try:
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError as error:
        sock.close()
        raise OSError(f"cannot listen on {host}:{port}: {error.strerror}") from None
    return sock


class ListenerTask:
    """Owns the listening socket; accepts while the state machine allows it.

    Attributes:
        sock: the listening socket.
        accepted_clients: connections accepted so far; the last one's number.
    """

    def __init__(
        self, dispatcher: CommandDispatcher, sock: socket.socket, queued_since_us: int | None = None
    ) -> None:
        """`queued_since_us`: the kernel has queued connections since then that nobody has looked at."""
        self.dispatcher = dispatcher
        self.sock = sock
        self.queued_since_us = queued_since_us
        self.accepted_clients = 0
        self.is_accepting = False
        self.is_out_of_descriptors = False  # at the last attempt

    def run(self) -> None:
        """Accepts connections until `AcceptClients` says that the listener is closed."""
        scheduler = self.dispatcher.scheduler
        task = scheduler.current_task()
        while True:
            event = scheduler.wait(self.sock.fileno() if self.is_accepting else -1, READABLE)
            while task.messages:
                command = task.messages.popleft()
                self.is_accepting = command.is_accepting
                if command.is_final:
                    self._close()
                    return
            if event == MESSAGE or not self.is_accepting:
                continue
            for _ in range(MAX_ACCEPTS_PER_ROUND):
                if task.messages or not self._accept():
                    break

    def _close(self) -> None:
        """Accepts what the kernel has queued, then closes at once: whoever comes in between is reset."""
        until_us = self.dispatcher.now() + MAX_CLOSE_US
        try:
            while self._accept() or (self.is_out_of_descriptors and self.dispatcher.now() < until_us):
                pass
        finally:
            self.sock.close()

    def _accept(self) -> bool:
        """Accepts one connection; returns whether there may be another one to accept now."""
        self.is_out_of_descriptors = False
        try:
            sock, _ = self.sock.accept()
        except BlockingIOError:
            self.queued_since_us = None
            return False
        except OSError as error:
            self.is_out_of_descriptors = error.errno in DESCRIPTORS_EXHAUSTED
            if self.is_out_of_descriptors:
                self._wait_for_descriptors()
            return error.errno in CONNECTION_ABORTED
        self._start_client(sock)
        return True

    def _wait_for_descriptors(self) -> None:
        """Lets idle connections be closed, and pauses: the waiting client would wake the listener at once."""
        dispatcher = self.dispatcher
        dispatcher.dispatch(dispatcher.state_machine.on_descriptors_exhausted(dispatcher.now()))
        dispatcher.scheduler.wait(until_us=dispatcher.now() + NO_DESCRIPTORS_PAUSE_US, wakes_on_message=False)

    def _start_client(self, sock: socket.socket) -> None:
        dispatcher = self.dispatcher
        self.accepted_clients += 1
        number = self.accepted_clients
        try:
            client = ClientConnectionTask(dispatcher, number, sock)
        except OSError:  # the client has disconnected already
            sock.close()
            return
        if self.queued_since_us is not None:  # the first request may have waited since then
            client.stream.arrived_us = min(client.stream.arrived_us, self.queued_since_us)
        # Counted before its task is spawned, as the task's end stops the counting.
        commands = dispatcher.state_machine.on_client_connected(dispatcher.now(), number)
        dispatcher.clients[number] = dispatcher.scheduler.spawn(client.run)
        dispatcher.client_descriptors[number] = sock.fileno()
        dispatcher.dispatch(commands)
