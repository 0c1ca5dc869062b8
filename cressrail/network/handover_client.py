"""The successor's side of a hand-over: finds the process that serves, and takes over from it."""

from __future__ import annotations

import os
import socket
from contextlib import suppress
from typing import Any, NamedTuple

from cressrail.discovery.endpoint_list import EndpointListUpdate, MalformedEndpointListError, parse_update
from cressrail.handover.frame import Frame, FrameKind, FrameReader, HandoverError, encode_frame
from cressrail.logs import events
from cressrail.network.dispatcher import CommandDispatcher
from cressrail.network.handover_connection import (
    ENDPOINT_LIST,
    HELD_RESOURCES,
    LISTEN_ADDRESS,
    READ_BYTES,
    HandoverConnection,
    HeldResources,
)

FIRST_ANSWER_TIMEOUT_S = 1.0  # a process that serves answers within a round of its event loop
STATE_TIMEOUT_US = 1_000_000
MAX_HELD_BUFFERS_SHARE = 0.75  # of the pool, so that this process has some from the start


class Predecessor(NamedTuple):
    """The process that serves.

    Attributes:
        sock: A connection to it.
        frames: What was received on the connection after the first frame.
        listening_socket: The socket on which both processes accept clients, by turns.
        endpoint_list: As the predecessor knows it.
    """

    sock: socket.socket
    frames: FrameReader
    listening_socket: socket.socket
    endpoint_list: EndpointListUpdate


def find_predecessor(path: str, listen: tuple[str, int]) -> Predecessor | None:
    """Connects to the process that serves, blocking; None if there is none that can be relied on.

    Args:
        path: The rendezvous path.
        listen: The address on which this process is to accept clients.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
    sock.settimeout(FIRST_ANSWER_TIMEOUT_S)
    descriptors: list[int] = []
    try:
        sock.connect(path)
        sock.sendall(encode_frame(FrameKind.HELLO, {LISTEN_ADDRESS: list(listen)}))
        frames = FrameReader()
        endpoint_list = _receive_endpoint_list(sock, frames, descriptors)
        listening_socket = _open_listening_socket(descriptors, listen)
    except (OSError, HandoverError, MalformedEndpointListError, ValueError):
        sock.close()
        for descriptor in descriptors:
            with suppress(OSError):
                os.close(descriptor)
        return None
    listening_socket.setblocking(False)
    sock.setblocking(False)
    return Predecessor(sock, frames, listening_socket, endpoint_list)


def _receive_endpoint_list(
    sock: socket.socket, frames: FrameReader, descriptors: list[int]
) -> EndpointListUpdate:
    answer = _receive_first_frame(sock, frames, descriptors)
    if answer.kind != FrameKind.LISTENING or len(descriptors) != 1:
        raise HandoverError("no socket came")
    return parse_update(answer.fields.get(ENDPOINT_LIST))


def _open_listening_socket(descriptors: list[int], listen: tuple[str, int]) -> socket.socket:
    """Returns the socket behind the one descriptor, which it takes from the list."""
    listening_socket = socket.socket(fileno=descriptors.pop())
    if listening_socket.getsockname()[:2] != listen:
        listening_socket.close()
        raise HandoverError("another address")
    return listening_socket


def _receive_first_frame(sock: socket.socket, frames: FrameReader, descriptors: list[int]) -> Frame:
    """Returns the first frame, and adds the descriptors that come with it to the list."""
    while (frame := frames.next_frame()) is None:
        data, received, _, _ = socket.recv_fds(sock, READ_BYTES, 1)
        descriptors += received
        if not data:
            raise HandoverError("ended")
        frames.feed(data)
    return frame


class HandoverClientTask:
    """Takes over when the state machine asks for it, and waits for the predecessor's exit.

    Attributes:
        connection: To the predecessor.
        held: What stays with the predecessor until then.
    """

    def __init__(self, dispatcher: CommandDispatcher, predecessor: Predecessor) -> None:
        self.dispatcher = dispatcher
        self.connection = HandoverConnection(dispatcher.scheduler, predecessor.sock, predecessor.frames)
        self.held = HeldResources()

    def take_over(self) -> None:
        """Waits for `BeginTakeover`, then asks for the predecessor's state."""
        dispatcher = self.dispatcher
        task = dispatcher.scheduler.current_task()
        while not task.messages:
            dispatcher.scheduler.wait()
        task.messages.clear()
        state = self._receive_state()
        self.held = self._held_by_predecessor(state)
        dispatcher.pool.max_lent -= self.held.buffers
        commands = dispatcher.state_machine.take_over(
            dispatcher.now(), state, self.held.clients, self.held.connections
        )
        dispatcher.dispatch(commands)

    def wait_for_exit(self) -> None:
        """Waits until the predecessor has exited, and takes what it held."""
        dispatcher = self.dispatcher
        try:
            with suppress(OSError):
                while self.connection.receive():
                    pass  # nothing that it sends now means anything
        finally:
            self.connection.close()
            dispatcher.pool.max_lent += self.held.buffers
            commands = dispatcher.state_machine.on_predecessor_exited(
                dispatcher.now(), self.held.clients, self.held.connections
            )
            dispatcher.dispatch(commands)

    def announce_exit(self) -> None:
        """Tells the predecessor not to serve again, as this process ends and a later one serves.

        Called after the event loop has ended, so it may not wait.
        """
        if self.dispatcher.state_machine.lifecycle.has_handed_over:
            with suppress(OSError):
                self.connection.sock.send(encode_frame(FrameKind.EXITED, {}))

    def _receive_state(self) -> dict[str, Any] | None:
        """Returns the state; None if the predecessor has gone or cannot be relied on."""
        until_us = self.dispatcher.now() + STATE_TIMEOUT_US
        try:
            self.connection.sock.sendall(encode_frame(FrameKind.TAKE_OVER, {}))
            frame = self.connection.receive_frame(until_us)
        except (OSError, HandoverError, ValueError) as error:
            self.dispatcher.log.write_event(events.HANDOVER_STATE_LOST, {"reason": str(error)})
            return None
        return frame.fields if frame is not None and frame.kind == FrameKind.STATE else None

    def _held_by_predecessor(self, state: dict[str, Any] | None) -> HeldResources:
        held = HeldResources.from_frame(state.get(HELD_RESOURCES) if state else None)
        max_buffers = int(self.dispatcher.pool.max_lent * MAX_HELD_BUFFERS_SHARE)
        return held._replace(buffers=min(held.buffers, max_buffers))
