"""Peers that record what they receive, and faults that tests put into sockets."""

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
FIRST_UPDATE_REVISION = 5  # the configured list has the one before


class RecordingEndpoint:
    """The script of an endpoint that answers each request head, with these responses in turn.

    Attributes:
        heads: The request heads so far, over all its connections.
    """

    def __init__(self, *responses: bytes) -> None:
        self.responses = responses or (response_bytes(b"hello"),)
        self.heads: list[bytes] = []

    def __call__(self, peer: ScriptedPeer) -> None:
        while head := peer.receive_until():
            self.heads.append(head)
            peer.send(self.responses[(len(self.heads) - 1) % len(self.responses)])


class ScriptedDiscovery:
    """The script of a discovery service that sends its list, and its updates to all who watch.

    Attributes:
        endpoint_list: Sent where no watch is requested.
        updates: One entry for each update; what is appended is sent to every open watch.
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
    """Holds connections to one port back until it is opened.

    Attributes:
        connects: Number of connections to the port that were begun.
        is_open: Set by the test.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch, port: Callable[[], int]) -> None:
        """`port` is called at each connect, since a harness may not have it yet."""
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
    """A listening socket whose first calls of `accept` fail with these errors.

    Attributes:
        errors: Those still to come.
    """

    def __init__(self, sock: socket.socket, *errors: int) -> None:
        self.errors = list(errors)
        self._sock = sock

    def accept(self) -> tuple[socket.socket, Any]:
        """Fails, or accepts."""
        if self.errors:
            raise OSError(self.errors.pop(0), "injected")
        return self._sock.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)


def read_status(peer: ScriptedPeer) -> bytes:
    """Reads a response whose length is announced; returns its status."""
    head = peer.receive_until()
    peer.receive(int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0] or 0))
    return head[9:12]
