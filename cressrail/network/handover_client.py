"""The process that this one takes over from: asked before anything is listened on, then told to let go."""

from __future__ import annotations

import os
import socket
from contextlib import suppress
from typing import Any

from cressrail.discovery.endpoint_list import EndpointListUpdate, MalformedEndpointListError, parse_update
from cressrail.event_loop.scheduler import READABLE
from cressrail.handover.frame import FrameKind, FrameReader, HandoverError, encode_frame
from cressrail.network.dispatcher import CommandDispatcher

SPAN_S = 1.0  # for the first answer; a process that serves gives it within a round of its loop
SPAN_US = 1_000_000  # for the estate
PIECE = 65536
MOST_PATH = 100  # bytes; the system takes few more


def rendezvous_path(listen: tuple[str, int], tmp: str | None) -> str | None:
    """Where the processes of a sidecar that listens there meet; nothing where they cannot."""
    if not tmp:
        return None
    path = os.path.join(tmp, f"cressrail-{listen[0].replace(':', '_')}-{listen[1]}")
    return path if len(os.fsencode(path)) <= MOST_PATH else None


class Predecessor:
    """A connection to the process that serves, the socket that it listens on, and the list as it knows it."""

    def __init__(
        self, sock: socket.socket, listening: socket.socket, known: EndpointListUpdate, frames: FrameReader
    ) -> None:
        self.sock = sock
        self.listening = listening
        self.known = known
        self.frames = frames


def find_predecessor(path: str, listen: tuple[str, int]) -> Predecessor | None:
    """Nothing if there is none, or one that is not to be relied on: a start from nothing, then. Waits."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
    sock.settimeout(SPAN_S)
    fds: list[int] = []
    try:
        sock.connect(path)
        sock.sendall(encode_frame(FrameKind.HELLO, {"listen": list(listen)}))
        frames = FrameReader()
        while (got := frames.next_frame()) is None:
            data, more, _, _ = socket.recv_fds(sock, PIECE, 1)
            fds += more
            if not data:
                raise HandoverError("ended")
            frames.feed(data)
        kind, told = got
        if kind != FrameKind.LISTENING or len(fds) != 1:
            raise HandoverError("no socket came")
        known = parse_update(told.get("list"))
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

    def __init__(self, net: CommandDispatcher, elder: Predecessor) -> None:
        self.net = net
        self.elder = elder
        self.clients = self.links = self.buffers = 0  # that are the other's

    def take(self) -> None:
        task = self.net.loop.current
        assert task is not None
        while not task.messages:
            self.net.loop.wait()
        task.messages.clear()
        told = self._estate()
        self._count(told)
        self.net.pool.max_lent -= self.buffers
        self.net.dispatch(self.net.state_machine.take_over(self.net.now(), told, self.clients, self.links))

    def outlive(self) -> None:
        """What is the other's comes to this process once it has ended; nothing else comes from it."""
        try:
            while self._more(None):
                pass
        except OSError:  # as good as an end
            pass
        finally:
            self.elder.sock.close()
            self.net.pool.max_lent += self.buffers
            self.net.dispatch(
                self.net.state_machine.on_predecessor_exited(self.net.now(), self.clients, self.links)
            )

    def farewell(self) -> None:
        """This process ends and a later one serves: the other is not to come back. May wait for nothing."""
        if self.net.state_machine.handed_over_us >= 0:
            with suppress(OSError):
                self.elder.sock.send(encode_frame(FrameKind.EXITED, {}))

    def _estate(self) -> dict[str, Any] | None:
        until_us = self.net.now() + SPAN_US
        try:
            self.elder.sock.sendall(encode_frame(FrameKind.TAKE_OVER, {}))
            while (got := self.elder.frames.next_frame()) is None:
                if not (data := self._more(until_us)):
                    return None
                self.elder.frames.feed(data)
        except (OSError, HandoverError, ValueError) as fault:  # it has gone, or is not to be relied on
            self.net.log.write_event("estate_lost", {"why": str(fault)})
            return None
        return got.fields if got.kind == FrameKind.STATE else None

    def _count(self, told: dict[str, Any] | None) -> None:
        held = told.get("held") if told else None
        if isinstance(held, list) and len(held) == 3 and all(isinstance(n, int) and n >= 0 for n in held):
            self.clients, self.links, self.buffers = held
            self.buffers = min(self.buffers, self.net.pool.max_lent * 3 // 4)

    def _more(self, until_us: int | None) -> bytes:
        while True:
            try:
                return self.elder.sock.recv(PIECE)
            except BlockingIOError:
                sock = self.elder.sock.fileno()
                why = (
                    self.net.loop.wait(sock, READABLE, wakes_on_message=False)
                    if until_us is None
                    else self.net.loop.wait(sock, READABLE, until_us, wakes_on_message=False)
                )
                if why == 0:
                    return b""
