"""The successor's side of a hand-over: finds the running predecessor and takes over from it."""

from __future__ import annotations

import os
import socket
import time
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
    TAKES_IDS,
    HandoverConnection,
    HeldResources,
)
from cressrail.network.request_id_exchange import RequestIdExchange

FIRST_ANSWER_TIMEOUT_S = 1.0  # a serving process answers within one round of its event loop
STATE_TIMEOUT_US = 1_000_000
MAX_HELD_BUFFERS_SHARE = 0.75  # of the pool; the rest is available to this process from the start


class Predecessor(NamedTuple):
    """The process that is serving when this one starts.

    Attributes:
        sock: A connection to the predecessor.
        frames: Holds what was received on the connection after the first frame.
        listening_socket: The listening socket that both processes share; only one of them accepts at a time.
        endpoint_list: The endpoint list that the predecessor uses.
    """

    sock: socket.socket
    frames: FrameReader
    listening_socket: socket.socket
    endpoint_list: EndpointListUpdate


def find_predecessor(path: str, listen: tuple[str, int]) -> Predecessor | None:
    """Connects to the predecessor, blocking; returns None if there is none or it answers incorrectly.

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
        raise HandoverError("predecessor did not send its listening socket")
    return parse_update(answer.fields.get(ENDPOINT_LIST))


def _open_listening_socket(descriptors: list[int], listen: tuple[str, int]) -> socket.socket:
    """Removes the only descriptor from the list and returns its socket.

    Raises:
        HandoverError: The socket is bound to another address than `listen`.
    """
    listening_socket = socket.socket(fileno=descriptors.pop())
    if listening_socket.getsockname()[:2] != listen:
        listening_socket.close()
        raise HandoverError(f"predecessor does not listen on {listen[0]}:{listen[1]}")
    return listening_socket


def _receive_first_frame(sock: socket.socket, frames: FrameReader, descriptors: list[int]) -> Frame:
    """Returns the first frame and appends the descriptors that were sent with it to the list.

    Raises:
        HandoverError: The predecessor sent something else, or not the whole frame in time.
        OSError: The connection failed, or nothing came in time.
    """
    until_s = time.monotonic() + FIRST_ANSWER_TIMEOUT_S
    while (frame := frames.next_frame()) is None:
        if time.monotonic() >= until_s:  # each receive has a time limit of its own
            raise HandoverError("predecessor did not send its first frame before the time limit")
        data, received, _, _ = socket.recv_fds(sock, READ_BYTES, 1)
        descriptors += received
        if not data:
            raise HandoverError("predecessor closed the connection before its first frame")
        frames.feed(data)
    return frame


class HandoverClientTask:
    """Takes over when the state machine requests it, and waits for the predecessor's exit.

    Attributes:
        connection: The connection to the predecessor.
        held: The resources that the predecessor keeps until it exits.
    """

    def __init__(self, dispatcher: CommandDispatcher, predecessor: Predecessor) -> None:
        self.dispatcher = dispatcher
        self.connection = HandoverConnection(dispatcher.scheduler, predecessor.sock, predecessor.frames)
        self.held = HeldResources()
        self.exchange = RequestIdExchange(dispatcher, self.connection)

    def take_over(self) -> None:
        """Waits for `BeginTakeover`, then requests the predecessor's state and takes over."""
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
        if state is not None and state.get(TAKES_IDS) is True:
            self.exchange.start()

    def wait_for_exit(self) -> None:
        """Waits until the predecessor has exited, and claims the resources that it held."""
        dispatcher = self.dispatcher
        try:
            with suppress(OSError, HandoverError, ValueError):
                while self.exchange.receive() is not None:
                    pass
            with suppress(OSError):
                while self.connection.receive():
                    pass
        finally:
            self.exchange.stop()
            self.connection.close()
            dispatcher.pool.max_lent += self.held.buffers
            commands = dispatcher.state_machine.on_predecessor_exited(
                dispatcher.now(), self.held.clients, self.held.connections
            )
            dispatcher.dispatch(commands)

    def announce_exit(self) -> None:
        """Tells the predecessor that it must not serve again, because a later process serves.

        Called after the event loop has ended, so it must not block.
        """
        if self.dispatcher.state_machine.lifecycle.has_handed_over:
            self.exchange.send(encode_frame(FrameKind.EXITED, {}))

    def _receive_state(self) -> dict[str, Any] | None:
        """Returns the predecessor's state; None if the predecessor has exited or sent something invalid."""
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
