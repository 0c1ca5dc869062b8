"""Tests that commands reach the tasks that handle them, and that vital tasks restart after a fault."""

from __future__ import annotations

import socket
from typing import Any

import pytest

from cressrail.network.discovery_call import CallEnded
from cressrail.network.discovery_watch import CallDueEarlier
from cressrail.proxy import commands
from cressrail.proxy.state_machine import StateMachine
from tests.network.support import RecordingEndpoint, read_status
from tests.support.http_messages import (
    CHUNKED_HEADER,
    OK_STATUS_LINE,
    chunk_bytes,
    request_bytes,
    response_bytes,
)
from tests.support.scripted_peer import ScriptedPeer
from tests.support.sidecar_harness import SidecarHarness


def test_each_task_receives_only_commands_that_it_handles() -> None:
    """The watch, listener and timer tasks do not check the types of the commands in their mailboxes."""
    harness = SidecarHarness([RecordingEndpoint()])
    types_by_task: dict[str, set[type]] = {}
    post = harness.scheduler.post
    task_names = {
        id(harness.dispatcher.command_tasks[commands.WatchEndpoints]): "watch",
        id(harness.dispatcher.command_tasks[commands.AcceptClients]): "listener",
        id(harness.dispatcher.command_tasks[commands.SetTimer]): "timer",
    }

    def record_and_post(task: Any, message: Any) -> None:
        types_by_task.setdefault(task_names.get(id(task), "other"), set()).add(type(message))
        post(task, message)

    harness.scheduler.post = record_and_post  # type: ignore[method-assign]

    def client(peer: ScriptedPeer) -> None:
        for _ in range(3):
            peer.send(request_bytes())
            assert read_status(peer) == b"200"
        harness.dispatcher.dispatch(harness.state_machine.on_watch_ended(harness.scheduler.now(), "injected"))
        # Bound but not listening: connections are refused, and no other process can listen on the port.
        with socket.socket() as closed:
            closed.bind((harness.host, 0))
            issued = harness.state_machine.on_discovery_address(harness.scheduler.now(), closed.getsockname())
            harness.dispatcher.dispatch(issued)
            peer.sleep(20_000)

    harness.add_client(client)
    harness.run()
    # The watch task handles the messages of its calls, too.
    assert types_by_task["watch"] - {CallEnded, CallDueEarlier} == {commands.WatchEndpoints}
    assert types_by_task["timer"] == {commands.SetTimer}
    assert types_by_task.get("listener", {commands.AcceptClients}) == {commands.AcceptClients}


@pytest.mark.parametrize("event", ["on_timer", "on_endpoint_list", "on_client_connected", "on_watch_ended"])
def test_fault_in_vital_task_restarts_it(event: str, monkeypatch: pytest.MonkeyPatch) -> None:
    endpoint = RecordingEndpoint()
    harness = SidecarHarness([endpoint], lambda peer: discovery(peer))
    handler, is_to_fail, watches = getattr(StateMachine, event), True, list[int]()

    def discovery(peer: ScriptedPeer) -> None:
        peer.receive_until()
        peer.send(response_bytes(harness.endpoint_list_json))
        peer.receive_until()
        peer.send(OK_STATUS_LINE + CHUNKED_HEADER + chunk_bytes(b"\n"))
        watches.append(1)
        if len(watches) == 1:
            peer.sleep(50_000)
            peer.sock.close()

    def fail_once(machine: StateMachine, *details: Any) -> Any:
        nonlocal is_to_fail
        if is_to_fail:
            is_to_fail = False
            raise KeyError("injected")
        return handler(machine, *details)

    statuses: list[bytes] = []

    def client(peer: ScriptedPeer) -> None:
        peer.wait_until(lambda: len(watches) > 1)  # the watch has been reopened
        late_client = socket.create_connection(harness.address)
        late_client.sendall(request_bytes())
        statuses.append(read_status(ScriptedPeer(harness.scheduler, late_client)))
        late_client.close()
        peer.wait_until(lambda: harness.state_machine.timer_us > harness.scheduler.now())  # the timer is set

    monkeypatch.setattr(StateMachine, event, fail_once)
    harness.add_client(client)
    if event == "on_client_connected":
        socket.create_connection(harness.address).close()
    faults: list[str] = []
    harness.scheduler.on_fault = faults.append
    harness.run()
    assert statuses == [b"200"]
    assert len(faults) == 1
    assert "injected" in faults[0]
    assert not harness.scheduler.has_failed
