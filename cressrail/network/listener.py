"""Accepts client connections on the address that the sidecar listens on."""

from __future__ import annotations

import errno
import socket

from cressrail.event_loop.scheduler import MESSAGE, READABLE
from cressrail.event_loop.task import Task
from cressrail.network.client_connection import ClientConnectionTask
from cressrail.network.dispatcher import CommandDispatcher
from cressrail.network.socket_stream import DESCRIPTORS_EXHAUSTED
from cressrail.network.tcp_information import time_since_last_input_us

BACKLOG = 1024
MAX_NEW_CLIENTS_PER_ROUND = 16  # then other tasks run
MAX_ACCEPTS_PER_ROUND = 64  # the same, with connections whose clients have already left
NO_DESCRIPTORS_PAUSE_US = 20_000  # before accepting again after the descriptors ran out
MAX_CLOSE_US = 500_000  # how long closing waits for free descriptors for clients in the accept queue
# Errors of a connection that ended while it was queued; later connections in the queue may be fine.
CONNECTION_ABORTED = (errno.ECONNABORTED, errno.EPROTO, errno.EINTR)


def bind(host: str, port: int, shared: bool = False) -> socket.socket:
    """Returns a listening, non-blocking socket.

    Args:
        host: An IPv4 or IPv6 address.
        port: The port, or 0 for any free port.
        shared: Whether another process of the same user may listen on the same address.

    Raises:
        OSError: The socket cannot listen on the address; the message contains the address.
    """
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # a restarted process can bind at once
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
        sock: The listening socket.
        queued_since_us: The time since which connections may be in the accept queue without having been
            accepted, in microseconds; None once the queue has been found empty.
        accepted_clients: The number of connections accepted so far, which is also the last client's number.
        is_accepting: Whether the state machine allows accepting.
        is_out_of_descriptors: Whether the last accept failed because the descriptors were exhausted.
    """

    def __init__(
        self, dispatcher: CommandDispatcher, sock: socket.socket, queued_since_us: int | None = None
    ) -> None:
        """Creates the task; it accepts nothing until the first `AcceptClients` command.

        Args:
            dispatcher: Provides the event loop and the state machine.
            sock: The listening socket.
            queued_since_us: The time since which the kernel may have queued connections, in microseconds;
                None if the predecessor has accepted them so far.
        """
        self.dispatcher = dispatcher
        self.sock = sock
        self.queued_since_us = queued_since_us
        self.accepted_clients = 0
        self.is_accepting = False
        self.is_out_of_descriptors = False

    def run(self) -> None:
        """Accepts connections until a final `AcceptClients` command closes the listener."""
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
            if event != MESSAGE and self.is_accepting:
                self._accept_some(task)
            elif not self.is_accepting:
                self._leave_queue_waiting()

    def _accept_some(self, task: Task) -> None:
        """Accepts connections until none is queued, a command arrives or it is other tasks' turn."""
        max_clients = len(self.dispatcher.clients) + MAX_NEW_CLIENTS_PER_ROUND
        for _ in range(MAX_ACCEPTS_PER_ROUND):
            if task.messages or not self._accept():
                return
            if len(self.dispatcher.clients) >= max_clients:
                break
        self._leave_queue_waiting()

    def _leave_queue_waiting(self) -> None:
        """Records that connections may wait in the accept queue from now on, if not since earlier."""
        if self.queued_since_us is None:
            self.queued_since_us = self.dispatcher.now()

    def _close(self) -> None:
        """Accepts the queued connections, then closes; a connection that arrives in between is reset."""
        until_us = self.dispatcher.now() + MAX_CLOSE_US
        accepted = 0
        try:
            while self._accept() or self.is_out_of_descriptors:
                accepted += not self.is_out_of_descriptors
                # All that were queued at the start are accepted, but not all that keep connecting.
                may_end = self.is_out_of_descriptors or accepted > BACKLOG
                if may_end and self.dispatcher.now() >= until_us:
                    break
                if accepted % MAX_NEW_CLIENTS_PER_ROUND == 0:
                    self.dispatcher.scheduler.yield_turn()
        finally:
            self.sock.close()

    def _accept(self) -> bool:
        """Accepts one connection; returns whether another one may be queued."""
        self.is_out_of_descriptors = False
        try:
            sock, _ = self.sock.accept()
        except BlockingIOError:
            self.queued_since_us = None
            return False
        except OSError as error:
            self.is_out_of_descriptors = error.errno in DESCRIPTORS_EXHAUSTED
            if self.is_out_of_descriptors:
                self._leave_queue_waiting()
                self._wait_for_descriptors()
            return error.errno in CONNECTION_ABORTED
        self._start_client(sock)
        return True

    def _wait_for_descriptors(self) -> None:
        """Reports the lack of descriptors, so that idle connections are closed, and pauses.

        Without the pause, a queued client would wake this task again at once.
        """
        dispatcher = self.dispatcher
        dispatcher.dispatch(dispatcher.state_machine.on_descriptors_exhausted(dispatcher.now()))
        dispatcher.scheduler.wait(until_us=dispatcher.now() + NO_DESCRIPTORS_PAUSE_US, wakes_on_message=False)

    def _start_client(self, sock: socket.socket) -> None:
        dispatcher = self.dispatcher
        self.accepted_clients += 1
        number = self.accepted_clients
        try:
            client = ClientConnectionTask(dispatcher, number, sock)
        except OSError:  # the client has already disconnected
            sock.close()
            return
        events = client.stream.pending_events()
        if events & ~READABLE:  # it has left, and what it sent is worthless
            client.stream.close()
            return
        now_us = dispatcher.now()
        silent_us = time_since_last_input_us(sock)
        if silent_us is None and self.queued_since_us is not None:
            # The first request may have been waiting since then, and the kernel does not tell.
            client.stream.arrived_us = min(client.stream.arrived_us, self.queued_since_us)
        # Registered before its task is spawned, because the end of the task unregisters the client.
        silent_since_us = now_us if events else now_us - (silent_us or 0)
        commands = dispatcher.state_machine.on_client_connected(now_us, number, silent_since_us)
        dispatcher.clients[number] = dispatcher.scheduler.spawn(client.run)
        dispatcher.client_streams[number] = client.stream
        dispatcher.dispatch(commands)
