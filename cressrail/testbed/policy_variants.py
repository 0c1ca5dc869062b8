"""Starts a sidecar with another policy, as a baseline, or broken on purpose, to prove that the rule checker
sees it. Switches of the rig only: the product has none of them.

python -m cressrail.testbed.policy_variants --policy NAME --break NAME CONFIG
"""

from __future__ import annotations

import sys

from cressrail.cli.launch import launch
from cressrail.configuration import policy_factory
from cressrail.discovery.endpoint_list import EndpointListUpdate
from cressrail.http1.answer import Response
from cressrail.network.client_connection import ClientConnectionTask
from cressrail.policy import load_balancer as brain
from cressrail.policy.load_balancer import Decision, Endpoint, Outcome, RoutedRequest
from cressrail.proxy.commands import SendResponse
from cressrail.proxy.endpoint_registry import EndpointRegistry, RegistryChanges


class Baseline(brain.LoadBalancer):
    """No limits, no line, no zones first, no cold part. What it keeps are the four rules' hard bounds on
    repeats."""

    again = False  # retries whatever may be, with no budget and whoever owns the error

    def route(self, tx: RoutedRequest, now: int) -> list[Decision]:
        e = self.choose(tx)
        if tx.deadline_us <= now or e is None:
            return self._give_up(tx)
        return [self._hop(tx, e, now)]

    def _after(self, tx: RoutedRequest, e: Endpoint, now: int, how: Outcome) -> list[Decision]:
        if self.again and now < tx.deadline_us and self.retry_policy.may_retry(tx, now):
            other = self.choose(tx)
            if other is not None:
                return [self._hop(tx, other, now)]
        return self._give_up(tx)

    def choose(self, tx: RoutedRequest) -> Endpoint | None:
        among = [
            e
            for e in self.endpoints.values()
            if e.accepts_requests and (not tx.fixed_endpoint or self.retry_policy.may_use_endpoint(tx, e))
        ]
        return self.among(among) if among else None

    def among(self, open_: list[Endpoint]) -> Endpoint:
        return open_[self.rng.below(len(open_))]


class RoundRobin(Baseline):
    turn = 0

    def among(self, open_: list[Endpoint]) -> Endpoint:
        self.turn += 1
        return open_[self.turn % len(open_)]


class LeastInFlight(Baseline):
    def among(self, open_: list[Endpoint]) -> Endpoint:
        return min(open_, key=lambda e: (e.in_flight, self.rng.below(1 << 16)))


class RetryAlways(Baseline):
    again = True


POLICIES = {
    "random": Baseline,
    "round-robin": RoundRobin,
    "least-in-flight": LeastInFlight,
    "retry-always": RetryAlways,
}


def answers_twice() -> None:
    """Rule 1: something is sent after the final answer."""
    write = ClientConnectionTask._send_response

    def twice(self: ClientConnectionTask, message: SendResponse) -> None:
        write(self, message)
        if self.number % 3 == 0:
            self.stream.send([memoryview(Response(503).head(True))], self.dispatcher.now() + 100_000)

    ClientConnectionTask._send_response = twice  # type: ignore[method-assign]


def swallows() -> None:
    """Rule 1: some that were taken get no answer."""
    write = ClientConnectionTask._send_response

    def eats(self: ClientConnectionTask, message: SendResponse) -> None:
        if message.response.body is None or self.dispatcher.state_machine.ids.last % 7:
            write(self, message)
            return
        message.response.body.give_back()
        raise OSError("swallowed on purpose")

    ClientConnectionTask._send_response = eats  # type: ignore[method-assign]


def repeats() -> None:
    """Rule 2: what may have run goes out again, whatever its profile."""
    brain.RetryPolicy.may_retry = lambda self, tx, now: len(tx.attempts) < self.max_attempts  # type: ignore[method-assign]
    brain.RetryPolicy.may_run_again = lambda self, tx, now: True  # type: ignore[method-assign]
    brain.RetryPolicy.may_use_endpoint = lambda self, tx, e: True  # type: ignore[method-assign]
    brain.RetryBudget.spend = lambda self, now: True  # type: ignore[method-assign]
    brain.LoadBalancer._claimed = lambda self, e, now, how: True  # type: ignore[method-assign]


def deaf() -> None:
    """Rule 3: what discovery says of draining and leaving is not heard."""
    heard = EndpointRegistry.apply

    def never(self: EndpointRegistry, update: EndpointListUpdate) -> RegistryChanges:
        for row in update.entries:
            row.accepts_requests, row.is_removed = True, False
        update.is_complete = False
        return heard(self, update)

    EndpointRegistry.apply = never  # type: ignore[method-assign]


def rushes() -> None:
    """Rule 4: a cold endpoint is the one that everything goes to."""
    brain.SlowStart.is_warming_up = lambda self, e, now: False  # type: ignore[method-assign]

    class Rush(LeastInFlight):
        def among(self, open_: list[Endpoint]) -> Endpoint:
            return max(open_, key=lambda e: e.started_us)

    POLICIES["own"] = Rush


BREAKS = {
    "answers-twice": answers_twice,
    "swallows": swallows,
    "repeats": repeats,
    "deaf": deaf,
    "rushes": rushes,
}


def main(words: list[str]) -> int:
    policy, broken, config = words[1], words[3], words[4]
    if broken:
        BREAKS[broken]()
    if policy in POLICIES:
        vars(policy_factory)["LoadBalancer"] = POLICIES[policy]
    return launch(config)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
