"""The address that clients connect to."""

from __future__ import annotations

import socket

from cressrail.loop.scheduler import MAIL, READ
from cressrail.sockets.client import ClientTask
from cressrail.sockets.net import Net
from cressrail.sockets.stream import SHORT
from cressrail.traffic.effects import Listen

BACKLOG = 1024
AT_ONCE = 64  # connections taken in before other work gets its turn
SHORT_PAUSE_US = 20_000


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
    def __init__(self, net: Net, sock: socket.socket) -> None:
        self.net = net
        self.sock = sock
        self.numbers = 0

    def run(self) -> None:
        task = self.net.loop.current
        assert task is not None
        on = False
        try:
            while True:
                why = self.net.loop.wait(self.sock.fileno() if on else -1, READ)
                while task.mail:
                    message = task.mail.popleft()
                    assert isinstance(message, Listen)
                    on = message.on
                    if message.closed:
                        while self._accept():  # what the system took in is ours to answer
                            pass
                        return
                if why != MAIL and on:
                    for _ in range(AT_ONCE):
                        if task.mail or not self._accept():
                            break  # nobody more, or told to stop
        finally:
            self.sock.close()

    def _accept(self) -> bool:
        try:
            sock, _ = self.sock.accept()
        except BlockingIOError:
            return False
        except OSError as fault:
            if fault.errno in SHORT:
                # Guards against a listener that spins, or dies, when descriptors run out.
                self.net.tell(self.net.reducer.short(self.net.now()))
                self.net.loop.wait(until_us=self.net.now() + SHORT_PAUSE_US, mail=False)
            return False
        self.numbers += 1
        number = self.numbers
        try:
            client = ClientTask(self.net, number, sock)
        except OSError:  # it has left already
            sock.close()
            return True
        self.net.clients[number] = self.net.loop.spawn(client.run)
        self.net.tell(self.net.reducer.client_came(self.net.now(), number))
        return True
