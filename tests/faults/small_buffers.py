"""Runs the sidecar with small send buffers, as on machines that are short of memory.

python -m tests.faults.small_buffers serve CONFIG
"""

from __future__ import annotations

import socket
from typing import Any

from cressrail.cli.commands import app
from cressrail.network.socket_stream import SocketStream

BUFFER_BYTES = 4096

_initialize = SocketStream.__init__


def initialize_with_small_buffers(stream: SocketStream, *arguments: Any) -> None:
    """Creates a stream whose socket has a small send buffer."""
    _initialize(stream, *arguments)
    stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)


if __name__ == "__main__":
    SocketStream.__init__ = initialize_with_small_buffers  # type: ignore[method-assign,assignment]
    app()
