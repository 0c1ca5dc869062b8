"""Starts a sidecar with a baseline policy, or with a deliberate defect that the rule checker must find.

These variants exist only in the test bed; the program itself has no option for them. The rules that
the defects break are numbered as in `rule_checker.Rule`.

python -m cressrail.testbed.policy_variants --policy NAME --break NAME CONFIGURATION
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Sequence
from typing import Any

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

SECOND_RESPONSE_INTERVAL = 3  # one in this many client connections gets a second response
SWALLOWED_INTERVAL = 7  # one in this many responses is not sent
SECOND_RESPONSE_TIMEOUT_US = 100_000


class Baseline(LoadBalancer):
    """Chooses endpoints uniformly at random, without limits, queue, zone preference or slow start.

    It keeps only the strict limits on retries of requests that may have taken effect.
    """

    retries_always = False  # retry whenever permitted, without a retry budget and for errors of any owner

    def route(self, request: RoutedRequest, now_us: int) -> list[Decision]:
        """Sends a request to a random endpoint, or gives up if there is none or the deadline has passed."""
        endpoint = self.choose(request)
        if request.deadline_us <= now_us or endpoint is None:
            return [self.give_up(request)]
        return [self._start_attempt(request, endpoint, now_us)]

    def _retry_or_give_up(
        self,
        request: RoutedRequest,
        endpoint: Endpoint,  # noqa: ARG002 - parameter of the overridden method
        now_us: int,
        outcome: Outcome,  # noqa: ARG002 - parameter of the overridden method
    ) -> Decision:
        may_retry = now_us < request.deadline_us and self.retry_policy.may_retry(request, now_us)
        if self.retries_always and may_retry:
            other = self.choose(request)
            if other is not None:
                return self._start_attempt(request, other, now_us)
        return self.give_up(request)

    def choose(self, request: RoutedRequest) -> Endpoint | None:
        """Returns the endpoint for the next attempt; None if none is available."""
        candidates = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.accepts_requests
            and (not request.fixed_endpoint or self.retry_policy.may_use_endpoint(request, endpoint))
        ]
        return self.choose_among(candidates) if candidates else None

    def choose_among(self, candidates: list[Endpoint]) -> Endpoint:
        """Returns one of the candidates, of which there must be at least one."""
        return candidates[self.random_generator.below(len(candidates))]


class RoundRobin(Baseline):
    """Chooses the endpoints in turn."""

    choice_count = 0

    def choose_among(self, candidates: list[Endpoint]) -> Endpoint:
        """Returns the next candidate in turn."""
        self.choice_count += 1
        return candidates[self.choice_count % len(candidates)]


class LeastInFlight(Baseline):
    """Chooses the endpoint with the fewest attempts in flight from this sidecar."""

    def choose_among(self, candidates: list[Endpoint]) -> Endpoint:
        """Returns the candidate with the fewest attempts in flight; ties are broken at random."""
        return min(
            candidates,
            key=lambda endpoint: (endpoint.in_flight, self.random_generator.below(1 << 16)),
        )


class RetryAlways(Baseline):
    """Retries every failed attempt that may be retried, without a retry budget."""

    retries_always = True


POLICIES: dict[str, type[LoadBalancer]] = {
    "random": Baseline,
    "round-robin": RoundRobin,
    "least-in-flight": LeastInFlight,
    "retry-always": RetryAlways,
}


def send_second_response() -> None:
    """Breaks rule 1: some connections get bytes after the final response."""
    send_response = ClientConnectionTask._send_response

    def send_twice(self: ClientConnectionTask, command: SendResponse) -> None:
        send_response(self, command)
        if self.number % SECOND_RESPONSE_INTERVAL == 0:
            second = memoryview(Response(503).encode_head(True))
            self.stream.send([second], self.dispatcher.now() + SECOND_RESPONSE_TIMEOUT_US)

    ClientConnectionTask._send_response = send_twice  # type: ignore[method-assign]


def swallow_responses() -> None:
    """Breaks rule 1: some accepted requests get no response."""
    send_response = ClientConnectionTask._send_response

    def swallow_some(self: ClientConnectionTask, command: SendResponse) -> None:
        if command.response.body is None or self.dispatcher.state_machine.ids.last % SWALLOWED_INTERVAL:
            send_response(self, command)
            return
        command.response.body.release()
        raise OSError("response dropped by the deliberate defect 'swallows'")

    ClientConnectionTask._send_response = swallow_some  # type: ignore[method-assign]


def retry_unsafe_requests() -> None:
    """Breaks rule 2: requests that may have taken effect are retried, whatever their request class."""

    def may_retry(self: RetryPolicy, request: RoutedRequest, *_: Any, **__: Any) -> bool:
        return len(request.attempts) < self.max_attempts

    RetryPolicy.may_retry = may_retry  # type: ignore[method-assign]
    RetryPolicy.may_run_again = _always  # type: ignore[method-assign]
    RetryPolicy.may_use_endpoint = _always  # type: ignore[method-assign]
    RetryBudget.spend = _always  # type: ignore[method-assign]
    LoadBalancer._is_owned_error = _always  # type: ignore[method-assign]


def ignore_drains() -> None:
    """Breaks rule 3: draining and removed endpoints stay in use."""
    apply_update = EndpointRegistry.apply

    def apply_as_accepting(self: EndpointRegistry, update: EndpointListUpdate) -> RegistryChanges:
        entries = [entry._replace(accepts_requests=True, is_removed=False) for entry in update.entries]
        return apply_update(self, update._replace(entries=entries, is_complete=False))

    EndpointRegistry.apply = apply_as_accepting  # type: ignore[method-assign]


def rush_to_new_endpoints() -> None:
    """Breaks rule 4: all requests are sent to the endpoint that started last."""

    class NewestEndpoint(LeastInFlight):
        def choose_among(self, candidates: list[Endpoint]) -> Endpoint:
            return max(candidates, key=lambda endpoint: endpoint.started_us)

    SlowStart.is_warming_up = _never  # type: ignore[method-assign]
    POLICIES["own"] = NewestEndpoint


def _always(*_: Any, **__: Any) -> bool:
    return True


def _never(*_: Any, **__: Any) -> bool:
    return False


DEFECTS: dict[str, Callable[[], None]] = {
    "answers-twice": send_second_response,
    "swallows": swallow_responses,
    "repeats": retry_unsafe_requests,
    "deaf": ignore_drains,
    "rushes": rush_to_new_endpoints,
}


def main(arguments: Sequence[str]) -> int:
    """Runs the sidecar; returns its exit status."""
    parser = argparse.ArgumentParser(prog="python -m cressrail.testbed.policy_variants")
    parser.add_argument("--policy", required=True)
    parser.add_argument("--break", required=True, dest="defect")
    parser.add_argument("configuration")
    options = parser.parse_args(arguments)
    if options.defect:
        DEFECTS[options.defect]()
    if options.policy in POLICIES:
        vars(policy_factory)["LoadBalancer"] = POLICIES[options.policy]
    return launch(options.configuration)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
