"""Accepting clients while the system refuses."""

from __future__ import annotations

import errno
import socket
from typing import Any

from tests.support.http_messages import request_bytes, response_bytes
from tests.support.scripted_peer import answer_each_with
from tests.support.sidecar_harness import SidecarHarness, exchange


class FailingListener:
    """A listening socket whose first calls of `accept` fail."""

    def __init__(self, sock: socket.socket, *errors: int) -> None:
        self.fileno, self.close, self.getsockname = sock.fileno, sock.close, sock.getsockname
        self.errors = list(errors)
        self._sock = sock

    def accept(self) -> tuple[socket.socket, Any]:
        if self.errors:
            raise OSError(self.errors.pop(), "no descriptor")
        return self._sock.accept()


def test_listener_resumes_after_running_out_of_descriptors() -> None:
    harness = SidecarHarness([answer_each_with(response_bytes())])
    failing = FailingListener(harness.listener.sock, errno.EMFILE, errno.EMFILE)
    harness.listener.sock = failing  # type: ignore[assignment]
    assert exchange(harness, request_bytes()) == [b"200 "]
    assert not failing.errors
