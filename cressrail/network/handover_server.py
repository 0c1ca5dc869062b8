"""The predecessor's side of a hand-over: publishes the rendezvous path and hands over to a successor."""

from __future__ import annotations

import os
import socket
import struct
from contextlib import suppress
from typing import TYPE_CHECKING

from cressrail.event_loop.scheduler import MESSAGE, READABLE
from cressrail.handover.frame import FrameKind, HandoverError, encode_frame
from cressrail.logs import events
from cressrail.network.dispatcher import CommandDispatcher
from cressrail.network.handover_connection import (
    ENDPOINT_LIST,
    HELD_RESOURCES,
    LISTEN_ADDRESS,
    TAKES_IDS,
    HandoverConnection,
    HeldResources,
)
from cressrail.network.request_id_exchange import RequestIdExchange
from cressrail.proxy.process_handover import OPEN_REQUEST_IDS

if TYPE_CHECKING:
    from cressrail.network.membership_transport import MembershipTransport

DESCRIPTORS = 4  # rendezvous socket, a successor, a refused connection and the connection to the predecessor
BACKLOG = 4
PEER_TIMEOUT_US = 1_000_000  # for the successor to send its hello, and to read each frame
SUCCESSOR_START_US = (
    30_000_000  # a process that is not ready by then has failed to start, for the platform too
)
FIXED_DESCRIPTORS = 24  # descriptors that a process holds beside those of clients and endpoints
# A process that hands over keeps 1/4 of its buffers and connections, or those in use if these are more.
KEPT_DIVISOR = 4
PEER_CREDENTIALS = struct.Struct("3i")  # struct ucred of unix(7): process, user and group id


class HandoverServerTask:
    """Owns the rendezvous socket; serves one successor at a time."""

    def __init__(
        self,
        dispatcher: CommandDispatcher,
        path: str,
        listening_socket: socket.socket,
        listen: tuple[str, int],
        membership: MembershipTransport | None,
    ) -> None:
        """Creates the task; `run` publishes the rendezvous path.

        Args:
            dispatcher: Provides the event loop, the log and the state machine.
            path: The rendezvous path.
            listening_socket: The socket on which clients are accepted; it is sent to the successor.
            listen: The address of `listening_socket`.
            membership: The membership of this sidecar; None if it is not configured.
        """
        self.dispatcher = dispatcher
        self.path = path
        self.listening_socket = listening_socket
        self.listen = listen
        self.membership = membership
        self.rendezvous_socket: socket.socket | None = None
        self._buffers_before_handover = dispatcher.pool.max_lent

    def run(self) -> None:
        """Waits for successors until a message is posted to the task or the path cannot be published."""
        try:
            while (rendezvous_socket := self._publish()) is not None:
                if self.dispatcher.scheduler.wait(rendezvous_socket.fileno(), READABLE) == MESSAGE:
                    return
                with suppress(OSError):
                    self._serve(rendezvous_socket.accept()[0])
        finally:
            self._unpublish()

    def _publish(self) -> socket.socket | None:
        """Returns the rendezvous socket; atomically replaces a path that another process has published."""
        if self.rendezvous_socket is not None:
            return self.rendezvous_socket
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
        own_path = f"{self.path}.{os.getpid()}"
        try:
            with suppress(FileNotFoundError):
                os.unlink(own_path)
            sock.bind(own_path)
            os.chmod(own_path, 0o600)
            sock.listen(BACKLOG)
            sock.setblocking(False)
            os.rename(own_path, self.path)
        except OSError as error:  # this process cannot hand over, but serves as usual
            sock.close()
            self.dispatcher.log.write_event(events.RENDEZVOUS_UNAVAILABLE, {"reason": str(error)})
            return None
        self.rendezvous_socket = sock
        return sock

    def _unpublish(self) -> None:
        if self.rendezvous_socket is not None:
            self.rendezvous_socket.close()
            self.rendezvous_socket = None

    def _serve(self, sock: socket.socket) -> None:
        """Serves one successor until it exits; then this process serves again, unless `EXITED` was sent."""
        has_handed_over = serves_again = False
        connection = HandoverConnection(self.dispatcher.scheduler, sock)
        exchange = RequestIdExchange(self.dispatcher, connection)
        try:
            if _is_same_user(sock) and self._offer_takeover(connection):
                has_handed_over = serves_again = True
                exchange.start(told=self._hand_over(connection))
                frame = exchange.receive()
                serves_again = frame is None or frame.kind != FrameKind.EXITED
        except (OSError, HandoverError, ValueError) as error:
            self.dispatcher.log.write_event(events.HANDOVER_PEER_REJECTED, {"reason": str(error)})
        finally:
            exchange.stop()
            sock.close()
            if has_handed_over and serves_again:
                self._serve_again()

    def _offer_takeover(self, connection: HandoverConnection) -> bool:
        """Sends the listening socket and the endpoint list; returns whether the successor takes over."""
        dispatcher = self.dispatcher
        hello = connection.receive_frame(dispatcher.now() + PEER_TIMEOUT_US)
        if hello is None or hello.kind != FrameKind.HELLO:
            return False
        if hello.fields.get(LISTEN_ADDRESS) != list(self.listen):
            return False
        endpoint_list = dispatcher.state_machine.endpoint_list()
        listening = encode_frame(FrameKind.LISTENING, {ENDPOINT_LIST: endpoint_list})
        sent = socket.send_fds(connection.sock, [listening], [self.listening_socket.fileno()])
        connection.send(listening[sent:], dispatcher.now() + PEER_TIMEOUT_US)
        frame = connection.receive_frame(dispatcher.now() + SUCCESSOR_START_US)
        return frame is not None and frame.kind == FrameKind.TAKE_OVER

    def _hand_over(self, connection: HandoverConnection) -> set[str]:
        """Sends the state; returns the request ids that it names."""
        dispatcher = self.dispatcher
        state, commands = dispatcher.state_machine.hand_over(dispatcher.now())
        dispatcher.dispatch(commands)
        fields = {**state, HELD_RESOURCES: list(self._limit_held_resources()), TAKES_IDS: True}
        connection.send(encode_frame(FrameKind.STATE, fields), dispatcher.now() + PEER_TIMEOUT_US)
        if self.membership is not None:
            self.membership.yield_to_successor()
        self._unpublish()
        return set(state[OPEN_REQUEST_IDS])

    def _limit_held_resources(self) -> HeldResources:
        """Lowers this process's limits to the resources that it keeps, and returns them."""
        pool, state_machine = self.dispatcher.pool, self.dispatcher.state_machine
        self._buffers_before_handover = pool.max_lent
        pool.max_lent = max(pool.lent, pool.max_lent // KEPT_DIVISOR)
        pool.release_excess()
        connections = state_machine.keep_connections(KEPT_DIVISOR)
        return HeldResources(len(state_machine.clients.open) + FIXED_DESCRIPTORS, connections, pool.max_lent)

    def _serve_again(self) -> None:
        dispatcher = self.dispatcher
        dispatcher.pool.max_lent = self._buffers_before_handover
        if self.membership is not None and not dispatcher.state_machine.lifecycle.is_stopping:
            self.membership.resume()
        dispatcher.dispatch(dispatcher.state_machine.on_successor_failed(dispatcher.now()))


def _is_same_user(sock: socket.socket) -> bool:
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    _, user, _ = PEER_CREDENTIALS.unpack(credentials)
    return bool(user == os.getuid())
