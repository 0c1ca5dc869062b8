"""The address that clients connect to."""

from __future__ import annotations

import errno
import socket

from cressrail.event_loop.scheduler import MAIL, READ
from cressrail.network.client_connection import ClientConnectionTask
from cressrail.network.dispatcher import CommandDispatcher
from cressrail.network.socket_stream import DESCRIPTORS_EXHAUSTED
from cressrail.proxy.commands import AcceptClients

BACKLOG = 1024
MAX_ACCEPTS_PER_ROUND = 64  # connections taken in before other work gets its turn
NO_DESCRIPTORS_PAUSE_US = 20_000
MAX_CLOSE_US = 500_000  # for descriptors to come free, for those who wait as it closes


def bind(host: str, port: int, shared: bool = False) -> socket.socket:
    """`shared`: a later process of the same user may listen there too."""
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # a restart binds at once
    if shared:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.setblocking(False)
    try:
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError as fault:
        sock.close()
        raise OSError(f"cannot listen on {host}:{port}: {fault.strerror}") from None
    return sock


class ListenerTask:
    def __init__(
        self, dispatcher: CommandDispatcher, sock: socket.socket, unseen_since_us: int | None = None
    ) -> None:
        """`since_us`: the system has taken connections in since then, and nobody has looked."""
        self.dispatcher = dispatcher
        self.sock = sock
        self.unseen_since_us = unseen_since_us
        self.accepted_clients = 0
        self.is_accepting = False
        self.is_out_of_descriptors = False  # of descriptors, at the last try

    def run(self) -> None:
        task = self.dispatcher.scheduler.current
        assert task is not None
        while True:
            why = self.dispatcher.scheduler.wait(self.sock.fileno() if self.is_accepting else -1, READ)
            while task.mail:
                message = task.mail.popleft()
                assert isinstance(message, AcceptClients)  # nothing else is posted here, see Net
                self.is_accepting = message.on
                if message.closed:
                    self._close()
                    return
            if why != MAIL and self.is_accepting:
                for _ in range(MAX_ACCEPTS_PER_ROUND):
                    if task.mail or not self._accept():
                        break  # nobody more, or told to stop

    def _close(self) -> None:
        """What the system took in is ours to answer. As little as can be is between the last look and the
        close, which resets whoever comes there."""
        until_us = self.dispatcher.now() + MAX_CLOSE_US
        try:
            while self._accept() or (self.is_out_of_descriptors and self.dispatcher.now() < until_us):
                pass
        finally:
            self.sock.close()

    def _accept(self) -> bool:
        """Whether to go on at once."""
        self.is_out_of_descriptors = False
        try:
            sock, _ = self.sock.accept()
        except BlockingIOError:
            self.unseen_since_us = None
            return False
        except OSError as fault:
            self.is_out_of_descriptors = fault.errno in DESCRIPTORS_EXHAUSTED
            if self.is_out_of_descriptors:
                # Guards against a listener that spins, or dies, when descriptors run out.
                self.dispatcher.dispatch(
                    self.dispatcher.state_machine.on_descriptors_exhausted(self.dispatcher.now())
                )
                self.dispatcher.scheduler.wait(
                    until_us=self.dispatcher.now() + NO_DESCRIPTORS_PAUSE_US, mail=False
                )
            # One that was reset while it waited says nothing of those behind it.
            return fault.errno in (errno.ECONNABORTED, errno.EPROTO, errno.EINTR)
        self.accepted_clients += 1
        number = self.accepted_clients
        try:
            client = ClientConnectionTask(self.dispatcher, number, sock)
        except OSError:  # it has left already
            sock.close()
            return True
        if self.unseen_since_us is not None:  # guards against a request's time that begins when it is seen
            client.stream.arrived_us = min(client.stream.arrived_us, self.unseen_since_us)
        told = self.dispatcher.state_machine.on_client_connected(
            self.dispatcher.now(), number
        )  # first: a task ends what was counted
        self.dispatcher.clients[number] = self.dispatcher.scheduler.spawn(client.run)
        self.dispatcher.client_descriptors[number] = sock.fileno()
        self.dispatcher.dispatch(told)
        return True
