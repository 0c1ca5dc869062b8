"""Tests of accepting clients while `accept` fails."""

from __future__ import annotations

import errno

from tests.network.support import FailingListener
from tests.support.http_messages import request_bytes, response_bytes
from tests.support.scripted_peer import answer_each_with
from tests.support.sidecar_harness import SidecarHarness, exchange


def test_listener_resumes_after_running_out_of_descriptors() -> None:
    harness = SidecarHarness([answer_each_with(response_bytes())])
    failing = FailingListener(harness.listener.sock, errno.EMFILE, errno.EMFILE)
    harness.listener.sock = failing  # type: ignore[assignment]
    assert exchange(harness, request_bytes()) == [b"200 "]
    assert not failing.errors
