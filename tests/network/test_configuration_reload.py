"""Tests of reloading the configuration file on SIGHUP."""

from __future__ import annotations

import json
import signal
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.support.configuration import SIDECAR_CONFIGURATION, endpoint_entry
from tests.support.http_messages import (
    CHUNKED_HEADER,
    OK_STATUS_LINE,
    chunk_bytes,
    request_bytes,
    response_bytes,
)
from tests.support.processes import PATIENCE_S, connect, receive_until, serving, unused_address


class DiscoveryServer:
    """A discovery service that serves one watch."""

    def __init__(self, revision: int, entries: list[dict[str, Any]]) -> None:
        self.revision = revision
        self.endpoint_list = {"revision": revision, "complete": True, "members": entries}
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"

    def serve_list_and_watch(self) -> socket.socket:
        """Accepts a sidecar, sends it the endpoint list and starts its watch; returns the open connection."""
        connection, _ = self.sock.accept()
        assert b"GET /catalog/members HTTP" in receive_until(connection)
        connection.sendall(response_bytes(json.dumps(self.endpoint_list).encode()))
        watch_request = receive_until(connection)
        connection.sendall(OK_STATUS_LINE + CHUNKED_HEADER + chunk_bytes(b"\n"))
        assert b"watch=1&after=%d " % self.revision in watch_request
        return connection


@pytest.fixture
def endpoint_socket() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        yield sock


@pytest.fixture
def old_discovery(endpoint_socket: socket.socket) -> Iterator[DiscoveryServer]:
    """A discovery service that lists the endpoint, at revision 70."""
    server = DiscoveryServer(70, [endpoint_entry("s0", endpoint_socket.getsockname()[1])])
    with server.sock:
        yield server


@pytest.fixture
def new_discovery() -> Iterator[DiscoveryServer]:
    """A discovery service that does not list the endpoint and has lower revisions."""
    server = DiscoveryServer(3, [endpoint_entry("s1", 9)])
    with server.sock:
        yield server


def test_sighup_changes_discovery_address_and_keeps_requests_in_flight(
    tmp_path: Path,
    endpoint_socket: socket.socket,
    old_discovery: DiscoveryServer,
    new_discovery: DiscoveryServer,
) -> None:
    path, address = tmp_path / "config.json", unused_address()
    configuration = {**SIDECAR_CONFIGURATION, "listen": address, "discovery": old_discovery.address}
    path.write_text(json.dumps(configuration))
    # The environment variable overrides the file until the value in the file changes.
    with serving(path, BALANCER_DISCOVERY=old_discovery.address) as sidecar:
        sidecar.wait_for_event("start")
        with old_discovery.serve_list_and_watch() as old_watch:
            sidecar.wait_for_event("endpoint_list_updated")
            with connect(address) as client:
                client.sendall(request_bytes())
                attempt, _ = endpoint_socket.accept()
                with attempt:
                    receive_until(attempt)

                    path.write_text("{")
                    sidecar.process.send_signal(signal.SIGHUP)
                    assert str(path) in sidecar.wait_for_event("configuration_rejected")["reason"]

                    changes = {"name": "n2", "discovery": new_discovery.address}
                    path.write_text(json.dumps(configuration | changes))
                    sidecar.process.send_signal(signal.SIGHUP)
                    reloaded = sidecar.wait_for_event("configuration_reloaded")
                    assert reloaded["needs_restart"] == ["name"]
                    with new_discovery.serve_list_and_watch():
                        assert sidecar.wait_for_event("endpoint_list_updated")["revision"] == 3
                        assert old_watch.recv(9) == b""
                        attempt.sendall(response_bytes(b"hello"))
                        assert b"200 OK" in receive_until(client, b"hello")
                        client.close()
                        sidecar.process.send_signal(signal.SIGTERM)
                        assert sidecar.process.wait(PATIENCE_S) == 0
