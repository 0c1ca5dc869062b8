"""The process that may take over from this one: where it finds it, and what it is told."""

from __future__ import annotations

import os
import socket
import struct
from contextlib import suppress

from cressrail.event_loop.scheduler import MESSAGE, READABLE, WRITABLE
from cressrail.handover.frame import Frame, FrameKind, FrameReader, HandoverError, encode_frame
from cressrail.network.dispatcher import CommandDispatcher

DESCRIPTORS = 4  # the meeting place, one who comes, one who is refused, and the way to the elder process
SPAN_US = 1_000_000  # to say who it is
PIECE = 65536
FIXED = 24  # descriptors that a process holds beside clients' and endpoints'
KEPT_PART = 4  # of the buffers a process that hands over keeps one such part, or what it has lent out


class HandoverServerTask:
    def __init__(
        self, net: CommandDispatcher, path: str, listening: socket.socket, listen: tuple[str, int]
    ) -> None:
        self.net = net
        self.path = path
        self.listening = listening
        self.listen = listen
        self.place: socket.socket | None = None

    def run(self) -> None:
        try:
            while self._publish():
                assert self.place is not None
                if self.net.loop.wait(self.place.fileno(), READABLE) == MESSAGE:
                    return
                with suppress(OSError):
                    self._serve(self.place.accept()[0])
        finally:
            self._withdraw()

    def _publish(self) -> bool:
        """Under a name of its own first, then in place of whoever was there before, in one step."""
        if self.place is not None:
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
            self.net.log.write_event("no_meeting", {"why": str(fault)})
            return False
        self.place = place
        return True

    def _withdraw(self) -> None:
        if self.place is not None:
            self.place.close()
            self.place = None

    def _serve(self, sock: socket.socket) -> None:
        """One who would take over, to the end of its connection. Only one at a time."""
        frames, over = FrameReader(), False
        try:
            sock.setblocking(False)
            if not _same_user(sock):
                return
            got = self._next(sock, frames, self.net.now() + SPAN_US)
            if got is None or got.kind != FrameKind.HELLO or got.fields.get("listen") != list(self.listen):
                return
            here = encode_frame(FrameKind.LISTENING, {"list": self.net.state_machine.endpoint_list()})
            sent = socket.send_fds(sock, [here], [self.listening.fileno()])
            self._send(sock, here[sent:])
            got = self._next(sock, frames, None)
            if got is None or got.kind != FrameKind.TAKE_OVER:
                return
            told, effects = self.net.state_machine.hand_over(self.net.now())
            over = True
            self.net.dispatch(effects)
            self._send(sock, encode_frame(FrameKind.STATE, {**told, "held": self._held()}))
            if self.net.gossip is not None:
                self.net.gossip.tell("cede")
            self._withdraw()
            got = self._next(sock, frames, None)
            if got is not None and got.kind == FrameKind.EXITED:
                over = False  # a later one serves: no reason to come back
        except (OSError, HandoverError, ValueError) as fault:
            self.net.log.write_event("heir_junk", {"why": str(fault)})
        finally:
            sock.close()
            if over:
                self.net.pool.max_lent = self.most
                if self.net.gossip is not None and self.net.state_machine.stop_us < 0:
                    self.net.gossip.tell("resume")
                self.net.dispatch(self.net.state_machine.on_successor_failed(self.net.now()))

    def _held(self) -> list[int]:
        """Clients, links and buffers that stay with this process; it lends and opens no more than these."""
        reducer, pool = self.net.state_machine, self.net.pool
        self.most = pool.max_lent
        pool.max_lent = max(pool.lent, pool.max_lent // KEPT_PART)
        pool.release_excess()
        reducer.limits.endpoint_connections = max(
            len(reducer.connections), reducer.limits.endpoint_connections // KEPT_PART
        )
        return [len(reducer.clients) + FIXED, reducer.limits.endpoint_connections, pool.max_lent]

    def _next(self, sock: socket.socket, frames: FrameReader, until_us: int | None) -> Frame | None:
        while (got := frames.next_frame()) is None:
            try:
                data = sock.recv(PIECE)
            except BlockingIOError:
                if until_us is None:
                    self.net.loop.wait(sock.fileno(), READABLE, wakes_on_message=False)
                elif self.net.loop.wait(sock.fileno(), READABLE, until_us, wakes_on_message=False) == 0:
                    return None
                continue
            if not data:
                return None
            frames.feed(data)
        return got

    def _send(self, sock: socket.socket, data: bytes) -> None:
        left = memoryview(data)
        until_us = self.net.now() + SPAN_US
        while left:
            try:
                left = left[sock.send(left) :]
            except BlockingIOError:
                if self.net.loop.wait(sock.fileno(), WRITABLE, until_us, wakes_on_message=False) == 0:
                    raise HandoverError("does not read") from None


def _same_user(sock: socket.socket) -> bool:
    _, uid, _ = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
    return bool(uid == os.getuid())
