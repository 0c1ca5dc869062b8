"""The address that clients connect to."""

from __future__ import annotations

import errno
import socket

from cressrail.event_loop.scheduler import MAIL, READ
from cressrail.network.client_connection import ClientConnectionTask
from cressrail.network.dispatcher import CommandDispatcher
from cressrail.network.socket_stream import SHORT
from cressrail.proxy.commands import AcceptClients

BACKLOG = 1024
AT_ONCE = 64  # connections taken in before other work gets its turn
SHORT_PAUSE_US = 20_000
CLOSE_US = 500_000  # for descriptors to come free, for those who wait as it closes


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
    def __init__(self, net: CommandDispatcher, sock: socket.socket, since_us: int | None = None) -> None:
        """`since_us`: the system has taken connections in since then, and nobody has looked."""
        self.net = net
        self.sock = sock
        self.since_us = since_us
        self.numbers = 0
        self.on = False
        self.short = False  # of descriptors, at the last try

    def run(self) -> None:
        task = self.net.loop.current
        assert task is not None
        while True:
            why = self.net.loop.wait(self.sock.fileno() if self.on else -1, READ)
            while task.mail:
                message = task.mail.popleft()
                assert isinstance(message, AcceptClients)  # nothing else is posted here, see Net
                self.on = message.is_accepting
                if message.is_final:
                    self._close()
                    return
            if why != MAIL and self.on:
                for _ in range(AT_ONCE):
                    if task.mail or not self._accept():
                        break  # nobody more, or told to stop

    def _close(self) -> None:
        """What the system took in is ours to answer. As little as can be is between the last look and the
        close, which resets whoever comes there."""
        until_us = self.net.now() + CLOSE_US
        try:
            while self._accept() or (self.short and self.net.now() < until_us):
                pass
        finally:
            self.sock.close()

    def _accept(self) -> bool:
        """Whether to go on at once."""
        self.short = False
        try:
            sock, _ = self.sock.accept()
        except BlockingIOError:
            self.since_us = None
            return False
        except OSError as fault:
            self.short = fault.errno in SHORT
            if self.short:
                # Guards against a listener that spins, or dies, when descriptors run out.
                self.net.dispatch(self.net.state_machine.on_descriptors_exhausted(self.net.now()))
                self.net.loop.wait(until_us=self.net.now() + SHORT_PAUSE_US, mail=False)
            # One that was reset while it waited says nothing of those behind it.
            return fault.errno in (errno.ECONNABORTED, errno.EPROTO, errno.EINTR)
        self.numbers += 1
        number = self.numbers
        try:
            client = ClientConnectionTask(self.net, number, sock)
        except OSError:  # it has left already
            sock.close()
            return True
        if self.since_us is not None:  # guards against a request's time that begins when it is seen
            client.stream.arrived_us = min(client.stream.arrived_us, self.since_us)
        told = self.net.state_machine.on_client_connected(
            self.net.now(), number
        )  # first: a task ends what was counted
        self.net.clients[number] = self.net.loop.spawn(client.run)
        self.net.client_fds[number] = sock.fileno()
        self.net.dispatch(told)
        return True
