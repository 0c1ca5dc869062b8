"""Test driver that runs the proxy's state machine without sockets."""

from __future__ import annotations

import copy
from typing import Any

from cressrail.buffers.pool import BufferChain, BufferPool
from cressrail.configuration import policy_factory
from cressrail.configuration.startup import parse_configuration
from cressrail.discovery.endpoint_list import EndpointListUpdate, parse_update
from cressrail.http1.headers import Headers
from cressrail.http1.request import Request
from cressrail.policy.outcome import Outcome
from cressrail.policy.random_generator import RandomGenerator
from cressrail.proxy import admin, commands
from cressrail.proxy.attempts import AttemptResult
from cressrail.proxy.commands import Command
from cressrail.proxy.connection_limits import ConnectionLimits
from cressrail.proxy.endpoint_registry import EndpointRegistry
from cressrail.proxy.settings import ProxySettings
from cressrail.proxy.state_machine import StateMachine
from tests.support.configuration import SECOND, SIDECAR_CONFIGURATION, endpoint_entry


class ProxyDriver:
    """Sends events to a state machine and collects the commands that it returns."""

    def __init__(
        self,
        endpoints: int = 2,
        max_clients: int = 8,
        max_endpoint_connections: int = 8,
        has_list: bool = True,
        drain_notice_us: int = 2 * SECOND,
    ) -> None:
        """Starts a state machine; `has_list`: discovery has already sent the configured endpoint list."""
        config = copy.deepcopy(SIDECAR_CONFIGURATION)
        config["known"]["members"] = [
            endpoint_entry(f"s{number}", 9000 + number) for number in range(endpoints)
        ]
        start = parse_configuration(config, {})
        registry, quotas = EndpointRegistry(["a", "b"]), policy_factory.read_tenant_quotas(start.settings)
        self.state_machine = StateMachine(
            ProxySettings(
                policy_factory.read_request_classes(start.settings),
                dict.fromkeys(quotas, 0),
                SECOND,
                start.discovery,
                drain_notice_us,
            ),
            policy_factory.build_load_balancer(start.settings, 5, 0, ["a", "b"], list(quotas.values())),
            registry,
            ConnectionLimits(max_clients, 2, max_endpoint_connections),
            RandomGenerator(5),
            0,
        )
        self.known = start.known_endpoints
        self.pool = BufferPool(100)
        self.commands: list[Command] = self.state_machine.start(0, start.known_endpoints)
        if has_list:
            self.commands += self.state_machine.on_endpoint_list(0, start.known_endpoints)

    def take_commands(self, command_type: type) -> list[Any]:
        """Removes the commands of one type from those collected so far, and returns them."""
        found = [command for command in self.commands if isinstance(command, command_type)]
        self.commands = [command for command in self.commands if not isinstance(command, command_type)]
        return found

    def connect_client(self, client: int, now: int = 0, connected_us: int | None = None) -> None:
        """Accepts a client that has not sent anything yet; it connected just now or at `connected_us`."""
        silent_since_us = now if connected_us is None else connected_us
        self.commands += self.state_machine.on_client_connected(now, client, silent_since_us)

    def connect_idle_client(self, client: int, now: int = 0) -> None:
        """Connects a client that has received a response and keeps its connection open."""
        self.connect_client(client, now)
        self.send_request(client, path="/_health")
        self.commands += self.state_machine.on_response_written(now, client)
        self.take_commands(commands.SendResponse)

    def send_request(
        self,
        client: int,
        request_class: str = "read",
        now: int = 0,
        arrived_us: int | None = None,
        is_start_reported: bool = True,
        **headers: str | None,
    ) -> None:
        """Sends a complete request; `headers` adds or replaces header fields, and None omits one."""
        values = {
            "req-id": f"r{client}",
            "req-kind": request_class,
            "idempotency-key": "k",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        body = BufferChain(self.pool)
        body.append(memoryview(b"x"))
        request = Request(
            b"POST",
            (values.pop("path", None) or "/api").encode(),
            Headers((name.encode(), value.encode()) for name, value in values.items() if value),
            body,
            True,
        )
        if is_start_reported:
            self.state_machine.on_request_started(now, client)
        arrived_us = now if arrived_us is None else arrived_us
        self.commands += self.state_machine.on_request(now, client, request, arrived_us)

    def take_attempt(self) -> commands.SendAttempt:
        """Removes and returns the only command to send an attempt."""
        [command] = self.take_commands(commands.SendAttempt)
        assert isinstance(command, commands.SendAttempt)
        return command

    def finish_attempt(
        self, command: commands.SendAttempt, outcome: Outcome, now: int = 1000, is_reusable: bool = True
    ) -> None:
        """Ends an attempt with an outcome; a succeeded attempt has a response body."""
        body = BufferChain(self.pool) if outcome is Outcome.SUCCEEDED else None
        if body:
            body.append(memoryview(b"y"))
        self.commands += self.state_machine.on_attempt_finished(
            now, command.attempt, AttemptResult(outcome, is_reusable, body)
        )

    def release_buffers(self) -> None:
        """Releases the bodies in the collected commands, as the tasks in `network` would."""
        for command in self.commands:
            if isinstance(command, commands.ReleaseBody):
                command.body.release()
            if isinstance(command, commands.SendResponse) and command.response.body:
                command.response.body.release()


def list_update(revision: int, is_complete: bool, *entries: dict[str, Any]) -> EndpointListUpdate:
    """Returns an update of the endpoint list as parsed from discovery's JSON."""
    return parse_update({"revision": revision, "complete": is_complete, "members": list(entries)})


def counters_of(driver: ProxyDriver, now: int = 0) -> dict[str, int]:
    """Returns the values that the counters call of the admin API reports, by name and labels."""
    response, _ = driver.state_machine.on_admin_call(now, b"GET", admin.COUNTERS_PATH)
    return {
        name: int(value)
        for name, _, value in (line.partition(" ") for line in response.body.decode().splitlines())
    }


def admin_status(driver: ProxyDriver, path: bytes, now: int = 0) -> int:
    """Calls the admin API, collects the commands that the call returns, and returns the HTTP status."""
    response, returned = driver.state_machine.on_admin_call(now, admin.METHODS[path], path)
    driver.commands += returned
    return response.status
