"""The process that this one takes over from: asked before anything is listened on, then told to let go."""

from __future__ import annotations

import os
import socket
from contextlib import suppress
from typing import Any

from cressrail.discovery.endpoint_list import EndpointListUpdate, MalformedEndpointListError, read
from cressrail.event_loop.scheduler import READ
from cressrail.handover.frame import BYE, ESTATE, HELLO, HERE, TAKE, Frames, HandoverError, wrap
from cressrail.network.dispatcher import CommandDispatcher

FIRST_ANSWER_TIMEOUT_S = (
    1.0  # for the first answer; a process that serves gives it within a round of its loop
)
STATE_TIMEOUT_US = 1_000_000  # for the estate
READ_BYTES = 65536
MAX_PATH_BYTES = 100  # bytes; the system takes few more


def rendezvous_path(listen: tuple[str, int], tmp: str | None) -> str | None:
    """Where the processes of a sidecar that listens there meet; nothing where they cannot."""
    if not tmp:
        return None
    path = os.path.join(tmp, f"cressrail-{listen[0].replace(':', '_')}-{listen[1]}")
    return path if len(os.fsencode(path)) <= MAX_PATH_BYTES else None


class Predecessor:
    """A connection to the process that serves, the socket that it listens on, and the list as it knows it."""

    def __init__(
        self, sock: socket.socket, listening: socket.socket, known: EndpointListUpdate, frames: Frames
    ) -> None:
        self.sock = sock
        self.listening_socket = listening
        self.endpoint_list = known
        self.frames = frames


def find_predecessor(path: str, listen: tuple[str, int]) -> Predecessor | None:
    """Nothing if there is none, or one that is not to be relied on: a start from nothing, then. Waits."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
    sock.settimeout(FIRST_ANSWER_TIMEOUT_S)
    fds: list[int] = []
    try:
        sock.connect(path)
        sock.sendall(wrap(HELLO, {"listen": list(listen)}))
        frames = Frames()
        while (got := frames.next()) is None:
            data, more, _, _ = socket.recv_fds(sock, READ_BYTES, 1)
            fds += more
            if not data:
                raise HandoverError("ended")
            frames.add(data)
        kind, told = got
        if kind != HERE or len(fds) != 1:
            raise HandoverError("no socket came")
        known = read(told.get("list"))
        listening = socket.socket(fileno=fds[0])
        if listening.getsockname()[:2] != listen:
            raise HandoverError("another address")
        fds.clear()
        listening.setblocking(False)
        sock.setblocking(False)
        return Predecessor(sock, listening, known, frames)
    except (OSError, HandoverError, MalformedEndpointListError, ValueError):
        sock.close()
        return None
    finally:
        for fd in fds:
            with suppress(OSError):
                os.close(fd)


class HandoverClientTask:
    """Takes over once the reducer asks for it, and hears when the other has left."""

    def __init__(self, dispatcher: CommandDispatcher, predecessor: Predecessor) -> None:
        self.dispatcher = dispatcher
        self.predecessor = predecessor
        self.clients = self.connections = self.buffers = 0  # that are the other's

    def take_over(self) -> None:
        task = self.dispatcher.scheduler.current
        assert task is not None
        while not task.mail:
            self.dispatcher.scheduler.wait()
        task.mail.clear()
        told = self._receive_state()
        self._count_held_resources(told)
        self.dispatcher.pool.most -= self.buffers
        self.dispatcher.dispatch(
            self.dispatcher.state_machine.take_over(
                self.dispatcher.now(), told, self.clients, self.connections
            )
        )

    def wait_for_exit(self) -> None:
        """What is the other's comes to this process once it has ended; nothing else comes from it."""
        try:
            while self._receive(None):
                pass
        except OSError:  # as good as an end
            pass
        finally:
            self.predecessor.sock.close()
            self.dispatcher.pool.most += self.buffers
            self.dispatcher.dispatch(
                self.dispatcher.state_machine.on_predecessor_exited(
                    self.dispatcher.now(), self.clients, self.connections
                )
            )

    def announce_exit(self) -> None:
        """This process ends and a later one serves: the other is not to come back. May wait for nothing."""
        if self.dispatcher.state_machine.lifecycle.has_handed_over:
            with suppress(OSError):
                self.predecessor.sock.send(wrap(BYE, {}))

    def _receive_state(self) -> dict[str, Any] | None:
        until_us = self.dispatcher.now() + STATE_TIMEOUT_US
        try:
            self.predecessor.sock.sendall(wrap(TAKE, {}))
            while (got := self.predecessor.frames.next()) is None:
                if not (data := self._receive(until_us)):
                    return None
                self.predecessor.frames.add(data)
        except (OSError, HandoverError, ValueError) as fault:  # it has gone, or is not to be relied on
            self.dispatcher.log.write_event("estate_lost", {"why": str(fault)})
            return None
        return got[1] if got[0] == ESTATE else None

    def _count_held_resources(self, told: dict[str, Any] | None) -> None:
        held = told.get("held") if told else None
        if isinstance(held, list) and len(held) == 3 and all(isinstance(n, int) and n >= 0 for n in held):
            self.clients, self.connections, self.buffers = held
            self.buffers = min(self.buffers, self.dispatcher.pool.most * 3 // 4)

    def _receive(self, until_us: int | None) -> bytes:
        while True:
            try:
                return self.predecessor.sock.recv(READ_BYTES)
            except BlockingIOError:
                sock = self.predecessor.sock.fileno()
                why = (
                    self.dispatcher.scheduler.wait(sock, READ, mail=False)
                    if until_us is None
                    else self.dispatcher.scheduler.wait(sock, READ, until_us, mail=False)
                )
                if why == 0:
                    return b""
