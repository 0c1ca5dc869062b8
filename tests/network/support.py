"""Scripted peers that record what they receive, and wrappers that inject faults into sockets."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from typing import Any

import pytest

from cressrail.buffers.pool import BufferPool
from cressrail.event_loop.scheduler import MESSAGE, Scheduler
from cressrail.network.socket_stream import SocketStream, StreamInterruptedError
from tests.support.configuration import SECOND
from tests.support.http_messages import CHUNKED_HEADER, OK_STATUS_LINE, chunk_bytes, response_bytes
from tests.support.scripted_peer import POLL_US, ScriptedPeer

BODY_64_KIB = bytes(range(256)) * 256
FIRST_UPDATE_REVISION = 5  # the configured list has revision 4


class RecordingEndpoint:
    """The script of an endpoint that answers request heads with the given responses in rotation.

    Attributes:
        responses: The responses, one for each request in turn.
        heads: The request heads received so far, over all connections.
    """

    def __init__(self, *responses: bytes) -> None:
        self.responses = responses or (response_bytes(b"hello"),)
        self.heads: list[bytes] = []

    def __call__(self, peer: ScriptedPeer) -> None:
        while head := peer.receive_until():
            self.heads.append(head)
            peer.send(self.responses[(len(self.heads) - 1) % len(self.responses)])


class ScriptedDiscovery:
    """The script of a discovery service that sends its endpoint list, and updates on each watch.

    Attributes:
        endpoint_list: The response to requests without a watch.
        updates: The endpoint entries to send, one per update; appended entries go to every open watch.
    """

    def __init__(self) -> None:
        self.endpoint_list: dict[str, Any] = {}
        self.updates: list[dict[str, Any]] = []

    def __call__(self, peer: ScriptedPeer) -> None:
        sent = 0
        while head := peer.receive_until():
            if b"watch" not in head:
                peer.send(response_bytes(json.dumps(self.endpoint_list).encode()))
                continue
            peer.send(OK_STATUS_LINE + CHUNKED_HEADER + chunk_bytes(b"\n"))
            while True:
                if sent < len(self.updates):
                    revision = FIRST_UPDATE_REVISION + sent
                    update = {"revision": revision, "complete": False, "members": [self.updates[sent]]}
                    peer.send(chunk_bytes(json.dumps(update).encode() + b"\n"))
                    sent += 1
                peer.sleep(POLL_US)


class ConnectGate:
    """Delays connections to one port until the gate is opened.

    Attributes:
        connects: The number of connection attempts to the port so far.
        is_open: Whether connections proceed; set by the test.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch, port: Callable[[], int]) -> None:
        """Patches `SocketStream.connect`.

        Args:
            monkeypatch: Undoes the patch after the test.
            port: Returns the port; called on each connect, because the harness may not have chosen it yet.
        """
        self.connects = 0
        self.is_open = False
        connect = SocketStream.connect.__func__  # type: ignore[attr-defined]

        def connect_through_gate(
            cls: type[SocketStream],
            scheduler: Scheduler,
            pool: BufferPool,
            host: str,
            to_port: int,
            until_us: int,
            wakes_on_message: bool,
        ) -> SocketStream:
            if to_port == port():
                self.connects += 1
                self._wait(scheduler, wakes_on_message)
                until_us = scheduler.now() + SECOND
            stream: SocketStream = connect(cls, scheduler, pool, host, to_port, until_us, wakes_on_message)
            return stream

        monkeypatch.setattr(SocketStream, "connect", classmethod(connect_through_gate))

    def _wait(self, scheduler: Scheduler, wakes_on_message: bool) -> None:
        while not self.is_open:
            event = scheduler.wait(until_us=scheduler.now() + POLL_US, wakes_on_message=wakes_on_message)
            if event == MESSAGE:
                raise StreamInterruptedError


class FailingListener:
    """A listening socket whose first calls of `accept` fail with the given errors.

    Attributes:
        errors: The error numbers of the remaining failures.
    """

    def __init__(self, sock: socket.socket, *errors: int) -> None:
        self.errors = list(errors)
        self._sock = sock

    def accept(self) -> tuple[socket.socket, Any]:
        """Raises the next error, if any are left, or accepts a connection."""
        if self.errors:
            raise OSError(self.errors.pop(0), "injected")
        return self._sock.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)


def read_status(peer: ScriptedPeer) -> bytes:
    """Reads a response, whose body length its head announces; returns its status code."""
    head = peer.receive_until()
    peer.receive(int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0] or 0))
    return head[9:12]
