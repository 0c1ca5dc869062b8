"""The process that may take over from this one: where it finds it, and what it is told."""

from __future__ import annotations

import os
import socket
import struct
from contextlib import suppress
from typing import TYPE_CHECKING

from cressrail.event_loop.scheduler import MAIL, READ, WRITE
from cressrail.handover.frame import BYE, ESTATE, HELLO, HERE, TAKE, Frames, HandoverError, wrap
from cressrail.network.dispatcher import CommandDispatcher

if TYPE_CHECKING:
    from cressrail.network.membership_transport import MembershipTransport

DESCRIPTORS = 4  # the meeting place, one who comes, one who is refused, and the way to the elder process
HELLO_TIMEOUT_US = 1_000_000  # to say who it is
READ_BYTES = 65536
FIXED_DESCRIPTORS = 24  # descriptors that a process holds beside clients' and endpoints'
KEPT_DIVISOR = 4  # of the buffers a process that hands over keeps one such part, or what it has lent out


class HandoverServerTask:
    def __init__(
        self,
        dispatcher: CommandDispatcher,
        path: str,
        listening: socket.socket,
        listen: tuple[str, int],
        membership: MembershipTransport | None,
    ) -> None:
        self.membership = membership
        self.dispatcher = dispatcher
        self.path = path
        self.listening_socket = listening
        self.listen = listen
        self.rendezvous_socket: socket.socket | None = None

    def run(self) -> None:
        try:
            while self._publish():
                assert self.rendezvous_socket is not None
                if self.dispatcher.scheduler.wait(self.rendezvous_socket.fileno(), READ) == MAIL:
                    return
                with suppress(OSError):
                    self._serve(self.rendezvous_socket.accept()[0])
        finally:
            self._unpublish()

    def _publish(self) -> bool:
        """Under a name of its own first, then in place of whoever was there before, in one step."""
        if self.rendezvous_socket is not None:
            return True
        place = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
        own = f"{self.path}.{os.getpid()}"
        try:
            with suppress(FileNotFoundError):
                os.unlink(own)
            place.bind(own)
            os.chmod(own, 0o600)
            place.listen(4)
            place.setblocking(False)
            os.rename(own, self.path)
        except OSError as fault:  # no upgrade beside it then, and all else as ever
            place.close()
            self.dispatcher.log.write_event("no_meeting", {"why": str(fault)})
            return False
        self.rendezvous_socket = place
        return True

    def _unpublish(self) -> None:
        if self.rendezvous_socket is not None:
            self.rendezvous_socket.close()
            self.rendezvous_socket = None

    def _serve(self, sock: socket.socket) -> None:
        """One who would take over, to the end of its connection. Only one at a time."""
        frames, over = Frames(), False
        try:
            sock.setblocking(False)
            if not _same_user(sock):
                return
            got = self._receive_frame(sock, frames, self.dispatcher.now() + HELLO_TIMEOUT_US)
            if got is None or got[0] != HELLO or got[1].get("listen") != list(self.listen):
                return
            here = wrap(HERE, {"list": self.dispatcher.state_machine.endpoint_list()})
            sent = socket.send_fds(sock, [here], [self.listening_socket.fileno()])
            self._send(sock, here[sent:])
            got = self._receive_frame(sock, frames, None)
            if got is None or got[0] != TAKE:
                return
            told, effects = self.dispatcher.state_machine.hand_over(self.dispatcher.now())
            over = True
            self.dispatcher.dispatch(effects)
            self._send(sock, wrap(ESTATE, {**told, "held": self._held_resources()}))
            if self.membership is not None:
                self.membership.notify("cede")
            self._unpublish()
            got = self._receive_frame(sock, frames, None)
            if got is not None and got[0] == BYE:
                over = False  # a later one serves: no reason to come back
        except (OSError, HandoverError, ValueError) as fault:
            self.dispatcher.log.write_event("heir_junk", {"why": str(fault)})
        finally:
            sock.close()
            if over:
                self.dispatcher.pool.most = self.buffers_before
                if self.membership is not None and not self.dispatcher.state_machine.lifecycle.is_stopping:
                    self.membership.notify("resume")
                self.dispatcher.dispatch(
                    self.dispatcher.state_machine.on_successor_failed(self.dispatcher.now())
                )

    def _held_resources(self) -> list[int]:
        """Clients, links and buffers that stay with this process; it lends and opens no more than these."""
        reducer, pool = self.dispatcher.state_machine, self.dispatcher.pool
        self.buffers_before = pool.most
        pool.most = max(pool.lent, pool.most // KEPT_DIVISOR)
        pool.trim()
        connections_kept = reducer.keep_connections(KEPT_DIVISOR)
        return [len(reducer.clients.open) + FIXED_DESCRIPTORS, connections_kept, pool.most]

    def _receive_frame(
        self, sock: socket.socket, frames: Frames, until_us: int | None
    ) -> tuple[str, dict[str, object]] | None:
        while (got := frames.next()) is None:
            try:
                data = sock.recv(READ_BYTES)
            except BlockingIOError:
                if until_us is None:
                    self.dispatcher.scheduler.wait(sock.fileno(), READ, mail=False)
                elif self.dispatcher.scheduler.wait(sock.fileno(), READ, until_us, mail=False) == 0:
                    return None
                continue
            if not data:
                return None
            frames.add(data)
        return got

    def _send(self, sock: socket.socket, data: bytes) -> None:
        left = memoryview(data)
        until_us = self.dispatcher.now() + HELLO_TIMEOUT_US
        while left:
            try:
                left = left[sock.send(left) :]
            except BlockingIOError:
                if self.dispatcher.scheduler.wait(sock.fileno(), WRITE, until_us, mail=False) == 0:
                    raise HandoverError("does not read") from None


def _same_user(sock: socket.socket) -> bool:
    _, uid, _ = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
    return bool(uid == os.getuid())
