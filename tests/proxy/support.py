"""A state machine without sockets, for tests of the proxy."""

from __future__ import annotations

import copy
from typing import Any

from cressrail.buffers.pool import Chain, Pool
from cressrail.configuration import policy_factory
from cressrail.configuration.startup import parse_configuration
from cressrail.discovery.endpoint_list import EndpointListUpdate, read
from cressrail.http1.head import Fields
from cressrail.http1.request import Request
from cressrail.policy.outcome import Outcome
from cressrail.policy.random_generator import RandomGenerator
from cressrail.proxy import commands as do
from cressrail.proxy.attempts import AttemptResult
from cressrail.proxy.commands import Command
from cressrail.proxy.connection_limits import ConnectionLimits
from cressrail.proxy.endpoint_registry import EndpointRegistry
from cressrail.proxy.settings import ProxySettings
from cressrail.proxy.state_machine import StateMachine
from tests.helpers import CONFIG, SECOND, member


class Front:
    """A reducer, and what it has asked for so far."""

    def __init__(
        self,
        endpoints: int = 2,
        clients: int = 8,
        links: int = 8,
        heard: bool = False,
        grace_us: int = 2 * SECOND,
    ) -> None:
        """`heard`: discovery has told the list that the configuration holds."""
        config = copy.deepcopy(CONFIG)
        config["known"]["members"] = [member(f"s{n}", 9000 + n) for n in range(endpoints)]
        start = parse_configuration(config, {})
        roster, members = EndpointRegistry(["a", "b"]), policy_factory.read_tenant_quotas(start.settings)
        self.reducer = StateMachine(
            ProxySettings(
                policy_factory.read_request_classes(start.settings),
                dict.fromkeys(members, 0),
                SECOND,
                start.discovery,
                grace_us,
            ),
            policy_factory.build_load_balancer(start.settings, 5, 0, ["a", "b"], list(members.values())),
            roster,
            ConnectionLimits(clients, 2, links),
            RandomGenerator(5),
            0,
        )
        self.known = start.known_endpoints
        self.pool = Pool(100)
        self.told: list[Command] = self.reducer.start(0, start.known_endpoints)
        if heard:
            self.told += self.reducer.on_endpoint_list(0, start.known_endpoints)

    def all(self, kind: type) -> list[Any]:
        found = [effect for effect in self.told if isinstance(effect, kind)]
        self.told = [effect for effect in self.told if not isinstance(effect, kind)]
        return found

    def came(self, client: int, now: int = 0) -> None:
        self.told += self.reducer.on_client_connected(now, client)

    def rest(self, client: int, now: int = 0) -> None:
        """One that has had an answer, and keeps its connection."""
        self.came(client, now)
        self.ask(client, path="/_health")
        self.told += self.reducer.on_response_written(now, client)
        self.all(do.SendResponse)

    def ask(
        self,
        client: int,
        kind: str = "read",
        now: int = 0,
        arrived_us: int | None = None,
        began: bool = True,
        **fields: str | None,
    ) -> None:
        told = {
            "req-id": f"r{client}",
            "req-kind": kind,
            "idempotency-key": "k",
            **{name.replace("_", "-"): value for name, value in fields.items()},
        }
        body = Chain(self.pool)
        body.add(memoryview(b"x"))
        request = Request(
            b"POST",
            (told.pop("path", None) or "/api").encode(),
            Fields((n.encode(), v.encode()) for n, v in told.items() if v),
            body,
            True,
        )
        if began:
            self.reducer.on_request_started(now, client)
        arrived_us = now if arrived_us is None else arrived_us
        self.told += self.reducer.on_request(now, client, request, arrived_us)

    def hop(self) -> do.SendAttempt:
        [carry] = self.all(do.SendAttempt)
        assert isinstance(carry, do.SendAttempt)
        return carry

    def end(self, hop: do.SendAttempt, how: Outcome, now: int = 1000, keep: bool = True) -> None:
        body = Chain(self.pool) if how is Outcome.SUCCEEDED else None
        if body:
            body.add(memoryview(b"y"))
        self.told += self.reducer.on_attempt_finished(now, hop.attempt, AttemptResult(how, keep, body))

    def settle(self) -> None:
        """Gives back what the effects ask to be, as the tasks on sockets would."""
        for effect in self.told:
            if isinstance(effect, do.ReleaseBody):
                effect.body.give_back()
            if isinstance(effect, do.SendResponse) and effect.response.body:
                effect.response.body.give_back()


def news(revision: int, full: bool, *members: dict[str, Any]) -> EndpointListUpdate:
    return read({"revision": revision, "complete": full, "members": list(members)})
