"""Starts a sidecar with another policy, as a baseline, or broken on purpose, to prove that the rule checker
sees it. Switches of the rig only: the product has none of them.

python -m cressrail.testbed.policy_variants --policy NAME --break NAME CONFIG
"""

from __future__ import annotations

import sys

from cressrail.cli.launch import launch
from cressrail.configuration import policy_factory
from cressrail.discovery.endpoint_list import EndpointListUpdate
from cressrail.http1.response import Response
from cressrail.network.client_connection import ClientConnectionTask
from cressrail.policy.decision import Decision
from cressrail.policy.endpoint import Endpoint
from cressrail.policy.load_balancer import LoadBalancer
from cressrail.policy.outcome import Outcome
from cressrail.policy.retry_budget import RetryBudget
from cressrail.policy.retry_policy import RetryPolicy
from cressrail.policy.routed_request import RoutedRequest
from cressrail.policy.slow_start import SlowStart
from cressrail.proxy.commands import SendResponse
from cressrail.proxy.endpoint_registry import EndpointRegistry, RegistryChanges


class Baseline(LoadBalancer):
    """A uniformly random choice, without limits, queue, zone preference or slow start.

    What it keeps are the hard bounds on repeats.
    """

    retries_always = False  # retries whatever may be retried, with no budget and whoever owns the error

    def route(self, request: RoutedRequest, now_us: int) -> list[Decision]:
        """Sends a request to any endpoint."""
        endpoint = self.choose(request)
        if request.deadline_us <= now_us or endpoint is None:
            return [self.give_up(request)]
        return [self._start_attempt(request, endpoint, now_us)]

    def _retry_or_give_up(
        self, request: RoutedRequest, endpoint: Endpoint, now_us: int, outcome: Outcome
    ) -> Decision:
        may_retry = now_us < request.deadline_us and self.retry_policy.may_retry(request, now_us)
        if self.retries_always and may_retry:
            other = self.choose(request)
            if other is not None:
                return self._start_attempt(request, other, now_us)
        return self.give_up(request)

    def choose(self, request: RoutedRequest) -> Endpoint | None:
        """Returns the endpoint for the next attempt, None if there is none."""
        candidates = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.accepts_requests
            and (not request.fixed_endpoint or self.retry_policy.may_use_endpoint(request, endpoint))
        ]
        return self.choose_among(candidates) if candidates else None

    def choose_among(self, candidates: list[Endpoint]) -> Endpoint:
        """Returns one of the endpoints, of which there is at least one."""
        return candidates[self.random_generator.below(len(candidates))]


class RoundRobin(Baseline):
    """One endpoint after the other."""

    turn = 0

    def choose_among(self, candidates: list[Endpoint]) -> Endpoint:
        """Returns the next one."""
        self.turn += 1
        return candidates[self.turn % len(candidates)]


class LeastInFlight(Baseline):
    """The endpoint with the fewest own attempts in flight."""

    def choose_among(self, candidates: list[Endpoint]) -> Endpoint:
        """Returns it, one of them at random if there are several."""
        return min(
            candidates,
            key=lambda endpoint: (endpoint.in_flight, self.random_generator.below(1 << 16)),
        )


class RetryAlways(Baseline):
    """Retries whatever may be retried."""

    retries_always = True


POLICIES = {
    "random": Baseline,
    "round-robin": RoundRobin,
    "least-in-flight": LeastInFlight,
    "retry-always": RetryAlways,
}


def answers_twice() -> None:
    """Rule 1: something is sent after the final answer."""
    write = ClientConnectionTask._send_response

    def twice(self: ClientConnectionTask, command: SendResponse) -> None:
        write(self, command)
        if self.number % 3 == 0:
            self.stream.send([memoryview(Response(503).encode_head(True))], self.dispatcher.now() + 100_000)

    ClientConnectionTask._send_response = twice  # type: ignore[method-assign]


def swallows() -> None:
    """Rule 1: some that were taken get no answer."""
    write = ClientConnectionTask._send_response

    def eats(self: ClientConnectionTask, command: SendResponse) -> None:
        if command.response.body is None or self.dispatcher.state_machine.ids.last % 7:
            write(self, command)
            return
        command.response.body.release()
        raise OSError("swallowed on purpose")

    ClientConnectionTask._send_response = eats  # type: ignore[method-assign]


def repeats() -> None:
    """Rule 2: what may have run goes out again, whatever its profile."""
    RetryPolicy.may_retry = lambda self, request, now_us: len(request.attempts) < self.max_attempts  # type: ignore[method-assign]
    RetryPolicy.may_run_again = lambda self, request, now_us: True  # type: ignore[method-assign]
    RetryPolicy.may_use_endpoint = lambda self, request, endpoint: True  # type: ignore[method-assign]
    RetryBudget.spend = lambda self, now_us: True  # type: ignore[method-assign]
    LoadBalancer._is_owned_error = lambda self, endpoint, now_us, outcome: True  # type: ignore[method-assign]


def deaf() -> None:
    """Rule 3: what discovery says of draining and leaving is not heard."""
    heard = EndpointRegistry.apply

    def never(self: EndpointRegistry, update: EndpointListUpdate) -> RegistryChanges:
        entries = [row._replace(accepts_requests=True, is_removed=False) for row in update.entries]
        return heard(self, update._replace(entries=entries, is_complete=False))

    EndpointRegistry.apply = never  # type: ignore[method-assign]


def rushes() -> None:
    """Rule 4: a cold endpoint is the one that everything goes to."""
    SlowStart.is_warming_up = lambda self, endpoint, now_us: False  # type: ignore[method-assign]

    class Rush(LeastInFlight):
        def choose_among(self, candidates: list[Endpoint]) -> Endpoint:
            return max(candidates, key=lambda endpoint: endpoint.started_us)

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
